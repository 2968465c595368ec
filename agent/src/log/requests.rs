//! Lines about requests that did not succeed: their rate limit, and the description of the attempts.

use super::left_out;
use balancer::{Outcome, Span};
use hyper::StatusCode;
use std::fmt::Write;
use tokio::time::{Duration, Instant};

/// Maximum number of lines about single requests within a second; the others are left out and counted.
pub(super) const MAX_REQUEST_LINES_PER_SECOND: u32 = 20;

/// An attempt that did not serve its request, kept until the request ends.
pub struct FailedAttempt {
    /// Name of the server on the endpoint list.
    pub server: String,
    /// Zone of the server.
    pub zone: String,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Status code of the server's response, if there was one.
    pub status: Option<StatusCode>,
    /// How long its connection had been idle; `None` for a new connection.
    pub connection_idle: Option<Duration>,
    /// Error of its connection or its response, if there was one.
    pub error: Option<String>,
    /// Time that it was in flight, including the time to connect.
    pub elapsed: Span,
}

/// Limits the number of lines about single requests per second.
pub struct RequestLineLimit {
    second_started_at: Instant,
    lines: u32,
}

impl RequestLineLimit {
    /// Creates a limit whose first second begins at `now`.
    pub fn new(now: Instant) -> Self {
        RequestLineLimit { second_started_at: now, lines: 0 }
    }

    /// Counts a line about a request, and returns whether it is within the limit of the current second.
    pub fn admit_line(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second_started_at) >= Duration::from_secs(1) {
            self.second_started_at = now;
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

/// Describes the failed attempts of a request in one line.
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
