//! Why a request is rejected before the balancer decides about it. The texts are what its client gets.

use crate::traffic::request_body::BodyError;
use hyper::StatusCode;

/// What is wrong with a request, or why its body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first segment of the path is no class of the settings.
    #[error("no such class of request")]
    UnknownClass,
    /// `X-Priority-Class` is missing or is another class than the path's.
    #[error("X-Priority-Class must be the first part of the path")]
    ClassMismatch,
    /// `X-Request-ID` is missing or empty.
    #[error("X-Request-ID is missing")]
    MissingRequestId,
    /// The settings have tenants, and `X-Tenant-Id` is none of them.
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    /// `X-Timeout` is missing, malformed, zero or too long.
    #[error("X-Timeout must be a time such as 480m or 900u")]
    InvalidTimeout,
    /// The class has other methods, given as the value of `Allow`.
    #[error("this class has another method")]
    MethodNotAllowed {
        /// The methods of the class.
        allowed: &'static str,
    },
    /// The class is deduplicated, and the request has no key for that.
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    /// The body cannot be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The memory budget had no capacity for the body in time.
    #[error("no room for the body")]
    NoBodyMemory,
}

impl RequestError {
    /// The status of its response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::NoBodyMemory => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Body(BodyError::TooLong) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(BodyError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
            RequestError::ClassMismatch
            | RequestError::MissingRequestId
            | RequestError::UnknownTenant
            | RequestError::InvalidTimeout
            | RequestError::MissingIdempotencyKey
            | RequestError::Body(BodyError::Broken) => StatusCode::BAD_REQUEST,
        }
    }
}
