//! What the agent writes of its service: a line for a request that did not go well, and a count of everything
//! every few seconds. Both are bounded, so that a bad day cannot drown the log or the core in them.
//!
//! Lines go to standard error through a thread of their own. Where nobody reads them they are dropped and counted, and
//! no request waits. The way not taken is `tracing-appender`: it waits over a second for a reader at the end of the
//! process and says so on standard output.

use crate::metrics::{Counts, Ends, Metrics, OUTCOMES};
use balancer::{Outcome, Span};
use hyper::StatusCode;
use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use thiserror::Error;
use tokio::time::{Duration, Instant};
use tracing::subscriber::SetGlobalDefaultError;
use tracing::Event;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{Layer, Registry};

/// Lines on single requests within a second; the rest are only counted.
const LINES_MOST: u32 = 20;
/// Lines of all kinds within a second; those of a start with many renderers are no more.
const ALL_MOST: u32 = 200;
/// Lines that wait for a slow reader; more are dropped.
const WAITING_MOST: usize = 1024;
/// How long the end of the process waits for its last lines to be taken.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Pause of the log's thread before it tries again where its reader has no room.
const FULL_PAUSE: Duration = Duration::from_millis(5);
/// How often the counts are written.
const PERIOD: Duration = Duration::from_secs(5);

/// Why the log cannot be written.
#[derive(Debug, Error)]
pub enum LogError {
    /// `PROXY_LOG` names no format.
    #[error("PROXY_LOG is {value:?}; text or json was expected")]
    InvalidFormat {
        /// Its value.
        value: String,
    },
    /// `PROXY_LOG_FILTER` is no filter.
    #[error(
        "PROXY_LOG_FILTER is {value:?}; a level or TARGET=LEVEL, with commas between, was expected: {source}"
    )]
    InvalidFilter {
        /// Its value.
        value: String,
        /// Why it cannot be parsed.
        source: ParseError,
    },
    /// The thread that writes cannot be started.
    #[error("cannot start the log's thread: {0}")]
    Thread(#[source] io::Error),
    /// The process writes a log already.
    #[error("cannot start the log: {0}")]
    AlreadyStarted(#[from] SetGlobalDefaultError),
}

/// How the log is written.
#[derive(Debug, Clone)]
pub struct Form {
    json: bool,
    filter: Targets,
}

impl Form {
    /// By `PROXY_LOG` and `PROXY_LOG_FILTER`.
    pub fn read(var: impl Fn(&str) -> Option<String>) -> Result<Self, LogError> {
        let text = |name: &str| var(name).filter(|text| !text.is_empty());
        let json = match text("PROXY_LOG").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(LogError::InvalidFormat { value: other.to_owned() }),
        };
        let filter = text("PROXY_LOG_FILTER").unwrap_or_else(|| "info".into());
        match filter.parse() {
            Ok(filter) => Ok(Form { json, filter }),
            Err(source) => Err(LogError::InvalidFilter { value: filter, source }),
        }
    }

    /// Whoever takes the events of this process and writes them there.
    fn subscriber<W>(&self, writer: W, bound: Bound) -> Box<dyn tracing::Subscriber + Send + Sync>
    where
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
        let bounded = Registry::default().with(self.filter.clone()).with(bound);
        if self.json {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            Box::new(bounded.with(lines))
        } else {
            Box::new(bounded.with(lines))
        }
    }

    /// Writes all events of this process to standard error from now on, until the answer is dropped.
    pub fn start(&self) -> Result<Written, LogError> {
        let (queue, lines) = sync_channel::<Line>(WAITING_MOST);
        let taker = std::thread::Builder::new().name("log".into()).spawn(move || {
            for line in lines {
                match line {
                    // A log that nobody takes must not end the agent.
                    Line::Text(text) if write_whole(&mut io::stderr(), &text).is_err() => {
                        LEFT_OUT.fetch_add(1, Relaxed);
                    }
                    Line::Text(_) => {}
                    Line::Last(told) => drop(told.send(())),
                }
            }
        });
        taker.map_err(LogError::Thread)?;
        let subscriber = self.subscriber(Lines(queue.clone()), Bound::new());
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(Written(queue))
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, {}", if self.json { "json" } else { "text" }, self.filter)
    }
}

/// Writes a line whole. Whoever shares the descriptor may have made it one that does not wait: then this does.
fn write_whole(to: &mut impl Write, mut text: &[u8]) -> io::Result<()> {
    while !text.is_empty() {
        match to.write(text) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => text = &text[written..],
            Err(why) if why.kind() == io::ErrorKind::WouldBlock => std::thread::sleep(FULL_PAUSE),
            Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
            Err(why) => return Err(why),
        }
    }
    Ok(())
}

enum Line {
    Text(Vec<u8>),
    Last(SyncSender<()>),
}

/// The log of a process; at its end the last lines are written, if somebody takes them.
pub struct Written(SyncSender<Line>);

impl Drop for Written {
    fn drop(&mut self) {
        tell_left_out(|left_out| {
            if left_out > 0 {
                tracing::info!(target: "counts", left_out, "the log ends");
            }
        });
        let (tell, told) = sync_channel(1);
        // With no room nobody reads, and nobody is waited for.
        if self.0.try_send(Line::Last(tell)).is_ok() {
            let _ = told.recv_timeout(LAST_WORDS);
        }
    }
}

/// Lines that were left out of the log for the bound, or because nobody took them.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Whether the last line was taken by the log's thread.
static LAST_TAKEN: AtomicBool = AtomicBool::new(false);

/// Has a line written that tells how many were left out since the last such line. If that line is not taken either,
/// they are told with the next one.
fn tell_left_out(write: impl FnOnce(u64)) {
    let left_out = LEFT_OUT.swap(0, Relaxed);
    LAST_TAKEN.store(false, Relaxed);
    write(left_out);
    if !LAST_TAKEN.load(Relaxed) {
        LEFT_OUT.fetch_add(left_out, Relaxed);
    }
}

/// The way to the log's thread. Each line is written whole or not at all.
#[derive(Clone)]
struct Lines(SyncSender<Line>);

impl Write for Lines {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let taken = self.0.try_send(Line::Text(text.to_vec())).is_ok();
        LAST_TAKEN.store(taken, Relaxed);
        if !taken {
            LEFT_OUT.fetch_add(1, Relaxed);
        }
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

/// Lets a bounded number of lines through each second; the counts are always among them. A layer, and no filter of
/// one: that one takes part in no later event once it has said no (tracing-subscriber 0.3.23).
#[derive(Clone)]
struct Bound(Arc<(Instant, AtomicU64, AtomicU32)>);

impl Bound {
    fn new() -> Self {
        Bound(Arc::new((Instant::now(), AtomicU64::new(0), AtomicU32::new(0))))
    }
}

impl<S: tracing::Subscriber> Layer<S> for Bound {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == "counts" {
            return true;
        }
        let (start, second, lines) = &*self.0;
        let now = start.elapsed().as_secs();
        if second.swap(now, Relaxed) != now {
            lines.store(0, Relaxed);
        }
        let room = lines.fetch_add(1, Relaxed) < ALL_MOST;
        if !room {
            LEFT_OUT.fetch_add(1, Relaxed);
        }
        room
    }
}

/// An attempt that served nothing, kept while its request is open.
pub struct Tried {
    /// The server's name in the list.
    pub server: String,
    /// Its zone.
    pub zone: String,
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

/// The figures at the last line, and the room for lines on requests in the present second.
pub struct Log {
    since: Instant,
    second: Instant,
    lines: u32,
    before: Counts,
}

impl Log {
    /// Has written nothing yet.
    pub fn new(now: Instant) -> Self {
        Log { since: now, second: now, lines: 0, before: Counts::default() }
    }

    /// Whether one more line on a request fits into the present second.
    pub fn has_capacity(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.second) >= Duration::from_secs(1) {
            (self.second, self.lines) = (now, 0);
        }
        self.lines = self.lines.saturating_add(1);
        if self.lines > LINES_MOST {
            LEFT_OUT.fetch_add(1, Relaxed);
        }
        self.lines <= LINES_MOST
    }

    /// How the figures have moved since the last line, once it is time for that and there is something to tell.
    pub fn counts(&mut self, now: Instant, metrics: &Metrics) -> Option<Moved> {
        if now.saturating_duration_since(self.since) < PERIOD {
            return None;
        }
        let counts = metrics.now();
        let before = std::mem::replace(&mut self.before, counts.clone());
        self.since = now;
        let some =
            counts.taken > before.taken || counts.bad > before.bad || counts.outcomes != before.outcomes;
        some.then_some(Moved { counts, before })
    }
}

/// How the figures have moved.
pub struct Moved {
    counts: Counts,
    before: Counts,
}

impl Moved {
    /// Writes it, with the connections that are held and the state behind the decisions.
    pub fn write(&self, connections: usize, state: &str) {
        tell_left_out(|left_out| self.write_with(left_out, connections, state));
    }

    fn write_with(&self, left_out: u64, connections: usize, state: &str) {
        let Moved { counts, before } = self;
        let total = |kind: fn(&Ends) -> u64| counts.total(kind) - before.total(kind);
        let (refused, unsent) = (total(|e| e.refused), counts.refused_unsent - before.refused_unsent);
        let gone = counts.gone - before.gone;
        tracing::info!(
            target: "counts",
            arrived = counts.taken - before.taken,
            served = total(|e| e.served),
            refused_unsent = unsent,
            refused_tried = refused - unsent,
            failed = total(|e| e.failed) - gone,
            gone,
            turned_away = counts.bad - before.bad,
            sent_whole = counts.sends - before.sends,
            attempts = self.attempts(),
            left_out,
            connections,
            "{state}",
        );
    }

    fn attempts(&self) -> String {
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
        let mut text = String::new();
        for outcome in NAMES {
            let n = self.counts.outcomes[outcome as usize] - self.before.outcomes[outcome as usize];
            if n > 0 {
                // Writing to a string cannot fail.
                let _ = write!(text, "{}{outcome:?} {n}", if text.is_empty() { "" } else { " " });
            }
        }
        text
    }
}

/// The attempts of a request in one short text.
pub fn attempts(tried: &[Tried]) -> String {
    let mut text = String::new();
    for Tried { server, outcome, status, idled, why, took, .. } in tried {
        let why = why.as_deref().unwrap_or_default();
        let idled = idled.map_or("fresh".into(), |idled| format!("idle {:.0}", idled.as_secs_f64() * 1e3));
        let status = status.as_ref().map_or("-", StatusCode::as_str);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{}[{server} {outcome:?} {status} {idled} {:.1} ms {why}]",
            if text.is_empty() { "" } else { " " },
            took.as_ms()
        );
    }
    text
}

#[cfg(test)]
mod tests;
