//! Slow start: how much a server is sent while it is warming up.
//!
//! A server that has just started has only a part of its capacity and fails if it is sent much more. It is idle, so
//! every balancer prefers it, and the sum of them all would push it over. Each balancer therefore keeps within a budget
//! that follows from what it sends the servers that have warmed up, without a word between the balancers.
//!
//! The budget has two bounds. By a decaying sum, a server that is warming up gets its share of what each warmed-up server
//! was sent recently. A load that has ended, or has moved off the warmed-up servers, is remembered longer in such a sum
//! than the overload window that the settings name, so what the settings allow in just that window is a bound as well.

use crate::decaying_sum::DecayingSum;
use crate::due_times::DueTimes;
use crate::windowed_sum::WindowedSum;
use crate::{Settings, Span, Time};

/// A server that operators have restored is tried within this time, each balancer at a random moment of it: the first
/// requests of all balancers must not meet on a server that is warming up.
const FIRST_TRY_PERIOD: Span = Span(4_000_000);
/// About as many balancers make such a first try of a server, however many there are.
const FIRST_TRIES_PER_SERVER: f64 = 8.0;
/// The most due first tries that are looked at for a request.
const MAX_DUE_FIRST_TRIES: usize = FIRST_TRIES_PER_SERVER as usize;
/// With sparse traffic a server that is warming up is sent this fraction of the overload at which it fails.
const SPARSE_OVERLOAD_FRACTION: f64 = 0.5;
/// With sparse traffic a balancer may exceed its bound in the overload window by a request of mean work for so many
/// balancers, and by one at least: the more there are, the more evenly chance spreads what all of them send.
const BALANCERS_PER_SPARE_REQUEST: f64 = 10.0;
/// The time constant of the load that a server was sent, as a fraction of the overload window.
const LOAD_WINDOW_FRACTION: f64 = 0.5;

/// The budget of the servers that are warming up.
pub(crate) struct SlowStart {
    initial_capacity: f64,
    warm_up_time: Span,
    overload_factor: f64,
    overload_window: Span,
    load_window_ms: f64,
    balancers: u32,
    /// The open servers that were warming up at the last check, by when they have warmed up.
    warming: DueTimes,
    checked_at: Time,
    /// The average work that was sent to each warmed-up server.
    warm_sent: DecayingSum,
    /// The same in the overload window.
    warm_sent_in_window: WindowedSum,
    /// The open servers that are to be tried after operators have restored them, by when.
    first_tries: DueTimes,
}

/// The slow start of one server.
#[derive(Default)]
pub(crate) struct ServerSlowStart {
    restored_at: Option<Time>,
    first_try_by: Option<Time>,
    /// The work that it was sent while it was warming up.
    sent: DecayingSum,
    /// The same in the overload window; kept apart, as few servers are warming up.
    sent_in_window: Option<Box<WindowedSum>>,
}

impl ServerSlowStart {
    /// Its process has restarted: what was sent to the previous one no longer counts.
    pub(crate) fn restart(&mut self) {
        self.sent = DecayingSum::default();
        self.sent_in_window = None;
    }

    /// Operators have restored the server; it counts as started then.
    pub(crate) fn restore(&mut self, at: Time) {
        self.restored_at = Some(at);
    }

    /// When operators last restored the server.
    pub(crate) fn restored_at(&self) -> Option<Time> {
        self.restored_at
    }

    /// When the server last started, as far as that is known: by the endpoint list or by the operators.
    fn started_at(&self, listed: Option<Time>) -> Option<Time> {
        listed.max(self.restored_at)
    }

    /// The recent work that it was sent while it was warming up.
    pub(crate) fn sent(&self, now: Time) -> f64 {
        self.sent.value(now)
    }

    /// The work that it was sent in the overload window that ends now, at most.
    fn sent_in_window(&self, now: Time, window: Span) -> f64 {
        self.sent_in_window.as_ref().map_or(0.0, |sum| sum.upper_bound(now, window))
    }

    fn add_to_window(&mut self, now: Time, window: Span, work: f64) {
        self.sent_in_window.get_or_insert_default().add(now, window, work);
    }

    /// Whether it has yet to be tried after operators have restored it.
    #[cfg(test)]
    pub(crate) fn has_first_try(&self) -> bool {
        self.first_try_by.is_some()
    }

    fn is_first_try_due(&self, now: Time) -> bool {
        self.first_try_by.is_some_and(|by| now >= by)
    }
}

impl SlowStart {
    /// The slow start that the settings describe.
    pub(crate) fn new(settings: &Settings) -> Self {
        SlowStart {
            initial_capacity: settings.initial_capacity,
            warm_up_time: settings.warm_up_time,
            overload_factor: settings.overload_factor,
            overload_window: settings.overload_window,
            load_window_ms: LOAD_WINDOW_FRACTION * settings.overload_window.as_ms(),
            balancers: settings.balancers,
            warming: DueTimes::default(),
            checked_at: Time(0),
            warm_sent: DecayingSum::default(),
            warm_sent_in_window: WindowedSum::default(),
            first_tries: DueTimes::default(),
        }
    }

    /// The fraction of its capacity that a server has for certain; `listed_start` is what the endpoint list says.
    pub(crate) fn factor(&self, server: &ServerSlowStart, listed_start: Option<Time>, now: Time) -> f64 {
        let Some(started_at) = server.started_at(listed_start) else { return 1.0 };
        let (age, warm_up_time) = (now.since(started_at).as_ms(), self.warm_up_time.as_ms());
        if age >= warm_up_time {
            return 1.0;
        }
        let initial = self.initial_capacity.min(1.0);
        initial + (1.0 - initial) * age / warm_up_time
    }

    /// Whether the budget of a server with this `factor` leaves the work of one more request. A server gets its
    /// factor's share of what each warmed-up server was sent recently, and no more in the overload window than the
    /// settings allow; a first try that is due is always made.
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

    /// The same with sparse traffic, where the own attempts are too few to show a server's share: that is kept by chance
    /// ([`SlowStart::accepts_candidate`]). Chance is not even for few balancers, so what the settings allow in the overload window
    /// binds as well, with some requests of mean work to spare.
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

    /// Whether a budget binds a server: it is warming up, there are warmed-up servers to go by, and no first try is due.
    fn is_budgeted(&self, now: Time, server: &ServerSlowStart, factor: f64, open_servers: usize) -> bool {
        factor < 1.0 && self.warm_count(open_servers) > 0 && !server.is_first_try_due(now)
    }

    /// The work that a server with this `factor` may be sent in the overload window, next to what the warmed-up servers
    /// were sent there.
    fn allowed_in_window(&self, now: Time, factor: f64) -> f64 {
        let warm_sent = self.warm_sent_in_window.lower_bound(now, self.overload_window);
        self.overload_factor.max(1.0) * factor * warm_sent
    }

    /// Whether a server that was drawn at random stays a candidate, with sparse traffic: so often that all balancers
    /// together send it its factor's share, and more by half of the overload that it takes, as most servers are warmer
    /// than is certain. A candidate that wins the pick because it is idle stays once for all those that it wins over.
    pub(crate) fn accepts_candidate(&self, factor: f64, outranked: usize, rng: &mut fastrand::Rng) -> bool {
        let overload_multiple = (SPARSE_OVERLOAD_FRACTION * self.overload_factor).max(1.0);
        factor >= 1.0 || rng.f64() * (outranked as f64) < overload_multiple * factor
    }

    /// Records the work of a request that a server with this `factor` is sent.
    pub(crate) fn record_send(
        &mut self,
        now: Time,
        server: &mut ServerSlowStart,
        factor: f64,
        open_servers: usize,
        work: f64,
    ) {
        if factor < 1.0 {
            server.sent.add(now, self.load_window_ms, work);
            server.add_to_window(now, self.overload_window, work);
        } else {
            let share = work / self.warm_count(open_servers).max(1) as f64;
            self.warm_sent.add(now, self.load_window_ms, share);
            self.warm_sent_in_window.add(now, self.overload_window, share);
            server.sent_in_window = None;
        }
        server.first_try_by = None;
    }

    /// Adds the work that warmed-up servers were sent according to a snapshot.
    pub(crate) fn restore_warm_sent(&mut self, now: Time, work: f64) {
        self.warm_sent.add(now, self.load_window_ms, work);
        self.warm_sent_in_window.add(now, self.overload_window, work);
    }

    /// Adds the work that a server was sent according to a snapshot.
    pub(crate) fn restore_sent(&self, now: Time, server: &mut ServerSlowStart, work: f64) {
        server.sent.add(now, self.load_window_ms, work);
        server.add_to_window(now, self.overload_window, work);
    }

    /// The recent average work that was sent to each warmed-up server.
    pub(crate) fn warm_sent(&self, now: Time) -> f64 {
        self.warm_sent.value(now)
    }

    /// Draws whether, and by when, this balancer makes a first try of a server that operators have restored.
    pub(crate) fn schedule_first_try(&self, server: &mut ServerSlowStart, at: Time, rng: &mut fastrand::Rng) {
        let probability = FIRST_TRIES_PER_SERVER / f64::from(self.balancers.max(1));
        let by = at + FIRST_TRY_PERIOD * rng.f64();
        if rng.f64() < probability {
            server.first_try_by = Some(by);
        }
    }

    /// The servers whose first try is due.
    pub(crate) fn due_first_tries(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.first_tries.due(now).take(MAX_DUE_FIRST_TRIES)
    }

    /// Updates the indexes after a change of a server.
    pub(crate) fn index(
        &mut self,
        slot: usize,
        server: &ServerSlowStart,
        listed_start: Option<Time>,
        is_open: bool,
    ) {
        let has_warm_up = self.initial_capacity < 1.0 && self.warm_up_time > Span::ZERO;
        let warm_at = server.started_at(listed_start).map(|at| at + self.warm_up_time);
        self.warming.set(slot, warm_at.filter(|at| is_open && has_warm_up && *at > self.checked_at));
        self.first_tries.set(slot, server.first_try_by.filter(|_| is_open));
    }

    /// Removes the servers that have warmed up by now from those that are warming up.
    pub(crate) fn check(&mut self, now: Time) {
        self.checked_at = now;
        for slot in self.warming.due(now).collect::<Vec<_>>() {
            self.warming.set(slot, None);
        }
    }

    /// Of so many open servers those that had warmed up at the last check.
    pub(crate) fn warm_count(&self, open_servers: usize) -> usize {
        open_servers - self.warming.len()
    }

    /// When the servers were last checked.
    #[cfg(test)]
    pub(crate) fn checked_at(&self) -> Time {
        self.checked_at
    }

    /// The number of servers that were warming up at the last check.
    #[cfg(test)]
    pub(crate) fn warming_count(&self) -> usize {
        self.warming.len()
    }

    /// All servers that are to be tried after operators have restored them.
    #[cfg(test)]
    pub(crate) fn all_first_tries(&self) -> Vec<usize> {
        self.first_tries.due(Time(u64::MAX)).collect()
    }
}

#[cfg(test)]
mod tests;
