use super::discovery::{Discovery, Server};
use super::{probe, Plan, BUILT_IN};
use crate::stage::directory::Health;
use std::time::Duration;

fn plan() -> Plan {
    super::read(None, BUILT_IN).expect("the testbed's own file")
}

fn servers(size: usize) -> Vec<Server> {
    plan().servers(size, &["127.0.0.1:1".parse().expect("an address")])
}

#[test]
fn the_labs_own_file_is_in_bounds_and_what_is_not_is_named_with_its_key_and_value() {
    assert_eq!(plan().check(), Ok(()));
    let odd = |change: &dyn Fn(&mut Plan)| {
        let mut plan = plan();
        change(&mut plan);
        plan.check().expect_err("a bad file")
    };
    assert!(odd(&|plan| plan.rate = -79.0).starts_with("rate is -79,"));
    assert!(odd(&|plan| plan.repeats = 0).starts_with("repeats is 0,"));
    assert!(odd(&|plan| plan.idle_s = f64::NAN).starts_with("idle_s is NaN,"));
    assert!(odd(&|plan| plan.sizes = vec![1, 10, 100, 1000]).starts_with("sizes holds 1,"));
    assert!(odd(&|plan| plan.sizes = vec![12, 120, 1200]).starts_with("sizes is [12, 120, 1200],"));
}

#[test]
fn names_differ_and_a_third_at_most_is_in_the_zone_that_goes() {
    for size in [3, 12, 29_000] {
        let servers = servers(size);
        let mut names: Vec<_> = servers.iter().map(|server| server.host.clone()).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), size);
        let first = servers.iter().filter(|server| server.site == super::site(0)).count();
        assert_eq!(first, plan().going(size));
        assert!((1..=830).contains(&first) && 3 * first <= size);
    }
}

#[tokio::test]
async fn a_watch_is_told_what_changed_and_the_whole_list_once_history_is_forgotten() {
    let discovery = Discovery::new(servers(4));
    let ask = |uri: &'static str| {
        let discovery = discovery.clone();
        async move { serde_json::from_slice::<serde_json::Value>(&discovery.answer(uri).await).expect("JSON") }
    };
    let waiting = tokio::spawn(ask("/v1/endpoints?after=41&wait_ms=60000"));
    assert!(discovery.followed(41, Duration::from_secs(60)).await.is_some());
    assert_eq!(discovery.change([2], |server| server.health = Health::Draining), 42);
    let told = waiting.await.expect("an answer");
    assert_eq!((told["seq"].as_u64(), told["whole"].as_bool()), (Some(42), Some(false)));
    assert_eq!(told["hosts"].as_array().map(Vec::len), Some(1));
    assert_eq!(told["hosts"][0]["health"], "draining");

    discovery.change_and_forget([1], |server| server.health = Health::Removed);
    let told = ask("/v1/endpoints?after=42&wait_ms=60000").await;
    assert_eq!((told["seq"].as_u64(), told["whole"].as_bool()), (Some(43), Some(true)));
    assert_eq!(told["hosts"].as_array().map(Vec::len), Some(3));
    let told = ask("/v1/endpoints?after=43&wait_ms=0").await;
    assert_eq!((told["whole"].as_bool(), told["hosts"].as_array().map(Vec::len)), (Some(false), Some(0)));
    let asked = discovery.asked();
    assert_eq!((asked.after, asked.wholes, asked.changes), (Some(43), 1, 1));
}

#[test]
fn an_answer_is_whole_by_its_length_or_its_last_chunk() {
    let is = |text: &str| probe::whole(text.as_bytes()).ok().flatten();
    assert_eq!(is("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n.."), None);
    assert_eq!(is("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n..."), Some(true));
    assert_eq!(is("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Some(false));
    assert_eq!(is("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n..\r\n"), None);
    assert_eq!(is("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n..\r\n0\r\n\r\n"), Some(true));
    assert!(probe::whole(b"HTTP/1.1 200 OK\r\n\r\n").is_err());
}
