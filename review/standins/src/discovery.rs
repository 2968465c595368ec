//! Discovery as the agent on the agent's machine: tells the whole list, or what has changed after a version.

use crate::http::{read_message, response};
use crate::report::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    seq: u64,
    /// The entries by name, each with the version of its last change.
    entries: Vec<(String, u64, String)>,
    is_closed: bool,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts discovery with this list. Each answer is written `delay` after it is known.
    pub fn start(
        label: &'static str,
        host: &str,
        seq: u64,
        entries: Vec<(String, String)>,
        delay: Duration,
        record: Record,
    ) -> Self {
        let listener = TcpListener::bind(format!("{host}:0")).expect("discovery");
        let address = listener.local_addr().expect("discovery");
        let entries = entries.into_iter().map(|(name, entry)| (name, seq, entry)).collect();
        let state = State { seq, entries, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = shared.0.lock().expect("discovery");
                if state.is_closed {
                    // The listener goes: from now on the system refuses connections.
                    return;
                }
                state.connections.extend(stream.try_clone());
                drop(state);
                let (shared, record) = (shared.clone(), record.clone());
                std::thread::spawn(move || serve(label, stream, &shared, delay, &record));
            }
        });
        Discovery { address, state }
    }

    /// Changes the entry of a renderer and tells it to those who watch.
    pub fn change(&self, name: &str, entry: String) {
        let mut state = self.state.0.lock().expect("discovery");
        state.seq += 1;
        let seq = state.seq;
        for known in state.entries.iter_mut().filter(|known| known.0 == name) {
            (known.1, known.2) = (seq, entry.clone());
        }
        self.state.1.notify_all();
    }

    /// Accepts no more connections.
    pub fn stop_accepting(&self) {
        self.state.0.lock().expect("discovery").is_closed = true;
        // Wakes the accepting thread, which then drops its listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Closes the open connections.
    pub fn close_connections(&self) {
        for stream in self.state.0.lock().expect("discovery").connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(label: &str, stream: TcpStream, shared: &(Mutex<State>, Condvar), delay: Duration, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let path = request.word(1).to_owned();
        record.line(&format!("{label} is asked {path}"));
        let number = |key: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            query.split('&').find_map(|pair| pair.strip_prefix(key)).and_then(|text| text.parse::<u64>().ok())
        };
        let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(60_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = shared.0.lock().expect("discovery");
        while after.is_some_and(|after| after >= state.seq) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = shared.1.wait_timeout(state, left).expect("discovery").0;
        }
        let is_listed = |entry: &&(String, u64, String)| after.is_none_or(|after| entry.1 > after);
        let entries: Vec<&str> = state.entries.iter().filter(is_listed).map(|entry| entry.2.as_str()).collect();
        let body = format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, state.seq, after.is_none(), entries.join(","));
        let seq = state.seq;
        drop(state);
        std::thread::sleep(delay);
        if writer.write_all(&response("200 OK", "Content-Type: application/json\r\n", &body)).is_err() {
            record.line(&format!("{label} cannot answer {path}: the agent has closed the connection"));
            return;
        }
        record.line(&format!("{label} has written its answer to {path}: version {seq}"));
    }
}
