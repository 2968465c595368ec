//! When the endpoint list is polled, and the backoff after failures.

use crate::{Discovery, Settings, Span, Time};

/// The shortest backoff, doubled on each failure up to [`Settings::max_poll_interval`].
const MIN_BACKOFF: Span = Span(200_000);
/// All balancers poll one service, which is kept busy by polls that it then gives up: they spread one poll each over this
/// much for each balancer.
const POLL_SPREAD_PER_BALANCER: Span = Span(40_000);
/// The operators' standing page: a balancer has the list again this long after discovery can be reached.
const MAX_RECOVERY_TIME: Span = Span(6_000_000);
/// How long a poll takes at most.
const MAX_POLL_DURATION: Span = Span(1_000_000);
/// A backoff is spread over half of it to one and a half of it.
const MIN_JITTER_FACTOR: f64 = 0.5;
/// The longest backoff after a failed poll, before the jitter: with it, and a poll, the recovery time is kept.
const MAX_BACKOFF: Span = Span((MAX_RECOVERY_TIME.0 - MAX_POLL_DURATION.0) * 2 / 3);

/// The polls of the endpoint list.
pub(crate) struct Polling {
    discovery: Discovery,
    max_interval: Span,
    balancers: u32,
    backoff: Span,
    poll_at: Option<Time>,
}

impl Polling {
    /// No poll is due.
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

    /// The time over which all balancers together spread one poll each. A list that is pushed lies beside the balancer:
    /// to poll it costs nobody anything.
    fn initial_backoff(&self) -> Span {
        let pollers = if self.discovery == Discovery::Pushed { 0 } else { self.balancers };
        let spread = POLL_SPREAD_PER_BALANCER * f64::from(pollers);
        spread.min(self.max_interval * 0.5).max(MIN_BACKOFF)
    }

    /// Takes in that the balancer has started; true if the list is to be polled at once. Most balancers start together,
    /// at the beginning of a day or after a release that ended them.
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

    /// Takes in that a poll or the watch has failed.
    pub(crate) fn record_failure(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let growth_factor = if self.discovery == Discovery::Pushed { 1.0 } else { 2.0 };
        self.back_off(now, self.max_interval.min(MAX_BACKOFF), growth_factor, rng);
    }

    /// Takes in that a poll had a response that cannot be used; an immediate retry would get the same.
    pub(crate) fn record_unusable(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.back_off(now, self.max_interval, 2.0, rng);
    }

    fn back_off(&mut self, now: Time, max: Span, growth_factor: f64, rng: &mut fastrand::Rng) {
        let jitter_factor = MIN_JITTER_FACTOR + rng.f64();
        self.poll_at = Some(now + self.backoff.min(max) * jitter_factor);
        self.backoff = (self.backoff * growth_factor).min(max);
    }

    /// Takes in a usable list.
    pub(crate) fn record_success(&mut self) {
        self.backoff = self.initial_backoff();
    }

    /// Whether a poll is due; it counts as made then.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        let is_due = self.poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.poll_at = None;
        }
        is_due
    }
}
