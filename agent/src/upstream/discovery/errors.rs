//! Errors of calls to discovery. Their texts appear in the log.

use crate::endpoint_list::ListError;
use hyper::StatusCode;
use std::io;

/// Why a call returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection was refused, or could not be opened.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
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
