//! The log of the service: a line on each request that did not go well, and the counts of all requests every few
//! seconds. Both are rate-limited, so that an outage overloads neither the log nor the event loop.
//!
//! Lines go to standard error through a thread of their own. Lines that its reader is too slow for are left out and
//! counted, and no request waits. The way not taken is `tracing-appender`: it waits over a second for a reader at the
//! end of the process and says so on standard output.

mod counts;
mod left_out;
mod rate_limit;
mod requests;
mod writer;

pub use counts::CountsLog;
pub use requests::{describe_attempts, FailedAttempt, RequestLineLimit};
pub use writer::LogGuard;

use rate_limit::LineRateLimit;
use std::fmt;
use std::io;
use thiserror::Error;
use tokio::time::Instant;
use tracing::subscriber::SetGlobalDefaultError;
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::Registry;

/// Filter of a log that `PROXY_LOG_FILTER` says nothing of.
const DEFAULT_FILTER: &str = "info";

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
pub struct LogFormat {
    is_json: bool,
    filter: Targets,
}

impl LogFormat {
    /// Reads the format from `PROXY_LOG` and the filter from `PROXY_LOG_FILTER`.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, LogError> {
        let value = |name: &str| variable(name).filter(|value| !value.is_empty());
        let is_json = match value("PROXY_LOG").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => return Err(LogError::InvalidFormat { value: other.to_owned() }),
        };
        let filter = value("PROXY_LOG_FILTER").unwrap_or_else(|| DEFAULT_FILTER.into());
        match filter.parse() {
            Ok(filter) => Ok(LogFormat { is_json, filter }),
            Err(source) => Err(LogError::InvalidFilter { value: filter, source }),
        }
    }

    /// Writes all events of this process to standard error from now on, until the guard is dropped.
    pub fn start(&self) -> Result<LogGuard, LogError> {
        let (guard, line_writer) = writer::spawn().map_err(LogError::Thread)?;
        let subscriber = self.subscriber(line_writer, LineRateLimit::new());
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(guard)
    }

    /// A subscriber that writes the events which pass the filter and the rate limit to `writer`.
    fn subscriber<W>(
        &self,
        writer: W,
        rate_limit: LineRateLimit,
    ) -> Box<dyn tracing::Subscriber + Send + Sync>
    where
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
        let limited = Registry::default().with(self.filter.clone()).with(rate_limit);
        if self.is_json {
            let lines = lines.json().flatten_event(true).with_current_span(false).with_span_list(false);
            Box::new(limited.with(lines))
        } else {
            Box::new(limited.with(lines))
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, {}", if self.is_json { "json" } else { "text" }, self.filter)
    }
}

/// What decides whether a line on requests is written now.
pub struct Log {
    /// The limit of lines on single requests.
    pub request_lines: RequestLineLimit,
    /// The regular line on the metrics.
    pub counts: CountsLog,
}

impl Log {
    /// A log that has written nothing.
    pub fn new(now: Instant) -> Self {
        Log { request_lines: RequestLineLimit::new(now), counts: CountsLog::new(now) }
    }
}

#[cfg(test)]
mod tests;
