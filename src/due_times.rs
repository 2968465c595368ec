//! An index of server slots by due time.

use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Server slots ordered by due time, earliest first. Each slot has at most one due time.
#[derive(Debug, Default)]
pub(crate) struct DueTimes {
    slots_by_time: BTreeSet<(Time, usize)>,
    due_at: BTreeMap<usize, Time>,
}

impl DueTimes {
    /// Sets or clears the due time of a slot.
    pub(crate) fn set(&mut self, slot: usize, due_at: Option<Time>) {
        let previous = self.due_at.get(&slot).copied();
        if previous == due_at {
            return;
        }
        if let Some(previous) = previous {
            self.slots_by_time.remove(&(previous, slot));
            self.due_at.remove(&slot);
        }
        if let Some(due_at) = due_at {
            self.slots_by_time.insert((due_at, slot));
            self.due_at.insert(slot, due_at);
        }
    }

    /// The slots whose due time is `now` or earlier, earliest first.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.slots_by_time.range(..=(now, usize::MAX)).map(|(_, slot)| *slot)
    }

    /// The due time of a slot; `None` if it has none.
    pub(crate) fn due_at(&self, slot: usize) -> Option<Time> {
        self.due_at.get(&slot).copied()
    }

    /// The number of slots with a due time.
    pub(crate) fn len(&self) -> usize {
        self.slots_by_time.len()
    }
}

#[cfg(test)]
mod tests;
