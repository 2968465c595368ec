//! How long a process has after SIGTERM, by the deadlines of its requests.

use crate::downstream::server::SIGTERM_ACCEPT_PERIOD;
use balancer::Settings;
use std::time::Duration;
use tokio::time::Instant;

/// SIGKILL may follow SIGTERM after this and the shortest deadline of the deployment.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longer deadline counts as this for that (the protocol page).
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process may be delayed for so long between a reading of its clock and the write that depends on it.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// Bodies in transfer at a planned end get so long past the last deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Answers that are decided are written within this.
pub const FLUSH_TIME: Duration = Duration::from_millis(30);

/// The spans of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTimes {
    shortest_deadline: Duration,
    longest_deadline: Duration,
}

impl ShutdownTimes {
    /// By the deadlines of the classes.
    pub fn new(settings: &Settings) -> Self {
        let deadlines = || settings.classes.iter().map(|class| Duration::from_micros(class.deadline.0));
        ShutdownTimes {
            shortest_deadline: deadlines().min().unwrap_or_default(),
            longest_deadline: deadlines().max().unwrap_or_default(),
        }
    }

    /// When each request has its answer after a SIGTERM: before the process may be killed, which would lose it.
    pub fn answer_by(&self, terminated_at: Instant) -> Instant {
        let counted_deadline = self.shortest_deadline.min(MAX_COUNTED_DEADLINE);
        terminated_at + (KILL_DELAY + counted_deadline - MAX_SCHEDULING_DELAY - FLUSH_TIME)
    }

    /// When bodies that are still in transfer are cut, as they may never end.
    pub fn give_up_at(&self, terminated_at: Instant) -> Instant {
        terminated_at + SIGTERM_ACCEPT_PERIOD + self.longest_deadline + BODY_TIMEOUT
    }
}
