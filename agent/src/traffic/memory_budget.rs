//! The memory that bodies may take: each reserves its share before it is read, and gives it back when it is dropped.

use std::sync::Arc;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// The longest body that is buffered completely; a longer one is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// What hyper may buffer of a connection in each direction.
pub const HTTP_BUFFER_BYTES: usize = 32 << 10;
/// What a streamed body takes of the budget: a chunk that is read, one on its way and one being written.
const STREAMED_BODY_BYTES: usize = 3 * HTTP_BUFFER_BYTES;
/// Of the memory limit, what the processes need beside bodies (two during an upgrade).
const PROCESS_MEMORY_MB: u64 = 16;
/// What part of the rest is the bodies', as a divisor: buffers of idle connections and what the allocator does not give
/// back take the other.
const BODY_MEMORY_DIVISOR: u64 = 2;
const MIN_BUDGET_BYTES: u64 = 2 << 20;
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Bytes of bodies that the process may have in memory, half of them for each direction: requests that are buffered must
/// not keep responses from being read, which is what they wait for.
pub struct MemoryBudget {
    responses: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    permits_per_direction: usize,
}

/// A part of the budget, reserved until it is dropped.
pub type MemoryReservation = OwnedSemaphorePermit;

impl MemoryBudget {
    /// The budget of a process under a memory limit; if `is_shared`, of one of two under the same limit.
    pub fn for_process(memory_mb: u64, is_shared: bool) -> Self {
        let processes = if is_shared { 2 } else { 1 };
        let bytes = (memory_mb.saturating_sub(PROCESS_MEMORY_MB) << 20) / BODY_MEMORY_DIVISOR / processes;
        Self::new(bytes.max(MIN_BUDGET_BYTES) as usize)
    }

    fn new(bytes: usize) -> Self {
        let permits = (bytes / 2 / BYTES_PER_PERMIT).min(Semaphore::MAX_PERMITS);
        MemoryBudget {
            responses: Arc::new(Semaphore::new(permits)),
            requests: Arc::new(Semaphore::new(permits)),
            permits_per_direction: permits,
        }
    }

    /// Waits until so many bytes of a response fit.
    pub async fn reserve_response(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        self.reserve(&self.responses, bytes).await
    }

    /// Waits until so many bytes of a request fit.
    pub async fn reserve_request(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        self.reserve(&self.requests, bytes).await
    }

    /// Waits until a streamed response fits.
    pub async fn reserve_streamed_response(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_response(STREAMED_BODY_BYTES).await
    }

    /// Waits until a streamed request fits, with what is buffered of its beginning.
    pub async fn reserve_streamed_request(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_request(STREAMED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES).await
    }

    async fn reserve(
        &self,
        direction: &Arc<Semaphore>,
        bytes: usize,
    ) -> Result<MemoryReservation, AcquireError> {
        let permits = bytes.div_ceil(BYTES_PER_PERMIT).min(self.permits_per_direction) as u32;
        direction.clone().acquire_many_owned(permits).await
    }
}
