//! Requests of clients that disconnect: whatever a request waits for at that moment, no further attempt is sent. A client
//! that shuts down only its sending side counts as disconnected.

mod common;
use common::*;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
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

/// Nothing may begin later than this after a client's close, with the tolerance of sockets.
const MAX_BEGIN_DELAY: Duration = Duration::from_millis(150);

/// A server that accepts connections and reports when the first bytes of each come.
async fn start_recording_server() -> (std::net::SocketAddr, tokio::sync::mpsc::UnboundedReceiver<Instant>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("no local address");
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut bytes = vec![0; 1 << 16];
                if stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
                    let _ = sender.send(Instant::now());
                }
                while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
            });
        }
    });
    (address, receiver)
}

/// Guards against an upload that is retried for a client which has left, as its close stood behind bytes that nobody read.
/// The first server's connection is not established in time.
#[tokio::test]
async fn no_retry_is_sent_if_the_close_of_an_uploading_client_is_hidden_behind_unread_bytes() {
    const BODY_BYTES: usize = 300_000;
    for path in ["/pay", "/save"] {
        let unreachable = FullBacklogListener::start().await;
        let (server, mut begun) = start_recording_server().await;
        let directory = Directory::start(Mood::Mute).await;
        let hosts = [host("unreachable", unreachable.address, "up"), host("s", server, "up")];
        let agent = Agent::start(directory.address, &hosts).await;
        for number in 0..12 {
            let mut client = agent.client().await;
            let head = request("POST", path, "2000m", "").replace("id1", &format!("upload-{number}"));
            client.send(&head.replace("Length: 0", &format!("Length: {BODY_BYTES}"))).await;
            client.stream.write_all(&vec![b'x'; BODY_BYTES]).await.expect("failed to write");
        }
        let closed_at = Instant::now();
        // The connection timeout is 500 ms, and any retry follows it.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        while let Ok(begun_at) = begun.try_recv() {
            let delay = begun_at.saturating_duration_since(closed_at);
            assert!(delay <= MAX_BEGIN_DELAY, "{path}: an attempt began {delay:?} after the close");
        }
    }
}

/// Guards against requests that are sent on one after another for a client which has left, as its close stood behind
/// further requests that nobody had read.
#[tokio::test]
async fn no_pipelined_request_is_sent_if_the_close_is_hidden_behind_unread_requests() {
    const REQUESTS: usize = 3000;
    for (method, path) in [("GET", "/read"), ("POST", "/pay"), ("POST", "/save")] {
        let answer_signal = std::sync::Arc::new(tokio::sync::Notify::new());
        let script_signal = answer_signal.clone();
        let mut backend = Backend::start(move |_| Reply::When(script_signal.clone(), ok("x"))).await;
        let (_directory, agent) =
            start_agent(&[host("s", backend.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
        let mut client = agent.client().await;
        let requests: String = (0..REQUESTS)
            .map(|number| request(method, path, "5000m", "").replace("id1", &format!("pipelined-{number}")))
            .collect();
        client.send(&requests).await;
        client.stream.shutdown().await.expect("failed to end the stream");
        backend.next().await;
        tokio::time::sleep(MAX_BEGIN_DELAY).await;
        while backend.seen.try_recv().is_ok() {}
        // The responses that are owed come now, so that the next requests are handled.
        for _ in 0..20 {
            answer_signal.notify_one();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(backend.seen.try_recv().is_err(), "{path}: sent after its client had left");
    }
}

/// Guards against a request that runs twice, as it comes again after its client has left: the first attempt may still run.
#[tokio::test]
async fn a_request_that_comes_again_after_its_client_left_runs_once() {
    for path in ["/pay", "/save"] {
        let mut backend = Backend::start(|_| Reply::Mute).await;
        let (_directory, mut agent) =
            start_agent(&[host("s", backend.address, "up")], LONG_LATENCY_OBJECTIVE_MS).await;
        let message = request("POST", path, CLIENT_TIMEOUT, "x");
        let mut leaving = agent.client().await;
        leaving.send(&message).await;
        backend.next().await;
        drop(leaving);
        agent.wait_for_log("id1").await;
        // A refusal would tell the client that trying again is harmless.
        assert_eq!(agent.client().await.ask(&message).await.status(), 502, "{path}");
        let other = message.replace("id1", "id2");
        let mut client = agent.client().await;
        client.send(&other).await;
        assert_eq!(backend.next().await.header("x-request-id"), Some("id2"), "{path}: ran twice");
    }
}
