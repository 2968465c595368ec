//! The limit on log lines per second, for all targets except `counts`.

use super::left_out;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use tokio::time::Instant;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer};

/// Maximum number of lines within a second, over all targets. A start with many servers is held to it too.
pub(super) const MAX_LINES_PER_SECOND: u32 = 200;
/// Target of the lines that are not limited.
const UNLIMITED_TARGET: &str = "counts";

/// Lets a limited number of lines pass each second, and lines with the counts always. It is a layer rather than a
/// filter of a layer, because such a filter is not asked about any later event once it has rejected one
/// (tracing-subscriber 0.3.23).
pub(super) struct LineRateLimit {
    started_at: Instant,
    /// The second in which `lines` are counted, since `started_at`.
    second: AtomicU64,
    lines: AtomicU32,
}

impl LineRateLimit {
    /// Creates a limit whose first second begins now.
    pub(super) fn new() -> Self {
        LineRateLimit { started_at: Instant::now(), second: AtomicU64::new(0), lines: AtomicU32::new(0) }
    }

    /// Counts a line, and returns whether it is within the limit of the current second.
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
