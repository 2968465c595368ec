//! A planned end while every renderer hangs: each request that was read has its final answer before the process may be
//! killed, which is the shortest deadline of the deployment (3 s at most) and 0.7 s after SIGTERM.

mod common;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use std::time::{Duration, Instant};
use timer_lag::TimerLag;

/// A process may be killed so long after SIGTERM, and the shortest deadline later.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// For that a deadline counts as this where it is longer.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// Connections that have not sent anything stay open for this long after SIGTERM at least.
const FRESH_STAY: Duration = Duration::from_millis(600);
/// Between two requests of the clients.
const STEP: Duration = Duration::from_millis(60);
/// A machine that holds the test up for longer shows nothing.
const HELD_UP_MOST: Duration = Duration::from_millis(60);
const ROUNDS: usize = 10;

/// Plays a shutdown under these deadlines (one for each class of the settings), with a client's wait that is its class's
/// deadline; the requests that have no answer at SIGKILL, and for how long the machine held the test up.
async fn unanswered_at_kill(deadlines: [u64; 3]) -> (Vec<String>, Duration) {
    let mut backend = Backend::start(|_| Reply::Mute).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for (class, deadline) in deadlines.iter().enumerate() {
        let class = &mut config["settings"]["classes"][class];
        (class["deadlineMs"], class["aimMs"]) = ((*deadline).into(), (deadline / 2).into());
    }
    let shortest = Duration::from_millis(*deadlines.iter().min().expect("some"));
    let agent = Agent::start_with(config, |_| {}).await;
    let ask = |class: usize, name: &str| {
        let (method, path) = [("GET", "/read/"), ("POST", "/save/"), ("POST", "/pay/")][class];
        request(method, &format!("{path}{name}"), &format!("{}m", deadlines[class]), "")
    };
    // Each class has a request that is out, one that is half read, and clients that ask one after the other.
    let (mut owed, mut half, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
    for class in 0..3 {
        for _ in 0..8 {
            fresh.push((class, agent.client().await));
        }
        let mut client = agent.client().await;
        let whole = ask(class, "half");
        let (first, rest) = whole.split_at(whole.len() / 2);
        client.send(first).await;
        half.push((format!("half {class}"), rest.to_owned(), client));
    }
    let timer_lag = TimerLag::start();
    for class in 0..3 {
        let mut client = agent.client().await;
        client.send(&ask(class, "early")).await;
        owed.push((format!("early {class}"), client));
    }
    backend.next().await;
    agent.send_sigterm().await;
    let told = Instant::now();
    for round in 0.. {
        tokio::time::sleep((STEP * round).saturating_sub(told.elapsed())).await;
        if told.elapsed() > FRESH_STAY - STEP {
            break;
        }
        if let Some((name, rest, mut client)) = half.pop() {
            client.send(&rest).await;
            owed.push((name, client));
        }
        for _ in 0..3 {
            let Some((class, mut client)) = fresh.pop() else { break };
            client.send(&ask(class, "late")).await;
            owed.push((format!("class {class} after {:?}", told.elapsed()), client));
        }
    }
    let kill_at = KILL_DELAY + shortest.min(DEADLINE_MOST);
    let mut unanswered = Vec::new();
    for (name, mut client) in owed {
        let left = kill_at.saturating_sub(told.elapsed());
        let answer = tokio::time::timeout(left, read_message(&mut client.stream, 0)).await;
        if !matches!(answer, Ok(Some(_))) {
            unanswered.push(name);
        }
    }
    (unanswered, timer_lag.max_lag())
}

async fn all_are_answered(deadlines: [u64; 3]) {
    for _ in 0..ROUNDS {
        let (unanswered, held_up) = unanswered_at_kill(deadlines).await;
        if unanswered.is_empty() {
            return;
        }
        assert!(held_up > HELD_UP_MOST, "no answer by the time of SIGKILL, {deadlines:?}: {unanswered:?}");
    }
    panic!("the machine held every round up");
}

#[tokio::test]
async fn short_deadlines_are_answered_while_all_renderers_hang() {
    all_are_answered([200, 200, 200]).await;
}

#[tokio::test]
async fn long_deadlines_are_answered_while_all_renderers_hang() {
    all_are_answered([10_000, 10_000, 10_000]).await;
}

#[tokio::test]
async fn mixed_deadlines_are_answered_while_all_renderers_hang() {
    all_are_answered([200, 10_000, 1_000]).await;
}
