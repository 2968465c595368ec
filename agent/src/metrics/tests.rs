use super::*;
use serde_json::json;

#[test]
fn each_request_ends_in_exactly_one_way() {
    let metrics = Metrics::new(2);
    let mut taken: Vec<Taken> = [0, 0, 1, 1, 1].map(|class| metrics.take(class)).into();
    assert_eq!(metrics.now().current(), 5);
    taken.pop().expect("one").end(End::Served);
    taken.pop().expect("one").end(End::Refused);
    let mut sent = taken.pop().expect("one");
    sent.sends = 1;
    sent.end(End::Refused);
    taken.pop().expect("one").end(End::Failed);
    assert_eq!(metrics.now().current(), 1);
    drop(taken);
    drop(metrics.upload(0));
    assert_eq!(metrics.now().taken, 5, "one that never came whole was none");
    metrics.sent(ServerId(1));
    let counts = metrics.now();
    assert_eq!((counts.current(), counts.refused_unsent, counts.gone), (0, 1, 1));
    assert_eq!(counts.total(|e| e.served + e.refused + e.failed), counts.taken);
    let told = serde_json::json!(report(&counts, &["a".into(), "b".into()], 3, 1));
    assert_eq!(told["answered"], json!({"a": 0, "b": 1}));
    assert_eq!(told["deferred"], json!({"a": 0, "b": 2}));
    assert_eq!(told["errored"], json!({"a": 2, "b": 0}));
    assert_eq!((&told["sends"], &told["current"]), (&json!(1), &json!(0)));
    assert_eq!((&told["cluster_size"], &told["cluster_unhealthy"]), (&json!(3), &json!(1)));
}
