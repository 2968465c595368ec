//! Clients that send requests at full speed, without waiting for the responses, delay nobody else.

mod common;
use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How long the others send requests.
const DURATION: Duration = Duration::from_secs(3);
const OTHER_CLIENTS: usize = 4;
const OTHER_TIMEOUT: Duration = Duration::from_millis(500);
/// A response that comes later than this after its client's timeout is lost, and every limit is 50 ms longer on sockets.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// The requests that are written at once. The next ones have new names.
const BATCH: usize = 100;
/// Memory that an agent may use beyond what it uses under the first requests; it has no reason to keep any.
const MAX_MEMORY_GROWTH_KB: u64 = 4 << 10;

/// What the requests of a client at full speed are.
#[derive(Clone, Copy, Debug)]
enum Requests {
    /// Small and valid, with ever new ids, paths, queries and idempotency keys.
    Valid,
    /// Of ever new classes that do not exist.
    Invalid,
}

impl Requests {
    /// [`BATCH`] requests, with `NUMBER` in place of what is another one in each batch.
    fn batch(self) -> String {
        let message = match self {
            Requests::Valid => request("POST", "/save/NUMBER?key=NUMBER", "300m", "x")
                .replace("id1", "flood-NUMBER")
                .replace("k1", "key-NUMBER"),
            Requests::Invalid => request("GET", "/class-NUMBER", "300m", "").replace("id1", "flood-NUMBER"),
        };
        message.repeat(BATCH)
    }

    /// Sends requests as fast as the agent takes them, and reads the responses.
    async fn flood(self, address: SocketAddr) {
        let stream = TcpStream::connect(address).await.expect("failed to connect");
        let (mut responses, mut requests) = stream.into_split();
        tokio::spawn(async move {
            let mut bytes = vec![0; 1 << 16];
            while responses.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
        });
        let batch = self.batch();
        for number in 0.. {
            let messages = batch.replace("NUMBER", &number.to_string());
            if requests.write_all(messages.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Sends one request after another, each over a new connection, and returns how long the slowest response took.
async fn slowest_response(address: SocketAddr, client: usize) -> Duration {
    let (started_at, mut slowest) = (Instant::now(), Duration::ZERO);
    for number in 0.. {
        if started_at.elapsed() > DURATION {
            break;
        }
        let message = request("GET", "/read", &format!("{}m", OTHER_TIMEOUT.as_millis()), "");
        let mut client_connection =
            Client { stream: TcpStream::connect(address).await.expect("failed to connect") };
        let sent_at = Instant::now();
        client_connection.send(&message.replace("id1", &format!("other-{client}-{number}"))).await;
        client_connection.answer().await;
        slowest = slowest.max(sent_at.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    slowest
}

async fn assert_others_are_answered_in_time(flooding_clients: usize, requests: Requests) {
    let backend = Backend::start(|_| Reply::Bytes(ok("x"))).await;
    let directory = Directory::start(Mood::Mute).await;
    let agent = Agent::start(directory.address, &[host("s", backend.address, "up")]).await;
    agent.wait_until_ready().await;
    let mut floods = JoinSet::new();
    for _ in 0..flooding_clients {
        floods.spawn(requests.flood(agent.address));
    }
    sleep(Duration::from_secs(1)).await;
    let pid = agent.child.id().expect("the agent has ended");
    let memory_before = anonymous_memory_kb(pid).expect("the agent has ended");
    let mut others = JoinSet::new();
    for client in 0..OTHER_CLIENTS {
        others.spawn(slowest_response(agent.address, client));
    }
    let slowest = others.join_all().await.into_iter().max().expect("there are clients");
    let memory_after = anonymous_memory_kb(pid).expect("the agent has ended");
    let growth = memory_after.saturating_sub(memory_before);
    println!("{flooding_clients} clients, {requests:?}: {slowest:?} at most, {growth} kB more");
    assert!(slowest <= OTHER_TIMEOUT + MAX_LATENESS, "{requests:?}: a response took {slowest:?}");
    assert!(growth <= MAX_MEMORY_GROWTH_KB, "{requests:?}: the memory grew by {growth} kB");
}

/// Guards against one client whose requests are handled without an end, or leave something in memory each.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_client_at_full_speed_delays_nobody_and_leaves_nothing_in_memory() {
    for requests in [Requests::Valid, Requests::Invalid] {
        assert_others_are_answered_in_time(1, requests).await;
    }
}

/// Guards against many clients at full speed, each of which had 16 requests handled before anybody else's turn came.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hundred_clients_at_full_speed_delay_nobody() {
    for requests in [Requests::Valid, Requests::Invalid] {
        assert_others_are_answered_in_time(100, requests).await;
    }
}
