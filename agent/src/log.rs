//! The log of the service: a line for each request that did not succeed, and the counts of all requests every few
//! seconds. Both are limited in rate, so that an outage overloads neither the log nor the event loop.
//!
//! A separate thread writes the lines to standard error. If the reader of standard error is too slow, lines are left
//! out and counted, and no request waits. `tracing-appender` is not used, as it waits over a second for a reader when
//! the process ends and reports that on standard output.

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

/// Filter if `PROXY_LOG_FILTER` is not set or empty.
const DEFAULT_FILTER: &str = "info";

/// Why the log cannot be started.
#[derive(Debug, Error)]
pub enum LogError {
    /// `PROXY_LOG` is not a format.
    #[error("PROXY_LOG is {value:?}; text or json was expected")]
    InvalidFormat {
        /// Its value.
        value: String,
    },
    /// `PROXY_LOG_FILTER` is not a valid filter.
    #[error(
        "PROXY_LOG_FILTER is {value:?}; a level or TARGET=LEVEL, with commas between, was expected: {source}"
    )]
    InvalidFilter {
        /// Its value.
        value: String,
        /// Why it cannot be parsed.
        source: ParseError,
    },
    /// The thread that writes the log cannot be started.
    #[error("cannot start the log's thread: {0}")]
    Thread(#[source] io::Error),
    /// The process has started a log already.
    #[error("cannot start the log: {0}")]
    AlreadyStarted(#[from] SetGlobalDefaultError),
}

/// Format and filter of the log.
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

    /// Starts the log of this process on standard error. Dropping the guard ends it and writes the last lines.
    pub fn start(&self) -> Result<LogGuard, LogError> {
        let (guard, line_writer) = writer::spawn().map_err(LogError::Thread)?;
        let subscriber = self.subscriber(line_writer, LineRateLimit::new());
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(guard)
    }

    /// Creates a subscriber that writes to `writer` the events that pass the filter and the rate limit.
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

/// Decides when a line about requests is written.
pub struct Log {
    /// Rate limit of the lines about single requests.
    pub request_lines: RequestLineLimit,
    /// The periodic line with the changes of the metrics.
    pub counts: CountsLog,
}

impl Log {
    /// Creates the state of a log without lines; the first interval begins at `now`.
    pub fn new(now: Instant) -> Self {
        Log { request_lines: RequestLineLimit::new(now), counts: CountsLog::new(now) }
    }
}

#[cfg(test)]
mod tests;
