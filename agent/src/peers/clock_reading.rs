//! Paired readings of the monotonic clock and the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock and the wall clock, read together. Only wall-clock times can be compared between processes, but
/// that clock may be stepped, so durations within a process are measured with the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct ClockReading {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// The wall clock, in Unix microseconds.
    pub wall_us: u64,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockReading { monotonic: Instant::now(), wall_us: since_epoch.as_micros() as u64 }
    }
}
