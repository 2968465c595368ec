//! When to poll the endpoint list, and the backoff after failed polls.

use super::discovery_calls::{DiscoveryCalls, RECOVERY_TIME};
use crate::{CallTimes, Discovery, Settings, Span, Time};

/// The minimum backoff. It doubles on each failure, up to [`Settings::max_poll_interval`].
const MIN_BACKOFF: Span = Span(200_000);
/// All balancers poll one service, which is kept busy even by polls that it later abandons. They therefore spread one
/// poll each over a time that grows by this for each balancer.
const POLL_SPREAD_PER_BALANCER: Span = Span(40_000);
/// A backoff is multiplied by a random factor from this one to 1 more: by 0.5 to 1.5.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Schedules the polls of the endpoint list.
pub(crate) struct Polling {
    discovery: Discovery,
    max_interval: Span,
    balancers: u32,
    backoff: Span,
    poll_at: Option<Time>,
    /// When another call is opened beside one that is overdue, unless an answer comes before.
    reopen_at: Option<Time>,
    calls: DiscoveryCalls,
}

impl Polling {
    /// Creates a schedule without a poll.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut polling = Polling {
            discovery: settings.discovery,
            max_interval: settings.max_poll_interval,
            balancers: settings.balancers,
            backoff: MIN_BACKOFF,
            poll_at: None,
            reopen_at: None,
            calls: DiscoveryCalls::new(),
        };
        polling.backoff = polling.initial_backoff();
        polling
    }

    /// The first backoff after a success, over which all balancers together spread one poll each. A pushed list is
    /// local to the balancer and costs nothing to poll, so it has the minimum backoff.
    fn initial_backoff(&self) -> Span {
        let pollers = if self.discovery == Discovery::Pushed { 0 } else { self.balancers };
        let spread = POLL_SPREAD_PER_BALANCER * f64::from(pollers);
        spread.min(self.max_interval * 0.5).max(MIN_BACKOFF)
    }

    /// Records that the balancer has started; true if the list is to be polled at once. Most balancers start at the
    /// same time, at the beginning of a day or after a release that stopped them, so many balancers spread their first
    /// polls.
    pub(crate) fn start(&mut self, now: Time, rng: &mut fastrand::Rng) -> bool {
        if self.discovery != Discovery::Polled {
            return false;
        }
        let spread = self.initial_backoff();
        if spread == MIN_BACKOFF {
            return true;
        }
        self.poll_at = Some(now + spread * rng.f64());
        false
    }

    /// Schedules the next poll after a poll or the watch has failed.
    pub(crate) fn record_failure(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let growth_factor = if self.discovery == Discovery::Pushed { 1.0 } else { 2.0 };
        self.back_off(now, self.max_interval.min(self.max_backoff()), growth_factor, rng);
    }

    /// The longest backoff after a failed poll, before the jitter. Even with the largest jitter factor and the longest
    /// poll after it, the list is available again within [`RECOVERY_TIME`].
    fn max_backoff(&self) -> Span {
        RECOVERY_TIME.saturating_sub(self.calls.patience()) * (1.0 / (1.0 + MIN_JITTER_FACTOR))
    }

    /// Schedules the next poll after a response that cannot be used. An immediate retry would get the same response.
    pub(crate) fn record_unusable(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.back_off(now, self.max_interval, 2.0, rng);
    }

    fn back_off(&mut self, now: Time, max: Span, growth_factor: f64, rng: &mut fastrand::Rng) {
        let jitter_factor = MIN_JITTER_FACTOR + rng.f64();
        self.poll_at = Some(now + self.backoff.min(max) * jitter_factor);
        self.backoff = (self.backoff * growth_factor).min(max);
    }

    /// Schedules another call beside one that is overdue. Many balancers whose watches fall silent at the same time spread
    /// these calls over the time that the operators' limit leaves.
    pub(crate) fn record_overdue(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let spread = (self.backoff * (1.0 + MIN_JITTER_FACTOR)).min(self.calls.max_reopen_delay());
        self.calls.record_overdue();
        let reopen_at = now + spread * rng.f64();
        self.reopen_at = Some(self.reopen_at.map_or(reopen_at, |at| at.min(reopen_at)));
    }

    /// Records a complete answer to a call. `lateness` is how long its slowest step took beyond its wait, if that is known.
    pub(crate) fn record_answer(&mut self, lateness: Option<Span>) {
        self.reopen_at = None;
        self.calls.record_answer(lateness);
    }

    /// Forgets what was learned about an earlier address of discovery, and what was scheduled for it.
    pub(crate) fn change_address(&mut self) {
        self.backoff = self.initial_backoff();
        (self.poll_at, self.reopen_at) = (None, None);
        self.calls = DiscoveryCalls::new();
    }

    /// The times of a call that begins now.
    pub(crate) fn call_times(&self) -> CallTimes {
        self.calls.times()
    }

    /// Which of the open calls to abandon before another one is opened; see [`DiscoveryCalls::call_to_abandon`].
    pub(crate) fn call_to_abandon(&mut self, now: Time, begun: &[Time]) -> Option<usize> {
        self.calls.call_to_abandon(now, begun)
    }

    /// Resets the backoff after a usable list.
    pub(crate) fn record_success(&mut self) {
        self.backoff = self.initial_backoff();
    }

    /// Whether a poll is due. A poll that is due is removed from the schedule.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        let is_due = |at: &mut Option<Time>| at.take_if(|at| now >= *at).is_some();
        is_due(&mut self.poll_at) | is_due(&mut self.reopen_at)
    }
}
