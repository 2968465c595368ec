//! A small agent that is wrong in the way that its program's name says, to show that the oracle finds each way.
//!
//! It knows discovery by asking for the whole list, sends each request to the next renderer in turn, and passes the
//! answer on. Under the name `right` it does no more than that, and no less.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        stream.read_line(&mut message.first).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.first.clone().into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn exchange(address: &str, request: &Message, wait: Duration) -> Option<Message> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut stream = BufReader::new(stream);
    stream.get_mut().write_all(&request.bytes()).ok()?;
    Message::read(&mut stream)
}

struct Agent {
    wrong: String,
    dials: Mutex<Vec<String>>,
    next: AtomicUsize,
    began: Instant,
}

impl Agent {
    fn listed(&self, list: &Value) {
        let mut hosts: Vec<(String, String)> = Vec::new();
        for host in list["hosts"].as_array().into_iter().flatten() {
            if host["health"] == "up" {
                let text = |key: &str| host[key].as_str().unwrap_or_default().to_owned();
                hosts.push((text("born_ms"), text("dial")));
            }
        }
        // Whatever has started last stands at the end.
        hosts.sort();
        *self.dials.lock().expect("no panic") = hosts.into_iter().map(|(_, dial)| dial).collect();
    }

    fn follow(&self, discovery: &str) {
        let get = Message { first: "GET /v1/endpoints HTTP/1.1\r\n".into(), ..Message::default() };
        loop {
            std::thread::sleep(Duration::from_millis(50));
            if let Some(list) = exchange(discovery, &get, Duration::from_secs(1)) {
                match serde_json::from_slice(&list.body) {
                    Ok(list) if self.wrong != "ignores-drains" => self.listed(&list),
                    _ => {}
                }
            }
        }
    }

    fn pick(&self) -> Option<String> {
        let dials = self.dials.lock().expect("no panic");
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let first = self.wrong == "floods-cold" && self.began.elapsed() > Duration::from_secs(2);
        dials.get(if first { 0 } else { turn % dials.len().max(1) }).cloned()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let mut request = Message::read(&mut stream)?;
            let plain = |status: &str| Message {
                first: format!("HTTP/1.1 {status}\r\n"),
                headers: vec![("Content-Length".into(), "0".into())],
                body: Vec::new(),
            };
            if request.first.starts_with("GET /ready") {
                stream.get_mut().write_all(&plain("200 OK").bytes()).ok()?;
                continue;
            }
            let turn = self.next.load(Ordering::Relaxed);
            if self.wrong == "never-answers" && turn.is_multiple_of(5) {
                self.next.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_secs(60));
            }
            if self.wrong == "makes-up" && turn.is_multiple_of(5) {
                self.next.fetch_add(1, Ordering::Relaxed);
                stream.get_mut().write_all(&plain("200 OK").bytes()).ok()?;
                continue;
            }
            let wait = request.header("x-timeout").and_then(|t| t.trim_end_matches('u').parse().ok());
            let wait =
                Duration::from_micros(wait.unwrap_or(1_000_000u64)).saturating_sub(Duration::from_millis(30));
            let unsafely = request.header("x-priority-class") == Some("dispatch");
            if self.wrong == "repeats-unsafe" && unsafely {
                if let Some(dial) = self.pick() {
                    exchange(&dial, &request, Duration::from_millis(1));
                }
            }
            if self.wrong == "invents" {
                request.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
                request.headers.push(("X-Request-ID".into(), "00000000000000aa".into()));
            }
            let answer = self.pick().and_then(|dial| exchange(&dial, &request, wait));
            let answer = answer.unwrap_or_else(|| plain("504 Gateway Timeout")).bytes();
            stream.get_mut().write_all(&answer).ok()?;
            if self.wrong == "answers-twice" {
                stream.get_mut().write_all(&answer).ok()?;
            }
        }
    }
}

fn main() {
    let name = std::env::args().next().unwrap_or_default();
    let wrong = name.rsplit('/').next().unwrap_or_default().to_owned();
    if wrong == "does-not-start" {
        eprintln!("wrong_agent: it does not start");
        std::process::exit(4);
    }
    let file = std::env::var("PROXY_CONFIG").expect("PROXY_CONFIG");
    let config: Value = serde_json::from_slice(&std::fs::read(file).expect("a file")).expect("JSON");
    let listen = config["listen"].as_str().expect("listen").to_owned();
    let discovery = config["discovery"].as_str().expect("discovery").to_owned();
    let agent =
        Arc::new(Agent { wrong, dials: Mutex::default(), next: AtomicUsize::new(0), began: Instant::now() });
    agent.listed(&config["known"]);
    let listener = TcpListener::bind(listen).expect("a listener");
    let follower = agent.clone();
    std::thread::spawn(move || follower.follow(&discovery));
    if agent.wrong == "crashes" {
        std::thread::spawn(|| {
            std::thread::sleep(Duration::from_secs(2));
            std::process::exit(3);
        });
    }
    for stream in listener.incoming().flatten() {
        let agent = agent.clone();
        std::thread::spawn(move || agent.serve(stream));
    }
}
