use super::*;
use serde_json::json;

#[test]
fn counts_the_end_of_each_request_once() {
    let metrics = Metrics::new(2);
    let mut requests: Vec<RequestMetrics> = [0, 0, 1, 1, 1].map(|class| metrics.begin_request(class)).into();
    assert_eq!(metrics.counts().current(), 5);
    requests.pop().expect("one").end(RequestEnd::Served);
    requests.pop().expect("one").end(RequestEnd::Rejected);
    let mut attempted = requests.pop().expect("one");
    attempted.attempts = 1;
    attempted.end(RequestEnd::Rejected);
    requests.pop().expect("one").end(RequestEnd::Failed);
    assert_eq!(metrics.counts().current(), 1);
    drop(requests);
    drop(metrics.begin_upload(0));
    assert_eq!(metrics.counts().arrived, 5, "an incomplete request is not counted");
    metrics.record_send(ServerId(1));
    let counts = metrics.counts();
    assert_eq!((counts.current(), counts.rejected_unsent, counts.abandoned), (0, 1, 1));
    assert_eq!(counts.total(|e| e.served + e.rejected + e.failed), counts.arrived);
    let reported = serde_json::json!(report(&counts, &["a".into(), "b".into()], 3, 1));
    assert_eq!(reported["answered"], json!({"a": 0, "b": 1}));
    assert_eq!(reported["deferred"], json!({"a": 0, "b": 2}));
    assert_eq!(reported["errored"], json!({"a": 2, "b": 0}));
    assert_eq!((&reported["sends"], &reported["current"]), (&json!(1), &json!(0)));
    assert_eq!((&reported["cluster_size"], &reported["cluster_unhealthy"]), (&json!(3), &json!(1)));
}
