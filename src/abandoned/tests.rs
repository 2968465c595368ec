use super::*;

const START: Time = Time(60_000_000);

#[test]
fn a_request_is_remembered_for_the_retention_time() {
    let mut abandoned = AbandonedRequests::default();
    abandoned.record(START, ClientRequestKey(1));
    assert!(!abandoned.contains(START, ClientRequestKey(2)));
    assert!(abandoned.contains(START + Span(RETENTION.0 - 1), ClientRequestKey(1)));
    assert!(!abandoned.contains(START + RETENTION, ClientRequestKey(1)));
    assert!(abandoned.abandoned_at.is_empty() && abandoned.keys.is_empty());
}

#[test]
fn the_number_of_remembered_requests_is_bounded() {
    let mut abandoned = AbandonedRequests::default();
    let most = MAX_REQUESTS as u64;
    (0..2 * most).for_each(|key| abandoned.record(START, ClientRequestKey(key)));
    assert_eq!(abandoned.keys.len(), MAX_REQUESTS);
    assert!(!abandoned.contains(START, ClientRequestKey(most - 1)));
    assert!(abandoned.contains(START, ClientRequestKey(most)));
}
