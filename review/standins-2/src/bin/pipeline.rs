//! Clients that send many requests at once on a connection.

use review_standins_2::agent::{Agent, Setup};
use review_standins_2::case::{self, note, now_ms, trouble, verdict};
use review_standins_2::client::{new_id, request, Client};
use review_standins_2::discovery::{list_json, Discovery, Entry};
use review_standins_2::renderer::{answer, record_run, work, Renderer, Runs};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// So many requests go out at once on a connection.
const AT_ONCE: usize = 20;
const CONNECTIONS: usize = 3;
const ROUNDS: usize = 3;
const TIMEOUT_MS: u64 = 1200;
const WORK_MS: f64 = 150.0;
const LATE_MS: f64 = 550.0;
const TOLD_SLACK_MS: f64 = 200.0;

fn main() {
    case::begin("many requests at once on a connection");
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
        sockets: 384,
        memory_mb: 48,
        balancers: 1,
        operator: None,
        inherits_listener: false,
    };
    let agent = Agent::start("n0", setup);
    let address = agent.address;
    let breaches = Arc::new(Mutex::new(Vec::<String>::new()));
    let sent = Arc::new(Mutex::new(HashMap::<String, f64>::new()));
    let counts = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let (breaches, sent, counts) = (breaches.clone(), sent.clone(), counts.clone());
            std::thread::spawn(move || {
                for _ in 0..ROUNDS {
                    let mut client = Client::connect(address).expect("the agent refuses connections");
                    let at_once = if trouble() { AT_ONCE } else { 1 };
                    let mut left = AT_ONCE;
                    'rounds: while left > 0 {
                        left -= at_once;
                        let ids: Vec<String> = (0..at_once).map(|_| new_id("dispatch")).collect();
                        let bytes: Vec<u8> = ids.iter().flat_map(|id| request("dispatch", id, TIMEOUT_MS, "a bill")).collect();
                        client.send(&bytes);
                        let at_ms = now_ms();
                        note(&format!("{} to {} are sent, with {TIMEOUT_MS} ms", ids[0], ids[at_once - 1]));
                        for id in &ids {
                            sent.lock().unwrap().insert(id.clone(), at_ms);
                        }
                        let until = Instant::now() + Duration::from_secs(8);
                        for (position, id) in ids.iter().enumerate() {
                            match client.read_until(until) {
                                Ok(answer) => {
                                    let took_ms = now_ms() - at_ms;
                                    note(&format!("{id} has {} after {took_ms:.0} ms", answer.status()));
                                    let is_late = took_ms > TIMEOUT_MS as f64 + LATE_MS;
                                    let end = if is_late { "answered too late".to_owned() } else { answer.status().to_string() };
                                    *counts.lock().unwrap().entry(end).or_default() += 1;
                                    if is_late {
                                        breaches.lock().unwrap().push(format!(
                                            "{id}, number {position} on its connection, had {TIMEOUT_MS} ms and was answered {} after {took_ms:.0} ms",
                                            answer.status()
                                        ));
                                    }
                                }
                                Err(missing) => {
                                    // What the agent has not read goes out once more on a new connection.
                                    note(&format!("the connection ends before {id} has an answer: {missing:?}"));
                                    *counts.lock().unwrap().entry(format!("{missing:?}")).or_default() += 1;
                                    break 'rounds;
                                }
                            }
                        }
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client failed");
    }
    let mut breaches = breaches.lock().unwrap().clone();
    let sent = sent.lock().unwrap();
    for run in runs.lock().unwrap().iter() {
        let Some(at_ms) = sent.get(&run.id) else { continue };
        let left_ms = at_ms + TIMEOUT_MS as f64 - run.at_ms;
        if run.told_timeout_ms.is_some_and(|told| told > left_ms.max(0.0) + TOLD_SLACK_MS) {
            breaches.push(format!(
                "{} ran at {} with {left_ms:.0} ms left to its client; the renderer was told {:.0} ms",
                run.id,
                run.renderer,
                run.told_timeout_ms.unwrap_or_default()
            ));
        }
    }
    agent.record_log(20);
    note(&format!("ends: {:?}", counts.lock().unwrap()));
    verdict(&breaches)
}
