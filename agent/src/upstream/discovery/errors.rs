//! Errors of calls to discovery. Their texts appear in the log.

use crate::endpoint_list::ListError;
use hyper::StatusCode;
use std::io;

/// Why a call returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was refused, or not open within the connect timeout.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// The call's deadline passed before the connection was open.
    #[error("not connected before the deadline of the call")]
    ConnectDeadline,
    /// No response head arrived before the call's deadline.
    #[error("no response in time")]
    ResponseTimeout,
    /// The response body paused for too long or arrived too slowly.
    #[error("no whole answer in time")]
    BodyTimeout,
    /// The connection broke, or the response is not valid HTTP.
    #[error("HTTP error: {0:.80}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("cannot build the request: {0:.80}")]
    Request(#[from] hyper::http::Error),
    /// Discovery returned a status other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The list is truncated.
    #[error("incomplete endpoint list: {0}")]
    IncompleteList(#[source] ListError),
    /// The list is malformed, and the next call would return the same.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] ListError),
}

impl CallError {
    /// Whether an immediate retry would fail in the same way.
    pub fn is_permanent(&self) -> bool {
        matches!(self, CallError::MalformedList(_))
    }
}
