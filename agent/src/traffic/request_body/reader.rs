//! Reads a streamed request body from its client and enforces its deadline.

use super::last_byte::{LastByteEstimate, Waiting};
use crate::traffic::body_buffer::detached;
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::head_memory::SMALL_HEAD_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};

/// The longest request body. The operators' limit is 32 MB, which may be rounded, so a little more is accepted.
pub const MAX_REQUEST_BODY_BYTES: u64 = 33 << 20;
/// A chunk that arrives later than this after it was polled for had not been sent before the poll.
const STARVATION_THRESHOLD: Duration = Duration::from_millis(5);

/// Why a request body cannot be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than [`MAX_REQUEST_BODY_BYTES`].
    #[error("a body holds at most 32 MB")]
    TooLong,
    /// The client has stopped sending it or is too slow.
    #[error("the body did not come in time")]
    TimedOut,
    /// It is malformed, or the client has disconnected.
    #[error("the body did not come whole")]
    Broken,
}

/// The result of reading from a body.
pub enum Chunk {
    /// The next bytes. If they are the last ones, `complete_at` is when the client had sent them.
    Data { bytes: Bytes, complete_at: Option<Instant> },
    /// The end of the body, which the client had sent at `complete_at`.
    End { complete_at: Instant },
    /// The body cannot be completed.
    Failed(BodyError),
}

/// Reads a body chunk by chunk.
pub struct BodyReader {
    prefix: Bytes,
    body: Incoming,
    deadline: BodyDeadline,
    /// Including the prefix.
    bytes_read: u64,
    last_byte: LastByteEstimate,
    /// Since when a poll has been waiting for a chunk; `None` if none is.
    pending_since: Option<Instant>,
    /// Since when no chunk has been polled for; `None` while a poll is pending.
    paused_since: Option<Instant>,
    timeout: Pin<Box<Sleep>>,
}

impl BodyReader {
    /// Reads the rest of a body, `body`, of which `prefix` has been read already.
    pub fn new(prefix: Bytes, body: Incoming, deadline: BodyDeadline, last_byte: LastByteEstimate) -> Self {
        BodyReader {
            bytes_read: prefix.len() as u64,
            prefix,
            body,
            last_byte,
            pending_since: None,
            // Until an attempt polls for a chunk, the client is not responsible for the lack of progress.
            paused_since: Some(deadline.last_progress()),
            timeout: Box::pin(sleep_until(deadline.due())),
            deadline,
        }
    }

    /// The bytes that had been read before this reader was created.
    pub fn prefix(&self) -> Bytes {
        self.prefix.clone()
    }

    /// The bytes that have been read, including the prefix.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Whether any byte has been read.
    pub fn has_read(&self) -> bool {
        self.bytes_read > 0
    }

    /// Since when no chunk has been polled for; `None` while a poll is pending.
    pub fn paused_since(&self) -> Option<Instant> {
        self.paused_since
    }

    /// The last byte was not sent before this time, by what is known so far.
    pub fn last_byte_not_before(&self) -> Instant {
        self.last_byte.not_before()
    }

    /// Records that the last byte has not been sent yet.
    pub fn record_incomplete(&mut self) {
        self.last_byte.record_incomplete(Instant::now());
    }

    /// Observes how much of the body has arrived. Returns when to observe it again.
    pub fn observe_arrivals(&mut self) -> Instant {
        let waiting = if self.pending_since.is_some() { Waiting::ForClient } else { Waiting::ForServer };
        self.last_byte.observe(Instant::now(), waiting);
        self.last_byte.next_observation(waiting)
    }

    /// Whether the rest of the body has arrived, read or not. Up to [`SMALL_HEAD_BYTES`] of it may have been read with the head.
    pub fn has_arrived(&self) -> bool {
        let unread_bytes = self.last_byte.unread_bytes();
        let remaining_bytes = self.body.size_hint().exact();
        remaining_bytes
            .zip(unread_bytes)
            .is_some_and(|(remaining, unread)| remaining <= unread + SMALL_HEAD_BYTES as u64)
    }

    /// Polls for the next chunk.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Chunk> {
        if let Some(paused) = self.paused_since.take() {
            self.deadline.extend(paused.elapsed());
        }
        let bytes = loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => break detached(&bytes),
                    Err(_trailers) => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Chunk::Failed(BodyError::Broken)),
                Poll::Ready(None) => {
                    self.record_read();
                    return Poll::Ready(Chunk::End { complete_at: self.last_byte.not_before() });
                }
                Poll::Pending => return self.poll_timeout(cx),
            }
        };
        Poll::Ready(self.record_chunk(bytes))
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Chunk> {
        self.pending_since.get_or_insert_with(Instant::now);
        self.timeout.as_mut().reset(self.deadline.due());
        self.timeout.as_mut().poll(cx).map(|()| Chunk::Failed(BodyError::TimedOut))
    }

    fn record_chunk(&mut self, bytes: Bytes) -> Chunk {
        self.bytes_read += bytes.len() as u64;
        if self.bytes_read > MAX_REQUEST_BODY_BYTES {
            return Chunk::Failed(BodyError::TooLong);
        }
        self.deadline.record_bytes(bytes.len());
        self.paused_since = Some(Instant::now());
        self.record_read();
        let complete_at = self.body.is_end_stream().then(|| self.last_byte.not_before());
        Chunk::Data { bytes, complete_at }
    }

    /// Updates the estimate of the last byte after a poll that found a chunk or the end.
    fn record_read(&mut self) {
        let now = Instant::now();
        let was_starved =
            self.pending_since.take().is_some_and(|since| now.duration_since(since) > STARVATION_THRESHOLD);
        if was_starved {
            self.last_byte.record_incomplete(now);
        }
        self.last_byte.record_read(now, self.body.size_hint().exact());
    }
}
