//! Lines on requests that did not go well: how many may be written, and what they say of the attempts.

use super::left_out;
use balancer::{Outcome, Span};
use hyper::StatusCode;
use std::fmt::Write;
use tokio::time::{Duration, Instant};

/// Lines on single requests within a second; the rest are only counted.
pub(super) const MAX_REQUEST_LINES_PER_SECOND: u32 = 20;

/// An attempt without a served answer, kept until its request ends.
pub struct FailedAttempt {
    /// The server's name on the endpoint list.
    pub server: String,
    /// Its zone.
    pub zone: String,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The status of the server's answer, if there was one.
    pub status: Option<StatusCode>,
    /// How long its connection had been idle before, if it was a kept one.
    pub connection_idle: Option<Duration>,
    /// What was wrong with its connection or its answer.
    pub error: Option<String>,
    /// How long it was in flight, connecting included.
    pub elapsed: Span,
}

/// Limits the lines on requests to a number a second.
pub struct RequestLineLimit {
    second_began_at: Instant,
    lines: u32,
}

impl RequestLineLimit {
    /// A limit that has seen no line.
    pub fn new(now: Instant) -> Self {
        RequestLineLimit { second_began_at: now, lines: 0 }
    }

    /// Counts a line on a request; whether it is within the limit of this second.
    pub fn admit_line(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second_began_at) >= Duration::from_secs(1) {
            self.second_began_at = now;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        let is_admitted = self.lines <= MAX_REQUEST_LINES_PER_SECOND;
        if !is_admitted {
            left_out::count_line();
        }
        is_admitted
    }
}

/// The failed attempts at a request in one short text.
pub fn describe_attempts(attempts: &[FailedAttempt]) -> String {
    let mut text = String::new();
    for attempt in attempts {
        let separator = if text.is_empty() { "" } else { " " };
        let FailedAttempt { server, outcome, .. } = attempt;
        let status = attempt.status.as_ref().map_or("-", StatusCode::as_str);
        let connection = attempt
            .connection_idle
            .map_or("fresh".into(), |idle| format!("idle {:.0}", idle.as_secs_f64() * 1e3));
        let elapsed_ms = attempt.elapsed.as_ms();
        let error = attempt.error.as_deref().unwrap_or_default();
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{separator}[{server} {outcome:?} {status} {connection} {elapsed_ms:.1} ms {error}]"
        );
    }
    text
}
