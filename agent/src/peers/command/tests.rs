use super::*;

#[test]
fn a_target_round_trips_through_its_stored_key() {
    for (key, target) in [("s-1", Target::Server("s-1".into())), ("zone b", Target::Zone("b".into()))] {
        assert_eq!(target.stored_key(), key);
        assert_eq!(Target::from_stored_key(key), target);
    }
}
