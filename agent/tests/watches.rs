//! Where the list's news and a watch's end can cross: silence, moves, and what comes late.

mod common;
use common::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// What the operators' standing page says of a watch that falls silent: what it misses counts as told so long after
/// that, or, where that is later, so long after its wait is over.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);

fn wait_of(call: &str) -> Duration {
    let wait = call.split("wait_ms=").nth(1).and_then(|ms| ms.parse().ok());
    Duration::from_millis(wait.unwrap_or_else(|| panic!("{call} is no watch")))
}

/// Whether a watch falls silent in its first call or on a kept connection, another one has brought what it missed
/// before that counts as told.
#[tokio::test]
async fn news_missed_by_a_silent_watch_come_before_they_count_as_told() {
    let play = |discovery: &'static str, answered: bool| async move {
        let stays = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let mut leaves = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let hosts = |health| [host("stays", stays.address, "up"), host("leaves", leaves.address, health)];
        let mut directory = Directory::start(Mood::Mute).await;
        if answered {
            directory.list(2, &hosts("up"));
        }
        let mut config = config(directory.address, &hosts("up"));
        config["settings"]["discovery"] = discovery.into();
        let agent = Agent::start_with(config, |_| {}).await;
        let mut watch = directory.next_call().await;
        if answered {
            watch = directory.next_call().await;
        }
        let silent = Instant::now();
        directory.forget_open_calls();
        directory.list(3, &hosts("draining"));
        directory.next_call().await;
        let told = TOLD_AFTER_SILENCE.max(wait_of(&watch) + TOLD_AFTER_WAIT);
        // A discovery that all ask answers those whose watches fell silent together in turn: some time is left for that.
        assert!(silent.elapsed() < told * 3 / 4, "{discovery}: {:?} of {told:?}", silent.elapsed());
        // The call after that says that the answer has been taken in.
        directory.next_call().await;
        for _ in 0..12 {
            assert_eq!(agent.get("/read").await.status(), 200);
        }
        assert!(leaves.seen.try_recv().is_err(), "{discovery}: sent to one that drains");
    };
    tokio::join!(play("pushed", false), play("pushed", true), play("on_request", false));
}

/// An answer of the place that discovery has left says nothing of its new place's versions: a call after the move
/// asks for the whole list, also when the move finds the agent between two calls.
#[tokio::test]
async fn after_a_move_the_whole_list_comes_first_whatever_was_pending() {
    let new = Backend::start(|_| Reply::Bytes(ok("new"))).await;
    let mut before = Directory::start(Mood::Down).await;
    // Nobody answers here until the module's pause after the last failure is long over.
    let mut after = Directory::start(Mood::Mute).await;
    let known = host("old", nobody().await, "up");
    let agent = Agent::start_with(config(before.address, &[known]), |_| {}).await;
    before.next_call().await;
    agent.reconfigure(&config(after.address, &[]).to_string()).await;
    assert_eq!(after.next_call().await, "/v1/endpoints");
    assert_eq!(after.next_call().await, "/v1/endpoints", "before any list has come from the new place");
    after.list(1, &[host("new", new.address, "up")]);
    soon("the new list", async { while agent.get("/read").await.body != b"new" {} }).await;
}

/// A line that cannot be read, or an answer that is no list, is told in one line of the log, and costs nothing that was
/// known: the server goes on as it was.
#[tokio::test]
async fn what_discovery_says_without_sense_is_told_and_costs_nothing_known() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let known = host("s", backend.address, "up");
    let mut directory =
        Directory::start(Mood::List(json!({"seq": 2, "whole": true, "hosts": [known]}))).await;
    let mut agent = Agent::start(directory.address, &[known]).await;
    directory.next_call().await;
    let torn = json!({"host": "s", "dial": "nowhere", "site": "a", "health": "up"});
    directory.list(3, &[torn, host("gone", nobody().await, "removed")]);
    let line = agent.wait_for_log("is not taken").await;
    assert!(line.contains("entry 0: dial is \"nowhere\", an address was expected"), "{line}");
    assert_eq!(agent.get("/read").await.status(), 200);
    directory.mood.send_replace(Mood::List(json!({"seq": 4, "whole": true, "hosts": "none"})));
    let line = agent.wait_for_log("malformed endpoint list").await;
    assert!(line.contains("it has no hosts, an array was expected"), "{line}");
    assert_eq!(agent.get("/read").await.status(), 200);
}
