//! Figures over recent time: sums that fade, and means.

use crate::api::*;

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
        self.sum * (-now.since(self.at).ms() / self.over_ms.max(1.0)).exp()
    }

    pub(crate) fn add(&mut self, now: Time, over_ms: f64, part: f64) {
        *self = Fading { sum: self.now(now) + part, over_ms, at: now };
    }
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
        self.ms += (hint.ms() - self.ms) / f64::from(self.hints);
    }

    /// In milliseconds; none before the first hint.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.hints > 0).then_some(self.ms)
    }
}
