//! Forwarding of requests to servers, retries after failed attempts, and the responses to clients.

mod common;
use common::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// Starts an agent with these servers and a discovery service that never answers.
async fn start_agent(backends: &[&Backend]) -> (Directory, Agent) {
    let endpoint = |(i, b): (usize, &&Backend)| host(&format!("s{i}"), b.address, "up");
    let hosts: Vec<_> = backends.iter().enumerate().map(endpoint).collect();
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &hosts).await;
    (directory, agent)
}

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("body of the answer"))).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let mut client = agent.client().await;
    let answer = client.ask(&request("POST", "/save/x?key=7f&more=%20", "2000m", "the body")).await;
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"body of the answer".as_slice()));
    let received = backend.next().await;
    assert_eq!(received.first_line(), "POST /save/x?key=7f&more=%20 HTTP/1.1");
    assert_eq!(received.header("x-request-id"), Some("id1"));
    assert_eq!(received.header("idempotency-key"), Some("k1"));
    assert_eq!(received.body, b"the body");
    let timeout =
        received.header("x-timeout").and_then(|value| value.strip_suffix('u')).expect("no X-Timeout in µs");
    let timeout: u64 = timeout.parse().expect("not a number");
    assert!(
        timeout > 0 && timeout <= 1_994_000,
        "{timeout} µs is not less than the client's timeout by the time reserved for the response"
    );
}

#[tokio::test]
async fn connections_are_reused() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let mut client = agent.client().await;
    for _ in 0..20 {
        assert_eq!(client.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
        assert_eq!(backend.next().await.connection, 0);
    }
    assert_eq!(backend.connections(), 1);
}

/// A non-idempotent request whose connection breaks after its last byte may have been executed. It is not retried, nor
/// answered as rejected, since the client would then retry it.
#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_reset() {
    let mut first = Backend::start(|_| Reply::Last(Vec::new())).await;
    let (_directory, agent) = start_agent(&[&first]).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(answer.status(), 502);
    first.next().await;
    assert!(first.seen.try_recv().is_err(), "sent twice");
}

/// A request whose connection was refused was not executed, so it is retried at another server in every class.
#[tokio::test]
async fn non_idempotent_request_is_retried_elsewhere_after_a_refused_connection() {
    let mut good = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let hosts = [host("refusing", nobody().await, "up"), host("good", good.address, "up")];
    let agent = Agent::start(directory.address, &hosts).await;
    for _ in 0..6 {
        let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
        assert_eq!(answer.status(), 200);
        good.next().await;
    }
}

/// Only `X-Not-Processed: 1` proves that a request was not executed; a 503 without it may follow an execution.
#[tokio::test]
async fn plain_503_is_neither_retried_nor_forwarded() {
    let mut backend =
        Backend::start(|_| Reply::Bytes(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_vec())).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(answer.status(), 502);
    backend.next().await;
    assert!(backend.seen.try_recv().is_err(), "sent twice");
}

#[tokio::test]
async fn non_idempotent_request_is_retried_after_a_503_marked_as_not_processed() {
    let count = AtomicUsize::new(0);
    let mut backend = Backend::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Bytes(b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_vec()),
        _ => Reply::Bytes(ok("x")),
    })
    .await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(backend.next().await.header("x-request-id"), Some("id1"));
    assert_eq!(backend.next().await.connection, 0, "the connection was not kept after a rejection");
}

/// A truncated body must never be forwarded as a complete one.
#[tokio::test]
async fn truncated_response_is_answered_with_502() {
    let backend =
        Backend::start(|_| Reply::Last(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".to_vec())).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(answer.status(), 502);
}

#[tokio::test]
async fn malformed_responses_fail_only_their_attempt() {
    let count = AtomicUsize::new(0);
    let backend = Backend::start(move |_| match count.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Last(b"\0\xff\r\n\r\n".to_vec()),
        1 => {
            Reply::Last(b"HTTP/1.1 999 What\r\nX-Server-Load: \xff=,,\r\nContent-Length: 0\r\n\r\n".to_vec())
        }
        2 => Reply::Last(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_vec()),
        _ => Reply::Bytes(
            b"HTTP/1.1 200 OK\r\nX-Server-Load: TEXT queue=NaN, qps\r\nContent-Length: 0\r\n\r\n".to_vec(),
        ),
    })
    .await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    for status in [502, 502, 502, 200] {
        let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
        assert_eq!(answer.status(), status);
    }
}

/// A server behind a network partition sends nothing. The client gets its response, and the connection is not reused.
/// That the response comes before the client's timeout is a unit test of the HTTP server, on a paused clock, which load
/// on the machine does not affect.
#[tokio::test]
async fn unresponsive_server_delays_its_request_only_until_the_deadline() {
    let mut backend =
        Backend::start(|m| if m.connection == 0 { Reply::Mute } else { Reply::Bytes(ok("x")) }).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(answer.status(), 504);
    assert_eq!(backend.next().await.connection, 0);
    assert_eq!(soon("the close of the unresponsive connection", backend.closed.recv()).await, Some(0));
    // The server is an outlier by now, but the only one in the list.
    soon("a successful request", async {
        while agent.client().await.ask(&request("GET", "/read", "2000m", "")).await.status() != 200 {}
    })
    .await;
    assert_eq!(backend.next().await.connection, 1);
}

/// No request is sent over an idle connection that the server has closed.
#[tokio::test]
async fn connection_closed_by_the_server_while_idle_is_not_reused() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".to_vec();
    let mut backend = Backend::start(move |_| Reply::Last(response.clone())).await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    for connection in 0..5 {
        let answer = agent.client().await.ask(&request("POST", "/pay", "2000m", "b")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(backend.next().await.connection, connection);
        // Over loopback the server's FIN arrives within this time.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The agent closes an idle connection well before the server's keep-alive timeout: a request that is in flight when the
/// server closes the connection fails with a reset.
#[tokio::test]
async fn idle_connections_are_closed_before_the_servers_keep_alive_timeout() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["settings"]["limits"]["keepaliveMs"] = 1500.into();
    let agent = Agent::start_with(config, |_| {}).await;
    let sent_at = Instant::now();
    assert_eq!(agent.client().await.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
    backend.next().await;
    assert_eq!(soon("the close of the idle connection", backend.closed.recv()).await, Some(0));
    assert!(sent_at.elapsed() > Duration::from_millis(900), "closed long before the keep-alive timeout");
}

/// When a client disconnects, an attempt that has been sent continues, its outcome is counted, and its connection is reused.
#[tokio::test]
async fn connection_of_an_attempt_is_reused_after_its_client_disconnected() {
    let reply_signal = Arc::new(Notify::new());
    let script_signal = reply_signal.clone();
    let mut backend = Backend::start(move |m| match m.head.contains("/pay") {
        true => Reply::When(script_signal.clone(), ok("x")),
        // These connections are not reusable, so a second request on a connection can only be on the first.
        false => Reply::Bytes(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_vec()),
    })
    .await;
    let (_directory, agent) = start_agent(&[&backend]).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "2000m", "b")).await;
    assert_eq!(backend.next().await.connection, 0);
    client.stream.shutdown().await.expect("failed to shut down the sending side");
    client.closed().await;
    reply_signal.notify_one();
    // The agent reuses the connection only once it has received the response.
    soon("the reuse of the connection", async {
        loop {
            assert_eq!(agent.client().await.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
            if backend.next().await.connection == 0 {
                return;
            }
        }
    })
    .await;
}

/// A request is not sent if its client disconnects while the connection to the server is still being established.
#[tokio::test]
async fn request_is_not_sent_if_its_client_disconnects_during_connect() {
    let full_backlog = FullBacklogListener::start().await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
    config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    client.send(&request("POST", "/pay", "60000m", "b")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(client);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // The connection is established and stays idle.
    let mut stream = full_backlog.accept_pending().await;
    // The connection carries the next request, so any bytes of the first one would precede it.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", "60000m", "")).await;
    let message = soon("the next request", read_message(&mut stream, 0))
        .await
        .expect("connection ended without a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1");
}

/// Starts an agent with this server, a connect timeout of 10 s and the admin API, and waits until it polls discovery.
async fn start_polling_agent(server: Value, modify_settings: impl FnOnce(&mut Value)) -> (Directory, Agent) {
    let mut directory = Directory::start(Mood::List(json!({"seq": 1, "whole": true, "hosts": []}))).await;
    let mut config = config(directory.address, &[server]);
    config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
    config["operator"] = "127.0.0.1:0".into();
    modify_settings(&mut config["settings"]);
    let agent = Agent::start_with(config, |_| {}).await;
    directory.next_call().await;
    (directory, agent)
}

/// Sends a request and waits until it is open at the agent.
async fn send_request(agent: &Agent, path: &str) -> Client {
    let mut client = agent.client().await;
    client.send(&request(if path == "/read" { "GET" } else { "POST" }, path, "60000m", "")).await;
    soon("the request", async { while agent.counters().await["current"] != 1 {} }).await;
    client
}

/// The endpoint list may change the state of a server to draining between its selection and the connection's
/// establishment. The attempt is then not sent there.
#[tokio::test]
async fn no_request_is_sent_to_a_server_that_starts_draining_during_connect() {
    let (full_backlog, other) =
        (FullBacklogListener::start().await, Backend::start(|_| Reply::Bytes(ok("other"))).await);
    let (mut directory, agent) = start_polling_agent(host("s", full_backlog.address, "up"), |_| {}).await;
    let mut client = send_request(&agent, "/pay").await;
    directory.list(2, &[host("s", full_backlog.address, "draining"), host("other", other.address, "up")]);
    // The next poll shows that the agent has applied the list.
    directory.next_call().await;
    let mut stream = full_backlog.accept_pending().await;
    assert_eq!(client.answer().await.body, b"other");
    assert!(
        soon("the connection's end", read_message(&mut stream, 0)).await.is_none(),
        "sent to a draining server"
    );
}

/// A server may move to another address while a connection to its old one is being established. A request that is sent
/// there would reach whichever process uses the old address by then.
#[tokio::test]
async fn no_request_is_sent_to_the_old_address_of_a_server_that_moves_during_connect() {
    let (full_backlog, new) =
        (FullBacklogListener::start().await, Backend::start(|_| Reply::Bytes(ok("new"))).await);
    let (mut directory, agent) = start_polling_agent(host("s", full_backlog.address, "up"), |_| {}).await;
    let mut client = send_request(&agent, "/pay").await;
    directory.list(2, &[host("s", new.address, "up")]);
    directory.next_call().await;
    let mut stream = full_backlog.accept_pending().await;
    assert_eq!(client.answer().await.body, b"new");
    assert!(
        soon("the connection's end", read_message(&mut stream, 0)).await.is_none(),
        "sent to the old address"
    );
}

/// `X-Timeout` of an attempt is the client's remaining time when the request head is written, not when the server was
/// selected: establishing the connection takes time.
#[tokio::test]
async fn x_timeout_is_the_remaining_time_when_the_head_is_written() {
    const TIMEOUT: Duration = Duration::from_millis(60_000);
    let full_backlog = FullBacklogListener::start().await;
    let (_directory, agent) = start_polling_agent(host("s", full_backlog.address, "up"), |_| {}).await;
    let _client = send_request(&agent, "/pay").await;
    let sent_at = Instant::now();
    // Time has to pass for the remaining time to shrink.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let elapsed = sent_at.elapsed();
    let mut stream = full_backlog.accept_pending().await;
    let message =
        soon("the attempt", read_message(&mut stream, 0)).await.expect("connection ended without a request");
    let sent_timeout = message.header("x-timeout").and_then(|value| value.strip_suffix('u')?.parse().ok());
    let sent_timeout = Duration::from_micros(sent_timeout.expect("no X-Timeout in µs"));
    assert!(sent_timeout <= TIMEOUT - elapsed, "sent {sent_timeout:?} after {elapsed:?} of {TIMEOUT:?}");
    assert!(sent_timeout > TIMEOUT / 2, "sent {sent_timeout:?}");
}

/// Servers forget an idempotency key when its deduplication window ends. A retry that was started within the window but
/// whose connection is established after it would be executed a second time.
#[tokio::test]
async fn no_retry_is_sent_after_the_deduplication_window() {
    const WINDOW: Duration = Duration::from_millis(1200);
    let reply_signal = Arc::new(Notify::new());
    let script_signal = reply_signal.clone();
    let mut first = Backend::start(move |_| Reply::When(script_signal.clone(), b"\0\r\n\r\n".to_vec())).await;
    let full_backlog = FullBacklogListener::start().await;
    let (mut directory, agent) = start_polling_agent(host("first", first.address, "up"), |settings| {
        settings["classes"][1]["dedupWindowMs"] = (WINDOW.as_millis() as u64).into();
    })
    .await;
    let mut client = send_request(&agent, "/save").await;
    let sent_at = Instant::now();
    first.next().await;
    directory
        .list(2, &[host("first", first.address, "draining"), host("second", full_backlog.address, "up")]);
    directory.next_call().await;
    reply_signal.notify_one();
    // Wait until the window of the settings has ended.
    tokio::time::sleep((WINDOW * 2).saturating_sub(sent_at.elapsed())).await;
    let mut stream = full_backlog.accept_pending().await;
    assert_eq!(
        client.answer().await.status(),
        429,
        "a request whose deduplication scope is all servers may be retried by the client"
    );
    // The connection carries the next request, so any bytes of the retry would precede it.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", "60000m", "")).await;
    let message = soon("the next request", read_message(&mut stream, 0))
        .await
        .expect("connection ended without a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1");
}

/// The agent is stopped while a response arrives and its timeout ends, and finds both when it continues. The response
/// counts, with and without a body.
#[tokio::test]
async fn response_counts_if_it_is_found_together_with_its_timeout() {
    const TIMEOUT: Duration = Duration::from_millis(1000);
    for body in ["", "x"] {
        let reply_signal = Arc::new(Notify::new());
        let script_signal = reply_signal.clone();
        let mut backend = Backend::start(move |_| Reply::When(script_signal.clone(), ok(body))).await;
        let (_directory, agent) = start_agent(&[&backend]).await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay", "1000m", "b")).await;
        let sent_at = Instant::now();
        backend.next().await;
        agent.signal("-STOP").await;
        let stopped_in_time = sent_at.elapsed() < TIMEOUT / 2;
        reply_signal.notify_one();
        tokio::time::sleep((TIMEOUT * 2).saturating_sub(sent_at.elapsed())).await;
        agent.signal("-CONT").await;
        let status = client.answer().await.status();
        assert!(status == 200 || !stopped_in_time, "{status}, with the body {body:?}");
    }
}

/// A request that the balancer rejects is answered at once, with `Retry-After` if the settings enable it.
#[tokio::test]
async fn rejection_carries_retry_after() {
    let directory = Directory::start(Mood::Mute).await;
    let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
    let backend = Backend::start(move |_| Reply::Bytes(rejection.clone())).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    let answer = agent.client().await.ask(&request("GET", "/read", "2000m", "")).await;
    assert_eq!(answer.status(), 429);
    let retry_after_s: f64 =
        answer.header("retry-after").expect("no Retry-After").parse().expect("not a number");
    assert!(retry_after_s > 0.0 && retry_after_s <= 0.75, "{retry_after_s}");
}
