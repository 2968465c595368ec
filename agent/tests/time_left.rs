//! What an attempt tells its renderer is at most what is left to the client, whatever its request has waited for before; and
//! a client has its answer by its time.

mod common;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use timer_lag::TimerLag;
use tokio::sync::Notify;

/// How long the clients wait.
const WAIT: Duration = Duration::from_secs(60);
/// Time that goes by while a request waits.
const GOES_BY: Duration = Duration::from_millis(600);
/// An agent may be held up for so long at any moment.
const HOLD_UP: Duration = Duration::from_millis(150);
/// The smallest budget has room for so many bodies of the longest kind that is kept.
const BODIES: u64 = 16;
const BODY: usize = 64 << 10;
/// An answer that comes so long after its client's time is lost.
const LATE_MOST: Duration = Duration::from_millis(500);
const ROUNDS: usize = 10;

/// What an attempt has told its renderer.
fn told(attempt: &Message) -> Duration {
    let told = attempt.header("x-timeout").and_then(|told| told.strip_suffix('u')?.parse().ok());
    Duration::from_micros(told.expect("a time"))
}

fn wait() -> String {
    format!("{}m", WAIT.as_millis())
}

/// The first attempt fails late, and the agent is held up just then: what its retry tells is what is left after both.
#[tokio::test]
async fn a_retry_tells_what_is_left_after_a_late_failure_and_a_hold_up() {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    let mut backend = Backend::start(move |_| Reply::When(gate.clone(), rejection.to_vec())).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for class in 0..3 {
        let class = &mut config["settings"]["classes"][class];
        (class["aimMs"], class["deadlineMs"]) = (20_000.into(), 60_000.into());
    }
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", &wait(), "b")).await;
    let sent = Instant::now();
    let first = backend.next().await;
    assert!(told(&first) <= WAIT);
    tokio::time::sleep(GOES_BY).await;
    agent.signal("-STOP").await;
    word.notify_one();
    tokio::time::sleep(HOLD_UP).await;
    let gone = sent.elapsed();
    agent.signal("-CONT").await;
    let retry = told(&backend.next().await);
    assert!(retry <= WAIT - gone, "told {retry:?} after {gone:?} of {WAIT:?}");
    assert!(retry > WAIT / 2, "told {retry:?}");
}

/// An agent that has no room for one more body: as many as fit wait for their renderer. Its renderer answers one of them
/// with each word.
async fn without_room() -> (Directory, Backend, Agent, Arc<Notify>, Vec<Client>) {
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    let backend = Backend::start(move |_| Reply::When(gate.clone(), ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["limits"]["memory_mb"] = 16.into();
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut clients = Vec::new();
    for _ in 0..BODIES {
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/holds", &wait(), &"x".repeat(BODY))).await;
        clients.push(client);
    }
    soon("the bodies", async { while agent.counters().await["current"] != BODIES {} }).await;
    (directory, backend, agent, word, clients)
}

/// A body waits for room, and its client has sent all of it. What goes by meanwhile is its client's time. On a machine that
/// takes longer for it than a body may, nothing is shown.
#[tokio::test]
async fn an_attempt_tells_what_is_left_after_its_body_had_waited_for_room() {
    for _ in 0..ROUNDS {
        let (_directory, mut backend, agent, word, _clients) = without_room().await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/waits", &wait(), &"x".repeat(BODY))).await;
        let sent = Instant::now();
        tokio::time::sleep(GOES_BY).await;
        let gone = sent.elapsed();
        word.notify_one();
        let attempt = async {
            loop {
                let message = backend.next().await;
                if message.head.contains("waits") {
                    return Some(message);
                }
                word.notify_one();
            }
        };
        let attempt = tokio::select! {
            attempt = attempt => attempt,
            _ = client.answer() => None,
        };
        if let Some(attempt) = attempt {
            let told = told(&attempt);
            assert!(told <= WAIT - gone, "told {told:?} after {gone:?} of {WAIT:?}");
            return;
        }
    }
    panic!("the machine held every round up");
}

/// There is no room for a body in all of its client's time: the answer comes by then.
#[tokio::test]
async fn a_body_that_finds_no_room_has_its_answer_in_its_clients_time() {
    const SHORT: Duration = Duration::from_millis(300);
    for _ in 0..ROUNDS {
        let (_directory, _backend, agent, _word, _clients) = without_room().await;
        let timer_lag = TimerLag::start();
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/waits", "300m", &"x".repeat(BODY))).await;
        let sent = Instant::now();
        let answer = client.answer().await;
        let took = sent.elapsed();
        if took < SHORT + LATE_MOST {
            assert_eq!(answer.status(), 503, "it was not sent on, so trying again is harmless");
            return;
        }
        let held_up = timer_lag.max_lag();
        assert!(held_up > HOLD_UP, "answered {} after {took:?}", answer.status());
    }
    panic!("the machine held every round up");
}

/// A connection comes up late, and a body that is too long to be kept lies whole in the system's buffers meanwhile: its time
/// goes by from its last byte. What is told is what is left, and the answer comes by then.
#[tokio::test]
async fn a_long_body_that_lies_unread_has_its_time() {
    const LONG: usize = 100 << 10;
    const SHORT: Duration = Duration::from_millis(1500);
    for _ in 0..ROUNDS {
        let full_backlog = FullBacklogListener::start().await;
        let directory = Directory::start(Mood::Mute).await;
        let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
        config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
        let agent = Agent::start_with(config, |_| {}).await;
        let timer_lag = TimerLag::start();
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay", "1500m", &"x".repeat(LONG))).await;
        let sent = Instant::now();
        let answers = async {
            let answer = client.answer().await;
            (answer.status(), sent.elapsed())
        };
        let attempt = async {
            tokio::time::sleep(GOES_BY).await;
            let gone = sent.elapsed();
            // The system tries the connect again a second after its beginning.
            let mut stream = full_backlog.accept_pending().await;
            let message = soon("the attempt", read_message(&mut stream, 0)).await;
            (stream, message, gone)
        };
        let ((status, took), (_stream, attempt, gone)) = tokio::join!(answers, attempt);
        let held_up = timer_lag.max_lag();
        if held_up > HOLD_UP || attempt.is_none() {
            continue;
        }
        let told = told(&attempt.expect("some"));
        assert!(told <= SHORT - gone, "told {told:?} after {gone:?} of {SHORT:?}");
        assert!(took < SHORT + LATE_MOST, "answered {status} after {took:?} of {SHORT:?}");
        return;
    }
    panic!("the machine held every round up");
}
