//! Deadlines of request bodies. They depend on the transfer rate and on the gaps between bytes, not on the total time.

use std::time::Duration;
use tokio::time::Instant;

/// The average rate that a body must reach once its grace period is over: slightly less than the service terms require
/// of a client.
const MIN_BODY_BYTES_PER_SECOND: f64 = 60_000.0;
/// The longest gap between two reads of a body, however much of it has arrived before.
const BODY_GAP_TIMEOUT: Duration = Duration::from_millis(1500);
/// A server that sends nothing for this long in the middle of a response is not expected to continue.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The deadline of a request body, which moves as bytes arrive.
pub struct BodyDeadline {
    /// End of the grace period, during which the rate does not matter.
    grace_until: Instant,
    /// The time that the received bytes take at [`MIN_BODY_BYTES_PER_SECOND`].
    rate_allowance: Duration,
    last_progress: Instant,
}

impl BodyDeadline {
    /// The deadline of a body whose rate does not matter until `grace_until`.
    pub fn new(grace_until: Instant) -> Self {
        BodyDeadline { grace_until, rate_allowance: Duration::ZERO, last_progress: Instant::now() }
    }

    /// When the body times out unless more of it arrives.
    pub fn due(&self) -> Instant {
        (self.grace_until + self.rate_allowance)
            .min(self.last_progress + BODY_GAP_TIMEOUT)
            .max(self.grace_until)
    }

    /// When bytes last arrived, or the head was complete if none have.
    pub fn last_progress(&self) -> Instant {
        self.last_progress
    }

    /// Moves the deadline by `pause`, a time in which the agent did not read the body.
    pub fn extend(&mut self, pause: Duration) {
        self.grace_until += pause;
        self.last_progress += pause;
    }

    /// Records that `bytes` bytes have arrived.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.rate_allowance += Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_SECOND);
        self.last_progress = Instant::now();
    }
}
