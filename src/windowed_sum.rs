//! A sum over a sliding window of time.

use crate::{Span, Time};

/// The intervals that a window is counted in.
const INTERVALS: usize = 16;

/// A sum over a sliding window, in intervals of a sixteenth of it: what lies in the window for certain, and that with
/// the interval that lies in it in part. All calls for one sum must name the same window.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WindowedSum {
    /// By the number of the interval since the epoch, modulo the length of the ring.
    ring: [f32; INTERVALS + 1],
    /// The number of the newest interval.
    newest: u64,
}

impl WindowedSum {
    /// Adds a term; a time before the newest interval counts as that interval.
    pub(crate) fn add(&mut self, now: Time, window: Span, term: f64) {
        let number = interval_number(now, window).max(self.newest);
        for passed in self.newest + 1..=number.min(self.newest + self.ring.len() as u64) {
            self.ring[ring_index(passed)] = 0.0;
        }
        self.newest = number;
        self.ring[ring_index(number)] += term as f32;
    }

    /// The sum of the intervals that lie in the window that ends now.
    pub(crate) fn lower_bound(&self, now: Time, window: Span) -> f64 {
        self.newest_intervals(interval_number(now, window), INTERVALS)
    }

    /// The same with the interval that lies in the window in part.
    pub(crate) fn upper_bound(&self, now: Time, window: Span) -> f64 {
        self.newest_intervals(interval_number(now, window), INTERVALS + 1)
    }

    /// The sum of the `count` intervals up to a number.
    fn newest_intervals(&self, last: u64, count: usize) -> f64 {
        let last = last.max(self.newest);
        let first = (last + 1).saturating_sub(count as u64);
        (first..=self.newest).map(|number| f64::from(self.ring[ring_index(number)])).sum()
    }
}

fn interval_number(now: Time, window: Span) -> u64 {
    now.0 / window.0.div_ceil(INTERVALS as u64).max(1)
}

fn ring_index(number: u64) -> usize {
    (number % (INTERVALS as u64 + 1)) as usize
}

#[cfg(test)]
mod tests;
