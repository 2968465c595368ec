//! Discovery on the agent's own machine: the whole list, and watches of what changes.

use crate::case::{note, now_ms};
use crate::http::Reader;
use crate::renderer::Renderer;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A renderer as the list has it.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: String,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
    /// The version of its last change.
    pub seq: u64,
}

impl Entry {
    pub fn of(renderer: &Renderer, site: &'static str, block: u32) -> Self {
        Entry {
            host: renderer.name.clone(),
            dial: renderer.address.to_string(),
            site,
            block,
            health: "up",
            born_ms: 0,
            seq: 1,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"mid-2c","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.host, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

/// The list in the form of discovery.
pub fn list_json(seq: u64, whole: bool, entries: &[Entry]) -> String {
    let hosts: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

struct List {
    seq: u64,
    entries: Vec<Entry>,
}

/// One address of discovery.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    is_retired: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    /// Starts to answer calls, each `delay` after the answer is known.
    pub fn start(name: &str, seq: u64, entries: Vec<Entry>, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new(List { seq, entries }), Condvar::new()));
        let (shared, name) = (list.clone(), name.to_owned());
        let (is_retired, connections) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (retired, open) = (is_retired.clone(), connections.clone());
        let is_silent = Arc::new(AtomicBool::new(false));
        let silent = is_silent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if retired.load(Ordering::SeqCst) {
                    return;
                }
                open.lock().unwrap().extend(stream.try_clone());
                let (list, name) = (shared.clone(), name.clone());
                let silent = silent.clone();
                std::thread::spawn(move || serve(stream, &name, &list, &silent, delay));
            }
        });
        Discovery { address, list, is_retired, is_silent, connections }
    }

    /// While discovery is down, the agent of discovery on this machine is silent: it answers nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
        note(if is_silent { "discovery is down, its agent is silent" } else { "discovery is back" });
    }

    /// Accepts no more connections, and closes the open ones some time later.
    pub fn retire(&self, after: Duration) {
        self.is_retired.store(true, Ordering::SeqCst);
        // The thread that accepts is woken, sees it and closes the listener.
        let _ = TcpStream::connect(self.address);
        let connections = self.connections.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            for connection in connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        });
    }

    /// Changes the health of a renderer; returns when.
    pub fn set_health(&self, host: &str, health: &'static str) -> f64 {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.seq += 1;
        let seq = list.seq;
        for entry in list.entries.iter_mut().filter(|entry| entry.host == host) {
            (entry.health, entry.seq) = (health, seq);
        }
        changed.notify_all();
        note(&format!("discovery has version {seq}: {host} is {health}"));
        now_ms()
    }
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    list: &(Mutex<List>, Condvar),
    silent: &AtomicBool,
    delay: Duration,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::default();
    while let Ok(call) = reader.read(&mut stream) {
        let target = call.target().to_owned();
        note(&format!("{name} is asked {target}"));
        let figure = |key: &str| {
            let query = target.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let body = {
            let (lock, changed) = list;
            let mut list = lock.lock().unwrap();
            match figure("after") {
                Some(after) => {
                    let until =
                        Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0).min(60_000));
                    while list.seq <= after && Instant::now() < until {
                        let left = until.saturating_duration_since(Instant::now());
                        list = changed.wait_timeout(list, left).unwrap().0;
                    }
                    let news: Vec<Entry> =
                        list.entries.iter().filter(|entry| entry.seq > after).cloned().collect();
                    list_json(list.seq, false, &news)
                }
                None => {
                    let listed: Vec<Entry> =
                        list.entries.iter().filter(|entry| entry.health != "removed").cloned().collect();
                    list_json(list.seq, true, &listed)
                }
            }
        };
        std::thread::sleep(delay);
        if silent.load(Ordering::SeqCst) {
            // What was asked during the outage is forgotten: that connection stays open and mute.
            while silent.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            continue;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent = stream.write_all(answer.as_bytes()).is_ok();
        note(&format!("{name} {} {body}", if sent { "answers" } else { "cannot answer" }));
    }
}
