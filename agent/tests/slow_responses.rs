//! A server that goes on writing a response of more than 64 KiB in pieces is alive, however long it takes: what it gives
//! reaches the client, whole and without a delay.

mod common;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The timeout of the clients, which is over long before the response is.
const CLIENT_TIMEOUT: &str = "1000m";
const PIECES: usize = 5;
const PIECE_BYTES: usize = 20 << 10;
/// Shorter than the 2 s for which nothing may be held back, and with all pieces much longer than the client's timeout.
const PIECE_INTERVAL: Duration = Duration::from_millis(900);
/// Holding back what a server gives for this long loses the request (the operators' days).
const MAX_HOLD_BACK: Duration = Duration::from_secs(2);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

async fn serve(mut stream: TcpStream, framing: Framing) -> Option<()> {
    read_message(&mut stream, 0).await?;
    let field = match framing {
        Framing::Length => format!("Content-Length: {}\r\n", PIECES * PIECE_BYTES),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Close => "Connection: close\r\n".to_owned(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{field}\r\n").as_bytes()).await.ok()?;
    for _ in 0..PIECES {
        sleep(PIECE_INTERVAL).await;
        let piece = "y".repeat(PIECE_BYTES);
        let bytes = match framing {
            Framing::Chunked => format!("{PIECE_BYTES:x}\r\n{piece}\r\n"),
            Framing::Length | Framing::Close => piece,
        };
        stream.write_all(bytes.as_bytes()).await.ok()?;
    }
    if let Framing::Chunked = framing {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    (!matches!(framing, Framing::Close)).then_some(())?;
    // The connection stays open until the agent closes it.
    stream.read(&mut [0; 1]).await.ok().map(drop)
}

async fn start_server(framing: Framing) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("no local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, framing));
        }
    });
    address
}

/// Reads a response until its connection ends. Returns the bytes of the body's pieces and the longest gap between two reads.
async fn read_slow_response(mut stream: TcpStream) -> (usize, Duration) {
    let (mut body_bytes, mut longest_gap, mut buffer) = (0, Duration::ZERO, vec![0; 1 << 16]);
    let mut last_read_at = Instant::now();
    while body_bytes < PIECES * PIECE_BYTES {
        let length = soon("more of the response", stream.read(&mut buffer)).await.expect("failed to read");
        if length == 0 {
            break;
        }
        body_bytes += buffer[..length].iter().filter(|byte| **byte == b'y').count();
        longest_gap = longest_gap.max(last_read_at.elapsed());
        last_read_at = Instant::now();
    }
    (body_bytes, longest_gap)
}

/// Guards against a long response that is cut off or held back while its server goes on writing it.
#[tokio::test]
async fn a_long_response_that_its_server_writes_slowly_is_forwarded_whole_and_at_once() {
    let mut requests = JoinSet::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for (method, path) in [("GET", "/read"), ("POST", "/pay"), ("POST", "/save")] {
            requests.spawn(async move {
                let directory = Directory::start(Mood::Mute).await;
                let server = start_server(framing).await;
                let agent = Agent::start(directory.address, &[host("s", server, "up")]).await;
                let mut client = agent.client().await;
                client.send(&request(method, path, CLIENT_TIMEOUT, "")).await;
                let (body_bytes, longest_gap) = read_slow_response(client.stream).await;
                assert_eq!(body_bytes, PIECES * PIECE_BYTES, "{framing:?}, {path}: cut off");
                assert!(longest_gap < MAX_HOLD_BACK, "{framing:?}, {path}: held back for {longest_gap:?}");
            });
        }
    }
    requests.join_all().await;
}
