//! Long schedules of failing system calls, several seeds each: whatever fails, the agent lives on, no effect is doubled, and
//! once the calls work again everything is served.

mod common;
mod faults;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;

const SEEDS: u64 = 3;
const CLIENTS: usize = 8;
/// Requests of each client.
const REQUESTS: usize = 40;
/// How long calls fail, from the agent's start on.
const STORM: &str = "2s";
/// So many answers in a row say that the storm has left nothing behind.
const CALM: usize = 50;

/// Every so many answers of a server end their connection, and every so many of a client's requests begin a new one.
const RENEWED: usize = 3;
/// How often each request has come whole to a server, by its path.
type Arrivals = Arc<Mutex<HashMap<String, usize>>>;

/// How the requests of a storm ended at their clients.
#[derive(Debug, Default)]
struct Ends {
    /// By status.
    statuses: HashMap<u16, usize>,
    /// Connections that ended without an answer.
    cut: usize,
}

impl Ends {
    fn add(&mut self, other: Ends) {
        self.cut += other.cut;
        for (status, count) in other.statuses {
            *self.statuses.entry(status).or_default() += count;
        }
    }
}

async fn server(arrivals: &Arrivals) -> Backend {
    let arrivals = arrivals.clone();
    let answers = AtomicUsize::new(0);
    Backend::start(move |message| {
        let path = message.first_line().split(' ').nth(1).unwrap_or_default().to_owned();
        let echo = String::from_utf8_lossy(&message.body).into_owned();
        *arrivals.lock().expect("no panic").entry(path).or_default() += 1;
        if answers.fetch_add(1, Ordering::Relaxed).is_multiple_of(RENEWED) {
            return Reply::Last(last(&echo));
        }
        Reply::Bytes(ok(&echo))
    })
    .await
}

/// An answer 200 that says that it is the connection's last.
fn last(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// One client's requests in turn, some on a new connection and the others on the last one, if it still stands.
async fn ask_all(address: std::net::SocketAddr, number: usize, arrivals: Arrivals) -> Ends {
    let mut ends = Ends::default();
    let mut connection = None;
    for n in 0..REQUESTS {
        let (method, class) = [("POST", "pay"), ("GET", "read"), ("POST", "save")][n % 3];
        let path = format!("/{class}/{number}-{n}");
        let body = if method == "POST" { "b".repeat(1 + 97 * (n % 50)) } else { String::new() };
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => {
                soon("a connection", tokio::net::TcpStream::connect(address)).await.expect("a connection")
            }
        };
        let sent = stream.write_all(request(method, &path, "5000m", &body).as_bytes()).await;
        let answer = match sent {
            Ok(()) => soon("an answer or an end", read_message(&mut stream, 0)).await,
            Err(_) => None,
        };
        let came = arrivals.lock().expect("no panic").get(&path).copied().unwrap_or_default();
        if class == "pay" {
            assert!(came <= 1, "{path} came {came} times");
        }
        let Some(answer) = answer else {
            ends.cut += 1;
            continue;
        };
        *ends.statuses.entry(answer.status()).or_default() += 1;
        match answer.status() {
            200 => assert_eq!(answer.body.len(), body.len(), "{path} is answered by its own body"),
            429 => {
                assert!(class != "pay" || came == 0, "{path} was called harmless to repeat, and had come")
            }
            502 | 504 => {}
            status => panic!("{path}: {status}"),
        }
        if answer.header("connection") != Some("close") && !n.is_multiple_of(RENEWED) {
            connection = Some(stream);
        }
    }
    ends
}

/// Plays the faults and then none of them; the ends of the requests that were asked under them.
async fn storm(faults: &str, seed: u64) -> Ends {
    let arrivals = Arrivals::default();
    let servers = [server(&arrivals).await, server(&arrivals).await, server(&arrivals).await];
    let hosts: Vec<_> =
        servers.iter().zip(["s", "t", "u"]).map(|(s, name)| host(name, s.address, "up")).collect();
    let directory = Directory::start(Mood::Mute).await;
    directory.list(2, &hosts);
    let rules = faults.split("; ").map(|rule| format!("{rule} until={STORM}")).collect::<Vec<_>>();
    let schedule = format!("seed {seed}; {}", rules.join("; "));
    let mut agent =
        Agent::start_with(config(directory.address, &hosts), |command| faults::meet(command, &schedule))
            .await;
    let clients = (0..CLIENTS).map(|number| tokio::spawn(ask_all(agent.address, number, arrivals.clone())));
    let mut all = Ends::default();
    for client in clients.collect::<Vec<_>>() {
        all.add(client.await.unwrap_or_else(|why| panic!("{schedule}: {why}")));
    }
    println!("{schedule}: {all:?}");
    soon("calm", async {
        let mut served = 0;
        while served < CALM {
            let mut client = agent.client().await;
            client.stream.write_all(request("GET", "/read", "5000m", "").as_bytes()).await.unwrap_or(());
            let answer = soon("an answer or an end", read_message(&mut client.stream, 0)).await;
            served = if answer.is_some_and(|answer| answer.status() == 200) { served + 1 } else { 0 };
        }
    })
    .await;
    agent.send_sigterm().await;
    assert!(agent.wait_for_exit().await.success(), "{schedule}");
    all
}

/// Plays the faults under several seeds.
async fn storms(faults: &str) -> Ends {
    let mut all = Ends::default();
    for seed in 1..=SEEDS {
        all.add(storm(faults, seed).await);
    }
    all
}

/// Each request was answered, whatever the answer.
fn all_are_answered(ends: &Ends) {
    assert_eq!(ends.cut, 0, "{ends:?}");
}

/// Each request was served.
fn all_are_served(ends: &Ends) {
    assert_eq!(ends.statuses.get(&200), Some(&(SEEDS as usize * CLIENTS * REQUESTS)), "{ends:?}");
}

#[tokio::test]
async fn accepts_fail() {
    let faults = "accept ECONNABORTED one-in=10; accept EMFILE one-in=20; accept EINTR one-in=10";
    all_are_served(&storms(faults).await);
}

#[tokio::test]
async fn connects_fail() {
    let faults =
        "connect ECONNREFUSED one-in=10; connect EADDRNOTAVAIL one-in=20; connect ETIMEDOUT one-in=20";
    all_are_answered(&storms(faults).await);
}

#[tokio::test]
async fn sockets_run_out() {
    // It cannot start without its first sockets.
    all_are_answered(&storms("socket EMFILE one-in=10 from=4; socket ENOBUFS one-in=20 from=4").await);
}

#[tokio::test]
async fn transfers_are_short() {
    all_are_served(&storms("read,write short=1 one-in=10").await);
}

#[tokio::test]
async fn transfers_would_block() {
    all_are_served(&storms("read,write EAGAIN one-in=10").await);
}

/// Clients' own connections break too, so some have no answer.
#[tokio::test]
async fn connections_break() {
    let faults = "read ECONNRESET one-in=20; read ETIMEDOUT one-in=50; write EPIPE one-in=20; \
                  write EHOSTUNREACH one-in=50";
    storms(faults).await;
}

#[tokio::test]
async fn everything_fails() {
    let faults = "accept ECONNABORTED one-in=10; accept EMFILE one-in=20; connect EADDRNOTAVAIL one-in=10; \
                  socket EMFILE one-in=20 from=4; read,write short=1 one-in=10; read ECONNRESET one-in=50; \
                  write ETIMEDOUT one-in=50";
    storms(faults).await;
}

#[tokio::test]
async fn transfers_are_interrupted() {
    all_are_served(&storms("read,write EINTR one-in=20").await);
}
