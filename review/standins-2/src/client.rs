//! A client of the agent.

use crate::http::{Message, Missing, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub struct Client {
    pub stream: TcpStream,
    reader: Reader,
}

impl Client {
    /// Opens a connection; `None` if it is refused.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(20)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { stream, reader: Reader::default() })
    }

    /// Writes bytes; whether all were taken.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one answer, whose next bytes come within `patience`.
    pub fn read(&mut self, patience: Duration) -> Result<Message, Missing> {
        let _ = self.stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
        self.reader.read(&mut self.stream)
    }

    /// Reads one answer until a moment.
    pub fn read_until(&mut self, until: Instant) -> Result<Message, Missing> {
        self.read(until.saturating_duration_since(Instant::now()))
    }
}

/// A new identifier for a request.
pub fn new_id(prefix: &str) -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    format!("{prefix}-{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// The bytes of a request.
pub fn request(class: &str, id: &str, timeout_ms: u64, body: &str) -> Vec<u8> {
    let (method, key) = match class {
        "preview" => ("GET", String::new()),
        "archive" => ("POST", format!("Idempotency-Key: key-{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let (length, body) = if method == "GET" {
        (String::new(), "")
    } else {
        (format!("Content-Length: {}\r\n", body.len()), body)
    };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {timeout_ms}m\r\n{key}{length}\r\n{body}"
    )
    .into_bytes()
}
