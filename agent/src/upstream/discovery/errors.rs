//! Why a call to discovery failed. The texts are what the log says.

use crate::endpoint_list::ListError;
use hyper::StatusCode;
use std::io;

/// Why a call brought no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened within the connect timeout.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The call's time was over before the connection was open.
    #[error("no connection")]
    DeadlineBeforeConnect,
    /// No head of a response came in time.
    #[error("no answer")]
    ResponseTimeout,
    /// The body of the response did not go on in time.
    #[error("no whole answer in time")]
    BodyTimeout,
    /// The connection broke, or what came over it is no HTTP.
    #[error("no whole answer: {0:.80}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("no whole answer: {0:.80}")]
    Request(#[from] hyper::http::Error),
    /// Discovery answered with an error.
    #[error("status {0}")]
    Status(StatusCode),
    /// The list breaks off.
    #[error("its answer is no list: {0}")]
    IncompleteList(#[source] ListError),
    /// The list is malformed: the next call would bring the same.
    #[error("its answer is no list: {0}")]
    MalformedList(#[source] ListError),
}

impl CallError {
    /// Whether a retry at once would bring the same.
    pub fn is_permanent(&self) -> bool {
        matches!(self, CallError::MalformedList(_))
    }
}
