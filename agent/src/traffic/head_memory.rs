//! The memory of client connections besides bodies: what the HTTP library reads ahead, and heads.
//!
//! Each connection slot has a fixed allowance, which covers a head of usual size and what is read of a body before memory
//! is reserved for it. A larger head reserves memory before it is read; if there is none for a while, it is rejected.

use std::cell::{Cell, RefCell, RefMut};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The allowance of a connection besides the buffer into which is read: its tasks, the buffer from which heads are
/// written, and a parsed head within [`SMALL_HEAD_BYTES`] and [`MAX_SMALL_HEAD_FIELDS`].
const CONNECTION_BYTES: usize = 16 << 10;
/// A head is read up to this size without a reservation.
pub const SMALL_HEAD_BYTES: usize = 4 << 10;
/// A head with more fields needs a reservation: a parsed field takes some 140 bytes, however short it is.
const MAX_SMALL_HEAD_FIELDS: usize = 32;
/// The reservation of a larger head. The buffer into which it is read grows by doubling, and has up to twice the size of
/// the largest head; what is forwarded of it is copied, and written from a buffer that grows in the same way; the parsed
/// fields take 14 kB at most, and an attempt has a copy of them.
const LARGE_HEAD_BYTES: usize = 144 << 10;
const MIN_LARGE_HEADS: usize = 4;
/// The limits of a single read. Memory beyond the allowances is for larger reads.
const MIN_READ_BYTES: usize = 4 << 10;
const MAX_READ_BYTES: usize = 32 << 10;
/// The HTTP library doubles its buffer if a read has filled it.
const BUFFER_BYTES_PER_READ_BYTE: usize = 2;
/// How long a larger head waits for a reservation. The client's timeout, which is not known yet, may be as short.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(250);

/// The memory of all client connections.
pub struct HeadMemory {
    max_connections: usize,
    max_read_bytes: usize,
    max_large_heads: usize,
    large_heads: Arc<Semaphore>,
    /// Reads that are smaller than the HTTP library's buffer go through these bytes.
    scratch: RefCell<Vec<u8>>,
}

impl HeadMemory {
    /// Divides `bytes` bytes among at most `max_connections` connections. There may be fewer if each could not have its
    /// allowance otherwise. No read is larger than `max_read_bytes`.
    pub fn new(bytes: usize, max_connections: usize, max_read_bytes: usize) -> Rc<Self> {
        let allowance_bytes = bytes.saturating_sub(MIN_LARGE_HEADS * LARGE_HEAD_BYTES);
        let max_connections = max_connections.min(allowance_bytes / connection_bytes(MIN_READ_BYTES)).max(1);
        let read_bytes = (allowance_bytes / max_connections).saturating_sub(CONNECTION_BYTES);
        let max_read_bytes = (read_bytes / BUFFER_BYTES_PER_READ_BYTE)
            .min(max_read_bytes)
            .clamp(MIN_READ_BYTES, MAX_READ_BYTES);
        let large_head_bytes = bytes.saturating_sub(max_connections * connection_bytes(max_read_bytes));
        let large_heads = large_head_bytes / LARGE_HEAD_BYTES;
        let max_large_heads = large_heads.clamp(MIN_LARGE_HEADS, Semaphore::MAX_PERMITS);
        Rc::new(HeadMemory {
            max_connections,
            max_read_bytes,
            max_large_heads,
            scratch: RefCell::new(vec![0; max_read_bytes]),
            large_heads: Arc::new(Semaphore::new(max_large_heads)),
        })
    }

    /// The least memory with which `connections` connections have their allowance, and large heads their places.
    pub fn min_bytes(connections: usize) -> usize {
        connections * connection_bytes(MIN_READ_BYTES) + MIN_LARGE_HEADS * LARGE_HEAD_BYTES
    }

    /// How many connections have an allowance.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// How many large heads may have a reservation at once.
    pub fn max_large_heads(&self) -> usize {
        self.max_large_heads
    }

    /// How many large heads have a reservation.
    pub fn large_heads(&self) -> usize {
        self.max_large_heads - self.large_heads.available_permits()
    }

    /// What all connections and large heads may use together, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_connections * connection_bytes(self.max_read_bytes) + self.max_large_heads * LARGE_HEAD_BYTES
    }

    /// Whether no further large head can be read for now.
    pub fn is_exhausted(&self) -> bool {
        self.large_heads.available_permits() == 0
    }
}

/// The allowance of a connection of which at most `max_read_bytes` bytes are read at once.
fn connection_bytes(max_read_bytes: usize) -> usize {
    CONNECTION_BYTES + BUFFER_BYTES_PER_READ_BYTE * max_read_bytes
}

type WaitForReservation = Pin<Box<dyn Future<Output = Option<OwnedSemaphorePermit>>>>;

/// Limits what the HTTP library reads of one connection.
pub struct HeadGate {
    memory: Rc<HeadMemory>,
    /// The bytes that have been read of the current head.
    head_bytes: Cell<usize>,
    /// Held until the connection ends, as the buffer keeps its size.
    reservation: RefCell<Option<OwnedSemaphorePermit>>,
    waiting: RefCell<Option<WaitForReservation>>,
    is_rejected: Cell<bool>,
}

/// There is no memory for a large head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no capacity for the head")]
pub struct NoHeadMemory;

impl HeadGate {
    /// The gate of a connection that uses `memory`.
    pub fn new(memory: Rc<HeadMemory>) -> Rc<Self> {
        Rc::new(HeadGate {
            memory,
            head_bytes: Cell::new(0),
            reservation: RefCell::default(),
            waiting: RefCell::default(),
            is_rejected: Cell::new(false),
        })
    }

    /// How many bytes may be read at once while a request is being handled.
    pub fn max_read_bytes(&self) -> usize {
        self.memory.max_read_bytes
    }

    /// Bytes for one read of at most [`Self::max_read_bytes`] bytes, to be copied at once.
    pub fn scratch(&self) -> RefMut<'_, Vec<u8>> {
        self.memory.scratch.borrow_mut()
    }

    /// Waits until more of a head may be read. Returns how many bytes.
    ///
    /// # Errors
    ///
    /// [`NoHeadMemory`] if the head is large and no memory became available in time.
    pub fn poll_head_bytes(&self, cx: &mut Context<'_>) -> Poll<Result<usize, NoHeadMemory>> {
        let unreserved = SMALL_HEAD_BYTES.saturating_sub(self.head_bytes.get());
        if unreserved == 0 && self.reservation.borrow().is_none() {
            ready!(self.poll_reservation(cx))?;
        }
        let is_reserved = self.reservation.borrow().is_some();
        let limit = if is_reserved { usize::MAX } else { unreserved };
        Poll::Ready(Ok(limit.min(self.memory.max_read_bytes)))
    }

    fn poll_reservation(&self, cx: &mut Context<'_>) -> Poll<Result<(), NoHeadMemory>> {
        let mut waiting = self.waiting.borrow_mut();
        let wait = waiting.get_or_insert_with(|| {
            let acquire = self.memory.large_heads.clone().acquire_owned();
            Box::pin(async { timeout(RESERVATION_TIMEOUT, acquire).await.ok()?.ok() })
        });
        let reservation = ready!(wait.as_mut().poll(cx));
        *waiting = None;
        self.is_rejected.set(reservation.is_none());
        *self.reservation.borrow_mut() = reservation;
        Poll::Ready(if self.is_rejected.get() { Err(NoHeadMemory) } else { Ok(()) })
    }

    /// Records that bytes of a head were read.
    pub fn record_head_bytes(&self, bytes: usize) {
        self.head_bytes.set(self.head_bytes.get() + bytes);
    }

    /// Admits a head that has been parsed and has this many fields.
    ///
    /// # Errors
    ///
    /// [`NoHeadMemory`] if there are many and no memory is available.
    pub fn admit_parsed_head(&self, fields: usize) -> Result<(), NoHeadMemory> {
        self.head_bytes.set(0);
        let mut reservation = self.reservation.borrow_mut();
        if fields > MAX_SMALL_HEAD_FIELDS && reservation.is_none() {
            let permit = self.memory.large_heads.clone().try_acquire_owned();
            *reservation = Some(permit.map_err(|_| NoHeadMemory)?);
        }
        Ok(())
    }

    /// Whether a part of a head has been read and the rest is not read until there is memory for it.
    pub fn is_waiting(&self) -> bool {
        self.waiting.borrow().is_some()
    }

    /// Whether the head that is being read gets no memory.
    pub fn is_rejected(&self) -> bool {
        self.is_rejected.get()
    }

    /// Whether the connection should be closed so that others can have their large heads read.
    pub fn blocks_large_heads(&self) -> bool {
        self.reservation.borrow().is_some() && self.memory.is_exhausted()
    }
}

#[cfg(test)]
mod tests;
