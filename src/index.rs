//! Indexes over the servers: each is told what is so of one server, at the cost of that server alone, and tells what is
//! so of all. None of them decides anything. A server is named by its slot; telling what was told before changes nothing.

use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A slot that is in no group.
const NOWHERE: u32 = u32::MAX;

/// Servers by what they have in common, each in one group at most. To put one in, to take one out and to draw one cost
/// the same however many there are; the last of a group takes the place of one that leaves it, so order tells nothing.
#[derive(Debug, Default)]
pub(crate) struct Groups<K> {
    groups: BTreeMap<K, Vec<usize>>,
    /// The group of each slot, and the place in it.
    places: Vec<(K, u32)>,
}

impl<K: Copy + Ord + Default> Groups<K> {
    /// The slot belongs to this group now, or to none.
    pub(crate) fn set(&mut self, slot: usize, group: Option<K>) {
        if self.places.len() <= slot {
            self.places.resize(slot + 1, (K::default(), NOWHERE));
        }
        let (old, place) = self.places[slot];
        if place != NOWHERE && group == Some(old) || place == NOWHERE && group.is_none() {
            return;
        }
        if let Some(members) = self.groups.get_mut(&old).filter(|_| place != NOWHERE) {
            members.swap_remove(place as usize);
            if let Some(&moved) = members.get(place as usize) {
                self.places[moved].1 = place;
            }
            if members.is_empty() {
                self.groups.remove(&old);
            }
        }
        self.places[slot].1 = NOWHERE;
        if let Some(new) = group {
            let members = self.groups.entry(new).or_default();
            self.places[slot] = (new, members.len() as u32);
            members.push(slot);
        }
    }

    /// The slots of a group.
    pub(crate) fn of(&self, group: K) -> &[usize] {
        self.groups.get(&group).map_or(&[], |members| members)
    }

    /// The groups that have any.
    pub(crate) fn groups(&self) -> impl Iterator<Item = K> + '_ {
        self.groups.keys().copied()
    }
}

/// Servers that have one thing in common: one such group, without the search for it.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    members: Vec<usize>,
    places: Vec<u32>,
}

impl Pool {
    /// The slot belongs to it now, or not.
    pub(crate) fn set(&mut self, slot: usize, member: bool) {
        if self.places.len() <= slot {
            self.places.resize(slot + 1, NOWHERE);
        }
        let place = self.places[slot];
        if member && place == NOWHERE {
            self.places[slot] = self.members.len() as u32;
            self.members.push(slot);
        } else if !member && place != NOWHERE {
            self.places[slot] = NOWHERE;
            self.members.swap_remove(place as usize);
            if let Some(&moved) = self.members.get(place as usize) {
                self.places[moved] = place;
            }
        }
    }

    /// Its slots.
    pub(crate) fn all(&self) -> &[usize] {
        &self.members
    }
}

/// Servers by when something is due at them, the soonest first.
#[derive(Debug, Default)]
pub(crate) struct Dues {
    order: BTreeSet<(Time, usize)>,
    at: BTreeMap<usize, Time>,
}

impl Dues {
    /// It is due at this slot at that time now, or at none.
    pub(crate) fn set(&mut self, slot: usize, at: Option<Time>) {
        let old = self.at.get(&slot).copied();
        if old == at {
            return;
        }
        if let Some(old) = old {
            self.order.remove(&(old, slot));
            self.at.remove(&slot);
        }
        if let Some(new) = at {
            self.order.insert((new, slot));
            self.at.insert(slot, new);
        }
    }

    /// The slots where it is due by `now`.
    pub(crate) fn due(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.order.range(..=(now, usize::MAX)).map(|(_, slot)| *slot)
    }

    /// When it is due at this slot.
    pub(crate) fn at(&self, slot: usize) -> Option<Time> {
        self.at.get(&slot).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}

/// The median of one figure of each server that has it, kept in two halves: of `n` figures the least `n / 2` lie below,
/// so the first of the others is the one at place `n / 2` in their order, as if all were sorted anew.
#[derive(Debug, Default)]
pub(crate) struct Median {
    below: BTreeSet<(i64, usize)>,
    above: BTreeSet<(i64, usize)>,
    /// The figure of each slot as it is filed.
    filed: Vec<Option<i64>>,
}

/// A number whose order is the total order of the figures, and back.
fn rank(figure: f64) -> i64 {
    flip(figure.to_bits() as i64)
}

fn flip(bits: i64) -> i64 {
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

impl Median {
    /// The slot's figure is this now, or it has none.
    pub(crate) fn set(&mut self, slot: usize, figure: Option<f64>) {
        if self.filed.len() <= slot {
            self.filed.resize(slot + 1, None);
        }
        let new = figure.map(rank);
        let old = std::mem::replace(&mut self.filed[slot], new);
        if old == new {
            return;
        }
        if let Some(old) = old.map(|rank| (rank, slot)) {
            let _ = self.below.remove(&old) || self.above.remove(&old);
        }
        if let Some(new) = new.map(|rank| (rank, slot)) {
            let low = self.below.last().is_some_and(|most| new < *most);
            if low { &mut self.below } else { &mut self.above }.insert(new);
        }
        let half = (self.below.len() + self.above.len()) / 2;
        while self.below.len() > half {
            self.above.extend(self.below.pop_last());
        }
        while self.below.len() < half {
            self.below.extend(self.above.pop_first());
        }
    }

    pub(crate) fn get(&self) -> Option<f64> {
        self.above.first().map(|(rank, _)| f64::from_bits(flip(*rank) as u64))
    }
}
