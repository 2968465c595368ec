//! The time limits of a shutdown after SIGTERM, which depend on the deadlines of the request classes.

use crate::downstream::server::SIGTERM_ACCEPT_PERIOD;
use balancer::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// SIGKILL may follow SIGTERM after this time plus the shortest deadline of the deployment.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A shortest deadline that is longer than this counts as this long when SIGKILL is due (the protocol page).
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Longest delay of the process that is allowed for, between reading the clock and the write that depends on it.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// How long responses in transfer may continue after the longest deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a response is written once it is decided.
pub const FLUSH_TIME: Duration = Duration::from_millis(30);

/// Computes the time limits of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTimes {
    shortest_deadline: Duration,
    longest_deadline: Duration,
}

impl ShutdownTimes {
    /// Uses the deadlines of the classes in `settings`.
    pub fn new(settings: &Settings) -> Self {
        let deadlines = || settings.classes.iter().map(|class| Duration::from_micros(class.deadline.0));
        ShutdownTimes {
            shortest_deadline: deadlines().min().unwrap_or_default(),
            longest_deadline: deadlines().max().unwrap_or_default(),
        }
    }

    /// Time by which every request is answered: the process may be killed after it, which would lose the response.
    pub fn answer_by(&self, terminated_at: Instant) -> Instant {
        let counted_deadline = self.shortest_deadline.min(MAX_COUNTED_DEADLINE);
        terminated_at + (KILL_DELAY + counted_deadline - MAX_SCHEDULING_DELAY - FLUSH_TIME)
    }

    /// Time at which responses still in transfer are cut off, as they may never end.
    pub fn give_up_at(&self, terminated_at: Instant) -> Instant {
        terminated_at + SIGTERM_ACCEPT_PERIOD + self.longest_deadline + BODY_TIMEOUT
    }
}
