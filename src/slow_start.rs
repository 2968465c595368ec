//! Slow start: limits the work that a server is sent while it is warming up.
//!
//! A server that has just started has only part of its capacity and fails if it is sent much more. As it is idle,
//! every balancer prefers it, and all of them together would overload it. Each balancer therefore keeps to a budget
//! that it derives from the work that it sends to warmed-up servers. The balancers do not communicate about it.
//!
//! The budget has two bounds. The first is a share of the work that each warmed-up server was recently sent, as an
//! exponentially decaying sum. After a load has ended, or has moved off the warmed-up servers, that sum remembers it
//! for longer than the overload window in the settings. The second bound is therefore the work that the settings allow
//! within exactly that window.

use crate::decaying_sum::DecayingSum;
use crate::due_times::DueTimes;
use crate::windowed_sum::WindowedSum;
use crate::{Settings, Span, Time};

/// After operators have restored a server, a balancer that makes a first try of it does so after a random part of this
/// time, so that the first requests of all balancers do not arrive together at a server that is warming up.
const FIRST_TRY_PERIOD: Span = Span(4_000_000);
/// The expected number of balancers that make such a first try of a server, however many balancers there are.
const FIRST_TRIES_PER_SERVER: f64 = 8.0;
/// The maximum number of due first tries that are considered for a request.
const MAX_DUE_FIRST_TRIES: usize = FIRST_TRIES_PER_SERVER as usize;
/// With sparse traffic, a server that is warming up is sent this fraction of the overload at which it fails.
const SPARSE_OVERLOAD_FRACTION: f64 = 0.5;
/// With sparse traffic, a balancer may exceed its bound in the overload window by one request of mean work per this
/// many balancers, and by at least one: the more balancers there are, the more evenly random draws spread their
/// requests.
const BALANCERS_PER_SPARE_REQUEST: f64 = 10.0;
/// The time constant of the decaying sums of sent work, as a fraction of the overload window.
const SENT_TIME_CONSTANT_FRACTION: f64 = 0.5;

/// The budgets of the servers that are warming up.
pub(crate) struct SlowStart {
    initial_capacity: f64,
    warm_up_time: Span,
    overload_factor: f64,
    overload_window: Span,
    sent_time_constant_ms: f64,
    balancers: u32,
    /// The open servers that were warming up at the last check, by the time when their warm-up ends.
    warming: DueTimes,
    /// When servers whose warm-up had ended were last removed from `warming`.
    checked_at: Time,
    /// The recent work per warmed-up server, in milliseconds.
    warm_sent: DecayingSum,
    /// The work per warmed-up server in the overload window, in milliseconds.
    warm_sent_in_window: WindowedSum,
    /// The open servers that operators have restored and that this balancer has yet to try, by due time.
    first_tries: DueTimes,
}

/// The slow-start state of a server.
#[derive(Default)]
pub(crate) struct ServerSlowStart {
    /// When operators last uncordoned the server or restored its zone.
    restored_at: Option<Time>,
    /// When this balancer's first try of the server is due; `None` if it makes none or has made it.
    first_try_due_at: Option<Time>,
    /// The recent work that the server was sent while it was warming up, in milliseconds.
    sent: DecayingSum,
    /// The same in the overload window. Allocated only when needed, as few servers are warming up.
    sent_in_window: Option<Box<WindowedSum>>,
}

impl ServerSlowStart {
    /// Discards the work that was sent to the previous process after the server's process has restarted.
    pub(crate) fn restart(&mut self) {
        self.sent = DecayingSum::default();
        self.sent_in_window = None;
    }

    /// Records that operators have restored the server; its warm-up starts at that time.
    pub(crate) fn restore(&mut self, at: Time) {
        self.restored_at = Some(at);
    }

    /// When operators last restored the server.
    pub(crate) fn restored_at(&self) -> Option<Time> {
        self.restored_at
    }

    /// When the server's warm-up started: at its start according to the endpoint list or when operators restored it,
    /// whichever is later. `None` if neither is known.
    fn started_at(&self, listed_start: Option<Time>) -> Option<Time> {
        listed_start.max(self.restored_at)
    }

    /// The recent work that the server was sent while it was warming up, in milliseconds.
    pub(crate) fn sent(&self, now: Time) -> f64 {
        self.sent.value(now)
    }

    /// An upper bound of the work that the server was sent in the overload window that ends at `now`.
    fn sent_in_window(&self, now: Time, window: Span) -> f64 {
        self.sent_in_window.as_ref().map_or(0.0, |sum| sum.upper_bound(now, window))
    }

    fn add_to_window(&mut self, now: Time, window: Span, work: f64) {
        self.sent_in_window.get_or_insert_default().add(now, window, work);
    }

    /// Whether this balancer has yet to make a first try of the server after operators have restored it.
    #[cfg(test)]
    pub(crate) fn has_first_try(&self) -> bool {
        self.first_try_due_at.is_some()
    }

    fn is_first_try_due(&self, now: Time) -> bool {
        self.first_try_due_at.is_some_and(|due_at| now >= due_at)
    }
}

impl SlowStart {
    /// The slow start for these settings, without any servers.
    pub(crate) fn new(settings: &Settings) -> Self {
        SlowStart {
            initial_capacity: settings.initial_capacity,
            warm_up_time: settings.warm_up_time,
            overload_factor: settings.overload_factor,
            overload_window: settings.overload_window,
            sent_time_constant_ms: SENT_TIME_CONSTANT_FRACTION * settings.overload_window.as_ms(),
            balancers: settings.balancers,
            warming: DueTimes::default(),
            checked_at: Time(0),
            warm_sent: DecayingSum::default(),
            warm_sent_in_window: WindowedSum::default(),
            first_tries: DueTimes::default(),
        }
    }

    /// The slow-start factor: a lower bound of the fraction of its full capacity that a server has. `listed_start` is
    /// the start of its process according to the endpoint list.
    pub(crate) fn factor(&self, server: &ServerSlowStart, listed_start: Option<Time>, now: Time) -> f64 {
        let Some(started_at) = server.started_at(listed_start) else { return 1.0 };
        let (age, warm_up_time) = (now.since(started_at).as_ms(), self.warm_up_time.as_ms());
        if age >= warm_up_time {
            return 1.0;
        }
        let initial = self.initial_capacity.min(1.0);
        initial + (1.0 - initial) * age / warm_up_time
    }

    /// Whether the budget of a server permits `work` milliseconds more. A server is sent at most `factor` times the
    /// recent work per warmed-up server, and in the overload window no more than the settings allow. A first try that
    /// is due is always permitted.
    pub(crate) fn has_budget(
        &self,
        now: Time,
        server: &ServerSlowStart,
        factor: f64,
        open_servers: usize,
        work: f64,
    ) -> bool {
        if !self.is_budgeted(now, server, factor, open_servers) {
            return true;
        }
        let sent_in_window = server.sent_in_window(now, self.overload_window);
        let exceeds_window = sent_in_window + work > self.allowed_in_window(now, factor);
        let exceeds_share = server.sent(now) + work > factor * self.warm_sent(now);
        !exceeds_window && !exceeds_share
    }

    /// Whether the budget of a server permits one more request with sparse traffic. The balancer's own attempts are
    /// then too few to measure a server's share, so [`SlowStart::accepts_candidate`] limits it by random choice
    /// instead. With few balancers that is uneven, so the limit of the overload window also applies, exceeded by some
    /// requests of mean work at most.
    pub(crate) fn has_sparse_budget(
        &self,
        now: Time,
        server: &ServerSlowStart,
        factor: f64,
        open_servers: usize,
        mean_work: f64,
    ) -> bool {
        if !self.is_budgeted(now, server, factor, open_servers) {
            return true;
        }
        let sent_in_window = server.sent_in_window(now, self.overload_window);
        let spare = (f64::from(self.balancers) / BALANCERS_PER_SPARE_REQUEST).max(1.0) * mean_work;
        let exceeds_window = sent_in_window > self.allowed_in_window(now, factor) + spare;
        !exceeds_window
    }

    /// Whether a budget applies to a server: it is warming up, no first try of it is due, and there are warmed-up
    /// servers to derive a budget from.
    fn is_budgeted(&self, now: Time, server: &ServerSlowStart, factor: f64, open_servers: usize) -> bool {
        factor < 1.0 && self.warmed_up_count(open_servers) > 0 && !server.is_first_try_due(now)
    }

    /// The work that a server may be sent in the overload window, in milliseconds: the work per warmed-up server in that
    /// window, multiplied by the overload factor and the slow-start `factor`.
    fn allowed_in_window(&self, now: Time, factor: f64) -> f64 {
        let warm_sent = self.warm_sent_in_window.lower_bound(now, self.overload_window);
        self.overload_factor.max(1.0) * factor * warm_sent
    }

    /// Whether a server that was drawn at random stays a candidate with sparse traffic. The probability is such that
    /// all balancers together send it `factor` times the work of a warmed-up server, further multiplied by
    /// [`SPARSE_OVERLOAD_FRACTION`] of the overload factor where that is above 1, as most servers have more capacity
    /// than the lower bound. A candidate that is idle is selected out of all `candidate_count` that are compared, so
    /// the probability is divided by that number.
    pub(crate) fn accepts_candidate(
        &self,
        factor: f64,
        candidate_count: usize,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let overload_multiple = (SPARSE_OVERLOAD_FRACTION * self.overload_factor).max(1.0);
        factor >= 1.0 || rng.f64() * (candidate_count as f64) < overload_multiple * factor
    }

    /// Records that a server is sent a request of `work` milliseconds.
    pub(crate) fn record_send(
        &mut self,
        now: Time,
        server: &mut ServerSlowStart,
        factor: f64,
        open_servers: usize,
        work: f64,
    ) {
        if factor < 1.0 {
            server.sent.add(now, self.sent_time_constant_ms, work);
            server.add_to_window(now, self.overload_window, work);
        } else {
            let share = work / self.warmed_up_count(open_servers).max(1) as f64;
            self.warm_sent.add(now, self.sent_time_constant_ms, share);
            self.warm_sent_in_window.add(now, self.overload_window, share);
            server.sent_in_window = None;
        }
        server.first_try_due_at = None;
    }

    /// Adds the work per warmed-up server from a snapshot, in milliseconds.
    pub(crate) fn restore_warm_sent(&mut self, now: Time, work: f64) {
        self.warm_sent.add(now, self.sent_time_constant_ms, work);
        self.warm_sent_in_window.add(now, self.overload_window, work);
    }

    /// Adds the work that a server was sent according to a snapshot, in milliseconds.
    pub(crate) fn restore_sent(&self, now: Time, server: &mut ServerSlowStart, work: f64) {
        server.sent.add(now, self.sent_time_constant_ms, work);
        server.add_to_window(now, self.overload_window, work);
    }

    /// The recent work per warmed-up server, in milliseconds.
    pub(crate) fn warm_sent(&self, now: Time) -> f64 {
        self.warm_sent.value(now)
    }

    /// Decides at random whether and when this balancer makes a first try of a server that operators restored at `at`.
    pub(crate) fn schedule_first_try(&self, server: &mut ServerSlowStart, at: Time, rng: &mut fastrand::Rng) {
        let probability = FIRST_TRIES_PER_SERVER / f64::from(self.balancers.max(1));
        let due_at = at + FIRST_TRY_PERIOD * rng.f64();
        if rng.f64() < probability {
            server.first_try_due_at = Some(due_at);
        }
    }

    /// The slots of servers whose first try is due, at most [`MAX_DUE_FIRST_TRIES`] of them.
    pub(crate) fn due_first_tries(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.first_tries.due(now).take(MAX_DUE_FIRST_TRIES)
    }

    /// Updates the indexes of warm-ups and first tries after a change of a server.
    pub(crate) fn index(
        &mut self,
        slot: usize,
        server: &ServerSlowStart,
        listed_start: Option<Time>,
        is_open: bool,
    ) {
        let has_warm_up = self.initial_capacity < 1.0 && self.warm_up_time > Span::ZERO;
        let warmed_up_at = server.started_at(listed_start).map(|at| at + self.warm_up_time);
        self.warming.set(slot, warmed_up_at.filter(|at| is_open && has_warm_up && *at > self.checked_at));
        self.first_tries.set(slot, server.first_try_due_at.filter(|_| is_open));
    }

    /// Removes the servers whose warm-up has ended from the index of those that are warming up.
    pub(crate) fn remove_warmed_up(&mut self, now: Time) {
        self.checked_at = now;
        for slot in self.warming.due(now).collect::<Vec<_>>() {
            self.warming.set(slot, None);
        }
    }

    /// How many of the `open_servers` had warmed up at the last check.
    pub(crate) fn warmed_up_count(&self, open_servers: usize) -> usize {
        open_servers - self.warming.len()
    }

    /// When servers whose warm-up had ended were last removed from the index.
    #[cfg(test)]
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at
    }

    /// The number of servers that were warming up at the last check.
    #[cfg(test)]
    pub(crate) fn warming_count(&self) -> usize {
        self.warming.len()
    }

    /// The slots of all servers that have a first try scheduled.
    #[cfg(test)]
    pub(crate) fn all_first_tries(&self) -> Vec<usize> {
        self.first_tries.due(Time(u64::MAX)).collect()
    }
}

#[cfg(test)]
mod tests;
