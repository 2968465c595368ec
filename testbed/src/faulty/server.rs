//! A server that responds as the plan in the path of each request says.

use super::{body_of, Fault, Framing, ResponsePlan};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// The pause before a reset for which what was written is acknowledged first.
const RESET_DELAY: Duration = Duration::from_millis(5);
const EXTRA_BYTES: usize = 500;
const READ_BYTES: usize = 64 << 10;
/// Served for a path without a plan.
const OTHER_LENGTH: usize = 100;

/// The segment size of a network that is not this machine's loopback.
const SEGMENT_BYTES: u32 = 1460;
/// The receive buffer of a connection whose server reads slowly.
const SLOW_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
const BACKLOG: i32 = 128;

/// How a server reads the bodies of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// As fast as it can.
    Fast,
    /// This many bytes a second, in small pieces.
    Rate(u64),
    /// This many bytes at once, with a pause after each of them.
    Bursts(u64, Duration),
    /// Not at all.
    Never,
}

/// The server; it ends with the runtime.
pub struct FaultyServer {
    /// Where it listens.
    pub address: SocketAddr,
}

impl FaultyServer {
    /// Starts it on a free port.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub async fn start(reading: Reading) -> io::Result<Self> {
        Self::serve(TcpListener::bind("127.0.0.1:0").await?, reading)
    }

    /// Starts it on a free port as on another machine: what it does not read stays with the agent after some 100 kB. On
    /// loopback the system would take some MB.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub async fn start_remote(reading: Reading) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        socket.set_tcp_mss(SEGMENT_BYTES)?;
        socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(BACKLOG)?;
        Self::serve(TcpListener::from_std(socket.into())?, reading)
    }

    fn serve(listener: TcpListener, reading: Reading) -> io::Result<Self> {
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A connection without it is good all the same.
                let _ = stream.set_nodelay(true);
                tokio::spawn(async move {
                    let mut connection = Connection { stream, unread: Vec::new(), reading };
                    while let Ok(true) = connection.serve_request().await {}
                });
            }
        });
        Ok(FaultyServer { address })
    }
}

/// The length of a request's body.
enum BodyLength {
    Known(usize),
    Chunked,
}

struct RequestHead {
    method: String,
    path: String,
    id: String,
    body: BodyLength,
}

impl RequestHead {
    fn parse(head: &str) -> Self {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let fields = head.lines().filter_map(|line| line.split_once(':'));
            let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
            values.next().map(|(_, value)| value.trim().to_owned())
        };
        let length = field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let body = match field("transfer-encoding") {
            Some(_) => BodyLength::Chunked,
            None => BodyLength::Known(length),
        };
        RequestHead { method, path, id: field("x-request-id").unwrap_or_default(), body }
    }
}

struct Connection {
    stream: TcpStream,
    /// Bytes that have been read and belong to what follows.
    unread: Vec<u8>,
    reading: Reading,
}

impl Connection {
    /// Reads a request and responds. Returns whether the connection is good for another one.
    async fn serve_request(&mut self) -> io::Result<bool> {
        let head = self.read_head().await?;
        self.read_body(&head.body).await?;
        let other = ResponsePlan::complete(Framing::Length, OTHER_LENGTH);
        let plan = ResponsePlan::of_path(&head.path).unwrap_or(other);
        self.respond(&head, &plan).await
    }

    async fn read_head(&mut self) -> io::Result<RequestHead> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                let rest = self.unread.split_off(end + 4);
                let head = std::mem::replace(&mut self.unread, rest);
                return Ok(RequestHead::parse(&String::from_utf8_lossy(&head)));
            }
            self.read_more(READ_BYTES).await?;
        }
    }

    async fn read_more(&mut self, max_bytes: usize) -> io::Result<usize> {
        let mut piece = vec![0; max_bytes];
        let bytes = self.stream.read(&mut piece).await?;
        if bytes == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.unread.extend_from_slice(&piece[..bytes]);
        Ok(bytes)
    }

    async fn read_body(&mut self, length: &BodyLength) -> io::Result<()> {
        let (since, mut read) = (Instant::now(), 0);
        while !self.take_body(length) {
            let max_bytes = match self.reading {
                Reading::Fast => READ_BYTES,
                Reading::Rate(bytes_per_second) => (bytes_per_second / 50).max(1) as usize,
                Reading::Bursts(bytes, _) => bytes as usize,
                Reading::Never => std::future::pending().await,
            };
            read += self.read_more(max_bytes).await? as u64;
            match self.reading {
                Reading::Rate(bytes_per_second) => {
                    let due = Duration::from_secs_f64(read as f64 / bytes_per_second as f64);
                    tokio::time::sleep_until(since + due).await;
                }
                Reading::Bursts(bytes, pause) if read >= bytes => {
                    read = 0;
                    sleep(pause).await;
                }
                Reading::Fast | Reading::Bursts(..) | Reading::Never => {}
            }
        }
        Ok(())
    }

    /// Takes a body from the bytes that have been read, if it is complete.
    fn take_body(&mut self, length: &BodyLength) -> bool {
        let end = match length {
            BodyLength::Known(length) => (self.unread.len() >= *length).then_some(*length),
            BodyLength::Chunked => {
                let last_chunk = b"0\r\n\r\n";
                self.unread.ends_with(last_chunk).then_some(self.unread.len())
            }
        };
        end.map(|end| self.unread.drain(..end)).is_some()
    }

    async fn respond(&mut self, head: &RequestHead, plan: &ResponsePlan) -> io::Result<bool> {
        self.stream.write_all(response_head(plan).as_bytes()).await?;
        if head.method != "HEAD" {
            let body = body_of(&head.id, plan.length);
            self.write_body(&body[..plan.written], plan).await?;
            if plan.framing == Framing::Chunked && plan.fault.follows_complete_response() {
                self.stream.write_all(b"0\r\n\r\n").await?;
            }
        }
        match plan.fault {
            Fault::None => {}
            Fault::Stop => {
                // The connection ends when the agent closes it.
                let _ = self.stream.read(&mut [0]).await?;
                return Ok(false);
            }
            Fault::Close => return Ok(false),
            Fault::Reset => {
                sleep(RESET_DELAY).await;
                self.stream.set_zero_linger()?;
                return Ok(false);
            }
            Fault::ResetAtOnce => {
                self.stream.set_zero_linger()?;
                return Ok(false);
            }
            Fault::ExtraBytes => self.stream.write_all(&[b'x'; EXTRA_BYTES]).await?,
            Fault::SecondResponse => {
                let second = ResponsePlan::complete(Framing::Length, OTHER_LENGTH);
                let body = body_of("no-request", OTHER_LENGTH);
                self.stream.write_all(&[response_head(&second).as_bytes(), &body].concat()).await?;
            }
        }
        Ok(plan.framing != Framing::Close)
    }

    async fn write_body(&mut self, body: &[u8], plan: &ResponsePlan) -> io::Result<()> {
        for piece in body.chunks(plan.piece_bytes.max(1)) {
            match plan.framing {
                Framing::Chunked => {
                    let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
                    self.stream.write_all(&chunk).await?;
                }
                Framing::Length | Framing::Close => self.stream.write_all(piece).await?,
            }
            if !plan.pause.is_zero() {
                sleep(plan.pause).await;
            }
        }
        Ok(())
    }
}

fn response_head(plan: &ResponsePlan) -> String {
    let field = match plan.framing {
        Framing::Length => format!("Content-Length: {}", plan.length),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        Framing::Close => "Connection: close".to_owned(),
    };
    format!("HTTP/1.1 200 OK\r\n{field}\r\n\r\n")
}
