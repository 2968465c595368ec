//! The number of lines left out of the log, because of a rate limit or because its reader was too slow.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Lines left out since the last line that reported their number.
pub(super) static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Whether the last line was queued for the log's thread.
static WAS_LAST_LINE_QUEUED: AtomicBool = AtomicBool::new(false);

/// Counts one line as left out.
pub(super) fn count_line() {
    LEFT_OUT.fetch_add(1, Relaxed);
}

/// Records whether a line was queued for the log's thread, and counts it as left out if not.
pub(super) fn record_line(is_queued: bool) {
    WAS_LAST_LINE_QUEUED.store(is_queued, Relaxed);
    if !is_queued {
        count_line();
    }
}

/// Calls `write_line` with the number of lines left out since they were last reported. If the line that it writes is
/// left out too, the number is kept for the next report.
pub(super) fn report(write_line: impl FnOnce(u64)) {
    let left_out = LEFT_OUT.swap(0, Relaxed);
    WAS_LAST_LINE_QUEUED.store(false, Relaxed);
    write_line(left_out);
    if !WAS_LAST_LINE_QUEUED.load(Relaxed) {
        LEFT_OUT.fetch_add(left_out, Relaxed);
    }
}
