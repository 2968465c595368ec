//! This balancer's attempts in flight and idle connections at a server.

use crate::{Outcome, Span, Time};

/// An idle connection is assumed to be open for this fraction of the server's keep-alive time.
const REUSABLE_KEEPALIVE_FRACTION: f64 = 0.5;

/// The attempts in flight at a server and the connections that completed attempts have left idle.
pub(crate) struct ServerConnections {
    in_flight: u32,
    /// The attempts in flight whose request bodies are still being received.
    uploading: u32,
    /// The number of connections that are assumed to be idle.
    idle: u32,
    /// When the most recent connection became idle.
    idle_since: Time,
}

impl ServerConnections {
    /// No attempts and no connections.
    pub(crate) fn new(now: Time) -> Self {
        ServerConnections { in_flight: 0, uploading: 0, idle: 0, idle_since: now }
    }

    /// Forgets the idle connections after the server's process has restarted: they ended with the previous one.
    pub(crate) fn restart(&mut self, now: Time) {
        (self.idle, self.idle_since) = (0, now);
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The number of attempts in flight that the server can process: their requests have been received completely.
    pub(crate) fn fully_received(&self) -> u32 {
        self.in_flight - self.uploading
    }

    /// Whether there is an idle connection that has not been idle for long enough to be closed by the server.
    pub(crate) fn has_reusable_connection(&self, now: Time, keepalive: Span) -> bool {
        self.idle > 0 && now.since(self.idle_since) < keepalive * REUSABLE_KEEPALIVE_FRACTION
    }

    /// Records that an attempt is sent. If it does not reuse an idle connection, all idle ones count as closed.
    pub(crate) fn record_send(&mut self, is_uploading: bool, reuses_connection: bool) {
        self.in_flight += 1;
        self.uploading += u32::from(is_uploading);
        self.idle = if reuses_connection { self.idle - 1 } else { 0 };
    }

    /// Records that the body of an attempt's request has been received completely.
    pub(crate) fn record_upload_complete(&mut self) {
        self.uploading -= 1;
    }

    /// Records that an attempt has ended. Only a complete response leaves its connection idle.
    pub(crate) fn record_end(&mut self, now: Time, was_uploading: bool, outcome: Outcome) {
        self.in_flight -= 1;
        self.uploading -= u32::from(was_uploading);
        if matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::ServerError) {
            (self.idle, self.idle_since) = (self.idle + 1, now);
        }
    }
}

#[cfg(test)]
mod tests;
