//! Figures over recent time: sums that fade, sums over a window, and means.

use crate::*;

/// Parts that a window is counted in.
const PARTS: usize = 16;
/// Hints that a mean remembers at most.
const HINTS_MOST: u32 = 100;

/// A sum whose parts fade with time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fading {
    sum: f64,
    over_ms: f64,
    at: Time,
}

impl Fading {
    pub(crate) fn now(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.at).as_ms() / self.over_ms.max(1.0)).exp()
    }

    pub(crate) fn add(&mut self, now: Time, over_ms: f64, part: f64) {
        *self = Fading { sum: self.now(now) + part, over_ms, at: now };
    }
}

/// A sum over a sliding window, in parts of a sixteenth of it: what lies in the window for sure, and with the part that
/// has begun to leave it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Windowed {
    /// By the number of the part since the epoch, modulo the length of the ring.
    ring: [f32; PARTS + 1],
    /// The number of the newest part.
    newest: u64,
}

impl Windowed {
    pub(crate) fn add(&mut self, now: Time, window: Span, amount: f64) {
        let number = part_number(now, window).max(self.newest);
        for passed in self.newest + 1..=number.min(self.newest + self.ring.len() as u64) {
            self.ring[ring_index(passed)] = 0.0;
        }
        self.newest = number;
        self.ring[ring_index(number)] += amount as f32;
    }

    /// The sum of the parts that lie in the window that ends now.
    pub(crate) fn at_least(&self, now: Time, window: Span) -> f64 {
        self.newest_parts(part_number(now, window), PARTS)
    }

    /// The same with the part that lies in it in part.
    pub(crate) fn at_most(&self, now: Time, window: Span) -> f64 {
        self.newest_parts(part_number(now, window), PARTS + 1)
    }

    /// The sum of the `count` parts up to a number.
    fn newest_parts(&self, last: u64, count: usize) -> f64 {
        let last = last.max(self.newest);
        let first = (last + 1).saturating_sub(count as u64);
        (first..=self.newest).map(|number| f64::from(self.ring[ring_index(number)])).sum()
    }
}

fn part_number(now: Time, window: Span) -> u64 {
    now.0 / window.0.div_ceil(PARTS as u64).max(1)
}

fn ring_index(number: u64) -> usize {
    (number % (PARTS as u64 + 1)) as usize
}

/// The mean cost hint of a class's requests, of which the last ones weigh most.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanHint {
    ms: f64,
    hints: u32,
}

impl MeanHint {
    pub(crate) fn add(&mut self, hint: Span) {
        self.hints = (self.hints + 1).min(HINTS_MOST);
        self.ms += (hint.as_ms() - self.ms) / f64::from(self.hints);
    }

    /// In milliseconds; none before the first hint.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.hints > 0).then_some(self.ms)
    }
}
