//! A request as the application sent it, and what of it is sent to a server.

use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::memory_budget::MemoryReservation;
use crate::traffic::request_body::RequestBodyStream;
use balancer::{AffinityKey, ClassId, Span, TenantId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Tells a server how long the agent waits for its answer.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// A request as the application sent it.
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The application's name for it.
    pub request_id: String,
    /// When it was complete; when its head was, if its body is streamed.
    pub arrived_at: Instant,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RequestBody,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its affinity key.
    pub affinity_key: Option<AffinityKey>,
    /// The client's estimate of its work.
    pub cost_hint: Option<Span>,
    /// The client says that it is a retry.
    pub is_retry: bool,
    /// When its answer must have begun. For a streamed body, the time from `arrived_at` to this counts anew from its
    /// last byte.
    pub deadline: Instant,
}

/// The body of a request.
pub enum RequestBody {
    /// Complete, in memory reserved for as long as the request lives.
    Buffered {
        /// All of it.
        bytes: Bytes,
        /// Releases the memory when it is dropped.
        _reservation: MemoryReservation,
    },
    /// Forwarded while it arrives.
    Streamed(Rc<RequestBodyStream>),
}

impl ClientRequest {
    /// Its body, if that is forwarded while it arrives.
    pub fn streamed_body(&self) -> Option<&Rc<RequestBodyStream>> {
        match &self.body {
            RequestBody::Buffered { .. } => None,
            RequestBody::Streamed(body) => Some(body),
        }
    }

    /// How long its client waits.
    pub fn response_timeout(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived_at)
    }

    /// The request for a server: unchanged, with the time that the agent will wait.
    pub fn build_request(&self, timeout: Duration) -> Request<AttemptBody> {
        let body = match &self.body {
            RequestBody::Buffered { bytes, .. } => AttemptBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streamed(body) => AttemptBody::streamed(body),
        };
        let length = body.size_hint().exact();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let timeout = HeaderValue::from_str(&format!("{}u", timeout.as_micros().max(1)));
        headers.extend(timeout.ok().map(|timeout| (TIMEOUT_HEADER, timeout)));
        let is_bodiless = matches!(self.method, Method::GET | Method::HEAD);
        if let Some(length) = length.filter(|length| !is_bodiless || *length > 0) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        request
    }
}
