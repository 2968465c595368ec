//! Clients that do not close their side of a connection after the agent has closed its own.

mod common;
use common::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The agent's socket limit without its own 24 sockets; fewer than this are left for clients.
const CLIENT_SOCKETS: usize = 56;
/// How long a closed connection lingers while its slot is not needed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often all the clients together could fill the agent's connection slots.
const ROUNDS: usize = 24;
const CLIENTS: usize = ROUNDS * CLIENT_SOCKETS;
/// Clients that are connected at a time.
const CONCURRENT_CLIENTS: usize = 48;

/// Clients that leave their connections half open after the last response do not delay others. If each kept its slot for
/// the whole linger timeout, the request after them would wait for at least [`ROUNDS`] such timeouts.
#[tokio::test]
async fn half_open_clients_do_not_delay_others() {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let mut config = config(directory.address, &[host("s", backend.address, "up")]);
    // The agent needs 24 sockets for itself; at most the others are available to clients.
    config["limits"]["sockets"] = (CLIENT_SOCKETS + 24).into();
    let agent = Agent::start_with(config, |_| {}).await;
    agent.wait_until_ready().await;
    let address = agent.address;
    let started_at = Instant::now();
    let tasks = (0..CONCURRENT_CLIENTS)
        .map(|_| tokio::spawn(open_half_closed(address, CLIENTS / CONCURRENT_CLIENTS)));
    let mut half_open: Vec<TcpStream> = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        half_open.extend(task.await.expect("task panicked"));
    }
    assert_eq!(agent.get("/read").await.status(), 200);
    let took = started_at.elapsed();
    assert!(took < LINGER_TIMEOUT * ROUNDS as u32, "{took:?} after {} half-open clients", half_open.len());
}

/// Sends a request over each of several consecutive connections and returns the connections, which are half open.
async fn open_half_closed(address: std::net::SocketAddr, clients: usize) -> Vec<TcpStream> {
    let mut half_open = Vec::new();
    for _ in 0..clients {
        let stream = soon("a connection", TcpStream::connect(address)).await.expect("failed to connect");
        let mut client = Client { stream };
        client.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
        assert_eq!(client.answer().await.status(), 200);
        let end = soon("the agent's close of the connection", client.stream.read(&mut [0; 1])).await;
        assert!(matches!(end, Ok(0)), "{end:?}");
        half_open.push(client.stream);
    }
    half_open
}
