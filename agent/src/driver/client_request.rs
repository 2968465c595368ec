//! A client's request, and the request to a server that is built from it.

use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::memory_budget::MemoryReservation;
use crate::traffic::request_body::RequestBodyStream;
use crate::traffic::socket::WeakSocket;
use balancer::{AffinityKey, ClassId, ClientRequestKey, Span, TenantId};
use balancer_settings::fnv1a;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Tells a server how long the agent waits for its response.
const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("x-timeout");

/// A valid request from a client.
pub struct ClientRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's `X-Request-ID`, for the log.
    pub request_id: String,
    /// When the request was complete or, if its body is streamed, when its head was.
    pub arrived_at: Instant,
    /// The client's connection, which shows whether the client is still there.
    pub connection: WeakSocket,
    /// The headers that are forwarded to a server.
    pub headers: HeaderMap,
    /// The body, buffered or streamed.
    pub body: RequestBody,
    /// The request class.
    pub class: ClassId,
    /// The tenant, if the request names one.
    pub tenant: Option<TenantId>,
    /// The affinity key, if the request has one.
    pub affinity_key: Option<AffinityKey>,
    /// The client's estimate of how long the request takes to execute, if it gave one.
    pub cost_hint: Option<Span>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// When the response must have begun. With a streamed body, the time from `arrived_at` to this instant starts again
    /// at the body's last byte.
    pub deadline: Instant,
}

/// The body of a client's request.
pub enum RequestBody {
    /// Completely received; its memory stays reserved until the request is dropped.
    Buffered {
        /// The complete body.
        bytes: Bytes,
        /// Releases the memory on drop.
        _reservation: MemoryReservation,
    },
    /// Forwarded to the server while it is being received.
    Streamed(Rc<RequestBodyStream>),
}

impl ClientRequest {
    /// The body, if it is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<RequestBodyStream>> {
        match &self.body {
            RequestBody::Buffered { .. } => None,
            RequestBody::Streamed(body) => Some(body),
        }
    }

    /// Whether the client may have left too long ago for an attempt to begin at `now`. If all of a body has arrived, a close
    /// behind it has arrived too, and ends the request by itself.
    pub fn client_may_have_left(&self, now: Instant) -> bool {
        let has_body_arrived = self.streamed_body().is_some_and(|body| body.has_arrived());
        !has_body_arrived && self.connection.peer_may_have_left(now)
    }

    /// How long after `arrived_at` the response must have begun.
    pub fn response_timeout(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived_at)
    }

    /// What identifies the request to its client.
    pub fn key(&self) -> ClientRequestKey {
        ClientRequestKey(fnv1a(&self.request_id))
    }

    /// Builds the request to a server: the client's request with `timeout` in [`TIMEOUT_HEADER`].
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
