//! Errors that reject a request before the balancer decides about it. Their texts are sent to the client.

use crate::traffic::head_memory::NoHeadMemory;
use crate::traffic::request_body::BodyError;
use hyper::StatusCode;

/// Why a request is invalid or its body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first segment of the path is not a class of the settings.
    #[error("no such class of request")]
    UnknownClass,
    /// `X-Priority-Class` is missing or differs from the class in the path.
    #[error("X-Priority-Class must be the first part of the path")]
    ClassMismatch,
    /// `X-Request-ID` is missing or empty.
    #[error("X-Request-ID is missing")]
    MissingRequestId,
    /// The settings have tenants, and `X-Tenant-Id` is missing or names none of them.
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    /// `X-Timeout` is missing, malformed, zero or above the maximum.
    #[error("X-Timeout must be a time such as 480m or 900u")]
    InvalidTimeout,
    /// The class does not allow the method of the request.
    #[error("this class has another method")]
    MethodNotAllowed {
        /// The methods that the class allows, as the value of `Allow`.
        allowed: &'static str,
    },
    /// The class is deduplicated, and `Idempotency-Key` is missing or empty.
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    /// The body cannot be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The client has closed its connection before its request was read completely.
    #[error("the client has left")]
    ClientLeft,
    /// There is no memory for the head.
    #[error(transparent)]
    Head(#[from] NoHeadMemory),
    /// The memory budget had no capacity for the body before the request had to be answered or the body timed out.
    #[error("no room for the body")]
    NoBodyMemory,
}

impl RequestError {
    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::NoBodyMemory | RequestError::Head(NoHeadMemory) => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::Body(BodyError::TooLong) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(BodyError::TimedOut) => StatusCode::REQUEST_TIMEOUT,
            RequestError::ClassMismatch
            | RequestError::ClientLeft
            | RequestError::MissingRequestId
            | RequestError::UnknownTenant
            | RequestError::InvalidTimeout
            | RequestError::MissingIdempotencyKey
            | RequestError::Body(BodyError::Broken) => StatusCode::BAD_REQUEST,
        }
    }
}
