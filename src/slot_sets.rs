//! Sets of server slots that support insertion, removal and a uniform random draw in constant time.
//!
//! The last member takes the place of one that is removed, so the order of the members carries no meaning. Setting a
//! slot to what it is already changes nothing, not even the order.

use std::collections::BTreeMap;

/// The position of a slot that is in no set.
const NO_POSITION: u32 = u32::MAX;

/// Server slots grouped by a key; each slot is in one group at most.
#[derive(Debug, Default)]
pub(crate) struct SlotGroups<K> {
    groups: BTreeMap<K, Vec<usize>>,
    /// The group of each slot, and the slot's position in it.
    positions: Vec<(K, u32)>,
}

impl<K: Copy + Ord + Default> SlotGroups<K> {
    /// Moves a slot to a group, or out of all groups.
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

    /// The slots of a group.
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
    positions: Vec<u32>,
}

impl SlotSet {
    /// Inserts a slot or removes it.
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

    /// All members.
    pub(crate) fn members(&self) -> &[usize] {
        &self.members
    }
}

#[cfg(test)]
mod tests;
