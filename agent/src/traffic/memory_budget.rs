//! Divides the memory limit among connections and bodies. Each body reserves memory before it is read, and releases it when
//! the last of its bytes is dropped.

use crate::traffic::head_memory::HeadMemory;
use bytes::Bytes;
use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{AcquireError, Notify, OwnedSemaphorePermit, Semaphore};

/// The longest body that is buffered completely; a longer one is streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// The limit of hyper's buffer for each direction of a connection.
pub const HTTP_BUFFER_BYTES: usize = 32 << 10;
/// A body up to this size is part of the allowance of its connection, and does not wait for memory behind longer ones.
const UNRESERVED_BODY_BYTES: usize = 2 << 10;
/// The least buffer that the HTTP library can work with.
const MIN_STREAM_BUFFER_BYTES: usize = 8 << 10;
/// A streamed body has one chunk being read, one in transit and one being written.
const CHUNKS_PER_STREAM: usize = 3;
/// The last chunk that is read of the beginning of a body may go past the limit of what is buffered.
const EXCESS_CHUNKS: usize = 1;
/// A body of unknown length is buffered up to this size if there is no memory for more.
const MIN_BUFFERED_BODY_BYTES: usize = 8 << 10;
const BYTES_PER_PERMIT: usize = 1 << 10;
/// The application uses at most the descriptors divided by this for its requests (the terms).
const REQUEST_DESCRIPTORS_DIVISOR: usize = 3;

/// Memory of a process without any peer: the program, the runtime, the log's queue and the endpoint list.
const PROCESS_BYTES: usize = 6 << 20;
/// This part of the memory limit is left to the allocator, which does not return all that is freed.
const ALLOCATOR_DIVISOR: usize = 6;
/// What peers may use at the least, however low the limit is.
const MIN_PEER_BYTES: usize = 4 << 20;
/// What connections to clients leave to bodies and connections to servers at the least.
const MIN_REST_BYTES: usize = 7 << 19;
/// Connections to clients get this share of what peers may use, and up to the larger one if there are many.
const CLIENT_SHARE: Share = Share { part: 1, whole: 2 };
const MAX_CLIENT_SHARE: Share = Share { part: 4, whole: 5 };
/// Bodies get at least this share of the rest, in both directions together; connections to servers get what they need of
/// the other part.
const MIN_BODY_SHARE: Share = Share { part: 3, whole: 5 };
/// A connection to a server, besides the buffer into which is read: its tasks, an attempt, and the buffer from which heads
/// are written.
const SERVER_CONNECTION_BYTES: usize = 16 << 10;

/// A fraction.
struct Share {
    part: usize,
    whole: usize,
}

impl Share {
    fn of(&self, bytes: usize) -> usize {
        bytes / self.whole * self.part
    }
}

/// What the configuration allows a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// The memory limit in MB.
    pub memory_mb: u64,
    /// Whether another process runs under the same memory limit.
    pub is_memory_shared: bool,
    /// How many requests clients have at once, in each direction.
    pub max_requests: usize,
    /// How many connections clients may have.
    pub max_client_connections: usize,
    /// How many connections to servers may be open.
    pub max_server_connections: usize,
}

impl ProcessLimits {
    /// The limits of a process with this many descriptors, of which connections to servers use `max_server_connections`.
    pub fn new(
        memory_mb: u64,
        is_memory_shared: bool,
        descriptors: usize,
        max_server_connections: usize,
    ) -> Self {
        let max_requests = descriptors / REQUEST_DESCRIPTORS_DIVISOR;
        ProcessLimits {
            memory_mb,
            is_memory_shared,
            max_requests,
            max_client_connections: descriptors - max_requests,
            max_server_connections,
        }
    }

    /// The memory limit of this process alone.
    fn limit_bytes(&self) -> usize {
        (self.memory_mb << 20) as usize / if self.is_memory_shared { 2 } else { 1 }
    }
}

/// The bytes of bodies that the process may hold in memory, half of them for each direction: buffered requests must not
/// keep responses from being read, as the requests wait for these responses.
pub struct MemoryBudget {
    responses: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    permits_per_direction: usize,
    client_connection_bytes: usize,
    max_server_connections: usize,
    stream_buffer_bytes: usize,
    max_requests: usize,
    /// Reservations of requests that are held now.
    held_requests: Arc<AtomicUsize>,
    waits: Cell<u64>,
    pressure: Notify,
}

/// What is reserved of a budget, for the log.
pub struct Reserved {
    /// Bytes of requests.
    pub request_bytes: usize,
    /// Bytes of responses.
    pub response_bytes: usize,
    /// Reservations that were not granted at once, since the process started.
    pub waits: u64,
}

/// A reserved part of the budget, released when it is dropped.
pub struct MemoryReservation {
    permits: OwnedSemaphorePermit,
    _held: Option<HeldRequest>,
}

impl MemoryReservation {
    /// Releases all but `bytes` bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.permits.num_permits().saturating_sub(bytes.div_ceil(BYTES_PER_PERMIT));
        drop(self.permits.split(surplus));
    }
}

/// Counts a reservation of a request as held until it is dropped.
struct HeldRequest(Arc<AtomicUsize>);

impl HeldRequest {
    fn new(held: &Arc<AtomicUsize>) -> Self {
        held.fetch_add(1, Ordering::Relaxed);
        HeldRequest(held.clone())
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let HeldRequest(held) = self;
        held.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes that keep a reservation until they are dropped.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Arc<MemoryReservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The same bytes, which keep `reservation` for as long as any part of them waits to be written.
pub fn reserved(bytes: Bytes, reservation: &Arc<MemoryReservation>) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation.clone() })
}

/// A reservation for a body of unknown length, which covers it whether it proves short or is streamed.
pub struct OpenReservation {
    /// The reserved memory.
    pub reservation: MemoryReservation,
    /// The body is streamed once more of it than this has been buffered.
    pub max_buffered_bytes: usize,
}

impl MemoryBudget {
    /// The budget of a process; half of the memory if two processes share it. There may be fewer connections if memory does
    /// not allow so many. The buffers of streamed bodies are as large as bodies of all requests allow, within bounds.
    pub fn for_process(limits: &ProcessLimits) -> Self {
        let max_requests = limits.max_requests;
        let limit_bytes = limits.limit_bytes();
        let peer_bytes = limit_bytes.saturating_sub(PROCESS_BYTES + limit_bytes / ALLOCATOR_DIVISOR);
        let peer_bytes = peer_bytes.max(MIN_PEER_BYTES);
        let wanted_bytes = HeadMemory::min_bytes(limits.max_client_connections);
        let client_connection_bytes = wanted_bytes
            .min(MAX_CLIENT_SHARE.of(peer_bytes))
            .max(CLIENT_SHARE.of(peer_bytes))
            .min(peer_bytes - MIN_REST_BYTES);
        let rest_bytes = peer_bytes - client_connection_bytes;
        let min_body_bytes = MIN_BODY_SHARE.of(rest_bytes);
        let stream_buffer_bytes = stream_buffer_bytes(min_body_bytes / 2, max_requests);
        let server_connection_bytes = SERVER_CONNECTION_BYTES + stream_buffer_bytes;
        let affordable_connections = (rest_bytes - min_body_bytes) / server_connection_bytes;
        let max_server_connections = limits.max_server_connections.min(affordable_connections.max(1));
        let body_bytes = rest_bytes - max_server_connections * server_connection_bytes;
        let permits_per_direction = (body_bytes / 2 / BYTES_PER_PERMIT).min(Semaphore::MAX_PERMITS);
        MemoryBudget {
            responses: Arc::new(Semaphore::new(permits_per_direction)),
            requests: Arc::new(Semaphore::new(permits_per_direction)),
            permits_per_direction,
            client_connection_bytes,
            max_server_connections,
            stream_buffer_bytes,
            max_requests,
            held_requests: Arc::default(),
            waits: Cell::new(0),
            pressure: Notify::new(),
        }
    }

    /// What bodies in both directions and connections to servers may use together, in bytes.
    pub fn max_bytes(&self) -> usize {
        let server_connection_bytes = SERVER_CONNECTION_BYTES + self.stream_buffer_bytes;
        2 * self.permits_per_direction * BYTES_PER_PERMIT
            + self.max_server_connections * server_connection_bytes
    }

    /// How many connections to servers may be open.
    pub fn max_server_connections(&self) -> usize {
        self.max_server_connections
    }

    /// The limit of the HTTP library's buffer for each direction of a connection to a server.
    pub fn stream_buffer_bytes(&self) -> usize {
        self.stream_buffer_bytes
    }

    /// The memory of client connections apart from bodies, in bytes.
    pub fn client_connection_bytes(&self) -> usize {
        self.client_connection_bytes
    }

    /// What is reserved now.
    pub fn reserved(&self) -> Reserved {
        let bytes = |direction: &Semaphore| {
            (self.permits_per_direction - direction.available_permits()) * BYTES_PER_PERMIT
        };
        Reserved {
            request_bytes: bytes(&self.requests),
            response_bytes: bytes(&self.responses),
            waits: self.waits.get(),
        }
    }

    /// Waits until a reservation is not granted at once.
    pub async fn wait_for_pressure(&self) {
        self.pressure.notified().await;
    }

    /// Waits until `bytes` bytes of a response fit into the budget.
    pub async fn reserve_response(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        let permits = self.reserve(&self.responses, bytes).await?;
        Ok(MemoryReservation { permits, _held: None })
    }

    /// Waits until `bytes` bytes of a request fit into the budget.
    pub async fn reserve_request(&self, bytes: usize) -> Result<MemoryReservation, AcquireError> {
        let permits = self.reserve(&self.requests, bytes).await?;
        Ok(MemoryReservation { permits, _held: Some(HeldRequest::new(&self.held_requests)) })
    }

    /// Waits until a streamed response fits into the budget. The buffer from which it is written to the client has its full
    /// size.
    pub async fn reserve_streamed_response(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_response(self.streamed_response_bytes()).await
    }

    /// Waits until a streamed request fits into the budget.
    pub async fn reserve_streamed_request(&self) -> Result<MemoryReservation, AcquireError> {
        self.reserve_request(self.streamed_request_bytes()).await
    }

    /// Waits until a request of unknown length fits into the budget, whether it proves short or is streamed. As much of it
    /// may be buffered as leaves space for as many more requests as clients may have.
    pub async fn reserve_open_request(&self) -> Result<OpenReservation, AcquireError> {
        let free_bytes = self.requests.available_permits() * BYTES_PER_PERMIT;
        let further_requests =
            self.max_requests.saturating_sub(self.held_requests.load(Ordering::Relaxed) + 1);
        let others_bytes = further_requests * self.open_request_bytes(MIN_BUFFERED_BODY_BYTES);
        let has_capacity = free_bytes >= others_bytes + self.open_request_bytes(MAX_BUFFERED_BODY_BYTES);
        let max_buffered_bytes = if has_capacity { MAX_BUFFERED_BODY_BYTES } else { MIN_BUFFERED_BODY_BYTES };
        let reservation = self.reserve_request(self.open_request_bytes(max_buffered_bytes)).await?;
        Ok(OpenReservation { reservation, max_buffered_bytes })
    }

    /// Waits until a response of unknown length fits into the budget, whether it proves short or is streamed. Much of it is
    /// buffered only if half of the budget stays free, as requests wait for their responses.
    pub async fn reserve_open_response(&self) -> Result<OpenReservation, AcquireError> {
        let free_bytes = self.responses.available_permits() * BYTES_PER_PERMIT;
        let others_bytes = self.permits_per_direction / 2 * BYTES_PER_PERMIT;
        let open_bytes = |limit| self.buffer_bytes(limit) + self.streamed_response_bytes();
        let has_capacity = free_bytes >= others_bytes + open_bytes(MAX_BUFFERED_BODY_BYTES);
        let max_buffered_bytes = if has_capacity { MAX_BUFFERED_BODY_BYTES } else { MIN_BUFFERED_BODY_BYTES };
        let reservation = self.reserve_response(open_bytes(max_buffered_bytes)).await?;
        Ok(OpenReservation { reservation, max_buffered_bytes })
    }

    fn streamed_response_bytes(&self) -> usize {
        (CHUNKS_PER_STREAM - 1) * self.stream_buffer_bytes + HTTP_BUFFER_BYTES
    }

    fn streamed_request_bytes(&self) -> usize {
        CHUNKS_PER_STREAM * self.stream_buffer_bytes
    }

    fn open_request_bytes(&self, max_buffered_bytes: usize) -> usize {
        self.buffer_bytes(max_buffered_bytes) + self.streamed_request_bytes()
    }

    /// The size of a buffer for the beginning of a body, with the chunk that goes past the limit.
    pub fn buffer_bytes(&self, max_buffered_bytes: usize) -> usize {
        max_buffered_bytes + EXCESS_CHUNKS * self.stream_buffer_bytes
    }

    async fn reserve(
        &self,
        direction: &Arc<Semaphore>,
        bytes: usize,
    ) -> Result<OwnedSemaphorePermit, AcquireError> {
        let bytes = if bytes <= UNRESERVED_BODY_BYTES { 0 } else { bytes };
        let permits = bytes.div_ceil(BYTES_PER_PERMIT).min(self.permits_per_direction) as u32;
        if permits as usize > direction.available_permits() {
            self.waits.set(self.waits.get() + 1);
            self.pressure.notify_one();
        }
        direction.clone().acquire_many_owned(permits).await
    }
}

/// The buffers of streamed bodies if `max_requests` bodies in each direction have `bytes` bytes.
fn stream_buffer_bytes(bytes: usize, max_requests: usize) -> usize {
    let stream_bytes = bytes / max_requests.max(1);
    let request_buffer_bytes =
        stream_bytes.saturating_sub(MIN_BUFFERED_BODY_BYTES) / (CHUNKS_PER_STREAM + EXCESS_CHUNKS);
    let response_buffer_bytes = stream_bytes.saturating_sub(HTTP_BUFFER_BYTES) / (CHUNKS_PER_STREAM - 1);
    let buffer_bytes =
        request_buffer_bytes.min(response_buffer_bytes).clamp(MIN_STREAM_BUFFER_BYTES, HTTP_BUFFER_BYTES);
    // Reservations are rounded up to whole permits.
    buffer_bytes / BYTES_PER_PERMIT * BYTES_PER_PERMIT
}

#[cfg(test)]
mod tests;
