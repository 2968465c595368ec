//! Closes of a connection that cross data in flight: a graceful shutdown, `Connection: close`, a client that disconnects.

mod common;
use common::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// Starts an agent with this server and a discovery service that never answers.
async fn start_agent(backend: &Backend) -> (Directory, Agent) {
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    (directory, agent)
}

/// Sends SIGTERM and waits until the agent shuts down, shown by the close of an idle connection, which it returns.
async fn begin_shutdown(agent: &Agent) -> Client {
    let mut idle = agent.client().await;
    assert_eq!(idle.ask(&request("GET", "/read/idle", "2000m", "")).await.status(), 200);
    agent.send_sigterm().await;
    idle.closed().await;
    idle
}

/// A connection on which a part of a request has arrived before SIGTERM, or which was opened before SIGTERM and has not
/// carried a request yet, is not idle: its request is answered, and the response is the last on the connection.
#[tokio::test]
async fn request_that_crosses_a_shutdown_is_answered() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let (_directory, mut agent) = start_agent(&backend).await;
    let message = request("GET", "/read/crossing", "2000m", "");
    let (first, rest) = message.split_at(message.len() / 2);
    let mut half_read = agent.client().await;
    assert_eq!(half_read.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
    let (mut fresh, mut half_first) = (agent.client().await, agent.client().await);
    half_read.send(first).await;
    half_first.send(first).await;
    let mut idle = begin_shutdown(&agent).await;
    half_read.send(rest).await;
    half_first.send(rest).await;
    fresh.send(&message).await;
    for client in [&mut half_read, &mut half_first, &mut fresh] {
        let answer = client.answer().await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        client.closed().await;
    }
    // The client has to retry a request that it sends over a closed connection; the agent does not forward it.
    let _ = idle.stream.write_all(request("POST", "/pay/ignored", "2000m", "").as_bytes()).await;
    drop(idle);
    assert!(agent.wait_for_exit().await.success());
    while let Ok(received) = backend.seen.try_recv() {
        assert!(!received.head.contains("ignored"), "forwarded after the close");
    }
}

/// In a shutdown every request is answered before the process may be killed (the shortest deadline of the settings plus
/// 0.7 s after SIGTERM), whatever its client's timeout, and whether it came before or after SIGTERM.
#[tokio::test]
async fn every_request_is_answered_before_sigkill() {
    let mut backend = Backend::start(|m| match m.head.contains("slow") {
        true => Reply::Mute,
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let (_directory, mut agent) = start_agent(&backend).await;
    let (mut early, mut late) = (agent.client().await, agent.client().await);
    early.send(&request("POST", "/pay/slow/early", "6000m", "")).await;
    while !backend.next().await.head.contains("early") {}
    let terminated_at = std::time::Instant::now();
    begin_shutdown(&agent).await;
    late.send(&request("POST", "/pay/slow/late", "20000m", "")).await;
    assert_eq!(late.answer().await.status(), 504);
    assert_eq!(early.answer().await.status(), 504);
    // By the settings it may be killed after 3.2 s, and the early request's timeout is 6 s: the bound is halfway between.
    let max_shutdown_time = Duration::from_millis(4600);
    assert!(terminated_at.elapsed() < max_shutdown_time, "{:?}", terminated_at.elapsed());
    assert!(agent.wait_for_exit().await.success());
}

/// Connections in the listen backlog, which wait because the agent is at its connection limit, are served in a shutdown
/// when slots become free, and are not reset when the listener closes.
#[tokio::test]
async fn connections_in_the_backlog_are_served_in_a_shutdown() {
    let mut backend = Backend::start(|m| match m.head.contains("slow") {
        true => Reply::Mute,
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["limits"]["sockets"] = 80.into();
    let mut agent = Agent::start_with(config, |_| {}).await;
    // More than its connection limit. The accepted ones wait for the server or in the request queue.
    let mut slow = Vec::new();
    for _ in 0..60 {
        let mut client = agent.client().await;
        client.send(&request("POST", "/pay/slow", "2400m", "")).await;
        slow.push(client);
    }
    backend.next().await;
    let mut queued = agent.client().await;
    queued.send(&request("GET", "/read/queued", "20000m", "")).await;
    agent.send_sigterm().await;
    let answer = queued.answer().await;
    assert!([200, 429].contains(&answer.status()), "{}", answer.first_line());
    drop(slow);
    assert!(agent.wait_for_exit().await.success());
}

/// A request is finished with the last byte of its response: the process stays until a long response is sent, however long
/// ago its head was.
#[tokio::test]
async fn shutdown_waits_for_the_rest_of_a_long_response() {
    const HALF: usize = 100_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("no local address");
    let reply_signal = Arc::new(Notify::new());
    let server_signal = reply_signal.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("failed to accept the agent's connection");
        read_message(&mut stream, 0).await.expect("connection ended without a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 * HALF);
        stream.write_all(head.as_bytes()).await.expect("failed to write to the agent");
        stream.write_all(&[b'a'; HALF]).await.expect("failed to write to the agent");
        server_signal.notified().await;
        stream.write_all(&[b'b'; HALF]).await.expect("failed to write to the agent");
    });
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", address, "up")]).await;
    let mut client = agent.client().await;
    client.send(&request("GET", "/read", "2000m", "")).await;
    let mut first = [0; 1];
    soon("the response's first byte", client.stream.read_exact(&mut first)).await.expect("read failed");
    agent.send_sigterm().await;
    // Once the listener is closed, this response is all that the agent waits for.
    soon("the close of the listener", async {
        while tokio::net::TcpStream::connect(agent.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    reply_signal.notify_one();
    let mut rest = Vec::new();
    soon("the rest of the response", client.stream.read_to_end(&mut rest))
        .await
        .expect("connection was reset");
    assert!(rest.len() >= 2 * HALF && rest.ends_with(&[b'b'; HALF]), "{} bytes", rest.len());
    assert!(agent.wait_for_exit().await.success());
}

/// Bytes that arrive after the last request do not cost its response: an immediate close would reset the connection, and
/// the part of the response that waits for the client's receive window would be lost.
#[tokio::test]
async fn bytes_that_cross_the_close_do_not_reset_the_last_response() {
    const BODY_BYTES: usize = 60_000;
    let backend = Backend::start(|_| Reply::Bytes(ok(&"x".repeat(BODY_BYTES)))).await;
    let (_directory, agent) = start_agent(&backend).await;
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket.set_recv_buffer_size(4096).expect("failed to set the receive buffer size");
    let mut client = Client { stream: socket.connect(agent.address).await.expect("failed to connect") };
    client.send(&request("GET", "/read", "5000m", "").replace("Host:", "Connection: close\r\nHost:")).await;
    // The first bytes of the response are here, so the agent has written all of it and is closing the connection.
    soon("the response's beginning", client.stream.readable()).await.expect("read failed");
    client.send(&request("GET", "/read/ignored", "5000m", "")).await;
    let mut answer = Vec::new();
    soon("the response", client.stream.read_to_end(&mut answer)).await.expect("connection was reset");
    assert!(answer.len() > BODY_BYTES, "{} bytes of over {BODY_BYTES}", answer.len());
}

/// The agent detects that a client has disconnected even if unread bytes precede the end of the connection: its request is
/// no longer forwarded.
#[tokio::test]
async fn request_is_not_forwarded_if_its_client_disconnects_after_unread_bytes() {
    let full_backlog = FullBacklogListener::start().await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
    config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    let abandoned = request("POST", "/pay/abandoned", "60000m", "b");
    client.send(&abandoned).await;
    client.send(&abandoned).await;
    soon("the request", async { while agent.counters().await["current"] != 1 {} }).await;
    drop(client);
    soon("the end of the abandoned request", async { while agent.counters().await["current"] != 0 {} }).await;
    let mut stream = full_backlog.accept_pending().await;
    // The connection carries the next request, so any bytes of the first one would precede it.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", "60000m", "")).await;
    let message = soon("the next request", read_message(&mut stream, 0))
        .await
        .expect("connection ended without a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1");
}
