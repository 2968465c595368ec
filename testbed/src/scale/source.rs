//! A source of the list for very many agents: discovery's words as the platform's protocol page has them, each answer
//! made once for all who ask the same. The stand-in of the stage (`stage/directory.rs`) makes each agent an answer of
//! its own, as that one may reach renderers at other addresses, and so costs too much here.

use crate::clock::histogram;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use socket2::SockRef;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, Instant};

/// The zones that servers stand in, in turn.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The last server of the list at first: who knows it knows all of them.
pub const LAST: &str = "s-last";
/// The longest wait of a watch (the protocol page).
const WAIT_MOST: Duration = Duration::from_millis(60_000);
/// As many callers may knock at once as a system lets wait.
const BACKLOG: i32 = 4096;
/// The longest call.
const CALL_MOST: usize = 4096;
/// Lateness is told apart up to a minute.
const LATE_MOST: u64 = 60_000_000;
/// After an hour's cut the version is ahead by this.
const FAR: u64 = 1_000_000;

type Answer = Arc<[u8]>;

struct List {
    seq: u64,
    /// Who asks after an earlier version than this is told the whole list.
    kept_from: u64,
    servers: Vec<Value>,
    changes: Vec<(u64, Value)>,
    whole: Option<Answer>,
    since: HashMap<u64, Answer>,
}

struct Shared {
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    up: watch::Sender<bool>,
    sent: AtomicU64,
    received: AtomicU64,
    late: Mutex<Histogram<u64>>,
    /// When calls came, while that is noted.
    calls: Mutex<Option<Vec<Instant>>>,
}

/// What crossed the source's sockets so far, in bytes of HTTP.
#[derive(Debug, Clone, Copy)]
pub struct Bytes {
    /// To agents.
    pub sent: u64,
    /// From agents.
    pub received: u64,
}

/// The source.
pub struct Source {
    /// Where it answers.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    listening: JoinHandle<()>,
}

impl Drop for Source {
    fn drop(&mut self) {
        self.listening.abort();
        self.shared.up.send_replace(false);
    }
}

fn server(name: &str, place: usize) -> Value {
    json!({"host": name, "dial": format!("127.204.{}.{}:8443", 100 + place / 250 % 100, place % 250 + 1),
           "site": ZONES[place % ZONES.len()], "class": "m", "block": place / 10, "health": "up", "share": 1.0,
           "born_ms": 0})
}

fn answer(seq: u64, whole: bool, hosts: &[&Value]) -> Answer {
    let body = json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes().into()
}

impl List {
    fn whole(&mut self) -> Answer {
        let (seq, servers) = (self.seq, &self.servers);
        self.whole.get_or_insert_with(|| answer(seq, true, &servers.iter().collect::<Vec<_>>())).clone()
    }

    /// What has changed since a version; nothing where it is this one.
    fn since(&mut self, after: u64) -> Answer {
        let (seq, changes) = (self.seq, &self.changes);
        let made = self.since.entry(after).or_insert_with(|| {
            let news: Vec<&Value> = changes.iter().filter(|(at, _)| *at > after).map(|(_, v)| v).collect();
            answer(seq, false, &news)
        });
        made.clone()
    }

    fn changed(&mut self) -> u64 {
        self.whole = None;
        self.since.clear();
        self.seq
    }
}

impl Source {
    /// Answers on a port of its own, with so many servers.
    pub async fn start(servers: usize) -> Result<Self, String> {
        let list = List {
            seq: 1,
            kept_from: 1,
            servers: named("s", servers, LAST),
            changes: Vec::new(),
            whole: None,
            since: HashMap::new(),
        };
        let shared = Arc::new(Shared {
            list: Mutex::new(list),
            seq: watch::Sender::new(1),
            up: watch::Sender::new(true),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
            late: Mutex::new(histogram(LATE_MOST)),
            calls: Mutex::new(None),
        });
        let first = listen((Ipv4Addr::new(127, 204, 0, 1), 0).into()).await?;
        let address = first.local_addr().map_err(|e| format!("the source has no address: {e}"))?;
        let listening = tokio::spawn(serve(shared.clone(), first, address));
        Ok(Source { address, shared, listening })
    }

    /// A server is added; when, in Unix microseconds.
    pub fn add(&self, name: &str) -> u64 {
        let mut list = crate::lock(&self.shared.list);
        let place = list.servers.len();
        list.seq += 1;
        let entry = server(name, place);
        let seq = list.seq;
        list.servers.push(entry.clone());
        list.changes.push((seq, entry));
        let seq = list.changed();
        drop(list);
        let at = super::hollow::now_us();
        self.shared.seq.send_replace(seq);
        at
    }

    /// Many versions have passed, and the list is another one, the last of which has this name.
    pub fn renew(&self, servers: usize, last: &str) {
        let mut list = crate::lock(&self.shared.list);
        list.seq += FAR;
        list.kept_from = list.seq;
        list.servers = named("t", servers, last);
        list.changes.clear();
        let seq = list.changed();
        drop(list);
        self.shared.seq.send_replace(seq);
    }

    /// Breaks all connections, and refuses new ones.
    pub fn down(&self) {
        self.shared.up.send_replace(false);
    }

    /// Listens again; since when, in Unix microseconds.
    pub fn up(&self) -> u64 {
        let at = super::hollow::now_us();
        self.shared.up.send_replace(true);
        at
    }

    /// What has crossed its sockets.
    pub fn bytes(&self) -> Bytes {
        Bytes { sent: self.shared.sent.load(Relaxed), received: self.shared.received.load(Relaxed) }
    }

    /// Notes when calls come, from now on.
    pub fn note_calls(&self) {
        *crate::lock(&self.shared.calls) = Some(Vec::new());
    }

    /// The most calls within a second since [`Source::note_calls`].
    pub fn most_calls_a_second(&self) -> usize {
        let calls = crate::lock(&self.shared.calls).take().unwrap_or_default();
        let within = |n: usize| {
            let end = calls[n] + Duration::from_secs(1);
            calls.partition_point(|&at| at < end) - n
        };
        (0..calls.len()).map(within).max().unwrap_or(0)
    }

    /// How much later than due it ended watches without news, in milliseconds, at the 99th percentile.
    pub fn late_p99_ms(&self) -> f64 {
        crate::lock(&self.shared.late).value_at_quantile(0.99) as f64 / 1e3
    }
}

/// So many servers, of which the last has this name.
fn named(prefix: &str, servers: usize, last: &str) -> Vec<Value> {
    let before = (0..servers.saturating_sub(1)).map(|place| server(&format!("{prefix}-{place:06}"), place));
    before.chain([server(last, servers.saturating_sub(1))]).collect()
}

async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let listener = crate::stage::gate::bind(address).await?;
    rustix::net::listen(&listener, BACKLOG)
        .map_err(|e| format!("the testbed cannot listen on {address}: {e}"))?;
    Ok(listener)
}

/// Takes connections while the source is up; never ends.
async fn serve(shared: Arc<Shared>, first: TcpListener, address: SocketAddr) {
    let mut up = shared.up.subscribe();
    let mut listener = Some(first);
    loop {
        let here = match listener.take() {
            Some(first) => first,
            None => match listen(address).await {
                Ok(listener) => listener,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                    continue;
                }
            },
        };
        loop {
            let accepted = tokio::select! {
                accepted = here.accept() => accepted,
                _ = up.wait_for(|up| !up) => break,
            };
            match accepted {
                Ok((stream, _)) => drop(tokio::spawn(connection(shared.clone(), stream))),
                // No descriptor is free: one may be soon.
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
        drop(here);
        if up.wait_for(|up| *up).await.is_err() {
            return;
        }
    }
}

async fn connection(shared: Arc<Shared>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut up = shared.up.subscribe();
    let down = tokio::select! {
        // An error is the agent's leaving.
        _ = calls(&shared, &mut stream) => false,
        _ = up.wait_for(|up| !up) => true,
    };
    if down {
        // A process that dies leaves resets (the protocol page).
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Answers one call after another.
async fn calls(shared: &Shared, stream: &mut TcpStream) -> std::io::Result<()> {
    let mut seq = shared.seq.subscribe();
    let mut read = Vec::with_capacity(256);
    loop {
        let end = loop {
            if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            if read.len() > CALL_MOST || stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
        };
        shared.received.fetch_add(end as u64, Relaxed);
        if let Some(calls) = crate::lock(&shared.calls).as_mut() {
            calls.push(Instant::now());
        }
        let head = String::from_utf8_lossy(&read[..end]).into_owned();
        read.drain(..end);
        let path = head.split(' ').nth(1).unwrap_or_default();
        let answer = if path.starts_with("/v1/endpoints") {
            listed(shared, &mut seq, path).await
        } else {
            b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".as_slice().into()
        };
        stream.write_all(&answer).await?;
        shared.sent.fetch_add(answer.len() as u64, Relaxed);
    }
}

async fn listed(shared: &Shared, seq: &mut watch::Receiver<u64>, path: &str) -> Answer {
    let asked = |name: &str| {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.and_then(|figure| figure.parse::<u64>().ok())
    };
    let wait = Duration::from_millis(asked("wait_ms").unwrap_or(0)).min(WAIT_MOST);
    let until = Instant::now() + wait;
    let Some(after) = asked("after") else { return crate::lock(&shared.list).whole() };
    loop {
        seq.borrow_and_update();
        {
            let mut list = crate::lock(&shared.list);
            if after < list.kept_from || after > list.seq {
                return list.whole();
            }
            if after < list.seq || Instant::now() >= until {
                return list.since(after);
            }
        }
        tokio::select! {
            _ = seq.changed() => {}
            () = sleep_until(until) => {
                let late = until.elapsed().as_micros() as u64;
                crate::lock(&shared.late).saturating_record(late.clamp(1, LATE_MOST));
            }
        }
    }
}
