//! How long calls to discovery may take, and which of several open calls is abandoned.
//!
//! A discovery that is slow and one that has fallen silent look alike until an answer comes, so a call is not given up
//! for being late. Once it is overdue, another call is opened beside it, and the first complete answer of any of them
//! is used: if the connection had fallen silent, the new call is answered; if discovery is slow, the first one is.
//!
//! A change has to be known [`RECOVERY_TIME`] after the silence began. In that time a silent call has to wait and to
//! become overdue, and the call beside it has to be answered. The time that a call may take is therefore adapted to
//! how late answers have been, and the wait is shortened accordingly. It cannot exceed half of that time: a discovery
//! that answers later than that still has its answer used, but receives twice as many calls.

use crate::{Span, Time};

/// The operators require that a change is known this long after its watch fell silent, and this long after discovery had
/// it and could be reached.
pub(crate) const RECOVERY_TIME: Span = Span(6_000_000);
/// The operators require that a change is known this long after the end of the wait of a silent call, if that is later.
const RECOVERY_TIME_AFTER_WAIT: Span = Span(2_000_000);
/// A call is not overdue before this, as long as discovery has answered in less: half of [`RECOVERY_TIME_AFTER_WAIT`].
const MIN_PATIENCE: Span = Span(RECOVERY_TIME_AFTER_WAIT.0 / 2);
/// A call is overdue after this: half of [`RECOVERY_TIME`], which leaves the other half to the call beside it.
const MAX_PATIENCE: Span = Span(RECOVERY_TIME.0 / 2);
/// The longest wait of a watch: half of [`RECOVERY_TIME`] less [`MIN_PATIENCE`]. The rest is left to a discovery that
/// answers the watches that all balancers reopen one after the other.
const MAX_WATCH_WAIT: Span = Span(RECOVERY_TIME.0 / 2 - MIN_PATIENCE.0);
/// A call is overdue when it has taken this many times as long as the slowest recent answer.
const PATIENCE_FACTOR: f64 = 4.0 / 3.0;
/// Each answer in time reduces the slowest recent one by this factor.
const SLOWEST_DECAY: f64 = 0.5;
/// The body of an answer that arrives more slowly than this is overdue once [`RECOVERY_TIME`] is used up.
const MIN_BODY_BYTES_PER_SECOND: f64 = 65_536.0;
/// The most calls that are open at the same time.
const MAX_OPEN_CALLS: usize = 3;

/// The times of a call to discovery that begins now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTimes {
    /// How long discovery may hold the call open while nothing changes; a call without a known version does not wait.
    pub wait: Span,
    /// Each step of the call is overdue after this: the connection; the begin of the answer, after the wait; and each
    /// further piece of it.
    pub patience: Span,
}

impl CallTimes {
    /// How long after its begin an answer of which `bytes` have arrived is overdue, although pieces still arrive.
    pub fn body_time(&self, bytes: u64) -> Span {
        let transfer = Span::from_ms(bytes as f64 / MIN_BODY_BYTES_PER_SECOND * 1e3);
        Span(RECOVERY_TIME.0 + transfer.0)
    }
}

/// Adapts the times of calls to how late discovery answers.
pub(crate) struct DiscoveryCalls {
    /// How late the slowest recent answer was.
    slowest: Span,
    /// The number of calls that have become overdue since the last complete answer.
    overdue: u32,
    /// The oldest open call is kept for this long, even if newer ones have to be abandoned for it. It doubles each time that
    /// a call is abandoned after it, so that an answer comes at some time however late discovery answers.
    keep_time: Span,
}

impl DiscoveryCalls {
    /// Nothing is known about discovery yet.
    pub(crate) fn new() -> Self {
        DiscoveryCalls { slowest: Span::ZERO, overdue: 0, keep_time: RECOVERY_TIME }
    }

    /// The times of a call that begins now.
    pub(crate) fn times(&self) -> CallTimes {
        let patience = self.patience();
        let wait = RECOVERY_TIME.saturating_sub(patience * 2.0).min(MAX_WATCH_WAIT);
        CallTimes { wait, patience }
    }

    /// How long a step of a call may take before it is overdue. It doubles with each overdue call, because a discovery
    /// that is not silent must be slower than was known.
    pub(crate) fn patience(&self) -> Span {
        let usual = (self.slowest * PATIENCE_FACTOR).max(MIN_PATIENCE);
        (usual * f64::from(1 << self.overdue.min(8))).min(MAX_PATIENCE)
    }

    /// How long after a call has become overdue another one may be opened at the latest.
    pub(crate) fn max_reopen_delay(&self) -> Span {
        let CallTimes { wait, patience } = self.times();
        RECOVERY_TIME.saturating_sub(wait).saturating_sub(patience * 2.0)
    }

    /// Records that a call has become overdue.
    pub(crate) fn record_overdue(&mut self) {
        self.overdue = self.overdue.saturating_add(1);
    }

    /// Records a complete answer, the slowest step of which took `lateness`. A watch that was answered within its wait
    /// shows nothing: it is not known when there was something to answer.
    pub(crate) fn record_answer(&mut self, lateness: Option<Span>) {
        (self.overdue, self.keep_time) = (0, RECOVERY_TIME);
        if let Some(lateness) = lateness {
            self.slowest = lateness.max(self.slowest * SLOWEST_DECAY);
        }
    }

    /// Which of the open calls to abandon before another one is opened, as an index; `begun` are the times at which they
    /// have begun, the oldest first.
    pub(crate) fn call_to_abandon(&mut self, now: Time, begun: &[Time]) -> Option<usize> {
        if begun.len() < MAX_OPEN_CALLS {
            return None;
        }
        if now.since(begun[0]) < self.keep_time {
            return Some(1);
        }
        self.keep_time = self.keep_time * 2.0;
        Some(0)
    }
}

#[cfg(test)]
mod tests;
