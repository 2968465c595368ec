//! A single attempt: obtains a connection, sends the request and waits for the response.

use crate::metrics::Metrics;
use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::head_memory::SMALL_HEAD_BYTES;
use crate::traffic::request_body::RequestBodyStream;
use crate::upstream::errors::AttemptError;
use crate::upstream::exchange::{ExchangeResult, Exchanger};
use crate::upstream::pool::{ConnectionPool, PooledConnection};
use crate::upstream::write_counter::RequestOnWire;
use balancer::{Outcome, ServerId};
use hyper::body::Body;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Progress of an attempt, shared by the event loop and the attempt's task.
#[derive(Default)]
pub struct AttemptProgress {
    /// `None` until the attempt has a connection.
    request: RefCell<Option<RequestOnWire>>,
    /// How long the connection was idle before the attempt; `None` for a new connection.
    connection_idle: Cell<Option<Duration>>,
    is_cancelled: Cell<bool>,
    cancelled: Notify,
}

impl AttemptProgress {
    /// Whether the request's last byte may have been sent, after which the server may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.request.borrow().as_ref().is_some_and(RequestOnWire::is_sent)
    }

    /// Cancels the attempt. Bytes that have not been written yet are not written any more.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        if let Some(request) = &*self.request.borrow() {
            request.forbid_writes();
        }
        self.cancelled.notify_one();
    }
}

/// The parts of the upstream client that an attempt uses.
pub struct AttemptContext<'a> {
    /// Provides the connection.
    pub pool: &'a Rc<ConnectionPool>,
    /// Sends the request and reads the response.
    pub exchanger: &'a Exchanger,
    /// Records that the request's last byte is written.
    pub metrics: &'a Rc<Metrics>,
}

/// Why an attempt ended without a response.
enum AttemptEnd {
    Failed(AttemptError),
    Cancelled,
    TimedOut,
}

impl AttemptContext<'_> {
    /// Runs an attempt until it ends or `deadline` completes. `build_request` is called directly before the first byte
    /// is written, since opening a connection takes time and the request may no longer be needed by then; it returns
    /// `None` if so. `body` is the request's body if it is streamed.
    pub async fn run(
        &self,
        server: ServerId,
        build_request: impl FnOnce() -> Option<Request<AttemptBody>>,
        body: Option<&Rc<RequestBodyStream>>,
        deadline: impl Future<Output = ()>,
        progress: &AttemptProgress,
    ) -> ExchangeResult {
        let end = tokio::select! {
            biased;
            () = progress.cancelled.notified() => AttemptEnd::Cancelled,
            result = self.connect_and_exchange(server, build_request, progress) => match result {
                Ok(result) => return ExchangeResult { connection_idle: progress.connection_idle.get(), ..result },
                Err(error) => AttemptEnd::Failed(error),
            },
            () = deadline => AttemptEnd::TimedOut,
        };
        // If the client stopped sending the body, the failure is neither the server's nor the network's.
        let is_stopped_locally = progress.is_cancelled.get() || body.is_some_and(|body| body.has_failed());
        let outcome = end.outcome(progress.may_have_executed(), is_stopped_locally);
        let error = match end {
            AttemptEnd::Failed(error) => Some(error),
            AttemptEnd::Cancelled | AttemptEnd::TimedOut => None,
        };
        ExchangeResult {
            connection_idle: progress.connection_idle.get(),
            error,
            ..ExchangeResult::without_response(outcome)
        }
    }

    async fn connect_and_exchange(
        &self,
        server: ServerId,
        build_request: impl FnOnce() -> Option<Request<AttemptBody>>,
        progress: &AttemptProgress,
    ) -> Result<ExchangeResult, AttemptError> {
        let mut connection = self.pool.checkout(server).await?;
        if progress.is_cancelled.get() {
            self.pool.check_in(connection);
            return Err(AttemptError::Cancelled);
        }
        let request = if self.pool.is_current(&connection) { build_request() } else { None };
        let Some(mut request) = request else {
            self.pool.check_in(connection);
            return Err(AttemptError::Obsolete);
        };
        connection.has_grown |= min_head_bytes(&request) > SMALL_HEAD_BYTES;
        self.track_request(server, &connection, &mut request, progress);
        Ok(self.exchanger.exchange(connection, request).await?)
    }

    /// Registers a request in `progress` and with the connection's write counter, before its first byte is written.
    fn track_request(
        &self,
        server: ServerId,
        connection: &PooledConnection,
        request: &mut Request<AttemptBody>,
        progress: &AttemptProgress,
    ) {
        let counter = &connection.http.counter;
        let request_bytes = min_request_bytes(request);
        let on_wire = counter.track_request(request_bytes, server, self.metrics.clone());
        *progress.request.borrow_mut() = Some(on_wire.clone());
        if request_bytes.is_none() {
            request.body_mut().set_on_end(move || on_wire.end_with_next_byte());
        }
        let was_used = counter.written() > 0;
        progress.connection_idle.set(was_used.then(|| connection.idle_since.elapsed()));
    }
}

impl AttemptEnd {
    /// The outcome in the balancer's terms. Whether a failed attempt may have executed depends only on the bytes that
    /// were written. `is_stopped_locally`: the agent or the client kept the request from being sent completely.
    fn outcome(&self, may_have_executed: bool, is_stopped_locally: bool) -> Outcome {
        let outcome = match self {
            AttemptEnd::Failed(error) => error.outcome(),
            AttemptEnd::Cancelled => Some(Outcome::Cancelled),
            AttemptEnd::TimedOut => Some(Outcome::TimedOut),
        };
        if may_have_executed {
            outcome.unwrap_or(Outcome::ConnectionReset)
        } else if is_stopped_locally || outcome == Some(Outcome::NotSent) {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// A lower bound on the size of a request on the wire, at most a few bytes too low: while fewer bytes have been
/// written, the last byte has not been sent. `None` for a body of unknown length.
fn min_request_bytes(request: &Request<AttemptBody>) -> Option<u64> {
    Some(min_head_bytes(request) as u64 + request.body().size_hint().exact()?)
}

/// A lower bound on the size of a head on the wire.
fn min_head_bytes(request: &Request<AttemptBody>) -> usize {
    let uri = request.uri();
    let query_bytes = uri.query().map_or(0, |query| query.len() + "?".len());
    let request_line_bytes =
        request.method().as_str().len() + " ".len() + uri.path().len() + query_bytes + " HTTP/1.1\r\n".len();
    let header_line_bytes = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    let header_section_bytes: usize = request.headers().iter().map(header_line_bytes).sum();
    request_line_bytes + header_section_bytes + "\r\n".len()
}
