use super::*;
use std::collections::BTreeSet;

#[test]
fn a_slot_is_a_member_of_the_group_that_it_was_set_to_last() {
    let (mut groups, mut rng) = (SlotGroups::<u32>::default(), fastrand::Rng::with_seed(1));
    let mut expected = [None; 20];
    for _ in 0..2000 {
        let (slot, group) = (rng.usize(0..20), rng.bool().then(|| rng.u32(0..4)));
        groups.set(slot, group);
        expected[slot] = group;
        for group in 0..4 {
            let members: BTreeSet<usize> = groups.members(group).iter().copied().collect();
            let all = (0..20).filter(|slot| expected[*slot] == Some(group));
            assert_eq!(members, all.collect::<BTreeSet<_>>());
            assert_eq!(members.len(), groups.members(group).len(), "each slot once");
        }
    }
    assert!(groups.groups().all(|group| !groups.members(group).is_empty()));
}

#[test]
fn an_update_without_a_change_keeps_the_order() {
    let (mut set, mut groups) = (SlotSet::default(), SlotGroups::<u32>::default());
    for slot in [3, 1, 2] {
        set.set(slot, true);
        groups.set(slot, Some(7));
    }
    (0..5).for_each(|slot| set.set(slot, (1..4).contains(&slot)));
    (1..4).for_each(|slot| groups.set(slot, Some(7)));
    assert_eq!((set.members(), groups.members(7)), (&[3, 1, 2][..], &[3, 1, 2][..]));
    set.set(3, false);
    assert_eq!(set.members(), [2, 1], "the last member replaces the removed one");
}
