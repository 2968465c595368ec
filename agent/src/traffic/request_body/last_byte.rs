//! When a client has sent the last byte of a request body, also where the agent does not read the body as fast as it
//! arrives: while its server takes nothing, the rest stays unread in the system's receive buffer.

use crate::traffic::memory_budget::HTTP_BUFFER_BYTES;
use crate::traffic::socket::Socket;
use std::time::Duration;
use tokio::time::Instant;

/// How much of a body has arrived is observed again after this time while the body is not read, and while bytes are
/// expected from the client.
const UNREAD_OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
const EXPECTED_OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);
/// The system is not asked more often than this.
const MIN_OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
/// The HTTP library holds at most this much of a body that it has read: a chunk in transit and its read buffer.
const MAX_BUFFERED_BYTES: u64 = 2 * HTTP_BUFFER_BYTES as u64;

/// A lower bound of the time at which a client has sent the last byte of a body. It moves on as long as the client is
/// seen to be sending, and stands still once nothing more arrives: the body may be complete then.
pub struct LastByteEstimate {
    connection: Socket,
    /// The last byte was not sent before this time.
    not_before: Instant,
    observed_at: Instant,
    /// The bytes that had arrived on the connection by `observed_at`, read or not; `None` if the system does not tell.
    arrived: Option<u64>,
}

/// What a body is waiting for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// An attempt has asked for more of the body than has arrived.
    ForClient,
    /// No attempt has asked for more of the body.
    ForServer,
}

impl LastByteEstimate {
    /// The estimate for a body on `connection` whose last byte was not sent before `not_before`.
    pub fn new(connection: Socket, not_before: Instant) -> Self {
        let arrived = arrived_bytes(&connection);
        LastByteEstimate { connection, not_before, observed_at: Instant::now(), arrived }
    }

    /// The last byte was not sent before this time.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    /// How many bytes have arrived and have not been read; `None` if the system does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        self.connection.unread_bytes()
    }

    /// Records that the last byte has not been sent before `now`.
    pub fn record_incomplete(&mut self, now: Instant) {
        self.not_before = self.not_before.max(now);
    }

    /// Records that a part of the body was read at `now`; `remaining` bytes of it were not, if its length is known. The
    /// client cannot have sent all of these if they have not arrived.
    pub fn record_read(&mut self, now: Instant, remaining: Option<u64>) {
        if now < self.observed_at + MIN_OBSERVATION_INTERVAL {
            return;
        }
        self.observe_arrivals(now);
        let unread = self.connection.unread_bytes().map(|bytes| bytes + MAX_BUFFERED_BYTES);
        if remaining.zip(unread).is_some_and(|(remaining, unread)| remaining > unread) {
            self.record_incomplete(now);
        }
    }

    /// Observes what has arrived by `now`.
    pub fn observe(&mut self, now: Instant, waiting: Waiting) {
        if waiting == Waiting::ForClient && !self.connection.has_pending_input() {
            self.record_incomplete(now);
        }
        if now >= self.observed_at + MIN_OBSERVATION_INTERVAL {
            self.observe_arrivals(now);
        }
    }

    /// When to observe again what has arrived.
    pub fn next_observation(&self, waiting: Waiting) -> Instant {
        self.observed_at
            + match waiting {
                Waiting::ForClient => EXPECTED_OBSERVATION_INTERVAL,
                Waiting::ForServer => UNREAD_OBSERVATION_INTERVAL,
            }
    }

    fn observe_arrivals(&mut self, now: Instant) {
        let arrived = arrived_bytes(&self.connection);
        if arrived > self.arrived && self.arrived.is_some() {
            // The new bytes were sent after the previous observation, and the last byte is one of them or follows them.
            self.record_incomplete(self.observed_at);
        }
        (self.observed_at, self.arrived) = (now, arrived);
    }
}

/// The bytes that have arrived on a connection, read or not.
fn arrived_bytes(connection: &Socket) -> Option<u64> {
    connection.unread_bytes().map(|unread| connection.bytes_read() + unread)
}

#[cfg(test)]
mod tests;
