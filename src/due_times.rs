//! A due-time index: server slots ordered by when something is due at them.

use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Server slots by due time, the earliest first. Each slot has one due time at most.
#[derive(Debug, Default)]
pub(crate) struct DueTimes {
    ordered: BTreeSet<(Time, usize)>,
    due_at: BTreeMap<usize, Time>,
}

impl DueTimes {
    /// Sets or clears the due time of a slot. Setting it to what it is already changes nothing.
    pub(crate) fn set(&mut self, slot: usize, due_at: Option<Time>) {
        let previous = self.due_at.get(&slot).copied();
        if previous == due_at {
            return;
        }
        if let Some(previous) = previous {
            self.ordered.remove(&(previous, slot));
            self.due_at.remove(&slot);
        }
        if let Some(due_at) = due_at {
            self.ordered.insert((due_at, slot));
            self.due_at.insert(slot, due_at);
        }
    }

    /// The slots that are due by `now`, the earliest first.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.ordered.range(..=(now, usize::MAX)).map(|(_, slot)| *slot)
    }

    /// When the slot is due.
    pub(crate) fn due_at(&self, slot: usize) -> Option<Time> {
        self.due_at.get(&slot).copied()
    }

    /// The number of slots with a due time.
    pub(crate) fn len(&self) -> usize {
        self.ordered.len()
    }
}

#[cfg(test)]
mod tests;
