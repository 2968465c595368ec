//! The memory budget of bodies: each body reserves memory before it is read and releases it when it is dropped.

use std::sync::Arc;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};

/// The longest body that is buffered completely; a longer one is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The limit of hyper's buffer for each direction of a connection.
pub const HTTP_BUFFER_BYTES: usize = 32 << 10;
/// A body up to this size is part of the allowance of its connection, and does not wait for memory behind longer ones.
const UNRESERVED_BODY_BYTES: usize = 2 << 10;
/// The reservation of a streamed body: one chunk being read, one in transit and one being written.
const STREAMED_BODY_BYTES: usize = 3 * HTTP_BUFFER_BYTES;
/// The part of the memory limit that is reserved for everything but bodies, for both processes of an upgrade together.
const PROCESS_MEMORY_MB: u64 = 16;
/// The rest of the memory limit is divided by this to give the memory of bodies. Buffers of idle connections and memory
/// that the allocator does not return to the system take the other half.
const BODY_MEMORY_DIVISOR: u64 = 2;
const MIN_BUDGET_BYTES: u64 = 2 << 20;
const BYTES_PER_PERMIT: usize = 1 << 10;

/// Client connections get the memory limit divided by this, apart from bodies.
const CONNECTION_MEMORY_DIVISOR: u64 = 2;

/// The bytes of bodies that the process may hold in memory, half of them for each direction: buffered requests must not
/// keep responses from being read, as the requests wait for these responses.
pub struct MemoryBudget {
    responses: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    permits_per_direction: usize,
    connection_bytes: usize,
}

/// A reserved part of the budget, released when it is dropped.
pub type MemoryReservation = OwnedSemaphorePermit;

impl MemoryBudget {
    /// The budget of a process with a memory limit of `memory_mb` MB; half of it if `is_shared`, as two processes run
    /// under the same limit then.
    pub fn for_process(memory_mb: u64, is_shared: bool) -> Self {
        let processes = if is_shared { 2 } else { 1 };
        let bytes = (memory_mb.saturating_sub(PROCESS_MEMORY_MB) << 20) / BODY_MEMORY_DIVISOR / processes;
        let connection_bytes = (memory_mb << 20) / CONNECTION_MEMORY_DIVISOR / processes;
        Self::new(bytes.max(MIN_BUDGET_BYTES) as usize, connection_bytes as usize)
    }

    fn new(bytes: usize, connection_bytes: usize) -> Self {
        let permits = (bytes / 2 / BYTES_PER_PERMIT).min(Semaphore::MAX_PERMITS);
        MemoryBudget {
            responses: Arc::new(Semaphore::new(permits)),
            requests: Arc::new(Semaphore::new(permits)),
            permits_per_direction: permits,
            connection_bytes,
        }
    }

    /// The memory of client connections apart from bodies, in bytes.
    pub fn connection_bytes(&self) -> usize {
        self.connection_bytes
    }

    /// Waits until `bytes` bytes of a response fit into the budget.
    pub async fn reserve_response(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        self.reserve(&self.responses, bytes).await
    }

    /// Waits until `bytes` bytes of a request fit into the budget.
    pub async fn reserve_request(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        self.reserve(&self.requests, bytes).await
    }

    /// Waits until a streamed response fits into the budget.
    pub async fn reserve_streamed_response(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_response(STREAMED_BODY_BYTES).await
    }

    /// Waits until a streamed request fits into the budget, including its buffered prefix.
    pub async fn reserve_streamed_request(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_request(STREAMED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES).await
    }

    async fn reserve(
        &self,
        direction: &Arc<Semaphore>,
        bytes: usize,
    ) -> Result<MemoryReservation, AcquireError> {
        let bytes = if bytes <= UNRESERVED_BODY_BYTES { 0 } else { bytes };
        let permits = bytes.div_ceil(BYTES_PER_PERMIT).min(self.permits_per_direction) as u32;
        direction.clone().acquire_many_owned(permits).await
    }
}
