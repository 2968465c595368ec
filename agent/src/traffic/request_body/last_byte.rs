//! When a client has sent the last byte of a request body, also where the agent does not read the body as fast as its client
//! writes it. What the agent has not read lies in its receive buffer and, once that is full, in the send buffer of the client:
//! the client's last write may have returned long before the last byte arrives.

use crate::traffic::memory_budget::HTTP_BUFFER_BYTES;
use crate::traffic::socket::Socket;
use std::collections::VecDeque;
use std::sync::OnceLock;
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
/// The send buffer that is assumed if the system does not tell its limits.
const DEFAULT_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// How many times are remembered at which bytes had arrived.
const MAX_SAMPLES: usize = 32;

/// A lower bound of the time at which a client has written the last byte of a body. It moves on only with what shows that the
/// client was still writing: that all it had written had arrived and was not the complete body, that the system has counted
/// more written bytes since, or that more of the body was missing than a send buffer holds. That the agent reads, as a server
/// takes more, shows nothing.
pub struct LastByteEstimate {
    connection: Socket,
    /// The last byte was not written before this time.
    not_before: Instant,
    observed_at: Instant,
    /// The bytes that had arrived on the connection by `observed_at`, read or not, if these were all that the client had
    /// written; `None` if they may not have been, or the system does not tell.
    all_arrived: Option<u64>,
    /// The bytes that the client had written by `observed_at`, while they may not all have arrived; `None` if all have, or the
    /// system does not tell.
    written: Option<u64>,
    missing: MissingBytes,
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
    /// The estimate for a body on `connection` whose last byte was not written before `not_before`.
    pub fn new(connection: Socket, not_before: Instant) -> Self {
        let now = Instant::now();
        let arrived = arrived_bytes(&connection);
        let have_all_arrived = connection.all_arrived_at(now) == now;
        LastByteEstimate {
            connection,
            not_before,
            observed_at: now,
            all_arrived: arrived.filter(|_| have_all_arrived),
            written: None,
            missing: MissingBytes::new(max_send_buffer_bytes()),
        }
    }

    /// The last byte was not written before this time.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    /// How many bytes have arrived and have not been read; `None` if the system does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        self.connection.unread_bytes()
    }

    /// Records that the last byte has not been written before `now`.
    pub fn record_incomplete(&mut self, now: Instant) {
        self.not_before = self.not_before.max(now);
    }

    /// Records that a part of the body was read at `now`; `remaining` bytes of it were not, if its length is known.
    pub fn record_read(&mut self, now: Instant, remaining: Option<u64>) {
        if now < self.observed_at + MIN_OBSERVATION_INTERVAL {
            return;
        }
        self.observe_arrivals(now);
        let Some(unread) = self.connection.unread_bytes() else { return };
        let must_arrive = remaining.map(|remaining| remaining.saturating_sub(MAX_BUFFERED_BYTES));
        if must_arrive.is_some_and(|bytes| bytes > unread) && self.connection.all_arrived_at(now) == now {
            self.record_incomplete(now);
        }
        let end = self.connection.bytes_read() + must_arrive.unwrap_or(0).max(unread);
        if let Some(incomplete_at) = self.missing.latest_incomplete(end) {
            self.record_incomplete(incomplete_at);
        }
    }

    /// Observes what has arrived by `now`.
    pub fn observe(&mut self, now: Instant, waiting: Waiting) {
        let is_starved = waiting == Waiting::ForClient && !self.connection.has_pending_input();
        if is_starved && self.connection.all_arrived_at(now) == now {
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
        if self.all_arrived.is_some() && arrived > self.all_arrived {
            // The new bytes were written after the previous observation, and the last byte is one of them or follows them.
            self.record_incomplete(self.observed_at);
        }
        let have_all_arrived = self.connection.all_arrived_at(now) == now;
        self.all_arrived = arrived.filter(|_| have_all_arrived);
        let written = if have_all_arrived { None } else { self.connection.written_by_peer() };
        if self.written.is_some() && written > self.written {
            self.record_incomplete(self.observed_at);
        }
        self.written = written;
        if let Some(arrived) = arrived {
            self.missing.record(now, arrived);
        }
        self.observed_at = now;
    }
}

/// When so much of a body was missing that a client's send buffer cannot have held it.
struct MissingBytes {
    max_send_buffer_bytes: u64,
    /// The bytes that had arrived at certain times, the earliest first.
    samples: VecDeque<ArrivalSample>,
}

struct ArrivalSample {
    at: Instant,
    arrived: u64,
}

impl MissingBytes {
    fn new(max_send_buffer_bytes: u64) -> Self {
        MissingBytes { max_send_buffer_bytes, samples: VecDeque::new() }
    }

    /// Records that `arrived` bytes had arrived at `now`.
    fn record(&mut self, now: Instant, arrived: u64) {
        let step = self.max_send_buffer_bytes / MAX_SAMPLES as u64;
        let is_due = self.samples.back().is_none_or(|last| arrived > last.arrived + step);
        if is_due {
            self.samples.push_back(ArrivalSample { at: now, arrived });
            self.samples.truncate(MAX_SAMPLES);
        }
    }

    /// The latest time at which some of the bytes before `end` cannot have been written, if there is a new one.
    fn latest_incomplete(&mut self, end: u64) -> Option<Instant> {
        let is_incomplete = |sample: &ArrivalSample| sample.arrived + self.max_send_buffer_bytes < end;
        let incomplete = self.samples.iter().take_while(|sample| is_incomplete(sample)).count();
        self.samples.drain(..incomplete).next_back().map(|sample| sample.at)
    }
}

/// The most that the system keeps of what a client has written and its peer has not taken: the larger one of the limits for
/// buffers that grow by themselves and for those that a program sets. The client is on the same machine as the agent.
fn max_send_buffer_bytes() -> u64 {
    static BYTES: OnceLock<u64> = OnceLock::new();
    *BYTES.get_or_init(|| {
        let last_number = |path: &str| -> Option<u64> {
            std::fs::read_to_string(path).ok()?.split_whitespace().last()?.parse().ok()
        };
        let grown = last_number("/proc/sys/net/ipv4/tcp_wmem").unwrap_or(DEFAULT_SEND_BUFFER_BYTES);
        // The system doubles what a program sets.
        let set = last_number("/proc/sys/net/core/wmem_max").unwrap_or_default() * 2;
        grown.max(set)
    })
}

/// The bytes that have arrived on a connection, read or not.
fn arrived_bytes(connection: &Socket) -> Option<u64> {
    connection.unread_bytes().map(|unread| connection.bytes_read() + unread)
}

#[cfg(test)]
mod tests;
