//! Reads the body of a request: a short one completely, and so much of another one that it shows.

use crate::downstream::errors::RequestError;
use crate::downstream::lifecycle::Lifecycle;
use crate::driver::client_request::RequestBody;
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::memory_budget::{MemoryBudget, MemoryReservation, MAX_BUFFERED_BODY_BYTES};
use crate::traffic::request_body::{BodyError, LongBody, RequestBodyStream, MAX_REQUEST_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::time::Duration;
use tokio::sync::AcquireError;
use tokio::time::{timeout_at, Instant};

/// The part of a client's wait that is left for writing the answer.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(6);

/// Reads one body.
pub struct BodyReader<'a> {
    /// The memory that it may take.
    pub budget: &'a MemoryBudget,
    /// By when it has to be answered.
    pub lifecycle: &'a Lifecycle,
    /// When it has to come.
    pub deadline: BodyDeadline,
    /// Whether the client waits for `100 Continue` before it sends anything.
    pub expects_continue: bool,
    /// How long the client waits for its answer.
    pub wait: Duration,
}

/// A body, as far as it is buffered.
pub struct ReceivedBody {
    /// The body, or its stream.
    pub content: RequestBody,
    /// How long it has waited for memory altogether.
    pub memory_wait: Duration,
}

/// Memory for a body.
struct GrantedMemory {
    reservation: MemoryReservation,
    /// How long the body has waited for it.
    waited: Duration,
}

/// What a body has shown to be.
enum BufferedBody {
    /// Short, and complete.
    Complete(Bytes),
    /// Long; this is its beginning.
    Beginning(Bytes),
}

impl BodyReader<'_> {
    /// Reads a body until it is complete or has turned out to be long.
    pub async fn read(mut self, mut body: Incoming) -> Result<ReceivedBody, RequestError> {
        let hint = body.size_hint();
        if hint.lower() > MAX_REQUEST_BODY_BYTES {
            return Err(BodyError::TooLong.into());
        }
        let mut beginning = Bytes::new();
        let mut memory_wait = Duration::ZERO;
        if hint.lower() <= MAX_BUFFERED_BODY_BYTES as u64 {
            let bytes = hint.exact().map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize);
            let memory = self.wait_for_memory(self.budget.reserve_request(bytes), self.wait).await?;
            memory_wait = memory.waited;
            match self.read_short(&mut body).await? {
                BufferedBody::Complete(bytes) => {
                    let content = RequestBody::Buffered { bytes, _reservation: memory.reservation };
                    return Ok(ReceivedBody { content, memory_wait });
                }
                BufferedBody::Beginning(bytes) => beginning = bytes,
            }
        }
        let wait = self.wait.saturating_sub(memory_wait);
        let memory = self.wait_for_memory(self.budget.reserve_streamed_request(), wait).await?;
        memory_wait += memory.waited;
        let stream = RequestBodyStream::new(LongBody {
            beginning,
            remainder: body,
            deadline: self.deadline,
            expects_continue: self.expects_continue,
            reservation: memory.reservation,
            received_since: Instant::now() - memory_wait,
        });
        Ok(ReceivedBody { content: RequestBody::Streamed(stream), memory_wait })
    }

    async fn read_short(&mut self, body: &mut Incoming) -> Result<BufferedBody, BodyError> {
        let mut buffered = BytesMut::new();
        while buffered.len() <= MAX_BUFFERED_BODY_BYTES {
            let frame =
                timeout_at(self.deadline.due(), body.frame()).await.map_err(|_| BodyError::TimedOut)?;
            let Some(frame) = frame else { return Ok(BufferedBody::Complete(buffered.freeze())) };
            let Ok(bytes) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
            self.deadline.record_bytes(bytes.len());
            buffered.extend_from_slice(&bytes);
        }
        Ok(BufferedBody::Beginning(buffered.freeze()))
    }

    /// Waits for memory for as long as the client waits and the body has time to come.
    async fn wait_for_memory(
        &self,
        reservation: impl Future<Output = Result<MemoryReservation, AcquireError>>,
        wait: Duration,
    ) -> Result<GrantedMemory, RequestError> {
        let started = Instant::now();
        let due = self.deadline.due().min(started + wait.saturating_sub(ANSWER_RESERVE));
        let reservation = tokio::select! {
            biased;
            reservation = timeout_at(due, reservation) => reservation.ok().and_then(Result::ok),
            () = self.lifecycle.wait_until_answer_due(None) => None,
        };
        let reservation = reservation.ok_or(RequestError::NoBodyMemory)?;
        Ok(GrantedMemory { reservation, waited: started.elapsed() })
    }
}
