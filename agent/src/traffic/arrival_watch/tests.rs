use super::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn what_is_found_without_a_wait_counts_from_when_the_queue_was_last_empty() {
    let start = Instant::now();
    let at = |seconds: u32| start + SECOND * seconds;
    let watch = ArrivalWatch::new(start);
    assert_eq!(watch.record_taken(at(3), false), start);
    assert_eq!(watch.record_taken(at(4), true), start, "the queue had not been emptied before");
    assert_eq!(watch.record_taken(at(6), true), at(4));
    watch.record_waiting();
    assert_eq!(watch.record_taken(at(9), false), at(9), "a task waited for it");
    assert_eq!(watch.record_taken(at(10), true), at(9));
}
