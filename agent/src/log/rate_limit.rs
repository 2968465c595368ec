//! The limit of lines a second, of all targets but `counts`.

use super::left_out;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use tokio::time::Instant;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Lines of all kinds within a second; a start with many servers writes no more either.
pub(super) const MAX_LINES_PER_SECOND: u32 = 200;
/// Target of the lines that are always written.
const UNLIMITED_TARGET: &str = "counts";

/// Lets a limited number of lines pass each second, and the counts always. It is a layer and not the filter of one: such
/// a filter takes part in no later event once it has rejected one (tracing-subscriber 0.3.23).
pub(super) struct LineRateLimit {
    started_at: Instant,
    /// The second that `lines` counts, from the start on.
    second: AtomicU64,
    lines: AtomicU32,
}

impl LineRateLimit {
    /// A limit that has seen no line.
    pub(super) fn new() -> Self {
        LineRateLimit { started_at: Instant::now(), second: AtomicU64::new(0), lines: AtomicU32::new(0) }
    }

    /// Counts a line; whether it is within the limit of this second.
    fn admit_line(&self) -> bool {
        let second = self.started_at.elapsed().as_secs();
        if self.second.swap(second, Relaxed) != second {
            self.lines.store(0, Relaxed);
        }
        self.lines.fetch_add(1, Relaxed) < MAX_LINES_PER_SECOND
    }
}

impl<S: Subscriber> Layer<S> for LineRateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == UNLIMITED_TARGET {
            return true;
        }
        let is_admitted = self.admit_line();
        if !is_admitted {
            left_out::count_line();
        }
        is_admitted
    }
}
