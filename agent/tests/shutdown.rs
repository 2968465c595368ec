//! Shutdown while every server hangs: each request that was read has its final response before the process may be killed,
//! which is 0.7 s plus the shortest deadline of the deployment (counted as at most 3 s) after SIGTERM.

mod common;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use std::time::{Duration, Instant};
use timer_lag::TimerLag;

/// SIGKILL may follow SIGTERM after this plus the shortest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// For the time of SIGKILL, a longer deadline counts as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Connections without a request so far stay open for at least this long after SIGTERM.
const MIN_FRESH_CONNECTION_TIME: Duration = Duration::from_millis(600);
/// The time between two rounds of client requests.
const SEND_INTERVAL: Duration = Duration::from_millis(60);
/// A round in which timers lag by more than this is inconclusive.
const MAX_TIMER_LAG: Duration = Duration::from_millis(60);
const ROUNDS: usize = 10;

/// Runs a shutdown with these deadlines, one per class of the settings, and clients whose timeout is their class's deadline.
/// Returns the requests without a response at the time of SIGKILL, and the largest timer lag.
async fn unanswered_at_kill(deadlines: [u64; 3]) -> (Vec<String>, Duration) {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for (class, deadline) in deadlines.iter().enumerate() {
        let class = &mut config["settings"]["classes"][class];
        (class["deadlineMs"], class["aimMs"]) = ((*deadline).into(), (deadline / 2).into());
    }
    let shortest = Duration::from_millis(*deadlines.iter().min().expect("no deadlines"));
    let agent = Agent::start_with(config, |_| {}).await;
    let class_request = |class: usize, name: &str| {
        let (method, path) = [("GET", "/read/"), ("POST", "/save/"), ("POST", "/pay/")][class];
        request(method, &format!("{path}{name}"), &format!("{}m", deadlines[class]), "")
    };
    // Each class has a request that has been sent to the server, one that is half read, and clients that send in turn.
    let (mut pending, mut half_read, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
    for class in 0..3 {
        for _ in 0..8 {
            fresh.push((class, agent.client().await));
        }
        let mut client = agent.client().await;
        let message = class_request(class, "half");
        let (first, rest) = message.split_at(message.len() / 2);
        client.send(first).await;
        half_read.push((format!("half {class}"), rest.to_owned(), client));
    }
    let timer_lag = TimerLag::start();
    for class in 0..3 {
        let mut client = agent.client().await;
        client.send(&class_request(class, "early")).await;
        pending.push((format!("early {class}"), client));
    }
    backend.next().await;
    agent.send_sigterm().await;
    let terminated_at = Instant::now();
    for round in 0.. {
        tokio::time::sleep((SEND_INTERVAL * round).saturating_sub(terminated_at.elapsed())).await;
        if terminated_at.elapsed() > MIN_FRESH_CONNECTION_TIME - SEND_INTERVAL {
            break;
        }
        if let Some((name, rest, mut client)) = half_read.pop() {
            client.send(&rest).await;
            pending.push((name, client));
        }
        for _ in 0..3 {
            let Some((class, mut client)) = fresh.pop() else { break };
            client.send(&class_request(class, "late")).await;
            pending.push((format!("class {class} after {:?}", terminated_at.elapsed()), client));
        }
    }
    let kill_at = KILL_DELAY + shortest.min(MAX_COUNTED_DEADLINE);
    let mut unanswered = Vec::new();
    for (name, mut client) in pending {
        let time_left = kill_at.saturating_sub(terminated_at.elapsed());
        let answer = tokio::time::timeout(time_left, read_message(&mut client.stream, 0)).await;
        if !matches!(answer, Ok(Some(_))) {
            unanswered.push(name);
        }
    }
    (unanswered, timer_lag.max_lag())
}

/// Asserts that all requests are answered, in the first round that is conclusive.
async fn assert_all_are_answered(deadlines: [u64; 3]) {
    for _ in 0..ROUNDS {
        let (unanswered, max_lag) = unanswered_at_kill(deadlines).await;
        if unanswered.is_empty() {
            return;
        }
        assert!(max_lag > MAX_TIMER_LAG, "no response by the time of SIGKILL, {deadlines:?}: {unanswered:?}");
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}

#[tokio::test]
async fn short_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered([200, 200, 200]).await;
}

#[tokio::test]
async fn long_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered([10_000, 10_000, 10_000]).await;
}

#[tokio::test]
async fn mixed_deadlines_are_met_while_all_servers_hang() {
    assert_all_are_answered([200, 10_000, 1_000]).await;
}
