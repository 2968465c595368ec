//! `X-Timeout` of an attempt is at most the client's remaining time, whatever the request waited for before, and a client
//! gets its response before its timeout.

mod common;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use timer_lag::TimerLag;
use tokio::sync::Notify;

/// The timeout of the clients.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a request is made to wait.
const DELAY: Duration = Duration::from_millis(600);
/// How long the scheduler may delay the agent at any time.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// The smallest memory budget fits this many bodies of the largest size that is buffered.
const BODIES_IN_BUDGET: u64 = 16;
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// A client discards a response that comes this long after its timeout.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const ROUNDS: usize = 10;

/// The `X-Timeout` of an attempt.
fn sent_timeout(attempt: &Message) -> Duration {
    let timeout = attempt.header("x-timeout").and_then(|value| value.strip_suffix('u')?.parse().ok());
    Duration::from_micros(timeout.expect("no X-Timeout in µs"))
}

/// [`CLIENT_TIMEOUT`] as a header value.
fn client_timeout() -> String {
    format!("{}m", CLIENT_TIMEOUT.as_millis())
}

/// The first attempt fails late, and the agent is stopped at that moment: the retry is sent with the time left after both.
#[tokio::test]
async fn x_timeout_of_a_retry_excludes_a_late_failure_and_a_scheduling_delay() {
    let reply_signal = Arc::new(Notify::new());
    let script_signal = reply_signal.clone();
    let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    let mut backend = Backend::start(move |_| Reply::When(script_signal.clone(), rejection.to_vec())).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    for class in 0..3 {
        let class = &mut config["settings"]["classes"][class];
        (class["aimMs"], class["deadlineMs"]) = (20_000.into(), 60_000.into());
    }
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", &client_timeout(), "b")).await;
    let sent_at = Instant::now();
    let first = backend.next().await;
    assert!(sent_timeout(&first) <= CLIENT_TIMEOUT);
    tokio::time::sleep(DELAY).await;
    agent.signal("-STOP").await;
    reply_signal.notify_one();
    tokio::time::sleep(MAX_SCHEDULING_DELAY).await;
    let elapsed = sent_at.elapsed();
    agent.signal("-CONT").await;
    let retry = sent_timeout(&backend.next().await);
    assert!(retry <= CLIENT_TIMEOUT - elapsed, "sent {retry:?} after {elapsed:?} of {CLIENT_TIMEOUT:?}");
    assert!(retry > CLIENT_TIMEOUT / 2, "sent {retry:?}");
}

/// Starts an agent whose memory budget is full: as many bodies as fit wait for responses of the server, which answers one
/// of them per notification.
async fn start_agent_with_full_budget() -> (Directory, Backend, Agent, Arc<Notify>, Vec<Client>) {
    let reply_signal = Arc::new(Notify::new());
    let script_signal = reply_signal.clone();
    let backend = Backend::start(move |_| Reply::When(script_signal.clone(), ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["limits"]["memory_mb"] = 16.into();
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut clients = Vec::new();
    for _ in 0..BODIES_IN_BUDGET {
        let mut client = agent.client().await;
        client
            .send(&request("POST", "/pay/holds", &client_timeout(), &"x".repeat(MAX_BUFFERED_BODY_BYTES)))
            .await;
        clients.push(client);
    }
    soon("the bodies", async { while agent.counters().await["current"] != BODIES_IN_BUDGET {} }).await;
    (directory, backend, agent, reply_signal, clients)
}

/// A body that its client has sent completely waits for memory, and this wait counts against the client's timeout. A round
/// in which the body is rejected first, since the machine was slow, is inconclusive and is repeated.
#[tokio::test]
async fn x_timeout_excludes_the_wait_of_the_body_for_memory() {
    for _ in 0..ROUNDS {
        let (_directory, mut backend, agent, reply_signal, _clients) = start_agent_with_full_budget().await;
        let mut client = agent.client().await;
        client
            .send(&request("POST", "/pay/waits", &client_timeout(), &"x".repeat(MAX_BUFFERED_BODY_BYTES)))
            .await;
        let sent_at = Instant::now();
        tokio::time::sleep(DELAY).await;
        let elapsed = sent_at.elapsed();
        reply_signal.notify_one();
        let attempt = async {
            loop {
                let message = backend.next().await;
                if message.head.contains("waits") {
                    return Some(message);
                }
                reply_signal.notify_one();
            }
        };
        let attempt = tokio::select! {
            attempt = attempt => attempt,
            _ = client.answer() => None,
        };
        if let Some(attempt) = attempt {
            let timeout = sent_timeout(&attempt);
            assert!(
                timeout <= CLIENT_TIMEOUT - elapsed,
                "sent {timeout:?} after {elapsed:?} of {CLIENT_TIMEOUT:?}"
            );
            return;
        }
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}

/// There is no memory for a body until its client's timeout: the response comes in time.
#[tokio::test]
async fn body_without_memory_is_answered_before_the_clients_timeout() {
    const SHORT_TIMEOUT: Duration = Duration::from_millis(300);
    for _ in 0..ROUNDS {
        let (_directory, _backend, agent, _reply_signal, _clients) = start_agent_with_full_budget().await;
        let timer_lag = TimerLag::start();
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/waits", "300m", &"x".repeat(MAX_BUFFERED_BODY_BYTES))).await;
        let sent_at = Instant::now();
        let answer = client.answer().await;
        let took = sent_at.elapsed();
        if took < SHORT_TIMEOUT + MAX_LATENESS {
            assert_eq!(answer.status(), 503, "it was not forwarded, so a retry is safe");
            return;
        }
        let max_lag = timer_lag.max_lag();
        assert!(max_lag > MAX_SCHEDULING_DELAY, "answered {} after {took:?}", answer.status());
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}

/// A connection is established late, while a body that is too long to be buffered lies completely in the socket buffers:
/// its client's timeout counts from its last byte. `X-Timeout` is the remaining time, and the response comes in time.
#[tokio::test]
async fn timeout_of_a_long_body_counts_while_it_is_unread() {
    const LONG_BODY_BYTES: usize = 100 << 10;
    const SHORT_TIMEOUT: Duration = Duration::from_millis(1500);
    for _ in 0..ROUNDS {
        let full_backlog = FullBacklogListener::start().await;
        let directory = Directory::start(Mood::Mute).await;
        let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
        config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
        let agent = Agent::start_with(config, |_| {}).await;
        let timer_lag = TimerLag::start();
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay", "1500m", &"x".repeat(LONG_BODY_BYTES))).await;
        let sent_at = Instant::now();
        let response = async {
            let answer = client.answer().await;
            (answer.status(), sent_at.elapsed())
        };
        let attempt = async {
            tokio::time::sleep(DELAY).await;
            let elapsed = sent_at.elapsed();
            // The kernel sends the SYN again a second after the first one.
            let mut stream = full_backlog.accept_pending().await;
            let message = soon("the attempt", read_message(&mut stream, 0)).await;
            (stream, message, elapsed)
        };
        let ((status, took), (_stream, attempt, elapsed)) = tokio::join!(response, attempt);
        let max_lag = timer_lag.max_lag();
        if max_lag > MAX_SCHEDULING_DELAY || attempt.is_none() {
            continue;
        }
        let timeout = sent_timeout(&attempt.expect("checked above"));
        assert!(
            timeout <= SHORT_TIMEOUT - elapsed,
            "sent {timeout:?} after {elapsed:?} of {SHORT_TIMEOUT:?}"
        );
        assert!(took < SHORT_TIMEOUT + MAX_LATENESS, "answered {status} after {took:?} of {SHORT_TIMEOUT:?}");
        return;
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}
