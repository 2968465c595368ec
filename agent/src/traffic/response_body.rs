//! The body of a response to a client.

use crate::metrics::{RequestEnd, RequestMetrics};
use crate::traffic::body_buffer::detached;
use crate::traffic::body_deadline::STALL_TIMEOUT;
use crate::traffic::connection_timer::ActiveRequest;
use crate::traffic::errors::with_source;
use crate::traffic::memory_budget::{reserved, MemoryReservation};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Returns the connection of a response to its pool after the last byte. If it is dropped without a call, the
/// connection is closed.
pub type ReturnConnection = Box<dyn FnOnce()>;

/// How a server marks the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Why a response broke off while it was forwarded.
#[derive(Debug, thiserror::Error)]
pub enum AbortCause {
    /// The connection to the server broke, or what the server sent is not valid HTTP.
    #[error("{}", with_source(.0))]
    Connection(#[source] hyper::Error),
    /// The server sent nothing for [`STALL_TIMEOUT`].
    #[error("the server sent nothing for {} s", STALL_TIMEOUT.as_secs())]
    Stalled,
}

/// How the stream of a response ended, for the log.
pub struct StreamEnd {
    /// How the server marks the end.
    pub framing: Framing,
    /// The bytes of the body that had come from the server.
    pub bytes: u64,
    /// The time since the response was handed to the client's connection.
    pub elapsed: Duration,
    /// Why it broke off; `None` if it was complete.
    pub abort: Option<AbortCause>,
}

/// The response body that the client gets: buffered bytes, then the rest of a stream.
pub struct ResponseBody {
    /// Empty once it has been written.
    buffered: Bytes,
    stream: Option<ResponseStream>,
    /// Kept by what waits to be written to the client, too.
    reservation: Option<Arc<MemoryReservation>>,
    /// Keeps the client's request active until this body is dropped.
    request: Option<ActiveRequest>,
    /// Why the stream has broken off; the HTTP library gets it with the next poll.
    failure: Option<io::ErrorKind>,
}

/// The part of a response that its server has not sent yet.
struct ResponseStream {
    body: Incoming,
    /// Called after a complete response; dropped if the response breaks off.
    return_connection: ReturnConnection,
    /// The metrics of the request, which ends with this stream.
    metrics: Option<RequestMetrics>,
    /// Called when the response is complete or breaks off.
    on_end: Option<Box<dyn FnOnce(StreamEnd)>>,
    framing: Framing,
    started_at: Instant,
    /// The bytes of the body that have come from the server.
    bytes: u64,
    /// Expires when the server has sent nothing for [`STALL_TIMEOUT`].
    stall_timer: Pin<Box<Sleep>>,
}

impl ResponseBody {
    /// A completely buffered body.
    pub fn complete(body: Bytes, reservation: Option<MemoryReservation>) -> Self {
        let (stream, request, failure) = Default::default();
        ResponseBody { buffered: body, stream, reservation: reservation.map(Arc::new), request, failure }
    }

    /// A body of which `buffered` has been read and `body` is streamed.
    pub fn streamed(
        buffered: Bytes,
        body: Incoming,
        framing: Framing,
        return_connection: ReturnConnection,
        reservation: MemoryReservation,
    ) -> Self {
        let stream = ResponseStream {
            body,
            return_connection,
            metrics: None,
            on_end: None,
            framing,
            started_at: Instant::now(),
            bytes: buffered.len() as u64,
            stall_timer: Box::pin(sleep(STALL_TIMEOUT)),
        };
        let reservation = Some(Arc::new(reservation));
        ResponseBody { buffered, stream: Some(stream), reservation, request: None, failure: None }
    }

    /// The body, if it is buffered completely.
    pub fn as_complete(&self) -> Option<&[u8]> {
        match &self.stream {
            None => Some(&self.buffered),
            Some(_) => None,
        }
    }

    /// Keeps the client's request active until this body is dropped.
    pub fn attach_request(&mut self, request: ActiveRequest) {
        self.request = Some(request);
    }

    /// Ends the request in the metrics when this body ends. `on_end` is called then, if the body is streamed.
    pub fn end_request_with(&mut self, metrics: RequestMetrics, on_end: impl FnOnce(StreamEnd) + 'static) {
        match &mut self.stream {
            None => metrics.end(RequestEnd::Served),
            Some(stream) => {
                stream.metrics = Some(metrics);
                stream.on_end = Some(Box::new(on_end));
            }
        }
    }

    fn reserved(&self, bytes: Bytes) -> Bytes {
        match &self.reservation {
            Some(reservation) => reserved(bytes, reservation),
            None => bytes,
        }
    }

    /// Ends the stream. The connection is returned if the response is complete, and closed if it broke off.
    fn finish(&mut self, abort: Option<AbortCause>) {
        let Some(stream) = self.stream.take() else { return };
        if let Some(metrics) = stream.metrics {
            metrics.end(if abort.is_none() { RequestEnd::Served } else { RequestEnd::Failed });
        }
        if abort.is_none() {
            (stream.return_connection)();
        }
        let ResponseStream { framing, bytes, started_at, on_end, .. } = stream;
        let end = StreamEnd { framing, bytes, elapsed: started_at.elapsed(), abort };
        if let Some(on_end) = on_end {
            on_end(end);
        }
    }
}

impl ResponseBody {
    /// Ends a stream that has broken off. The HTTP library closes the connection as soon as it gets the error, with what it has
    /// not written yet, so it gets the error with the next poll, after it has written that.
    fn break_off(
        &mut self,
        cx: &mut Context<'_>,
        cause: AbortCause,
        kind: io::ErrorKind,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.finish(Some(cause));
        self.request.iter().for_each(ActiveRequest::record_broken_response);
        self.failure = Some(kind);
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(kind) = this.failure {
            return Poll::Ready(Some(Err(kind.into())));
        }
        if !this.buffered.is_empty() {
            let bytes = std::mem::take(&mut this.buffered);
            return Poll::Ready(Some(Ok(Frame::data(this.reserved(bytes)))));
        }
        let Some(stream) = &mut this.stream else { return Poll::Ready(None) };
        match Pin::new(&mut stream.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                stream.stall_timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                stream.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                // Hyper does not poll again after the last byte of a body of known length, or after trailers.
                if stream.body.is_end_stream() || frame.is_trailers() {
                    this.finish(None);
                }
                Poll::Ready(Some(Ok(frame.map_data(|bytes| this.reserved(detached(&bytes))))))
            }
            Poll::Ready(Some(Err(error))) => {
                this.break_off(cx, AbortCause::Connection(error), io::ErrorKind::ConnectionAborted)
            }
            Poll::Ready(None) => {
                this.finish(None);
                Poll::Ready(None)
            }
            Poll::Pending if stream.stall_timer.as_mut().poll(cx).is_ready() => {
                this.break_off(cx, AbortCause::Stalled, io::ErrorKind::TimedOut)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.stream.is_none() && self.failure.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let Some(stream) = &self.stream else { return SizeHint::with_exact(buffered) };
        let rest = stream.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(buffered + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered + upper);
        }
        hint
    }
}
