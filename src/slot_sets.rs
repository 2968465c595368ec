//! Sets of server slots with insertion, removal and uniform random draws in constant time.
//!
//! The last member replaces a removed one, so the order of the members has no meaning. An update that does not change
//! a slot's membership keeps the order.

use std::collections::BTreeMap;

/// The position of a slot that is not a member.
const NO_POSITION: u32 = u32::MAX;

/// Server slots grouped by a key. Each slot is in at most one group.
#[derive(Debug, Default)]
pub(crate) struct SlotGroups<K> {
    groups: BTreeMap<K, Vec<usize>>,
    /// The group of each slot, and the slot's position in it.
    positions: Vec<(K, u32)>,
}

impl<K: Copy + Ord + Default> SlotGroups<K> {
    /// Moves a slot to a group, or removes it from its group if `group` is `None`.
    pub(crate) fn set(&mut self, slot: usize, group: Option<K>) {
        if self.positions.len() <= slot {
            self.positions.resize(slot + 1, (K::default(), NO_POSITION));
        }
        let (previous, position) = self.positions[slot];
        let is_member = position != NO_POSITION;
        if is_member && group == Some(previous) || !is_member && group.is_none() {
            return;
        }
        if is_member {
            self.remove(previous, position);
        }
        self.positions[slot].1 = NO_POSITION;
        if let Some(group) = group {
            let members = self.groups.entry(group).or_default();
            self.positions[slot] = (group, members.len() as u32);
            members.push(slot);
        }
    }

    fn remove(&mut self, group: K, position: u32) {
        let Some(members) = self.groups.get_mut(&group) else { return };
        members.swap_remove(position as usize);
        if let Some(&moved) = members.get(position as usize) {
            self.positions[moved].1 = position;
        }
        if members.is_empty() {
            self.groups.remove(&group);
        }
    }

    /// The slots of a group, in no particular order.
    pub(crate) fn members(&self, group: K) -> &[usize] {
        self.groups.get(&group).map_or(&[], |members| members)
    }

    /// The groups that have members.
    pub(crate) fn groups(&self) -> impl Iterator<Item = K> + '_ {
        self.groups.keys().copied()
    }
}

/// A set of server slots.
#[derive(Debug, Default)]
pub(crate) struct SlotSet {
    members: Vec<usize>,
    /// The position of each slot in `members`, or [`NO_POSITION`].
    positions: Vec<u32>,
}

impl SlotSet {
    /// Inserts or removes a slot.
    pub(crate) fn set(&mut self, slot: usize, is_member: bool) {
        if self.positions.len() <= slot {
            self.positions.resize(slot + 1, NO_POSITION);
        }
        let position = self.positions[slot];
        if is_member && position == NO_POSITION {
            self.positions[slot] = self.members.len() as u32;
            self.members.push(slot);
        } else if !is_member && position != NO_POSITION {
            self.positions[slot] = NO_POSITION;
            self.members.swap_remove(position as usize);
            if let Some(&moved) = self.members.get(position as usize) {
                self.positions[moved] = position;
            }
        }
    }

    /// All members, in no particular order.
    pub(crate) fn members(&self) -> &[usize] {
        &self.members
    }
}

#[cfg(test)]
mod tests;
