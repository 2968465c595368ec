//! The periodic line with the changes of the metrics.

use super::left_out;
use crate::metrics::{Counts, EndCounts, Metrics, OUTCOMES};
use balancer::Outcome;
use std::fmt::Write;
use tokio::time::{Duration, Instant};

/// Interval between two lines with the counts.
pub(super) const COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Every outcome of an attempt, in the order in which the log lists them.
const ALL_OUTCOMES: [Outcome; OUTCOMES] = [
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// When the counts were last due, and their values at that time.
pub struct CountsLog {
    last_due_at: Instant,
    last_counts: Counts,
}

impl CountsLog {
    /// Creates the state before the first line; its interval begins at `now`.
    pub fn new(now: Instant) -> Self {
        CountsLog { last_due_at: now, last_counts: Counts::default() }
    }

    /// Returns the changes of the counts since they were last due, if they are due again and in between a request has
    /// arrived or was invalid, an attempt has ended, or a connection was closed unread.
    pub fn take_due(&mut self, now: Instant, metrics: &Metrics) -> Option<CountsDelta> {
        if now.saturating_duration_since(self.last_due_at) < COUNTS_INTERVAL {
            return None;
        }
        let counts = metrics.counts();
        let before = std::mem::replace(&mut self.last_counts, counts.clone());
        self.last_due_at = now;
        let has_changed = counts.arrived > before.arrived
            || counts.invalid > before.invalid
            || counts.outcomes != before.outcomes
            || counts.closed_unused > before.closed_unused
            || counts.closed_unread > before.closed_unread
            || counts.broken_responses > before.broken_responses;
        has_changed.then_some(CountsDelta { counts, before })
    }
}

/// The changes of the counts between two times at which they were due.
pub struct CountsDelta {
    counts: Counts,
    before: Counts,
}

impl CountsDelta {
    /// Writes the line, with the number of open connections and the balancer's summary of its state.
    pub fn write(&self, connections: usize, summary: &str) {
        left_out::report(|left_out| self.write_line(left_out, connections, summary));
    }

    fn write_line(&self, left_out: u64, connections: usize, summary: &str) {
        let CountsDelta { counts, before } = self;
        let total = |kind: fn(&EndCounts) -> u64| counts.total(kind) - before.total(kind);
        let rejected = total(|ends| ends.rejected);
        let rejected_unsent = counts.rejected_unsent - before.rejected_unsent;
        let abandoned = counts.abandoned - before.abandoned;
        tracing::info!(
            target: "counts",
            arrived = counts.arrived - before.arrived,
            served = total(|ends| ends.served),
            refused_unsent = rejected_unsent,
            refused_tried = rejected - rejected_unsent,
            failed = total(|ends| ends.failed) - abandoned,
            gone = abandoned,
            turned_away = counts.invalid - before.invalid,
            sent_whole = counts.sends - before.sends,
            attempts = self.describe_outcomes(),
            left_out,
            connections,
            closed_unused = counts.closed_unused - before.closed_unused,
            closed_unread = counts.closed_unread - before.closed_unread,
            broken_off = counts.broken_responses - before.broken_responses,
            "{summary}",
        );
    }

    /// The outcomes of the attempts that ended in this interval, each with their number.
    fn describe_outcomes(&self) -> String {
        let mut text = String::new();
        for outcome in ALL_OUTCOMES {
            let attempts = self.counts.outcomes[outcome as usize] - self.before.outcomes[outcome as usize];
            if attempts > 0 {
                let separator = if text.is_empty() { "" } else { " " };
                // Writing to a string cannot fail.
                let _ = write!(text, "{separator}{outcome:?} {attempts}");
            }
        }
        text
    }
}
