//! When a request arrived: the one place that says from when its client's timeout counts.
//!
//! The timeout counts from when the last byte reached this machine, not from when the agent reads it. Until then a request
//! can lie in the listener's accept queue, in the kernel's receive buffer or, behind another one on its connection, in the
//! HTTP library's buffer. Where the time is not known, the earliest possible one is taken: the client is answered too
//! early rather than too late, and no server gets a longer timeout than is left.

use crate::traffic::socket::Socket;
use tokio::time::Instant;

/// When the head of a request arrived, and what had been read from its connection by then.
#[derive(Clone, Copy)]
pub struct HeadArrival {
    /// The last byte of the head had not arrived before this time.
    at: Instant,
    bytes_read: u64,
    was_awaited: bool,
}

impl HeadArrival {
    /// The arrival of a head that has just been parsed. Its end is among the bytes that were read last: the HTTP library
    /// reads on only while it lacks bytes.
    /// `bytes_read_before` is what had been read when the previous head of the connection was parsed.
    pub fn of_last_read(socket: &Socket, bytes_read_before: u64) -> Self {
        let bytes_read = socket.bytes_read();
        HeadArrival {
            at: socket.last_read_arrival(),
            bytes_read,
            was_awaited: socket.was_last_read_awaited() && bytes_read > bytes_read_before,
        }
    }

    /// What had been read of the connection when this head was parsed.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Whether the agent was waiting for this head. If not, the client sends ahead of the responses, or the head came before
    /// its connection was accepted.
    pub fn was_awaited(&self) -> bool {
        self.was_awaited
    }

    /// When the request of this head had arrived, of which the agent has now read all that it buffers before it decides. Its
    /// body, if any, came with the head or was read last.
    pub fn request_arrival(&self, socket: &Socket) -> Instant {
        if socket.bytes_read() == self.bytes_read {
            self.at
        } else {
            socket.last_read_arrival()
        }
    }
}
