//! Renderers that send some answers a second time, some milliseconds late.
//!
//! Judged is what clients see: the body of a 200 is the one that a renderer made for that request.

use review_standins_2::agent::{Agent, Setup};
use review_standins_2::case::{self, note, now_ms, trouble, verdict};
use review_standins_2::client::{new_id, request, Client};
use review_standins_2::discovery::{list_json, Discovery, Entry};
use review_standins_2::renderer::{answer, record_run, work, Renderer, Runs};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One answer in this many is sent a second time: some of the answers are spoilt.
const SPOILT_ONE_IN: u64 = 50;
/// So much later.
const LATE_MS: f64 = 4.0;
/// How long clients send.
const SENDING: Duration = Duration::from_secs(20);
const CLIENTS: usize = 6;
const WORK_MS: f64 = 80.0;

fn main() {
    case::begin("second answers");
    let runs = Runs::default();
    let served = Arc::new(AtomicU64::new(0));
    let renderers: Vec<Renderer> = (0..4)
        .map(|number| {
            let name = format!("s-{number}");
            let (runs, served, own) = (runs.clone(), served.clone(), name.clone());
            Renderer::start(&name, "127.0.0.1", move |message, answers| {
                let id = record_run(&runs, &own, message);
                work(WORK_MS);
                let bytes = answer("200 OK", "", &format!("rendered for {id}"));
                answers.write(&bytes);
                if trouble() && served.fetch_add(1, Ordering::SeqCst) % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                    note(&format!("{own} sends the answer to {id} a second time in {LATE_MS} ms"));
                    let answers = answers.clone();
                    std::thread::spawn(move || {
                        work(LATE_MS);
                        answers.write(&bytes);
                    });
                }
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
        sockets: 384,
        memory_mb: 48,
        balancers: 1,
        operator: None,
    };
    let agent = Agent::start("n0", setup);
    let breaches = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new(HashMap::<u16, u32>::new()));
    let address = agent.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (breaches, counts) = (breaches.clone(), counts.clone());
            std::thread::spawn(move || {
                let until = Instant::now() + SENDING;
                let mut client = None;
                while Instant::now() < until {
                    let mut connection = client
                        .take()
                        .or_else(|| Client::connect(address))
                        .expect("the agent refuses connections");
                    let class = ["preview", "dispatch", "archive"][number % 3];
                    let id = new_id(class);
                    let timeout_ms = if class == "dispatch" { 1200 } else { 3000 };
                    note(&format!("client {number} sends {id}"));
                    connection.send(&request(class, &id, timeout_ms, "a document"));
                    match connection.read(Duration::from_millis(timeout_ms + 1000)) {
                        Ok(answer) => {
                            let (status, body) =
                                (answer.status(), String::from_utf8_lossy(&answer.body).into_owned());
                            note(&format!("client {number} has for {id}: {status} {}", body.trim()));
                            *counts.lock().unwrap().entry(status).or_default() += 1;
                            if status == 200 && body != format!("rendered for {id}") {
                                breaches.lock().unwrap().push(format!(
                                    "at {:.0} ms {id} was answered 200 with \"{body}\"",
                                    now_ms()
                                ));
                            }
                            if answer
                                .header("connection")
                                .is_none_or(|value| !value.eq_ignore_ascii_case("close"))
                            {
                                client = Some(connection);
                            }
                        }
                        Err(missing) => {
                            note(&format!("client {number} has for {id}: {missing:?}"));
                            *counts.lock().unwrap().entry(0).or_default() += 1;
                        }
                    }
                    work(1.0);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client failed");
    }
    agent.record_log(20);
    note(&format!("answers by status: {:?}", counts.lock().unwrap()));
    let breaches = breaches.lock().unwrap().clone();
    verdict(&breaches)
}
