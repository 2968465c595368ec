//! A running median of one value per server slot, updated in logarithmic time.

use std::collections::BTreeSet;

/// A running median. Of `n` values, the smallest `n / 2` are in `lower` and the rest in `upper`, so the first entry of
/// `upper` is the value at index `n / 2` of all values in ascending order.
#[derive(Debug, Default)]
pub(crate) struct RunningMedian {
    lower: BTreeSet<(i64, usize)>,
    upper: BTreeSet<(i64, usize)>,
    /// The sort key of each slot's value, by slot; `None` if the slot has no value.
    keys: Vec<Option<i64>>,
}

impl RunningMedian {
    /// Sets or removes the value of a slot.
    pub(crate) fn set(&mut self, slot: usize, value: Option<f64>) {
        if self.keys.len() <= slot {
            self.keys.resize(slot + 1, None);
        }
        let key = value.map(sort_key);
        let previous = std::mem::replace(&mut self.keys[slot], key);
        if previous == key {
            return;
        }
        if let Some(previous) = previous.map(|key| (key, slot)) {
            let _ = self.lower.remove(&previous) || self.upper.remove(&previous);
        }
        if let Some(entry) = key.map(|key| (key, slot)) {
            let is_lower = self.lower.last().is_some_and(|highest| entry < *highest);
            let half = if is_lower { &mut self.lower } else { &mut self.upper };
            half.insert(entry);
        }
        self.rebalance();
    }

    /// Moves entries between the halves until `lower` has `n / 2` of them.
    fn rebalance(&mut self) {
        let half = (self.lower.len() + self.upper.len()) / 2;
        while self.lower.len() > half {
            self.upper.extend(self.lower.pop_last());
        }
        while self.lower.len() < half {
            self.lower.extend(self.upper.pop_first());
        }
    }

    /// The median; `None` if no slot has a value.
    pub(crate) fn get(&self) -> Option<f64> {
        self.upper.first().map(|(key, _)| f64::from_bits(flip_if_negative(*key) as u64))
    }
}

/// An integer whose order matches [`f64::total_cmp`]; [`flip_if_negative`] converts it back to the bits of the value.
fn sort_key(value: f64) -> i64 {
    flip_if_negative(value.to_bits() as i64)
}

/// Inverts all bits but the sign of a negative number. It is its own inverse.
fn flip_if_negative(bits: i64) -> i64 {
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

#[cfg(test)]
mod tests;
