//! A sum whose terms decay exponentially with time.

use crate::Time;

/// An exponentially decaying sum: it falls to 1/e of its value within the time constant that the last addition gave.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    time_constant_ms: f64,
    updated_at: Time,
}

impl DecayingSum {
    /// The value of the sum at `now`.
    pub(crate) fn value(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.updated_at).as_ms() / self.time_constant_ms.max(1.0)).exp()
    }

    /// Adds a term and sets the time constant with which the whole sum decays from now on.
    pub(crate) fn add(&mut self, now: Time, time_constant_ms: f64, term: f64) {
        *self = DecayingSum { sum: self.value(now) + term, time_constant_ms, updated_at: now };
    }
}

#[cfg(test)]
mod tests;
