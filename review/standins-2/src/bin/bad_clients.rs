//! Many bad clients that send much at once, beside the application's requests; the platform watches the memory.

use review_standins_2::agent::{Agent, Setup};
use review_standins_2::case::{self, note, trouble, verdict};
use review_standins_2::client::{new_id, request, Client};
use review_standins_2::discovery::{list_json, Discovery, Entry};
use review_standins_2::renderer::{answer, record_run, work, Renderer, Runs};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The limits of the agent; the terms allow 256 to 1,024 descriptors and 32 to 192 MB.
const SOCKETS: u32 = 1024;
const MEMORY_MB: u32 = 32;
/// Bad clients at a time: what two thirds of the descriptors hold, which clients may not use for their requests.
const BAD_CLIENTS: usize = 660;
/// What each of them sends: half of a head, that never ends.
const SENT_BYTES: usize = 32_000;
const RUN: Duration = Duration::from_secs(12);
const WORK_MS: f64 = 80.0;
/// Clients of the application, each of which sends one request after another.
const CLIENTS: usize = 4;

fn main() {
    case::begin("many bad clients that send much at once");
    let runs = Runs::default();
    let renderers: Vec<Renderer> = (0..4)
        .map(|number| {
            let name = format!("s-{number}");
            let (runs, own) = (runs.clone(), name.clone());
            Renderer::start(&name, "127.0.0.1", move |message, answers| {
                let id = record_run(&runs, &own, message);
                work(WORK_MS);
                answers.write(&answer("200 OK", "", &format!("rendered for {id}")));
            })
        })
        .collect();
    let entries: Vec<Entry> = renderers
        .iter()
        .zip(0..)
        .map(|(renderer, n)| Entry::of(renderer, ["ropka", "annelinn"][n % 2], n as u32 % 2))
        .collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start("discovery", 1, entries, Duration::ZERO);
    let setup = Setup {
        discovery: discovery.address,
        known,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        balancers: 1,
        operator: None,
        inherits_listener: false,
    };
    let agent = Agent::start("n0", setup);
    let (address, pid) = (agent.address, agent.pid);
    let over = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(Mutex::new(None::<String>));
    // The platform: over its limit of memory the agent is killed.
    let platform = {
        let (over, killed) = (over.clone(), killed.clone());
        std::thread::spawn(move || {
            let mut most_kb = 0;
            while !over.load(Ordering::SeqCst) {
                let Some(kb) = memory_kb(pid) else { break };
                if kb > most_kb {
                    most_kb = kb;
                    note(&format!("the agent has {kb} kB of memory"));
                }
                if kb > u64::from(MEMORY_MB) << 10 {
                    note("the platform kills the agent");
                    case::signal(pid, case::SIGKILL);
                    *killed.lock().unwrap() = Some(format!(
                        "the agent had {kb} kB of memory and was killed over its limit of {MEMORY_MB} MB"
                    ));
                    break;
                }
                work(20.0);
            }
            most_kb
        })
    };
    let connections = Arc::new(AtomicU32::new(0));
    if trouble() {
        for _ in 0..BAD_CLIENTS {
            let (over, connections) = (over.clone(), connections.clone());
            std::thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(move || {
                    let bytes = format!(
                        "POST /dispatch HTTP/1.1\r\nHost: service.internal\r\nX-Junk: {}",
                        "j".repeat(SENT_BYTES)
                    );
                    while !over.load(Ordering::SeqCst) {
                        if let Some(mut client) = Client::connect(address) {
                            connections.fetch_add(1, Ordering::SeqCst);
                            client.send(bytes.as_bytes());
                            // It gets its error or its close, or goes by itself.
                            let _ = client.read(Duration::from_secs(3));
                        }
                        work(20.0);
                    }
                })
                .expect("no thread");
        }
    }
    let until = Instant::now() + RUN;
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (killed, unanswered) = (killed.clone(), unanswered.clone());
            std::thread::spawn(move || {
                let mut client = None;
                while Instant::now() < until && killed.lock().unwrap().is_none() {
                    let Some(mut connection) = client.take().or_else(|| Client::connect(address)) else {
                        break;
                    };
                    let id = new_id("preview");
                    connection.send(&request("preview", &id, 3000, ""));
                    match connection.read(Duration::from_millis(4000)) {
                        Ok(answer) => {
                            note(&format!("{id} has {}", answer.status()));
                            let is_kept = |value: &str| !value.eq_ignore_ascii_case("close");
                            if answer.header("connection").is_none_or(is_kept) {
                                client = Some(connection);
                            }
                        }
                        Err(missing) => {
                            note(&format!("{id} has no answer: {missing:?}"));
                            unanswered.lock().unwrap().push(id);
                        }
                    }
                    work(20.0);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client failed");
    }
    work(200.0);
    over.store(true, Ordering::SeqCst);
    let most_kb = platform.join().expect("the platform failed");
    agent.record_log(10);
    note(&format!(
        "{} bad connections; the most memory seen {most_kb} kB; unanswered: {:?}",
        connections.load(Ordering::SeqCst),
        unanswered.lock().unwrap()
    ));
    let mut breaches: Vec<String> = killed.lock().unwrap().iter().cloned().collect();
    if breaches.is_empty() && case::has_ended(pid) {
        breaches.push("the agent has ended".to_owned());
    }
    verdict(&breaches)
}

/// The resident memory of a process that is its own, without the pages of the program's file.
fn memory_kb(pid: i32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
