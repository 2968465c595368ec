//! Reads a long request body from its client, and times it.

use crate::traffic::body_deadline::BodyDeadline;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// The longest request body: 32 MB, as the operators say, and what such figures round off.
pub const MAX_REQUEST_BODY_BYTES: u64 = 33 << 20;
/// A chunk that comes so long after it was polled for had not been sent before.
const STARVED_AFTER: Duration = Duration::from_millis(5);

/// Why a request body is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than [`MAX_REQUEST_BODY_BYTES`].
    #[error("a body holds at most 32 MB")]
    TooLong,
    /// Its client has stopped sending it, or is too slow.
    #[error("the body did not come in time")]
    TimedOut,
    /// It is malformed, or its client has disconnected.
    #[error("the body did not come whole")]
    Broken,
}

/// What a client has sent next.
pub enum Chunk {
    /// Bytes, the last ones if the body is complete with them.
    Data { bytes: Bytes, complete_at: Option<Instant> },
    /// The end of the body.
    End { complete_at: Instant },
    /// Nothing that a body could go on with.
    Failed(BodyError),
}

/// Reads the body chunk by chunk.
pub struct BodyReader {
    beginning: Bytes,
    body: Incoming,
    deadline: BodyDeadline,
    bytes_read: u64,
    /// Since when its client may have sent all of it, for all that is known.
    received_since: Instant,
    first_polled_at: Option<Instant>,
    /// Since when the chunk that is polled for has not come.
    pending_since: Option<Instant>,
    /// It is known that its client is still sending.
    is_starved: bool,
    /// Since when nobody has polled for more.
    paused_since: Option<Instant>,
    timeout: Pin<Box<Sleep>>,
}

impl BodyReader {
    /// Reads `body`, of which `beginning` has been read already.
    pub fn new(beginning: Bytes, body: Incoming, deadline: BodyDeadline, received_since: Instant) -> Self {
        BodyReader {
            bytes_read: beginning.len() as u64,
            beginning,
            body,
            received_since,
            first_polled_at: None,
            pending_since: None,
            is_starved: false,
            // Until an attempt polls for more, that nothing comes is not the client's doing.
            paused_since: Some(deadline.last_progress()),
            timeout: Box::pin(sleep_until(deadline.due())),
            deadline,
        }
    }

    /// The client waits for `100 Continue`: of what has not been read nothing has been sent.
    pub fn expect_no_early_bytes(&mut self) {
        self.is_starved = self.bytes_read == 0;
    }

    /// What had been read before.
    pub fn beginning(&self) -> Bytes {
        self.beginning.clone()
    }

    /// Whether any byte has been read.
    pub fn has_read(&self) -> bool {
        self.bytes_read > 0
    }

    /// Since when nobody has polled for more.
    pub fn paused_since(&self) -> Option<Instant> {
        self.paused_since
    }

    /// For how long the body may have lain unread.
    pub fn unread_time(&self) -> Duration {
        if self.is_starved {
            return Duration::ZERO;
        }
        self.first_polled_at.unwrap_or_else(Instant::now).saturating_duration_since(self.received_since)
    }

    /// When the client had sent all of it, if that is all there now.
    fn complete_at(&self) -> Instant {
        Instant::now() - self.unread_time()
    }

    /// Polls for the next chunk.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Chunk> {
        self.first_polled_at.get_or_insert_with(Instant::now);
        if let Some(paused) = self.paused_since.take() {
            self.deadline.extend(paused.elapsed());
        }
        let bytes = loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => break bytes,
                    Err(_trailers) => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Chunk::Failed(BodyError::Broken)),
                Poll::Ready(None) => return Poll::Ready(Chunk::End { complete_at: self.complete_at() }),
                Poll::Pending => return self.poll_timeout(cx),
            }
        };
        Poll::Ready(self.record(bytes))
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Chunk> {
        self.pending_since.get_or_insert_with(Instant::now);
        self.timeout.as_mut().reset(self.deadline.due());
        self.timeout.as_mut().poll(cx).map(|()| Chunk::Failed(BodyError::TimedOut))
    }

    fn record(&mut self, bytes: Bytes) -> Chunk {
        self.is_starved |= self.pending_since.take().is_some_and(|since| since.elapsed() > STARVED_AFTER);
        self.bytes_read += bytes.len() as u64;
        if self.bytes_read > MAX_REQUEST_BODY_BYTES {
            return Chunk::Failed(BodyError::TooLong);
        }
        self.deadline.record_bytes(bytes.len());
        self.paused_since = Some(Instant::now());
        let complete_at = self.body.is_end_stream().then(|| self.complete_at());
        Chunk::Data { bytes, complete_at }
    }
}
