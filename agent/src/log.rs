//! What the agent writes of its service: a line for a request that did not go well, and a count of everything
//! every few seconds. Both are bounded, so that a bad day cannot drown the log or the core in them.

use crate::figures::{Counts, Ends, Figures, OUTCOMES};
use hyper::StatusCode;
use micasail::{Outcome, Span};
use std::fmt::Write;
use tokio::time::{Duration, Instant};

/// Lines on single requests within a second; the rest are only counted.
const LINES_MOST: u32 = 20;
/// How often the counts are written.
const PERIOD: Duration = Duration::from_secs(5);

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

/// The figures at the last line, and the room for lines in the present second.
pub struct Log {
    since: Instant,
    second: Instant,
    lines: u32,
    unwritten: u64,
    before: Counts,
}

impl Log {
    /// Has written nothing yet.
    pub fn new(now: Instant) -> Self {
        Log { since: now, second: now, lines: 0, unwritten: 0, before: Counts::default() }
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

    /// How the figures have moved since the last line, once it is time for that and there is something to tell.
    pub fn counts(&mut self, now: Instant, figures: &Figures) -> Option<String> {
        if now.saturating_duration_since(self.since) < PERIOD {
            return None;
        }
        let counts = figures.now();
        let before = std::mem::replace(&mut self.before, counts.clone());
        let unwritten = std::mem::take(&mut self.unwritten);
        self.since = now;
        let some = counts.taken > before.taken || counts.outcomes != before.outcomes;
        some.then(|| moved(&counts, &before, unwritten))
    }
}

fn moved(counts: &Counts, before: &Counts, unwritten: u64) -> String {
    let total = |kind: fn(&Ends) -> u64| counts.total(kind) - before.total(kind);
    let (refused, unsent) = (total(|e| e.refused), counts.refused_unsent - before.refused_unsent);
    let gone = counts.gone - before.gone;
    let mut text = format!(
        "arrived {} served {} refused unsent {unsent} tried {} failed {} gone {gone}; sent whole {}; attempts",
        counts.taken - before.taken,
        total(|e| e.served),
        refused - unsent,
        total(|e| e.failed) - gone,
        counts.sends - before.sends,
    );
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
    // Writing to a string cannot fail.
    for outcome in NAMES {
        let n = counts.outcomes[outcome as usize] - before.outcomes[outcome as usize];
        if n > 0 {
            let _ = write!(text, " {outcome:?} {n}");
        }
    }
    let _ = write!(text, "; lines left out {unwritten}");
    text
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
    use crate::figures::End;

    #[test]
    fn lines_are_bounded_within_a_second_and_what_is_left_out_is_counted() {
        let start = Instant::now();
        let mut log = Log::new(start);
        let written = (0..50).filter(|_| log.room(start)).count();
        let figures = Figures::new(1);
        (0..50).for_each(|_| figures.take(0).end(End::Refused));
        assert_eq!(written, LINES_MOST as usize);
        assert!(log.room(start + Duration::from_secs(1)));
        figures.take(0).end(End::Failed);
        figures.take(0).end(End::Served);
        drop(figures.take(0));
        figures.attempt(Outcome::Rejected);
        figures.sent();
        assert_eq!(log.counts(start, &figures), None);
        let line = log.counts(start + PERIOD, &figures).expect("a line");
        assert_eq!(
            line,
            "arrived 53 served 1 refused unsent 50 tried 0 failed 1 gone 1; sent whole 1; attempts Rejected 1; \
             lines left out 30"
        );
        assert_eq!(log.counts(start + 2 * PERIOD, &figures), None);
    }
}
