//! Clients send long bodies at once, and a quarter of the renderers hang in the middle of them: they read no more and
//! answer nothing. The clients have sent all, and all of it is in the agent's machine.

use review_standins::agent::{config, free_address, Agent};
use review_standins::client::{head, Client, Ending};
use review_standins::discovery::Discovery;
use review_standins::http::response;
use review_standins::renderer::{Handler, Renderer};
use review_standins::report::{has_trouble, ms, sleep_until, unable, Record};
use review_standins::rng::Rng;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["ropka", "annelinn", "raadi", "ulenurme"];
const RENDERERS: usize = 12;
/// A quarter of them hang, from the moment when clients begin to send until the end.
const HANGING: usize = 3;
const WAVES: usize = 4;
const UPLOADS_IN_A_WAVE: usize = 20;
/// How long the bodies are: more than the system's buffers between agent and renderer take, and not so much more that
/// the rest doesn't fit into those between client and agent. Most are as long as it takes with the usual buffers of
/// Linux, the others (`SPREAD_IN_A_WAVE`) are spread over a wider range, for a machine with other ones.
const LENGTHS: (f64, f64) = (4_080_000.0, 4_480_000.0);
const SPREAD_IN_A_WAVE: usize = 8;
const SPREAD_LENGTHS: (f64, f64) = (2_700_000.0, 6_500_000.0);
/// Dispatch: eight tenths of its 1.5 s.
const TIMEOUT_MS: u64 = 1_200;
/// A final answer that comes up to half a second after the client's time is late, and not lost.
const LOST_AFTER_MS: f64 = 500.0;
/// What is left for a machine with other work.
const SLACK_MS: f64 = 150.0;

struct Upload {
    id: String,
    length: usize,
    /// When the client had written its last byte.
    written_at: Option<Instant>,
    /// Whether all bytes had arrived in the agent's machine a second later.
    has_arrived: bool,
    status: u16,
    ending: String,
    ended_after: Duration,
}

fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    let handler: Handler = {
        let record = record.clone();
        Arc::new(move |name, request, stream| {
            let id = request.header("x-request-id").to_owned();
            record.at(request.last_byte_at, &format!("{name} runs {id}, {} bytes", request.body.len()));
            std::thread::sleep(ms(40.0));
            stream.write_all(&response("200 OK", "", &format!("made for {id} by {name}\n"))).is_ok()
        })
    };
    let renderers: Vec<Renderer> = (0..RENDERERS)
        .map(|index| Renderer::start(index, ZONES[index % 4], (index / 6) as u32, handler.clone()))
        .collect();
    let entries: Vec<String> = renderers.iter().map(|renderer| renderer.entry("up")).collect();
    let listed = renderers.iter().map(|renderer| renderer.name.clone()).zip(entries.iter().cloned()).collect();
    let discovery = Discovery::start("discovery", "127.0.6.3", 41, listed, Duration::ZERO, record.clone());
    let address = free_address("127.0.7.3");
    let agent = Agent::start(address, &config(address, discovery.address, 41, &entries, 4), &record);

    let mut rng = Rng::new(5);
    let mut client = Client::new(address);
    let mut answered = 0;
    for _ in 0..40 {
        let id = format!("{:016x}", rng.next());
        let mut request = head("POST", "dispatch", &id, TIMEOUT_MS, Some(200)).into_bytes();
        request.resize(request.len() + 200, b'x');
        if matches!(client.ask(&request, ms(1200.0)), Ending::Answered(answer) if answer.status() == 200) {
            answered += 1;
        }
    }
    record.say(&format!("before: {answered} of 40 short requests served"));
    if answered < 30 {
        unable("the agent does not serve short requests");
    }
    if trouble {
        for renderer in &renderers[..HANGING] {
            renderer.hangs.store(true, Ordering::SeqCst);
        }
        record.line("r1, r2 and r3 hang from now on");
    }
    let begin = Instant::now() + ms(100.0);
    let mut uploads = Vec::new();
    for wave in 0..WAVES {
        for index in 0..UPLOADS_IN_A_WAVE {
            let (id, record) = (format!("{:016x}", rng.next()), record.clone());
            let (shortest, longest) = if index < SPREAD_IN_A_WAVE { SPREAD_LENGTHS } else { LENGTHS };
            let length = rng.between(shortest, longest) as usize;
            // The waves follow each other slowly, so that the agent has memory for all bodies.
            let at = begin + ms(3_500.0 * wave as f64 + rng.between(0.0, 60.0));
            uploads.push(std::thread::spawn(move || upload(address, id, at, length, &record)));
        }
    }
    let uploads: Vec<Upload> = uploads.into_iter().map(|upload| upload.join().expect("upload")).collect();
    drop(agent);
    let (mut judged, mut lost) = (0, 0);
    for upload in &uploads {
        let Upload { id, length, written_at, has_arrived, status, ending, ended_after } = upload;
        let is_judged = written_at.is_some() && (*has_arrived || *status != 0);
        let is_lost = is_judged && *status == 0;
        judged += usize::from(is_judged);
        lost += usize::from(is_lost);
        let word = match (is_judged, is_lost) {
            (_, true) => ": LOST",
            (false, _) => " (not judged: the body had not arrived whole)",
            (true, false) => "",
        };
        record.say(&format!("{id}, {length} bytes: {ending} after {:.2} s{word}", ended_after.as_secs_f64()));
    }
    if judged < uploads.len() / 2 {
        unable("too few bodies arrived whole");
    }
    record.say(&format!(
        "{judged} of {} long requests had arrived whole in the agent's machine, {lost} of them got no answer",
        uploads.len()
    ));
    std::process::exit(i32::from(lost > 0));
}

fn upload(address: SocketAddr, id: String, at: Instant, length: usize, record: &Record) -> Upload {
    let mut upload = Upload {
        id: id.clone(),
        length,
        written_at: None,
        has_arrived: false,
        status: 0,
        ending: String::new(),
        ended_after: Duration::ZERO,
    };
    sleep_until(at);
    let mut client = Client::new(address);
    let mut request = head("POST", "dispatch", &id, TIMEOUT_MS, Some(length)).into_bytes();
    request.resize(request.len() + length, b'x');
    let Ok(connection) = client.connect() else {
        upload.ending = "no connection".to_owned();
        return upload;
    };
    let port = connection.get_ref().local_addr().expect("address").port();
    // A body that cannot be written within the client's time is given up and not judged.
    let _ = connection.get_ref().set_write_timeout(Some(ms(TIMEOUT_MS as f64)));
    if let Err(error) = connection.get_mut().write_all(&request) {
        upload.ending = format!("not written whole: {error}");
        return upload;
    }
    let written_at = Instant::now();
    upload.written_at = Some(written_at);
    record.at(written_at, &format!("client has written {id} whole, {length} bytes, and waits {TIMEOUT_MS} ms"));
    let queue = {
        let record = record.clone();
        let id = id.clone();
        std::thread::spawn(move || {
            sleep_until(written_at + ms(500.0));
            let unsent = unacknowledged(port);
            record.line(&format!("{id}: 0.5 s later {unsent:?} of its bytes are not in the agent's machine"));
            unsent == Some(0)
        })
    };
    match client.wait_for_answer(written_at + ms(TIMEOUT_MS as f64 + LOST_AFTER_MS + SLACK_MS)) {
        Ending::Answered(answer) => {
            upload.status = answer.status();
            upload.ending = format!("answered {}", answer.status());
        }
        Ending::TimedOut => upload.ending = "no answer".to_owned(),
        Ending::Closed(error) => upload.ending = format!("connection ended with no answer ({error})"),
        Ending::Unreachable => upload.ending = "no connection".to_owned(),
    }
    upload.ended_after = written_at.elapsed();
    record.line(&format!("client: {id}: {}", upload.ending));
    upload.has_arrived = queue.join().unwrap_or(false);
    upload
}

/// The bytes of the connection from this port that the other side has not acknowledged, by the system's own table.
fn unacknowledged(port: u16) -> Option<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let suffix = format!(":{port:04X}");
    let line = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = line.into_iter().find(|row| row.get(1).is_some_and(|local| local.ends_with(&suffix)))?;
    u64::from_str_radix(row.get(4)?.split(':').next()?, 16).ok()
}
