use super::*;

const MS: Duration = Duration::from_millis(1);

/// Guards against attempts for a client whose close is hidden behind bytes that nobody reads.
#[test]
fn a_peer_behind_many_unread_bytes_counts_as_present_for_a_moment_only() {
    let start = Instant::now();
    let presence = PeerPresence::new(start);
    let few = Some(MIN_HIDING_BYTES - 1);
    let many = Some(MIN_HIDING_BYTES);
    assert!(!presence.may_have_left(start + 500 * MS, few, None), "its close would have arrived");
    assert!(!presence.may_have_left(start + 580 * MS, many, None), "it was present just before");
    assert!(presence.may_have_left(start + 581 * MS, many, None));
    assert!(presence.may_have_left(start + 700 * MS, few, None), "the kernel may not take more yet");
    let waiting_since = Some(start + 795 * MS);
    assert!(presence.may_have_left(start + 800 * MS, Some(0), waiting_since), "more may be on its way");
    assert!(!presence.may_have_left(start + 805 * MS, Some(0), waiting_since), "all has arrived");
    presence.record_read(start + 2000 * MS, waiting_since);
    assert!(!presence.may_have_left(start + 2080 * MS, many, None), "it sent these bytes just before");
    assert!(presence.may_have_left(start + 2081 * MS, many, None));
    assert!(!PeerPresence::new(start).may_have_left(start + 500 * MS, None, None), "nothing is known");
}
