//! How many lines were left out of the log, by a rate limit or as its reader was too slow.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Lines left out since the last line that reported their number.
pub(super) static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
/// Whether the last line was queued for the log's thread.
static LAST_LINE_QUEUED: AtomicBool = AtomicBool::new(false);

/// Counts a line that was left out.
pub(super) fn count_line() {
    LEFT_OUT.fetch_add(1, Relaxed);
}

/// Records whether a line was queued for the log's thread; one that was not is counted.
pub(super) fn record_line(queued: bool) {
    LAST_LINE_QUEUED.store(queued, Relaxed);
    if !queued {
        count_line();
    }
}

/// Calls `write_line` with the number of lines left out since the last such line. If the line that it writes is left
/// out as well, the next one reports them.
pub(super) fn report(write_line: impl FnOnce(u64)) {
    let left_out = LEFT_OUT.swap(0, Relaxed);
    LAST_LINE_QUEUED.store(false, Relaxed);
    write_line(left_out);
    if !LAST_LINE_QUEUED.load(Relaxed) {
        LEFT_OUT.fetch_add(left_out, Relaxed);
    }
}
