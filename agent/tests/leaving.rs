//! Requests of clients that disconnect: whatever a request waits for at that moment, no further attempt is sent. A client
//! that shuts down only its sending side counts as disconnected.

mod common;
use common::*;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

/// Longer than any test, so that no request reaches its deadline.
const CLIENT_TIMEOUT: &str = "60000m";

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// Closes the connection.
    Close,
    /// Closes the connection after sending a part of the next request.
    CloseAfterBytes,
    /// Resets the connection.
    Reset,
    /// Shuts down the sending side and keeps reading.
    Shutdown,
    /// Shuts down the sending side after sending a part of the next request.
    ShutdownAfterBytes,
}

const ALL_WAYS: [Disconnect; 5] = [
    Disconnect::Close,
    Disconnect::CloseAfterBytes,
    Disconnect::Reset,
    Disconnect::Shutdown,
    Disconnect::ShutdownAfterBytes,
];

impl Disconnect {
    /// Disconnects. The caller keeps the returned client until the test's end, since dropping it closes the connection.
    async fn apply(self, mut client: Client) -> Option<Client> {
        if matches!(self, Disconnect::CloseAfterBytes | Disconnect::ShutdownAfterBytes) {
            client.send("POST /pay/abandoned HTTP/1.1\r\nHost: serv").await;
        }
        match self {
            Disconnect::Close | Disconnect::CloseAfterBytes => None,
            Disconnect::Reset => {
                client.stream.set_zero_linger().expect("failed to set SO_LINGER");
                None
            }
            Disconnect::Shutdown | Disconnect::ShutdownAfterBytes => {
                client.stream.shutdown().await.expect("failed to shut down the sending side");
                Some(client)
            }
        }
    }
}

/// How long the agent is stopped: a delay that the scheduler may cause at any time.
const STOP_TIME: Duration = Duration::from_millis(150);
/// A latency objective that allows a long time in the queue.
const LONG_LATENCY_OBJECTIVE_MS: u64 = 20_000;

/// Starts an agent with these servers, this latency objective, long deadlines and connect timeouts, and the admin API, and
/// waits until it polls discovery.
async fn start_agent(hosts: &[Value], latency_objective_ms: u64) -> (Directory, Agent) {
    let empty = serde_json::json!({"seq": 1, "whole": true, "hosts": []});
    let mut directory = Directory::start(Mood::List(empty)).await;
    let mut config = config(directory.address, hosts);
    let settings = &mut config["settings"];
    settings["limits"]["connectTimeoutMs"] = 20_000.into();
    for class in 0..3 {
        let class = &mut settings["classes"][class];
        (class["aimMs"], class["deadlineMs"]) = (latency_objective_ms.into(), 60_000.into());
    }
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    directory.next_call().await;
    (directory, agent)
}

/// Waits until this many requests are open.
async fn wait_for_open_requests(agent: &Agent, count: u64) {
    soon("the count of open requests", async { while agent.counters().await["current"] != count {} }).await;
}

/// Waits until the log shows that the request `id1` ended because its client disconnected.
async fn wait_for_disconnect(agent: &mut Agent) {
    let line = agent.wait_for_log("id1").await;
    assert!(line.contains("gone"), "{line}");
}

/// Sends another request, which must succeed.
async fn send_next_request(agent: &Agent) {
    assert_eq!(
        agent.client().await.ask(&request("GET", "/read/next", CLIENT_TIMEOUT, "")).await.status(),
        200
    );
}

/// A request waits in the queue since no server accepts requests; its client disconnects, then a server joins.
#[tokio::test]
async fn no_attempt_is_sent_if_the_client_disconnects_while_its_request_is_queued() {
    for way in ALL_WAYS {
        let old = Backend::start(|_| Reply::Mute).await;
        let mut new = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) =
            start_agent(&[host("old", old.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
        directory.list(2, &[host("old", old.address, "draining")]);
        directory.next_call().await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/abandoned", CLIENT_TIMEOUT, "")).await;
        wait_for_open_requests(&agent, 1).await;
        let _client = way.apply(client).await;
        wait_for_disconnect(&mut agent).await;
        directory.list(3, &[host("new", new.address, "up")]);
        directory.next_call().await;
        send_next_request(&agent).await;
        assert_eq!(new.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}

/// A retry waits in the queue: the first attempt was rejected, and no other server accepts requests by then.
#[tokio::test]
async fn no_retry_is_sent_if_the_client_disconnects_while_it_is_queued() {
    for way in ALL_WAYS {
        let reply_signal = Arc::new(Notify::new());
        let script_signal = reply_signal.clone();
        let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut old = Backend::start(move |_| Reply::When(script_signal.clone(), rejection.to_vec())).await;
        let mut new = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) =
            start_agent(&[host("old", old.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/abandoned", CLIENT_TIMEOUT, "")).await;
        old.next().await;
        directory.list(2, &[host("old", old.address, "draining")]);
        directory.next_call().await;
        reply_signal.notify_one();
        // The server's counters show that the agent has received the response.
        let rejected = async || agent.admin_json("renderers").await["renderers"][0]["rejected"] == 1;
        soon("the rejection", async { while !rejected().await {} }).await;
        wait_for_open_requests(&agent, 1).await;
        let _client = way.apply(client).await;
        wait_for_disconnect(&mut agent).await;
        directory.list(3, &[host("new", new.address, "up")]);
        directory.next_call().await;
        send_next_request(&agent).await;
        assert_eq!(new.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}

/// The agent is stopped while an attempt is rejected and its client disconnects, and finds both when it continues: no retry
/// is sent, whichever came first.
#[tokio::test]
async fn no_retry_is_sent_if_the_client_disconnects_while_the_agent_is_stopped() {
    for (way, first) in ALL_WAYS.iter().flat_map(|way| [(*way, "the client"), (*way, "the response")]) {
        let reply_signal = Arc::new(Notify::new());
        let script_signal = reply_signal.clone();
        let rejection = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut backend = Backend::start(move |message| match message.head.contains("abandoned") {
            true => Reply::When(script_signal.clone(), rejection.to_vec()),
            false => Reply::Bytes(ok("x")),
        })
        .await;
        let servers = ["s", "t"].map(|name| host(name, backend.address, "up"));
        let (_directory, mut agent) = start_agent(&servers, LONG_LATENCY_OBJECTIVE_MS).await;
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/abandoned", CLIENT_TIMEOUT, "")).await;
        backend.next().await;
        agent.signal("-STOP").await;
        if first == "the response" {
            reply_signal.notify_one();
            tokio::time::sleep(STOP_TIME / 2).await;
        }
        let _client = way.apply(client).await;
        reply_signal.notify_one();
        tokio::time::sleep(STOP_TIME).await;
        agent.signal("-CONT").await;
        wait_for_disconnect(&mut agent).await;
        send_next_request(&agent).await;
        assert_eq!(backend.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}, {first} first");
    }
}

/// The connection to a server is established after the client has disconnected, with a small body and with one that is
/// still arriving.
#[tokio::test]
async fn no_attempt_is_sent_if_the_client_disconnects_during_connect() {
    for way in ALL_WAYS {
        disconnect_during_connect(way, "small".to_owned(), 5).await;
        disconnect_during_connect(way, "x".repeat(100 << 10), 1 << 20).await;
    }
}

async fn disconnect_during_connect(way: Disconnect, body: String, length: usize) {
    let full_backlog = FullBacklogListener::start().await;
    let (_directory, mut agent) =
        start_agent(&[host("s", full_backlog.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
    let mut client = agent.client().await;
    let head = request("POST", "/pay/abandoned", CLIENT_TIMEOUT, "");
    client.send(&head.replace("Content-Length: 0", &format!("Content-Length: {length}"))).await;
    client.send(&body).await;
    let in_flight = async || agent.admin_json("renderers").await["renderers"][0]["in_flight"] == 1;
    soon("the attempt", async { while !in_flight().await {} }).await;
    let _client = way.apply(client).await;
    wait_for_disconnect(&mut agent).await;
    let mut stream = full_backlog.accept_pending().await;
    // The connection carries the next request, so any bytes of the first one would precede it.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", CLIENT_TIMEOUT, "")).await;
    let message = soon("the next request", read_message(&mut stream, 0))
        .await
        .expect("connection ended without a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1", "{way:?}, a body of {length}");
}

/// A server does not respond, so its attempts are cancelled and retried elsewhere. The client of one of two such requests
/// disconnects before that. Once the other request reaches the second server, the first one would have been retried as well.
#[tokio::test]
async fn no_hedged_request_is_sent_if_the_client_disconnects() {
    for way in ALL_WAYS {
        let mut unresponsive = Backend::start(|_| Reply::Mute).await;
        let mut other = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (mut directory, mut agent) =
            start_agent(&[host("unresponsive", unresponsive.address, "up")], 1000).await;
        let mut disconnecting = agent.client().await;
        disconnecting.send(&request("GET", "/read/abandoned", CLIENT_TIMEOUT, "")).await;
        unresponsive.next().await;
        let mut waiting = agent.client().await;
        waiting.send(&request("GET", "/read/waiting", CLIENT_TIMEOUT, "")).await;
        unresponsive.next().await;
        directory
            .list(2, &[host("unresponsive", unresponsive.address, "up"), host("other", other.address, "up")]);
        directory.next_call().await;
        let _client = way.apply(disconnecting).await;
        wait_for_disconnect(&mut agent).await;
        assert_eq!(waiting.answer().await.status(), 200, "{way:?}");
        assert_eq!(other.next().await.first_line(), "GET /read/waiting HTTP/1.1", "{way:?}");
        assert!(other.seen.try_recv().is_err(), "{way:?}: forwarded after its client had disconnected");
    }
}

/// A request with a truncated body is not forwarded.
#[tokio::test]
async fn no_attempt_is_sent_if_the_client_disconnects_within_its_body() {
    for way in [Disconnect::Close, Disconnect::Reset, Disconnect::Shutdown] {
        let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
        let (_directory, mut agent) =
            start_agent(&[host("s", backend.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
        let mut client = agent.client().await;
        let head = request("POST", "/pay/abandoned", CLIENT_TIMEOUT, "").replace("Length: 0", "Length: 10");
        client.send(&(head + "half")).await;
        let _client = way.apply(client).await;
        agent.wait_for_log("id1").await;
        send_next_request(&agent).await;
        assert_eq!(backend.next().await.first_line(), "GET /read/next HTTP/1.1", "{way:?}");
    }
}
