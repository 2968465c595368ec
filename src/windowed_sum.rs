//! A sum over a sliding time window.

use crate::{Span, Time};

/// A window is divided into this many intervals.
const INTERVALS_PER_WINDOW: usize = 16;

/// A sum over a sliding window, recorded per interval of a sixteenth of the window. The oldest interval is only partly
/// inside the window: the lower bound excludes it and the upper bound includes it. All calls on one sum must pass the
/// same window.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WindowedSum {
    /// The sum of each interval, at the index of its number modulo the length of the ring.
    ring: [f32; INTERVALS_PER_WINDOW + 1],
    /// The number of the newest interval, counted from the epoch.
    newest: u64,
}

impl WindowedSum {
    /// Adds a term to the interval of `now`, or to the newest interval if that is later.
    pub(crate) fn add(&mut self, now: Time, window: Span, term: f64) {
        let number = interval_number(now, window).max(self.newest);
        for skipped in self.newest + 1..=number.min(self.newest + self.ring.len() as u64) {
            self.ring[ring_index(skipped)] = 0.0;
        }
        self.newest = number;
        self.ring[ring_index(number)] += term as f32;
    }

    /// The sum of the intervals that are completely inside the window that ends at `now`.
    pub(crate) fn lower_bound(&self, now: Time, window: Span) -> f64 {
        self.newest_intervals(interval_number(now, window), INTERVALS_PER_WINDOW)
    }

    /// The sum of the intervals that are completely or partly inside the window that ends at `now`.
    pub(crate) fn upper_bound(&self, now: Time, window: Span) -> f64 {
        self.newest_intervals(interval_number(now, window), INTERVALS_PER_WINDOW + 1)
    }

    /// The sum of `count` intervals, of which the latest is number `last` or the newest, whichever is later.
    fn newest_intervals(&self, last: u64, count: usize) -> f64 {
        let last = last.max(self.newest);
        let first = (last + 1).saturating_sub(count as u64);
        (first..=self.newest).map(|number| f64::from(self.ring[ring_index(number)])).sum()
    }
}

fn interval_number(now: Time, window: Span) -> u64 {
    now.0 / window.0.div_ceil(INTERVALS_PER_WINDOW as u64).max(1)
}

fn ring_index(number: u64) -> usize {
    (number % (INTERVALS_PER_WINDOW as u64 + 1)) as usize
}

#[cfg(test)]
mod tests;
