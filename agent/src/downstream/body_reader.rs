//! Reads request bodies. A body of at most [`MAX_BUFFERED_BODY_BYTES`] is buffered completely; of a longer one only
//! what it takes to know this is read, and the rest is streamed.

use crate::downstream::arrival::HeadArrival;
use crate::downstream::errors::RequestError;
use crate::downstream::lifecycle::Lifecycle;
use crate::driver::client_request::RequestBody;
use crate::traffic::body_buffer::BodyBuffer;
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::memory_budget::{MemoryBudget, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use crate::traffic::request_body::{BodyError, RequestBodyParts, RequestBodyStream, MAX_REQUEST_BODY_BYTES};
use crate::traffic::socket::Socket;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::time::Duration;
use tokio::sync::AcquireError;
use tokio::time::{timeout_at, Instant};

/// The last part of a client's timeout, reserved for writing the response.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(6);

/// Reads the body of one request.
pub struct BodyReader<'a> {
    /// The budget from which memory for the body is reserved.
    pub budget: &'a MemoryBudget,
    /// Limits the wait for memory while the process shuts down.
    pub lifecycle: &'a Lifecycle,
    /// When the head arrived.
    pub head_arrival: HeadArrival,
    /// When the body times out.
    pub deadline: BodyDeadline,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// How long the client waits for the response.
    pub client_timeout: Duration,
    /// The client's connection.
    pub connection: &'a Socket,
}

/// A request body that is buffered completely or ready to be streamed.
pub struct ReceivedBody {
    /// The bytes or the stream.
    pub content: RequestBody,
    /// The client may have sent the last byte of the request by then, and not before.
    pub arrived_at: Instant,
}

/// A memory reservation and the time that it took to get it.
struct GrantedMemory<T> {
    reservation: T,
    waited: Duration,
}

/// The result of buffering a body up to a limit.
enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The bytes read so far of a body that exceeds the limit.
    Prefix(Bytes),
}

impl BodyReader<'_> {
    /// Reads a body until it is complete or is known to be too long to be buffered.
    pub async fn read(self, body: Incoming) -> Result<ReceivedBody, RequestError> {
        let hint = body.size_hint();
        if hint.lower() > MAX_REQUEST_BODY_BYTES {
            return Err(BodyError::TooLong.into());
        }
        match hint.exact() {
            Some(length) if length <= MAX_BUFFERED_BODY_BYTES as u64 => {
                self.read_short_body(body, length as usize).await
            }
            Some(_) => self.stream_body(body).await,
            None => self.read_open_body(body).await,
        }
    }

    async fn read_short_body(
        mut self,
        mut body: Incoming,
        length: usize,
    ) -> Result<ReceivedBody, RequestError> {
        let memory = self.wait_for_memory(self.budget.reserve_request(length), self.client_timeout).await?;
        let mut buffer = BodyBuffer::with_capacity(length);
        while let Some(chunk) = self.next_chunk(&mut body).await? {
            buffer.push(&chunk);
        }
        Ok(self.complete_body(buffer.into_bytes(), memory))
    }

    async fn stream_body(self, body: Incoming) -> Result<ReceivedBody, RequestError> {
        let reservation = self.budget.reserve_streamed_request();
        let memory = self.wait_for_memory(reservation, self.client_timeout).await?;
        Ok(self.streamed_body(Bytes::new(), body, memory))
    }

    /// Reads a body of unknown length. The reservation covers all forms that the body can take, and nothing is read before it
    /// is granted.
    async fn read_open_body(mut self, mut body: Incoming) -> Result<ReceivedBody, RequestError> {
        let open = self.wait_for_memory(self.budget.reserve_open_request(), self.client_timeout).await?;
        let max_buffered_bytes = open.reservation.max_buffered_bytes;
        let mut memory = GrantedMemory { reservation: open.reservation.reservation, waited: open.waited };
        let buffer = BodyBuffer::with_capacity(self.budget.buffer_bytes(max_buffered_bytes));
        match self.buffer_up_to(max_buffered_bytes, buffer, &mut body).await? {
            BufferedBody::Complete(bytes) => {
                memory.reservation.shrink_to(bytes.len());
                Ok(self.complete_body(bytes, memory))
            }
            BufferedBody::Prefix(bytes) => Ok(self.streamed_body(bytes, body, memory)),
        }
    }

    async fn buffer_up_to(
        &mut self,
        max_bytes: usize,
        mut buffer: BodyBuffer,
        body: &mut Incoming,
    ) -> Result<BufferedBody, BodyError> {
        while buffer.len() <= max_bytes {
            let Some(chunk) = self.next_chunk(body).await? else {
                return Ok(BufferedBody::Complete(buffer.into_bytes()));
            };
            buffer.push(&chunk);
        }
        Ok(BufferedBody::Prefix(buffer.into_bytes()))
    }

    /// The next chunk of a body, which lies in the read buffer of its connection; `None` at the end.
    async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
        loop {
            let frame =
                timeout_at(self.deadline.due(), body.frame()).await.map_err(|_| BodyError::TimedOut)?;
            let Some(frame) = frame else { return Ok(None) };
            if let Ok(bytes) = frame.map_err(|_| BodyError::Broken)?.into_data() {
                self.deadline.record_bytes(bytes.len());
                return Ok(Some(bytes));
            }
        }
    }

    fn complete_body(&self, bytes: Bytes, memory: GrantedMemory<MemoryReservation>) -> ReceivedBody {
        let content = RequestBody::Buffered { bytes, _reservation: memory.reservation };
        ReceivedBody { content, arrived_at: self.arrived_at(memory.waited) }
    }

    fn streamed_body(
        self,
        prefix: Bytes,
        remainder: Incoming,
        memory: GrantedMemory<MemoryReservation>,
    ) -> ReceivedBody {
        let arrived_at = self.arrived_at(memory.waited);
        let stream = RequestBodyStream::new(RequestBodyParts {
            prefix,
            remainder,
            deadline: self.deadline,
            expects_continue: self.expects_continue,
            reservation: memory.reservation,
            connection: self.connection.clone(),
            last_byte_not_before: arrived_at,
        });
        ReceivedBody { content: RequestBody::Streamed(stream), arrived_at }
    }

    /// The earliest time at which the client can have sent all that it has to send. While the agent waited for memory, it did
    /// not read, and the rest of the body may have arrived unseen.
    fn arrived_at(&self, memory_wait: Duration) -> Instant {
        let read_at = Instant::now() - memory_wait;
        self.head_arrival.request_arrival(self.connection).min(read_at)
    }

    /// Waits for memory until the body times out, the client's timeout is almost over (less [`ANSWER_RESERVE`]) or the
    /// process must answer because it shuts down.
    async fn wait_for_memory<T>(
        &self,
        reservation: impl Future<Output = Result<T, AcquireError>>,
        remaining_timeout: Duration,
    ) -> Result<GrantedMemory<T>, RequestError> {
        let started = Instant::now();
        let due = self.deadline.due().min(started + remaining_timeout.saturating_sub(ANSWER_RESERVE));
        let reservation = tokio::select! {
            biased;
            reservation = timeout_at(due, reservation) => reservation.ok().and_then(Result::ok),
            () = self.lifecycle.wait_until_answer_due() => None,
        };
        let reservation = reservation.ok_or(RequestError::NoBodyMemory)?;
        Ok(GrantedMemory { reservation, waited: started.elapsed() })
    }
}
