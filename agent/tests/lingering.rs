//! Client peers that do not end their own side after the agent has ended its own.

mod common;
use common::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What the agent may hold; less than this is left for its clients.
const SOCKETS: usize = 56;
/// How long a connection lingers where its place is not needed.
const LINGER: Duration = Duration::from_millis(500);
/// Times that the crowd could fill all that the agent may hold.
const ROUNDS: usize = 24;
const CROWD: usize = ROUNDS * SOCKETS;
/// Peers that come at a time.
const AT_ONCE: usize = 48;

/// A crowd of peers that hear their last answer and leave the connection half open holds up nobody: were each to keep its
/// place for as long as it may linger, whoever comes behind them would wait for at least as many rounds of that.
#[tokio::test]
async fn a_crowd_that_does_not_end_its_own_side_holds_up_nobody() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    // 24 of them are the agent's own, and no more than the others can be its clients'.
    config["limits"]["sockets"] = (SOCKETS + 24).into();
    let agent = Agent::start_with(config, |_| {}).await;
    agent.wait_until_ready().await;
    let address = agent.address;
    let begun = Instant::now();
    let peers = (0..AT_ONCE).map(|_| tokio::spawn(linger_often(address, CROWD / AT_ONCE)));
    let mut half_open: Vec<TcpStream> = Vec::new();
    for peer in peers.collect::<Vec<_>>() {
        half_open.extend(peer.await.expect("no panic"));
    }
    assert_eq!(agent.get("/read").await.status(), 200);
    let took = begun.elapsed();
    assert!(took < LINGER * ROUNDS as u32, "{took:?} behind {} peers", half_open.len());
}

/// Peers one behind the other, each answered whole; their connections, half open.
async fn linger_often(address: std::net::SocketAddr, peers: usize) -> Vec<TcpStream> {
    let mut half_open = Vec::new();
    for _ in 0..peers {
        let stream = soon("a connection", TcpStream::connect(address)).await.expect("a connection");
        let mut client = Client { stream };
        client.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
        assert_eq!(client.answer().await.status(), 200);
        let end = soon("the agent's end", client.stream.read(&mut [0; 1])).await;
        assert!(matches!(end, Ok(0)), "{end:?}");
        half_open.push(client.stream);
    }
    half_open
}
