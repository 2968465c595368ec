//! When to poll the endpoint list, and the backoff after failed polls.

use crate::{Discovery, Settings, Span, Time};

/// The minimum backoff. It doubles on each failure, up to [`Settings::max_poll_interval`].
const MIN_BACKOFF: Span = Span(200_000);
/// All balancers poll one service, which is kept busy even by polls that it later abandons. They therefore spread one
/// poll each over a time that grows by this for each balancer.
const POLL_SPREAD_PER_BALANCER: Span = Span(40_000);
/// The operators require that a balancer has the list again within this time after discovery becomes reachable.
const MAX_RECOVERY_TIME: Span = Span(6_000_000);
/// The longest time that a poll takes.
const MAX_POLL_DURATION: Span = Span(1_000_000);
/// A backoff is multiplied by a random factor from this one to 1 more: by 0.5 to 1.5.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// The longest backoff after a failed poll, before the jitter. Even with the largest jitter factor and the longest poll
/// after it, the list is available again within [`MAX_RECOVERY_TIME`].
const MAX_BACKOFF: Span = Span((MAX_RECOVERY_TIME.0 - MAX_POLL_DURATION.0) * 2 / 3);

/// Schedules the polls of the endpoint list.
pub(crate) struct Polling {
    discovery: Discovery,
    max_interval: Span,
    balancers: u32,
    backoff: Span,
    poll_at: Option<Time>,
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
        self.back_off(now, self.max_interval.min(MAX_BACKOFF), growth_factor, rng);
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

    /// Resets the backoff after a usable list.
    pub(crate) fn record_success(&mut self) {
        self.backoff = self.initial_backoff();
    }

    /// Whether a poll is due. A poll that is due is removed from the schedule.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        let is_due = self.poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.poll_at = None;
        }
        is_due
    }
}
