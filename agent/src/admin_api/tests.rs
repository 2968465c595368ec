use super::*;
use serde_json::{json, Value};

fn round_trip<T: Serialize + for<'a> Deserialize<'a>>(answer: &Value) -> Value {
    let parsed: T = serde_json::from_value(answer.clone()).expect("a valid answer");
    serde_json::to_value(parsed).expect("JSON")
}

#[test]
fn the_json_keys_of_each_answer_are_fixed() {
    let counters = json!({
        "answered": {"read": 1}, "deferred": {"read": 2}, "errored": {"read": 3},
        "sends": 4, "current": 5, "cluster_size": 6, "cluster_unhealthy": 7,
    });
    assert_eq!(round_trip::<Counters>(&counters), counters);
    let renderers = json!({
        "renderers": [{
            "id": "s", "zone": "a", "serving": true, "cordoned": true, "doubted": true, "warmth": 0.5, "limit": 2.5,
            "in_flight": 1, "sends": 2, "answered": 3, "failed": 4, "rejected": 5,
        }],
        "left_out": 6, "unsaved": 7,
    });
    assert_eq!(round_trip::<Renderers>(&renderers), renderers);
    let zones = json!({
        "zones": [{
            "zone": "a", "left": true, "phase": "away", "share": 0.5, "why": "silent",
            "classes": {"read": {"phase": "leaving", "share": 0.25, "why": "slow"}},
            "listed": 1, "serving": 2, "cordoned": 3, "doubted": 4, "cold": 5, "limit": 2.5,
            "in_flight": 6, "sends": 7, "answered": 8, "failed": 9, "rejected": 10,
        }],
        "left_out": 11, "unsaved": 12,
    });
    assert_eq!(round_trip::<Zones>(&zones), zones);
}
