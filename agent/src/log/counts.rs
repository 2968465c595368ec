//! The regular line on how the metrics have moved.

use super::left_out;
use crate::metrics::{Counts, EndCounts, Metrics, OUTCOMES};
use balancer::Outcome;
use std::fmt::Write;
use tokio::time::{Duration, Instant};

/// How often the counts are written.
pub(super) const COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Every outcome of an attempt, in the order in which the log names them.
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

/// When the counts were last due, and what they were.
pub struct CountsLog {
    last_due_at: Instant,
    last_counts: Counts,
}

impl CountsLog {
    /// A log that has written no counts.
    pub fn new(now: Instant) -> Self {
        CountsLog { last_due_at: now, last_counts: Counts::default() }
    }

    /// How the counts have moved since they were last due, if they are due again and any request has moved them.
    pub fn take_due(&mut self, now: Instant, metrics: &Metrics) -> Option<CountsDelta> {
        if now.saturating_duration_since(self.last_due_at) < COUNTS_INTERVAL {
            return None;
        }
        let counts = metrics.counts();
        let before = std::mem::replace(&mut self.last_counts, counts.clone());
        self.last_due_at = now;
        let has_moved = counts.arrived > before.arrived
            || counts.invalid > before.invalid
            || counts.outcomes != before.outcomes;
        has_moved.then_some(CountsDelta { counts, before })
    }
}

/// How the counts have moved between two lines.
pub struct CountsDelta {
    counts: Counts,
    before: Counts,
}

impl CountsDelta {
    /// Writes the line, with the number of open connections and the balancer's summary.
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
            "{summary}",
        );
    }

    /// The outcomes of attempts that have occurred, each with its number.
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
