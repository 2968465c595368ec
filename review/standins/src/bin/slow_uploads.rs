//! A planned restart: the agent is told to end while clients send long bodies at 64 kB a second, and half of the
//! renderers hang just then. SIGKILL comes 3.7 s after SIGTERM: the longest deadline is counted as 3 s.

use review_standins::agent::{config, free_address, Agent};
use review_standins::client::{head, Client, Ending};
use review_standins::discovery::Discovery;
use review_standins::http::response;
use review_standins::renderer::{Handler, Renderer};
use review_standins::report::{has_trouble, ms, sleep_until, unable, Record};
use review_standins::rng::Rng;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["ropka", "annelinn", "raadi", "ulenurme"];
const RENDERERS: usize = 12;
/// Half of them hang.
const HANGING: usize = 6;
const UPLOADS: usize = 16;
/// What a client sends in a second.
const BYTES_PER_SECOND: usize = 64_000;
const PIECE: usize = 6_400;
/// When SIGTERM comes, after the first upload has begun.
const TERM_AFTER_MS: f64 = 1_500.0;
/// SIGKILL: the longest deadline (5 s, counted as 3 s) and 0.7 s after SIGTERM, and a little more.
const KILL_AFTER_MS: f64 = 3_750.0;
/// Dispatch: eight tenths of its 1.5 s.
const TIMEOUT_MS: u64 = 1_200;

struct Upload {
    id: String,
    last_byte_at: Option<Instant>,
    ending: String,
    ended_at: Option<Instant>,
    status: u16,
}

fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    let hang_from: Arc<Mutex<Option<Instant>>> = Arc::default();
    let handler: Handler = {
        let (record, hang_from) = (record.clone(), hang_from.clone());
        Arc::new(move |name, request, stream| {
            let id = request.header("x-request-id").to_owned();
            record.at(request.last_byte_at, &format!("{name} runs {id}, {} bytes", request.body.len()));
            std::thread::sleep(ms(150.0));
            let number: usize = name[1..].parse().unwrap_or(0);
            let hangs = number > RENDERERS - HANGING && hang_from.lock().expect("hang").is_some();
            if hangs {
                record.line(&format!("{name} hangs with {id}"));
                // Until well after the agent's end.
                std::thread::sleep(Duration::from_secs(8));
            }
            let sent = stream.write_all(&response("200 OK", "", &format!("made for {id} by {name}\n")));
            sent.is_ok()
        })
    };
    let renderers: Vec<Renderer> = (0..RENDERERS)
        .map(|index| Renderer::start(index, ZONES[index % 4], (index / 6) as u32, handler.clone()))
        .collect();
    let entries: Vec<String> = renderers.iter().map(|renderer| renderer.entry("up")).collect();
    let listed = renderers.iter().map(|renderer| renderer.name.clone()).zip(entries.iter().cloned()).collect();
    let discovery = Discovery::start("discovery", "127.0.6.1", 41, listed, Duration::ZERO, record.clone());
    let address = free_address("127.0.7.1");
    let mut agent = Agent::start(address, &config(address, discovery.address, 41, &entries, 4), &record);

    // Ordinary requests of the classes, so that the agent knows its renderers.
    let mut rng = Rng::new(7);
    let mut client = Client::new(address);
    let mut answered = 0;
    for number in 0..40 {
        let id = format!("{:016x}", rng.next());
        let (class, method, length) =
            [("preview", "GET", None), ("archive", "POST", Some(100)), ("dispatch", "POST", Some(100))][number % 3];
        let mut request = head(method, class, &id, 1200, length).into_bytes();
        request.resize(request.len() + length.unwrap_or(0), b'x');
        if matches!(client.ask(&request, ms(1200.0)), Ending::Answered(answer) if answer.status() == 200) {
            answered += 1;
        }
    }
    record.say(&format!("before: {answered} of 40 ordinary requests served"));
    if answered < 30 {
        unable("the agent does not serve ordinary requests");
    }

    let begin = Instant::now() + ms(100.0);
    let term_at = begin + ms(TERM_AFTER_MS);
    let kill_at = term_at + ms(KILL_AFTER_MS);
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|index| {
            let id = format!("{:016x}", rng.next());
            // The last byte is sent 2.65 to 3.05 s after SIGTERM, so that its client still waits at SIGKILL.
            let first_byte_at = begin + ms(30.0 * index as f64);
            let ends_after_term = 2_660.0 + 25.0 * index as f64;
            let seconds = (term_at + ms(ends_after_term) - first_byte_at).as_secs_f64();
            let length = (seconds * BYTES_PER_SECOND as f64) as usize;
            let record = record.clone();
            std::thread::spawn(move || upload(address, id, first_byte_at, length, kill_at, &record))
        })
        .collect();
    sleep_until(term_at);
    let terminated_at = agent.signal("TERM");
    if trouble {
        *hang_from.lock().expect("hang") = Some(terminated_at);
        record.line("half of the renderers hang from now on");
    }
    sleep_until(terminated_at + ms(KILL_AFTER_MS));
    let ended_early = agent.has_ended();
    let killed_at = agent.kill();
    record.at(killed_at, if ended_early { "the agent had ended by itself" } else { "SIGKILL" });

    let mut lost = 0;
    let mut judged = 0;
    for upload in uploads {
        let upload = upload.join().expect("upload");
        let Some(last_byte_at) = upload.last_byte_at else {
            record.say(&format!("{}: not sent whole: {}", upload.id, upload.ending));
            continue;
        };
        judged += 1;
        let came_after = last_byte_at.saturating_duration_since(terminated_at).as_secs_f64();
        let ended = upload.ended_at.unwrap_or(killed_at).saturating_duration_since(terminated_at).as_secs_f64();
        let is_lost = upload.status == 0 && came_after > 0.7;
        lost += usize::from(is_lost);
        record.say(&format!(
            "{}: last byte {came_after:.2} s after SIGTERM, {} at {ended:.2} s{}",
            upload.id,
            upload.ending,
            if is_lost { ": LOST" } else { "" }
        ));
    }
    drop(agent);
    if judged < UPLOADS / 2 {
        unable("too few bodies could be sent whole");
    }
    record.say(&format!("{judged} long requests were taken more than 0.7 s after SIGTERM, {lost} of them lost"));
    std::process::exit(i32::from(lost > 0));
}

/// Sends a body at 64 kB a second and waits for the answer until the agent's end.
fn upload(
    address: std::net::SocketAddr,
    id: String,
    first_byte_at: Instant,
    length: usize,
    kill_at: Instant,
    record: &Record,
) -> Upload {
    let mut upload = Upload { id: id.clone(), last_byte_at: None, ending: String::new(), ended_at: None, status: 0 };
    sleep_until(first_byte_at);
    let mut client = Client::new(address);
    let connection = match client.connect() {
        Ok(connection) => connection,
        Err(error) => {
            upload.ending = format!("no connection: {error}");
            return upload;
        }
    };
    let head = head("POST", "dispatch", &id, TIMEOUT_MS, Some(length));
    let mut sent = connection.get_mut().write_all(head.as_bytes());
    let mut done = 0;
    while done < length && sent.is_ok() {
        let piece = PIECE.min(length - done);
        sent = connection.get_mut().write_all(&vec![b'x'; piece]);
        done += piece;
        sleep_until(first_byte_at + Duration::from_secs_f64(done as f64 / BYTES_PER_SECOND as f64));
    }
    if let Err(error) = sent {
        upload.ending = format!("broken after {done} of {length} bytes: {error}");
        return upload;
    }
    let last_byte_at = Instant::now();
    record.at(last_byte_at, &format!("client has sent {id} whole, {length} bytes, and waits {TIMEOUT_MS} ms"));
    upload.last_byte_at = Some(last_byte_at);
    let until = (last_byte_at + ms(TIMEOUT_MS as f64)).min(kill_at + ms(500.0));
    match client.wait_for_answer(until) {
        Ending::Answered(answer) => {
            upload.status = answer.status();
            upload.ending = format!("answered {}", answer.status());
        }
        Ending::TimedOut => upload.ending = "no answer".to_owned(),
        Ending::Closed(error) => upload.ending = format!("connection ended with no answer ({error})"),
        Ending::Unreachable => upload.ending = "no connection".to_owned(),
    }
    upload.ended_at = Some(Instant::now());
    record.line(&format!("client: {id}: {}", upload.ending));
    upload
}
