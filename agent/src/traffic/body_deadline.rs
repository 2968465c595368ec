//! How long a body may take: not by its total time, but by the rate at which it comes and the gaps in it.

use std::time::Duration;
use tokio::time::Instant;

/// The rate that a body must have kept up once its free time is over: a little under what the terms ask of a client.
const MIN_BODY_BYTES_PER_SECOND: f64 = 60_000.0;
/// A body must not have stopped for this long, however much of it came before.
const BODY_GAP_TIMEOUT: Duration = Duration::from_millis(1500);
/// A server that sends nothing for so long in the middle of a response, or takes nothing in the middle of a request, will
/// not go on.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// When a request body has to go on at the latest.
pub struct BodyDeadline {
    /// It may take until then whatever its rate.
    free_until: Instant,
    /// The time that it has earned by its bytes.
    earned: Duration,
    last_progress: Instant,
}

impl BodyDeadline {
    /// The deadline of a body that may take until `free_until` whatever its rate.
    pub fn new(free_until: Instant) -> Self {
        BodyDeadline { free_until, earned: Duration::ZERO, last_progress: Instant::now() }
    }

    /// When it has to go on at the latest.
    pub fn due(&self) -> Instant {
        (self.free_until + self.earned).min(self.last_progress + BODY_GAP_TIMEOUT).max(self.free_until)
    }

    /// When the last of it came, or its head if nothing has.
    pub fn last_progress(&self) -> Instant {
        self.last_progress
    }

    /// Extends it by a time in which nobody read the body.
    pub fn extend(&mut self, pause: Duration) {
        self.free_until += pause;
        self.last_progress += pause;
    }

    /// Records that so many bytes have come.
    pub fn record_bytes(&mut self, bytes: usize) {
        self.earned += Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_SECOND);
        self.last_progress = Instant::now();
    }
}
