//! Both clocks of the machine, read at one moment.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Both clocks at one moment. Processes share the wall clock alone, which may be stepped; durations within a process
/// are measured by the monotonic one.
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
