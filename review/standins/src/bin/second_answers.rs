//! Some answers of renderers are followed by a second one, a copy of the first, some milliseconds later. Each client
//! compares the body that it gets with its own request.

use review_standins::agent::{config, free_address, Agent};
use review_standins::client::{head, Client, Ending};
use review_standins::discovery::Discovery;
use review_standins::http::response;
use review_standins::renderer::{Handler, Renderer};
use review_standins::report::{has_trouble, ms, sleep_until, unable, Record};
use review_standins::rng::Rng;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["ropka", "annelinn", "raadi", "ulenurme"];
const RENDERERS: usize = 12;
const SECONDS: f64 = 40.0;
/// Requests a second: a fleet of 270 on 5 agents.
const RATE: f64 = 54.0;
const CLIENTS: usize = 24;
/// One answer in so many is followed by a second one.
const ONE_IN: u64 = 50;
/// How much later that comes.
const SECOND_AFTER_MS: (f64, f64) = (2.0, 8.0);

#[derive(Default)]
struct Tally {
    sent: usize,
    served: usize,
    other: usize,
    foreign: Vec<String>,
    /// Those of them that no renderer had got when their client had its answer.
    not_run: usize,
}

fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    // Which renderers have run a request.
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let seconds_sent = Arc::new(Mutex::new(0usize));
    let rng = Arc::new(Mutex::new(Rng::new(11)));
    let handler: Handler = {
        let (record, runs, rng, seconds_sent) = (record.clone(), runs.clone(), rng.clone(), seconds_sent.clone());
        Arc::new(move |name, request, stream| {
            let id = request.header("x-request-id").to_owned();
            runs.lock().expect("runs").entry(id.clone()).or_default().push(name.to_owned());
            let (work, spoilt, later) = {
                let mut rng = rng.lock().expect("rng");
                let later = rng.between(SECOND_AFTER_MS.0, SECOND_AFTER_MS.1);
                (rng.between(20.0, 80.0), trouble && rng.next() % ONE_IN == 0, later)
            };
            std::thread::sleep(ms(work));
            let answer = response("200 OK", "Content-Type: text/plain\r\n", &format!("made for {id} by {name}\n"));
            if stream.write_all(&answer).is_err() {
                return false;
            }
            record.line(&format!("{name} answers {id}"));
            if spoilt {
                std::thread::sleep(ms(later));
                if stream.write_all(&answer).is_err() {
                    return false;
                }
                *seconds_sent.lock().expect("count") += 1;
                record.line(&format!("{name} answers {id} a second time, {later:.1} ms later"));
            }
            true
        })
    };
    let renderers: Vec<Renderer> = (0..RENDERERS)
        .map(|index| Renderer::start(index, ZONES[index % 4], (index / 6) as u32, handler.clone()))
        .collect();
    let entries: Vec<String> = renderers.iter().map(|renderer| renderer.entry("up")).collect();
    let listed = renderers.iter().map(|renderer| renderer.name.clone()).zip(entries.iter().cloned()).collect();
    let discovery = Discovery::start("discovery", "127.0.6.2", 41, listed, Duration::ZERO, record.clone());
    let address = free_address("127.0.7.2");
    let agent = Agent::start(address, &config(address, discovery.address, 41, &entries, 5), &record);

    let begin = Instant::now() + ms(100.0);
    let tally = Arc::new(Mutex::new(Tally::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, tally, runs) = (record.clone(), tally.clone(), runs.clone());
            std::thread::spawn(move || {
                let mut rng = Rng::new(100 + index as u64);
                let mut client = Client::new(address);
                let mut at = begin;
                loop {
                    // Arrivals at random, together RATE a second.
                    at += Duration::from_secs_f64(-(1.0 - rng.unit()).ln() * CLIENTS as f64 / RATE);
                    if at > begin + Duration::from_secs_f64(SECONDS) {
                        return;
                    }
                    sleep_until(at);
                    ask(&mut client, &mut rng, &record, &tally, &runs);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("client");
    }
    drop(agent);
    let tally = tally.lock().expect("tally");
    let seconds_sent = *seconds_sent.lock().expect("count");
    record.say(&format!(
        "{} requests, {} answered 200, {} otherwise; {seconds_sent} answers came a second time",
        tally.sent, tally.served, tally.other
    ));
    if tally.served < tally.sent / 2 || (trouble && seconds_sent < 10) {
        unable("too little was served");
    }
    for line in &tally.foreign {
        record.say(line);
    }
    record.say(&format!(
        "{} requests were answered 200 with what was made for another request, {} of them before any renderer had got them",
        tally.foreign.len(),
        tally.not_run
    ));
    std::process::exit(i32::from(!tally.foreign.is_empty()));
}

fn ask(
    client: &mut Client,
    rng: &mut Rng,
    record: &Record,
    tally: &Mutex<Tally>,
    runs: &Mutex<HashMap<String, Vec<String>>>,
) {
    let id = format!("{:016x}", rng.next());
    let draw = rng.unit();
    let (class, method, length, timeout) = match draw {
        draw if draw < 0.48 => ("preview", "GET", None, 3000),
        draw if draw < 0.80 => ("archive", "POST", Some(212), 2400),
        _ => ("dispatch", "POST", Some(212), 900),
    };
    let mut request = head(method, class, &id, timeout, length).into_bytes();
    request.resize(request.len() + length.unwrap_or(0), b'x');
    record.line(&format!("client sends {class} {id}"));
    let ending = client.ask(&request, ms(timeout as f64 + 500.0));
    let now = Instant::now();
    let mut tally = tally.lock().expect("tally");
    tally.sent += 1;
    match ending {
        Ending::Answered(answer) if answer.status() == 200 => {
            tally.served += 1;
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            record.at(now, &format!("client: {id} answered 200: {body}"));
            if !body.starts_with(&format!("made for {id} by ")) {
                let run = runs.lock().expect("runs").get(&id).cloned().unwrap_or_default();
                let line = format!("{class} {id} got 200 with \"{body}\"; renderers that had got it: {run:?}: FOREIGN");
                tally.not_run += usize::from(run.is_empty());
                record.at(now, &line);
                tally.foreign.push(line);
            }
        }
        Ending::Answered(answer) => {
            tally.other += 1;
            record.at(now, &format!("client: {id} answered {}", answer.status()));
        }
        Ending::TimedOut | Ending::Closed(_) | Ending::Unreachable => {
            tally.other += 1;
            record.at(now, &format!("client: {id} has no answer"));
        }
    }
}
