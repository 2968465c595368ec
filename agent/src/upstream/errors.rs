//! Errors of attempts and health checks without a response. Their texts appear in the log lines of failed attempts.

use crate::traffic::errors::with_source;
use crate::upstream::connect::ConnectError;
use balancer::Outcome;
use tokio::sync::AcquireError;

/// Why an attempt got no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The endpoint list has no address for the server, or the server has been removed from it.
    #[error("no address in the endpoint list")]
    NoAddress,
    /// The connection limit of the agent is reached, and no connection is idle.
    #[error("connection limit reached")]
    NoSlot,
    /// Opening it failed.
    #[error("connect failed: {0}")]
    Connect(#[from] ConnectError),
    /// Opening it took longer than the connect timeout.
    #[error("connect timed out")]
    TimedOut,
}

impl ConnectionError {
    /// The outcome in the balancer's terms. If the failure is local, the server was never contacted, and must not count
    /// as unreachable.
    pub fn outcome(&self) -> Outcome {
        match self {
            ConnectionError::NoSlot | ConnectionError::Connect(ConnectError::Local(_)) => Outcome::NotSent,
            ConnectionError::NoAddress
            | ConnectionError::Connect(ConnectError::Remote(_))
            | ConnectionError::TimedOut => Outcome::ConnectFailed,
        }
    }
}

/// Why an exchange on an open connection failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection broke, or the response is not valid HTTP.
    #[error("{}", with_source(.0))]
    Http(#[from] hyper::Error),
    /// The memory budget is closed and grants no further reservations.
    #[error("{}", with_source(.0))]
    Memory(#[from] AcquireError),
}

/// Why an attempt ended without a response.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// It got no connection.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// It was cancelled while its connection was being opened.
    #[error("called off")]
    Cancelled,
    /// When its connection was ready, the request was no longer needed, or the server had a new process or address.
    #[error("too late to begin")]
    Obsolete,
    /// Its exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl AttemptError {
    /// The outcome, or `None` if it depends on how much of the request was sent.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            AttemptError::Connection(error) => Some(error.outcome()),
            AttemptError::Obsolete => Some(Outcome::NotSent),
            AttemptError::Cancelled | AttemptError::Exchange(_) => None,
        }
    }
}
