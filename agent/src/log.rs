//! What the agent writes of its service: a line for a request that did not go well, and a count of everything
//! every few seconds. Both are bounded, so that a bad day cannot drown the log or the core in them.

use hyper::StatusCode;
use micasail::{Outcome, Span};
use std::fmt::{self, Write};
use tokio::time::{Duration, Instant};

/// Lines on single requests within a second; the rest are only counted.
const LINES_MOST: u32 = 20;
/// How often the counts are written.
const PERIOD: Duration = Duration::from_secs(5);
const OUTCOMES: usize = 8;

/// Writes one line to the log, whole or not at all, since standard error takes each part of a format as it comes
/// and a reader would see half of a line. A log that nobody takes must not end the agent.
macro_rules! log_line {
    ($($text:tt)*) => {{
        use std::io::Write as _;
        let _ = std::io::stderr().write_all(format!("{}\n", format_args!($($text)*)).as_bytes());
    }};
}
pub(crate) use log_line;

/// An attempt that served nothing, kept while its request is open.
pub struct Tried {
    /// The server's name in the list.
    pub server: String,
    /// How it ended.
    pub outcome: Outcome,
    /// The backend's status, if it came to one.
    pub status: Option<StatusCode>,
    /// How long its connection had stood idle before, if it was used again.
    pub idled: Option<Duration>,
    /// What was wrong with its connection or its answer.
    pub why: Option<String>,
    /// How long it was out, connecting included.
    pub took: Span,
}

/// How a request ended.
#[derive(Clone, Copy)]
pub enum End {
    /// With a backend's answer.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client left, or its time ran out undecided.
    Gone,
}

/// The counts since the last line, and the room for lines in the present second.
pub struct Log {
    since: Instant,
    second: Instant,
    lines: u32,
    unwritten: u64,
    arrived: u64,
    served: u64,
    refused_unsent: u64,
    refused_tried: u64,
    failed: u64,
    gone: u64,
    outcomes: [u64; OUTCOMES],
}

impl Log {
    /// Has counted nothing yet.
    pub fn new(now: Instant) -> Self {
        Log {
            since: now,
            second: now,
            lines: 0,
            unwritten: 0,
            arrived: 0,
            served: 0,
            refused_unsent: 0,
            refused_tried: 0,
            failed: 0,
            gone: 0,
            outcomes: [0; OUTCOMES],
        }
    }

    /// A request has come.
    pub fn arrived(&mut self) {
        self.arrived += 1;
    }

    /// An attempt has ended.
    pub fn attempt(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize % OUTCOMES] += 1;
    }

    /// A request has ended after `sends` attempts.
    pub fn ended(&mut self, end: End, sends: u32) {
        let count = match end {
            End::Served => &mut self.served,
            End::Refused if sends == 0 => &mut self.refused_unsent,
            End::Refused => &mut self.refused_tried,
            End::Failed => &mut self.failed,
            End::Gone => &mut self.gone,
        };
        *count += 1;
    }

    /// Whether one more line fits into the present second.
    pub fn room(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second) >= Duration::from_secs(1) {
            (self.second, self.lines) = (now, 0);
        }
        self.lines += 1;
        if self.lines > LINES_MOST {
            self.unwritten += 1;
        }
        self.lines <= LINES_MOST
    }

    /// The counts as one line, once it is time for them and there is something to tell.
    pub fn counts(&mut self, now: Instant) -> Option<String> {
        if now.saturating_duration_since(self.since) < PERIOD {
            return None;
        }
        let counted = std::mem::replace(self, Log::new(now));
        let some = counted.arrived > 0 || counted.outcomes.iter().any(|n| *n > 0);
        some.then(|| counted.to_string())
    }
}

impl fmt::Display for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "arrived {} served {}", self.arrived, self.served)?;
        write!(f, " refused unsent {} tried {}", self.refused_unsent, self.refused_tried)?;
        write!(f, " failed {} gone {}; attempts", self.failed, self.gone)?;
        const NAMES: [Outcome; OUTCOMES] = [
            Outcome::Success,
            Outcome::ServerError,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::ConnectionReset,
            Outcome::Cancelled,
            Outcome::NotSent,
        ];
        for outcome in NAMES {
            let n = self.outcomes[outcome as usize];
            if n > 0 {
                write!(f, " {outcome:?} {n}")?;
            }
        }
        write!(f, "; lines left out {}", self.unwritten)
    }
}

/// The attempts of a request in one short text.
pub fn attempts(tried: &[Tried]) -> String {
    let mut text = String::new();
    for Tried { server, outcome, status, idled, why, took } in tried {
        let why = why.as_deref().unwrap_or_default();
        let idled = idled.map_or("fresh".into(), |idled| format!("idle {:.0}", idled.as_secs_f64() * 1e3));
        let status = status.as_ref().map_or("-", StatusCode::as_str);
        // Writing to a string cannot fail.
        let _ = write!(text, " [{server} {outcome:?} {status} {idled} {:.1} ms {why}]", took.ms());
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_bounded_within_a_second_and_what_is_left_out_is_counted() {
        let start = Instant::now();
        let mut log = Log::new(start);
        let written = (0..50).filter(|_| log.room(start)).count();
        (0..50).for_each(|_| log.ended(End::Refused, 0));
        assert_eq!(written, LINES_MOST as usize);
        assert!(log.room(start + Duration::from_secs(1)));
        log.ended(End::Failed, 1);
        log.ended(End::Served, 1);
        log.arrived();
        log.attempt(Outcome::Rejected);
        assert_eq!(log.counts(start), None);
        let line = log.counts(start + PERIOD).expect("a line");
        assert_eq!(
            line,
            "arrived 1 served 1 refused unsent 50 tried 0 failed 1 gone 0; attempts Rejected 1; lines left out 30"
        );
        assert_eq!(log.counts(start + 2 * PERIOD), None);
    }
}
