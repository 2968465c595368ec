//! Where the end of a connection crosses what is on its way over it: a planned end, an idle close, a client's leaving.

mod common;
use common::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

async fn agent_of(backend: &Backend) -> (Directory, Agent) {
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    (directory, agent)
}

/// Has the agent told to end, and waits until it has taken that in: it ends a connection that rests.
async fn told_to_end(agent: &Agent) -> Client {
    let mut rests = agent.client().await;
    assert_eq!(rests.ask(&request("GET", "/read/rests", "2000m", "")).await.status(), 200);
    agent.send_sigterm().await;
    rests.closed().await;
    rests
}

/// What has come of a request by the time of SIGTERM, or comes over a connection that was there by then, is no resting
/// connection's: it is answered, and that answer is the last.
#[tokio::test]
async fn a_request_that_crosses_a_planned_end_is_answered() {
    let mut backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let (_directory, mut agent) = agent_of(&backend).await;
    let whole = request("GET", "/read/whole", "2000m", "");
    let (first, rest) = whole.split_at(whole.len() / 2);
    let mut half_read = agent.client().await;
    assert_eq!(half_read.ask(&request("GET", "/read", "2000m", "")).await.status(), 200);
    let (mut fresh, mut half_first) = (agent.client().await, agent.client().await);
    half_read.send(first).await;
    half_first.send(first).await;
    let mut rests = told_to_end(&agent).await;
    half_read.send(rest).await;
    half_first.send(rest).await;
    fresh.send(&whole).await;
    for client in [&mut half_read, &mut half_first, &mut fresh] {
        let answer = client.answer().await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        client.closed().await;
    }
    // A request over a connection that the agent has ended is its client's to send again, and goes nowhere.
    let _ = rests.stream.write_all(request("POST", "/pay/unheard", "2000m", "").as_bytes()).await;
    drop(rests);
    assert!(agent.wait_for_exit().await.success());
    while let Ok(message) = backend.seen.try_recv() {
        assert!(!message.head.contains("unheard"), "sent on after the close");
    }
}

/// In a planned end every request is answered before the process may be killed (the shortest deadline of the settings and
/// 0.7 s after SIGTERM), however long its client would wait, and whether it came before SIGTERM or after.
#[tokio::test]
async fn every_request_is_answered_before_the_process_may_be_killed() {
    let mut backend = Backend::start(|m| match m.head.contains("slow") {
        true => Reply::Mute,
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let (_directory, mut agent) = agent_of(&backend).await;
    let (mut early, mut late) = (agent.client().await, agent.client().await);
    early.send(&request("POST", "/pay/slow/early", "6000m", "")).await;
    while !backend.next().await.head.contains("early") {}
    let told = std::time::Instant::now();
    told_to_end(&agent).await;
    late.send(&request("POST", "/pay/slow/late", "20000m", "")).await;
    assert_eq!(late.answer().await.status(), 504);
    assert_eq!(early.answer().await.status(), 504);
    // By the settings it may be killed after 3.2 s; half of the way to the early one's deadline is bound enough.
    let between = Duration::from_millis(4600);
    assert!(told.elapsed() < between, "{:?}", told.elapsed());
    assert!(agent.wait_for_exit().await.success());
}

/// Connections that wait in the system's queue, as all places are taken, are the agent's: at a planned end they are served
/// when there are places, and not reset with the listener.
#[tokio::test]
async fn what_waits_in_the_queue_at_a_planned_end_is_served() {
    let mut backend = Backend::start(|m| match m.head.contains("slow") {
        true => Reply::Mute,
        false => Reply::Bytes(ok("x")),
    })
    .await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    config["limits"]["sockets"] = 80.into();
    let mut agent = Agent::start_with(config, |_| {}).await;
    // More than it has places for; those that it takes wait at the backend or for their turn there.
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

/// An answer counts as given with its last byte. The process stays until a long one is out, however long its head has
/// been decided.
#[tokio::test]
async fn a_planned_end_waits_for_the_rest_of_a_long_answer() {
    const HALF: usize = 100_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let word = Arc::new(Notify::new());
    let gate = word.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the agent's connection");
        read_message(&mut stream, 0).await.expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 2 * HALF);
        stream.write_all(head.as_bytes()).await.expect("the agent reads");
        stream.write_all(&[b'a'; HALF]).await.expect("the agent reads");
        gate.notified().await;
        stream.write_all(&[b'b'; HALF]).await.expect("the agent reads");
    });
    let directory = Directory::start(Mood::Mute).await;
    let mut agent = Agent::start(directory.address, &[host("s", address, "up")]).await;
    let mut client = agent.client().await;
    client.send(&request("GET", "/read", "2000m", "")).await;
    let mut first = [0; 1];
    soon("the answer's first byte", client.stream.read_exact(&mut first)).await.expect("a byte");
    agent.send_sigterm().await;
    // Past this point it takes no connections any more and has nothing to wait for but this answer.
    soon("the listener's end", async {
        while tokio::net::TcpStream::connect(agent.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    word.notify_one();
    let mut rest = Vec::new();
    soon("the rest", client.stream.read_to_end(&mut rest)).await.expect("no reset");
    assert!(rest.len() >= 2 * HALF && rest.ends_with(&[b'b'; HALF]), "{} bytes", rest.len());
    assert!(agent.wait_for_exit().await.success());
}

/// Bytes that come after the last request do not take its answer along: closed at once, the connection would be reset,
/// and what the client's window has not let through yet would be lost.
#[tokio::test]
async fn bytes_that_cross_the_close_do_not_cost_the_last_answer() {
    const LONG: usize = 60_000;
    let backend = Backend::start(|_| Reply::Bytes(ok(&"x".repeat(LONG)))).await;
    let (_directory, agent) = agent_of(&backend).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small window");
    let mut client = Client { stream: socket.connect(agent.address).await.expect("a connection") };
    client.send(&request("GET", "/read", "5000m", "").replace("Host:", "Connection: close\r\nHost:")).await;
    // The answer's first bytes are here, so the agent has written all of it and is done with the connection.
    soon("the answer's beginning", client.stream.readable()).await.expect("bytes");
    client.send(&request("GET", "/read/unheard", "5000m", "")).await;
    let mut answer = Vec::new();
    soon("the answer", client.stream.read_to_end(&mut answer)).await.expect("no reset");
    assert!(answer.len() > LONG, "{} bytes of over {LONG}", answer.len());
}

/// A client that leaves has left, also where more of its bytes stand before the end of its connection: nothing of its
/// request goes out any more.
#[tokio::test]
async fn a_client_that_leaves_behind_unread_bytes_is_not_sent_on() {
    let full_backlog = FullBacklogListener::start().await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", full_backlog.address, "up")]);
    config["settings"]["limits"]["connectTimeoutMs"] = 10_000.into();
    config["operator"] = "127.0.0.1:0".into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    let left = request("POST", "/pay/left", "60000m", "b");
    client.send(&left).await;
    client.send(&left).await;
    soon("the request", async { while agent.counters().await["current"] != 1 {} }).await;
    drop(client);
    soon("the client's leaving", async { while agent.counters().await["current"] != 0 {} }).await;
    let mut stream = full_backlog.accept_pending().await;
    // The connection serves the next request, so the first one's bytes would have come before these.
    let mut client = agent.client().await;
    client.send(&request("GET", "/read/next", "60000m", "")).await;
    let message = soon("the next request", read_message(&mut stream, 0)).await.expect("a request");
    assert_eq!(message.first_line(), "GET /read/next HTTP/1.1");
}
