//! Long request bodies whose servers do not take them as fast as their clients send them. A client's timeout counts from the
//! time at which it sent the last byte, wherever that byte is, and its response comes half a second after it at the latest.

mod common;
#[path = "common/timer_lag.rs"]
mod timer_lag;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use timer_lag::TimerLag;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The timeout of the clients.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1200);
/// A response that comes later than this after the client's timeout is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// A round in which timers lag by more than this is inconclusive.
const MAX_TIMER_LAG: Duration = Duration::from_millis(150);
const ROUNDS: usize = 10;
/// More than the socket buffers between a client and its server hold.
const BODY_BYTES: usize = 24 << 20;
const PIECE_BYTES: usize = 64 << 10;
/// The receive buffer of the server.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;

/// How the length of a body is given.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// What a server does once the complete body of a request has left its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ThenServer {
    StopsReading,
    /// Reads [`PIECE_BYTES`] in each interval.
    ReadsAtInterval(Duration),
    Resets,
}

/// Whether the client has sent its complete body.
type BodySent = watch::Receiver<bool>;

/// Ends a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Reads a request, faster than its client's timeout requires but not as fast as the client sends, until the client has
/// sent all of it. Then does what `then` says; responds if it reads the request to its end.
async fn serve(mut stream: TcpStream, body_sent: BodySent, then: ThenServer) -> Option<()> {
    const READ_INTERVAL: Duration = Duration::from_millis(1);
    let mut received = Vec::new();
    let head_bytes = loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        stream.read_buf(&mut received).await.ok().filter(|length| *length > 0)?;
    };
    let is_chunked = String::from_utf8_lossy(&received[..head_bytes]).to_lowercase().contains("chunked");
    let (mut bytes_read, mut piece) = (received.len(), vec![0; PIECE_BYTES]);
    let mut tail = received;
    while if is_chunked { tail != LAST_CHUNK } else { bytes_read < head_bytes + BODY_BYTES } {
        let is_body_sent = *body_sent.borrow();
        sleep(match then {
            _ if !is_body_sent => READ_INTERVAL,
            ThenServer::StopsReading => LONG,
            ThenServer::ReadsAtInterval(interval) => interval,
            ThenServer::Resets => {
                stream.set_zero_linger().ok()?;
                return None;
            }
        })
        .await;
        let length = stream.read(&mut piece).await.ok().filter(|length| *length > 0)?;
        bytes_read += length;
        tail.extend_from_slice(&piece[..length]);
        tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len()));
    }
    stream.write_all(&ok("received")).await.ok()
}

async fn start_server(body_sent: BodySent, then: ThenServer) -> SocketAddr {
    // A larger buffer, which the system would choose as the server reads, could take the complete body.
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("failed to set the buffer size");
    socket.bind("127.0.0.1:0".parse().expect("invalid address")).expect("failed to bind a port");
    let listener = socket.listen(16).expect("failed to listen");
    let address = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, body_sent.clone(), then));
        }
    });
    address
}

/// The bytes that this end of a connection has written and that the other machine has not acknowledged, by the system's
/// table of connections.
fn unacknowledged_bytes(stream: &TcpStream) -> u64 {
    let port = stream.local_addr().expect("no local address").port();
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read the connections");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row[1].ends_with(&format!(":{port:04X}"))).expect("no such connection");
    let (unacknowledged, _unread) = row[4].split_once(':').expect("no queues");
    u64::from_str_radix(unacknowledged, 16).expect("invalid length")
}

/// The head of a POST with a long body.
fn upload_head(path: &str, framing: Framing) -> String {
    let header = match framing {
        Framing::Length => format!("Content-Length: {BODY_BYTES}"),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    let timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    request("POST", path, &timeout, "").replace("Content-Length: 0", &header)
}

/// Sends a long body, and returns when the last byte was written. By the end of the call the agent's machine has all bytes.
async fn send_body(stream: &mut TcpStream, framing: Framing) -> Instant {
    let data = vec![b'x'; PIECE_BYTES];
    let chunk_head = format!("{PIECE_BYTES:x}\r\n");
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        let written = match framing {
            Framing::Length => stream.write_all(&data).await,
            Framing::Chunked => {
                let chunk = [chunk_head.as_bytes(), &data, b"\r\n"].concat();
                stream.write_all(&chunk).await
            }
        };
        written.expect("failed to write to the agent");
    }
    if let Framing::Chunked = framing {
        stream.write_all(LAST_CHUNK).await.expect("failed to write to the agent");
    }
    let written_at = Instant::now();
    soon("the acknowledgement", async {
        while unacknowledged_bytes(stream) > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    written_at
}

/// Uploads a body to a server that does `then` once it is sent. Returns the status of the response, and how long after the
/// last byte it came; `None` if it did not come in time.
async fn upload(path: &str, framing: Framing, then: ThenServer) -> Option<(u16, Duration)> {
    let (body_is_sent, body_sent) = watch::channel(false);
    let address = start_server(body_sent, then).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", address, "up")]).await;
    let mut client = agent.client().await;
    client.send(&upload_head(path, framing)).await;
    let written_at = send_body(&mut client.stream, framing).await;
    body_is_sent.send_replace(true);
    let time_left = (CLIENT_TIMEOUT + MAX_LATENESS).saturating_sub(written_at.elapsed());
    let answer = timeout(time_left, read_message(&mut client.stream, 0)).await.ok().flatten();
    answer.map(|answer| (answer.status(), written_at.elapsed()))
}

/// Asserts that uploads to a server that does `then` get a response in time whose status `is_expected`, in the first round
/// that is conclusive.
async fn assert_answered(then: ThenServer, is_expected: impl Fn(u16) -> bool) {
    // `pay` may be executed once only, `save` may be retried.
    for path in ["/pay", "/save"] {
        for framing in [Framing::Length, Framing::Chunked] {
            assert_one_is_answered(path, framing, then, &is_expected).await;
        }
    }
}

async fn assert_one_is_answered(
    path: &str,
    framing: Framing,
    then: ThenServer,
    is_expected: impl Fn(u16) -> bool,
) {
    for _ in 0..ROUNDS {
        let timer_lag = TimerLag::start();
        let response = upload(path, framing, then).await;
        if response.is_some_and(|(status, _)| is_expected(status)) {
            return;
        }
        let max_lag = timer_lag.max_lag();
        assert!(max_lag > MAX_TIMER_LAG, "{path}, {framing:?}, {then:?}: {response:?}");
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}

fn is_rejected_or_failed(status: u16) -> bool {
    status == 429 || status >= 500
}

/// Guards against a request without a response: the rest of a body that its client had sent stood unread, as the server had
/// stopped reading, and the client's timeout did not begin until the agent had read it.
#[tokio::test]
async fn upload_is_answered_in_time_if_the_server_stops_reading_it() {
    assert_answered(ThenServer::StopsReading, is_rejected_or_failed).await;
}

/// Guards against a late response: the rest of a body that its client had sent was read slowly, and the client's timeout did
/// not begin until the agent had read all of it.
#[tokio::test]
async fn upload_is_answered_in_time_if_the_server_reads_it_slowly() {
    let then = ThenServer::ReadsAtInterval(Duration::from_millis(100));
    assert_answered(then, is_rejected_or_failed).await;
}

/// Guards against a request without a response if the server resets the connection within a body that its client has sent.
#[tokio::test]
async fn upload_is_answered_in_time_if_the_server_resets_it() {
    assert_answered(ThenServer::Resets, is_rejected_or_failed).await;
}

/// Guards against uploads that are given up too early: the client is held back by a server that reads more slowly than it
/// sends, and its timeout must not run while it still sends.
#[tokio::test]
async fn upload_to_a_server_that_keeps_up_is_served() {
    let then = ThenServer::ReadsAtInterval(Duration::from_millis(1));
    assert_answered(then, |status| status == 200).await;
}

/// Guards against a late response: a body that its client had sent was retried while connections could not be established,
/// and each retry began with the client's complete timeout. A client that waits for `100 Continue` is answered as soon.
#[tokio::test]
async fn upload_is_answered_in_time_if_no_connection_is_established() {
    const BODY_BYTES: usize = 100 << 10;
    let body = "x".repeat(BODY_BYTES);
    let framings = [
        (format!("Content-Length: {BODY_BYTES}"), body.clone()),
        ("Transfer-Encoding: chunked".to_owned(), format!("{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n")),
        (format!("Content-Length: {BODY_BYTES}\r\nExpect: 100-continue"), String::new()),
    ];
    for path in ["/pay", "/save"] {
        for (header, body) in &framings {
            assert_in_time(path, header, || upload_without_connections(path, header, body)).await;
        }
    }
}

/// Uploads a body while no server accepts connections, and returns how long the response took, if it came in time.
async fn upload_without_connections(path: &str, header: &str, body: &str) -> Option<Duration> {
    let servers = [FullBacklogListener::start().await, FullBacklogListener::start().await];
    let directory = Directory::start(Mood::Mute).await;
    let hosts = servers.iter().zip(["s", "t"]).map(|(server, name)| host(name, server.address, "up"));
    let mut config = config(directory.address, &hosts.collect::<Vec<_>>());
    // Two attempts take longer than the client waits.
    config["settings"]["limits"]["connectTimeoutMs"] = 900.into();
    let agent = Agent::start_with(config, |_| {}).await;
    let mut client = agent.client().await;
    let client_timeout = format!("{}m", CLIENT_TIMEOUT.as_millis());
    let head = request("POST", path, &client_timeout, "").replace("Content-Length: 0", header);
    client.send(&format!("{head}{body}")).await;
    let sent_at = Instant::now();
    let answer = timeout(CLIENT_TIMEOUT + MAX_LATENESS, read_message(&mut client.stream, 0)).await;
    answer.ok().flatten().map(|_| sent_at.elapsed())
}

/// Asserts that a response comes in time, in the first round that is conclusive.
async fn assert_in_time(path: &str, header: &str, round: impl AsyncFn() -> Option<Duration>) {
    for _ in 0..ROUNDS {
        let timer_lag = TimerLag::start();
        if round().await.is_some() {
            return;
        }
        assert!(timer_lag.max_lag() > MAX_TIMER_LAG, "{path}, {header}: no response in time");
    }
    panic!("all {ROUNDS} rounds were disturbed by scheduling delays");
}
