//! Why an attempt or a health check has no response. The texts are what the log says of a lost attempt.

use crate::upstream::connect::ConnectError;
use balancer::Outcome;
use std::error::Error;
use tokio::sync::AcquireError;

/// The longest reason that is logged for a broken exchange.
const MAX_REASON_CHARS: usize = 80;

/// Why there is no connection for an attempt.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The endpoint list has no address of the server.
    #[error("no address")]
    NoAddress,
    /// The agent has as many connections as it may.
    #[error("no place")]
    NoSlot,
    /// It could not be opened.
    #[error("no connection: {0}")]
    Connect(#[from] ConnectError),
    /// It was not open within the connect timeout.
    #[error("no connection in time")]
    TimedOut,
}

impl ConnectionError {
    /// Where the agent itself could not start, nothing was tried, and the server must not pass for one that cannot be
    /// reached.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectionError::NoSlot | ConnectionError::Connect(ConnectError::Local(_)) => Outcome::NotSent,
            ConnectionError::NoAddress
            | ConnectionError::Connect(ConnectError::Remote(_))
            | ConnectionError::TimedOut => Outcome::ConnectFailed,
        }
    }
}

/// What broke an exchange on an open connection.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection broke, or what came over it is no HTTP.
    #[error("{}", reason(.0))]
    Http(#[from] hyper::Error),
    /// The body of an error response broke off.
    #[error("{}", reason(.0.as_ref()))]
    ErrorBody(#[source] Box<dyn Error + Send + Sync>),
    /// The memory budget gives out no more.
    #[error("{}", reason(.0))]
    Memory(#[from] AcquireError),
}

/// Why an attempt ended without a response.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// It got no connection.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// It was cancelled while its connection was opened.
    #[error("called off")]
    Cancelled,
    /// By the time its connection was open it was not to be sent any more.
    #[error("too late to begin")]
    Obsolete,
    /// Its exchange broke.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl AttemptError {
    /// The outcome, unless that depends on how much of the request was sent.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            AttemptError::Connection(error) => Some(error.outcome()),
            AttemptError::Obsolete => Some(Outcome::NotSent),
            AttemptError::Cancelled | AttemptError::Exchange(_) => None,
        }
    }
}

/// An error and its source, short.
fn reason(error: &dyn Error) -> String {
    let source = error.source().map(|source| format!(": {source}")).unwrap_or_default();
    format!("{error}{source}").chars().take(MAX_REASON_CHARS).collect()
}
