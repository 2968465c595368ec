//! Clients of an agent: one request at a time on a connection, which they keep. A close that crosses a request is
//! answered by sending the request once more on a new connection.

use crate::http::{read_message, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a request ended.
pub enum Ending {
    Answered(Message),
    /// No answer within the time that the client waits.
    TimedOut,
    /// The connection ended or broke without a whole answer.
    Closed(io::Error),
    /// No connection came up.
    Unreachable,
}

pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Client { address, connection: None }
    }

    /// Opens a connection if there is none.
    pub fn connect(&mut self) -> io::Result<&mut BufReader<TcpStream>> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        Ok(self.connection.as_mut().expect("set above"))
    }

    /// Whether a kept connection has been closed by the agent.
    fn drop_closed(&mut self) {
        let is_closed = self.connection.as_ref().is_some_and(|connection| {
            let stream = connection.get_ref();
            let _ = stream.set_nonblocking(true);
            let mut byte = [0];
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_nonblocking(false);
            !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        });
        if is_closed {
            self.connection = None;
        }
    }

    /// Sends a request and waits for its answer until `wait` after its last byte was written.
    pub fn ask(&mut self, request: &[u8], wait: Duration) -> Ending {
        self.drop_closed();
        for is_last in [false, true] {
            let was_kept = self.connection.is_some();
            let Ok(connection) = self.connect() else { return Ending::Unreachable };
            let sent = connection.get_mut().write_all(request);
            let ending = match sent {
                Ok(()) => self.wait_for_answer(Instant::now() + wait),
                Err(error) => Ending::Closed(error),
            };
            match ending {
                Ending::Closed(_) if was_kept && !is_last => self.connection = None,
                ending => {
                    if !matches!(ending, Ending::Answered(_)) {
                        self.connection = None;
                    }
                    return ending;
                }
            }
        }
        Ending::Unreachable
    }

    /// Waits for the answer to a request that has been written.
    pub fn wait_for_answer(&mut self, until: Instant) -> Ending {
        let Some(connection) = self.connection.as_mut() else { return Ending::Unreachable };
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = connection.get_ref().set_read_timeout(Some(left));
        match read_message(connection) {
            Ok(Some(answer)) => {
                if answer.header("connection").eq_ignore_ascii_case("close") {
                    self.connection = None;
                }
                Ending::Answered(answer)
            }
            Ok(None) => Ending::Closed(io::ErrorKind::UnexpectedEof.into()),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Ending::TimedOut
            }
            Err(error) => Ending::Closed(error),
        }
    }
}

/// The head of a request as the protocol page has it.
pub fn head(method: &str, class: &str, id: &str, timeout_ms: u64, body_length: Option<usize>) -> String {
    let key =
        if method == "POST" && class == "archive" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let length = body_length.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
    format!(
        "{method} /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\nX-Timeout: {timeout_ms}m\r\n{key}{length}\r\n"
    )
}
