//! This balancer's requests and idle connections at one server.

use crate::{Outcome, Span, Time};

/// An idle connection is taken to be open for this fraction of the server's keep-alive time.
const CERTAIN_KEEPALIVE: f64 = 0.5;

/// Attempts in flight at one server, and the connections that earlier ones have left idle.
pub(crate) struct ServerConnections {
    in_flight: u32,
    /// Those of them whose request bodies are still being received.
    uploading: u32,
    /// Connections left idle that no request has taken since, and when the last became idle.
    idle: u32,
    idle_since: Time,
}

impl ServerConnections {
    /// No connections.
    pub(crate) fn new(now: Time) -> Self {
        ServerConnections { in_flight: 0, uploading: 0, idle: 0, idle_since: now }
    }

    /// The server's process has restarted: idle connections to the previous one are closed.
    pub(crate) fn restart(&mut self, now: Time) {
        (self.idle, self.idle_since) = (0, now);
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Attempts that the server can work on: their requests have been received completely.
    pub(crate) fn fully_received(&self) -> u32 {
        self.in_flight - self.uploading
    }

    /// Whether an idle connection is certainly open still.
    pub(crate) fn has_reusable_connection(&self, now: Time, keepalive: Span) -> bool {
        self.idle > 0 && now.since(self.idle_since) < keepalive * CERTAIN_KEEPALIVE
    }

    /// Takes in that an attempt is sent, over an idle connection or a new one.
    pub(crate) fn record_send(&mut self, is_uploading: bool, reuses_connection: bool) {
        self.in_flight += 1;
        self.uploading += u32::from(is_uploading);
        self.idle = if reuses_connection { self.idle - 1 } else { 0 };
    }

    /// Takes in that the body of a request has been received completely.
    pub(crate) fn record_upload_complete(&mut self) {
        self.uploading -= 1;
    }

    /// Takes in how an attempt ended; a complete response leaves its connection idle.
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
