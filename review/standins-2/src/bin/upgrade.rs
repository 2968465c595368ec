//! An upgrade while discovery is down.

use review_standins_2::agent::{free_address, Agent, Setup};
use review_standins_2::case::{self, note, now_ms, trouble, verdict};
use review_standins_2::client::{new_id, request, Client};
use review_standins_2::discovery::{list_json, Discovery, Entry};
use review_standins_2::renderer::{answer, record_run, work, Renderer, Runs};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Discovery's news counts as told 2 s after the yes; 400 ms later nothing may be sent, and every time limit is 50 ms
/// longer on sockets.
const ALLOWED_MS: f64 = 2000.0 + 400.0 + 50.0;
/// Discovery is down for 8 s, into the start of a release.
const DOWN_MS: f64 = 8000.0;
const WORK_MS: f64 = 80.0;
const CLIENTS: usize = 3;

fn main() {
    case::begin("an upgrade while discovery is down");
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
    let entry =
        |(renderer, n): (&Renderer, usize)| Entry::of(renderer, ["ropka", "annelinn"][n % 2], n as u32 % 2);
    let entries: Vec<Entry> = renderers.iter().zip(0..).map(entry).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start("discovery", 1, entries, Duration::ZERO);
    let setup = Setup {
        discovery: discovery.address,
        known,
        sockets: 384,
        memory_mb: 48,
        balancers: 1,
        operator: Some(free_address("127.0.0.1")),
        inherits_listener: true,
    };
    let mut agent = Agent::start("n0", setup);
    let address = agent.address;
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let over = over.clone();
            std::thread::spawn(move || {
                let mut client = None;
                while !over.load(Ordering::SeqCst) {
                    let open = client.take().or_else(|| Client::connect(address));
                    let mut connection: Client = open.expect("the agent refuses connections");
                    let class = ["preview", "archive", "dispatch"][number % 3];
                    let id = new_id(class);
                    connection.send(&request(class, &id, 1200, "a document"));
                    let answer = connection.read(Duration::from_millis(2200));
                    let end = answer.as_ref().map_or_else(|e| format!("{e:?}"), |a| a.status().to_string());
                    note(&format!("{id} has {end}"));
                    let is_kept = |value: &str| !value.eq_ignore_ascii_case("close");
                    if answer.is_ok_and(|answer| answer.header("connection").is_none_or(is_kept)) {
                        client = Some(connection);
                    }
                    work(30.0);
                }
            })
        })
        .collect();
    work(1500.0);
    let drained_ms = discovery.set_health("s-0", "draining");
    work(2000.0);
    let down_ms = now_ms();
    if trouble() {
        discovery.set_silent(true);
    }
    work(500.0);
    let yes_ms = agent.upgrade("n0", free_address("127.0.0.1"));
    work(DOWN_MS - (now_ms() - down_ms));
    let back_ms = now_ms();
    discovery.set_silent(false);
    work(2000.0);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client failed");
    }
    assert!(!case::has_ended(agent.pid), "the new process has ended");
    agent.record_log(30);
    let runs = runs.lock().unwrap();
    let to_it = |from: f64, until: f64| {
        runs.iter().filter(|run| run.renderer == "s-0" && run.at_ms > from && run.at_ms < until).count()
    };
    note(&format!(
        "s-0 was sent {} requests from 0.45 s after it drained to the yes, {} in the 2.45 s after it, {} from then until \
         discovery was back, {} after",
        to_it(drained_ms + 450.0, yes_ms),
        to_it(yes_ms, yes_ms + ALLOWED_MS),
        to_it(yes_ms + ALLOWED_MS, back_ms),
        to_it(back_ms, f64::INFINITY)
    ));
    let is_judged = |at_ms: f64| {
        (at_ms > drained_ms + 450.0 && at_ms < yes_ms) || (at_ms > yes_ms + ALLOWED_MS && at_ms < back_ms)
    };
    let stale = runs.iter().filter(|run| run.renderer == "s-0" && is_judged(run.at_ms));
    let breaches: Vec<String> = stale
        .map(|run| {
            format!(
                "{} was sent to s-0 {:.0} ms after the agent was told that it drains, {:.0} ms after the yes",
                run.id,
                run.at_ms - drained_ms,
                run.at_ms - yes_ms
            )
        })
        .collect();
    verdict(&breaches)
}
