//! A new configuration names another discovery, which is slow.

use review_standins_2::agent::{Agent, Setup};
use review_standins_2::case::{self, note, trouble, verdict};
use review_standins_2::client::{new_id, request, Client};
use review_standins_2::discovery::{list_json, Discovery, Entry};
use review_standins_2::renderer::{answer, record_run, work, Renderer, Runs};
use std::time::{Duration, Instant};

/// Discovery answers each call so much later.
const SLOW: Duration = Duration::from_millis(1500);
/// Whatever discovery has to report counts as reported 4 s after the signal; 400 ms later nothing may be sent, and every
/// time limit is 50 ms longer on sockets.
const ALLOWED_MS: f64 = 4000.0 + 400.0 + 50.0;
const WORK_MS: f64 = 80.0;

fn main() {
    case::begin("a new configuration, and a slow discovery");
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
    let first = Discovery::start("the first discovery", 1, entries.clone(), Duration::ZERO);
    let delay = if trouble() { SLOW } else { Duration::ZERO };
    let second = Discovery::start("the second discovery", 1, entries, delay);
    let setup = Setup {
        discovery: first.address,
        known,
        sockets: 384,
        memory_mb: 48,
        balancers: 1,
        operator: None,
        inherits_listener: false,
    };
    let mut agent = Agent::start("n0", setup);
    let address = agent.address;
    work(1500.0);
    let signalled_ms = agent.move_discovery(second.address);
    first.retire(Duration::from_millis(1500));
    second.set_health("s-0", "draining");
    let until = Instant::now() + Duration::from_secs(20);
    let mut client = None;
    let mut answers = 0;
    while Instant::now() < until {
        let mut connection: Client =
            client.take().or_else(|| Client::connect(address)).expect("the agent refuses connections");
        let id = new_id("dispatch");
        connection.send(&request("dispatch", &id, 1200, "a bill"));
        let answer = connection.read(Duration::from_millis(2200));
        note(&format!(
            "{id} has {}",
            answer.as_ref().map_or_else(|e| format!("{e:?}"), |a| a.status().to_string())
        ));
        if answer.is_ok() {
            answers += 1;
            client = Some(connection);
        }
        work(20.0);
    }
    assert!(!case::has_ended(agent.pid), "the agent has ended");
    agent.record_log(30);
    let runs = runs.lock().unwrap();
    let stale = runs.iter().filter(|run| run.renderer == "s-0" && run.at_ms > signalled_ms + ALLOWED_MS);
    let breaches: Vec<String> = stale
        .map(|run| {
            format!(
                "{} was sent to s-0, which drains, {:.0} ms after the signal",
                run.id,
                run.at_ms - signalled_ms
            )
        })
        .collect();
    note(&format!("{answers} answers"));
    verdict(&breaches)
}
