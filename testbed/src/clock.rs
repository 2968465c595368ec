//! The play's clock, and how late the testbed itself is by it.

use crate::renderer::Micros;
use hdrhistogram::Histogram;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds since the play began; before that, none have passed.
pub struct Clock {
    begun: OnceLock<(Instant, f64)>,
    late: Mutex<Histogram<u64>>,
}

/// Lateness is told apart up to a minute, to three figures.
const LATE_MOST: u64 = 60_000_000;

/// An empty histogram of microseconds.
pub fn histogram(most: u64) -> Histogram<u64> {
    Histogram::new_with_bounds(1, most.max(2), 3).expect("bounds that hold three figures")
}

impl Clock {
    /// Stands at zero.
    pub fn new() -> Self {
        Clock { begun: OnceLock::new(), late: Mutex::new(histogram(LATE_MOST)) }
    }

    /// Goes from now on.
    pub fn begin(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1e3;
        let _ = self.begun.set((Instant::now(), unix));
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.begun.get().map_or(0, |(begun, _)| begun.elapsed().as_micros() as Micros)
    }

    /// The instant of a time of the play.
    pub fn instant(&self, at: Micros) -> Instant {
        self.begun.get().map_or_else(Instant::now, |(begun, _)| *begun) + Duration::from_micros(at)
    }

    /// A time of the play as Unix milliseconds.
    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.begun.get().map_or(0.0, |(_, unix)| unix + at as f64 / 1e3)
    }

    /// The testbed has done something that was due at `due`.
    pub fn did(&self, due: Micros) {
        let late = self.now().saturating_sub(due).clamp(1, LATE_MOST);
        let mut histogram = crate::lock(&self.late);
        let _ = histogram.record(late);
    }

    /// The testbed's own lateness in milliseconds at a quantile from 0 to 1.
    pub fn late_ms(&self, quantile: f64) -> f64 {
        let histogram = crate::lock(&self.late);
        histogram.value_at_quantile(quantile) as f64 / 1e3
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

/// The runtime's timers go by whole milliseconds and round up. What is due sooner than that is due now; the rest is
/// slept through to the nearest one, half a millisecond off at the most.
pub async fn sleep(time: Duration) {
    const HALF: Duration = Duration::from_micros(500);
    if time > HALF {
        tokio::time::sleep(time - HALF).await;
    }
}
