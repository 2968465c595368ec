//! The client's side of a crowd: one request after another, each over a connection of its own.

use super::server::{slow_due, Responder};
use super::{ResponseForm, ServerPace, LONG_BODY_BYTES, SLOW_BYTES_PER_SECOND};
use crate::draw::Seed;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The pause before a client connects again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// A slow client handles as many bytes at once.
const SLOW_PIECE_BYTES: usize = SLOW_BYTES_PER_SECOND / 10;
const TRICKLE_INTERVAL: Duration = Duration::from_secs(1);
/// A client that stops before the end of its body leaves out the last bytes.
const MISSING_BYTES: usize = 40;
const FULL_SPEED_PIECE_BYTES: usize = 16 << 10;
const READ_BYTES: usize = 64 << 10;
const HEAD_FIELDS: usize = 90;
const LONG_FIELD_BYTES: usize = 330;
const HALF_HEAD_BYTES: usize = 32_000;
const MAX_PIPELINED: usize = 200;
const EXTRA_BYTES: usize = 4 << 10;
/// The lengths of bodies that are drawn.
const BODY_BYTES: [usize; 6] = [60_000, 130_048, 261_120, 1 << 20, LONG_BODY_BYTES, 32_000_000];

/// The method and class of a client's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Method {
    /// The class of requests without a body, which use `GET`.
    pub get_class: String,
    /// The class of requests with a body, which use `POST`.
    pub post_class: String,
    /// Header fields that every request needs, each with its line end.
    pub fields: String,
}

/// The head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Head {
    /// As the application sends it.
    Usual,
    /// A part of a head with one long field.
    LongHalf,
    /// As many long fields as a head may have.
    Long,
    /// As many short fields as a head may have.
    ManyFields,
}

/// The body of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Upload {
    /// None.
    None,
    /// Of known length.
    KnownLength(usize),
    /// Chunked.
    Chunked(usize),
}

/// How fast a client sends its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Pace {
    /// As fast as the agent reads.
    Full,
    /// [`SLOW_BYTES_PER_SECOND`].
    Slow,
    /// A byte a second after a first piece.
    Trickle,
}

/// Where a client ends its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum End {
    /// At its end.
    Complete,
    /// Half way.
    Half,
    /// A few bytes before its end.
    Almost,
    /// More bytes follow, which are no request.
    Extra,
}

/// How a client reads its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Reading {
    /// As fast as it can.
    Full,
    /// [`SLOW_BYTES_PER_SECOND`].
    Slow,
    /// Not at all.
    Never,
}

/// What a client of a crowd does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Client {
    /// The head of its requests.
    pub head: Head,
    /// Their body.
    pub upload: Upload,
    /// How fast it is sent.
    pub pace: Pace,
    /// Where it ends.
    pub end: End,
    /// How many requests it sends at once on a connection, if they have no body.
    pub pipelined: usize,
    /// How the response is read.
    pub reading: Reading,
    /// What the server does.
    pub responder: Responder,
    /// `X-Timeout` of its requests.
    pub timeout: Duration,
    /// When it leaves, with or without a response.
    pub patience: Duration,
}

impl Client {
    /// A client with a short request that it sends and reads fast. It leaves after 3 s.
    pub const USUAL: Client = Client {
        head: Head::Usual,
        upload: Upload::None,
        pace: Pace::Full,
        end: End::Complete,
        pipelined: 1,
        reading: Reading::Full,
        responder: Responder { pace: ServerPace::Fast, form: ResponseForm::Short },
        timeout: Duration::from_secs(2),
        patience: Duration::from_secs(3),
    };

    /// Whether its requests are as the protocol wants them. Such clients use no more than a third of the descriptors (the
    /// terms); any number of others may connect.
    pub fn is_proper(&self) -> bool {
        let sends_all = (self.upload == Upload::None && self.pipelined == 1)
            || (self.end == End::Complete && self.pace != Pace::Trickle);
        self.head != Head::LongHalf && sends_all && self.reading != Reading::Never
    }

    /// Draws a client. Its servers are fast.
    pub fn draw(draw: &mut Seed) -> Self {
        let length = BODY_BYTES[draw.below(BODY_BYTES.len())];
        let upload = [Upload::None, Upload::KnownLength(length), Upload::Chunked(length)][draw.below(3)];
        Client {
            head: [Head::Usual, Head::Usual, Head::LongHalf, Head::Long, Head::ManyFields][draw.below(5)],
            upload,
            pace: [Pace::Full, Pace::Slow, Pace::Trickle][draw.below(3)],
            end: [End::Complete, End::Half, End::Almost, End::Extra][draw.below(4)],
            pipelined: [1, 1, 1, MAX_PIPELINED][draw.below(4)],
            reading: [Reading::Full, Reading::Slow, Reading::Never][draw.below(3)],
            responder: Responder {
                pace: ServerPace::Fast,
                form: ResponseForm::ALL[draw.below(ResponseForm::ALL.len())],
            },
            timeout: Duration::from_secs_f64(0.3 + 1.7 * draw.unit()),
            patience: Duration::from_secs_f64(0.1 + 2.9 * draw.unit()),
        }
    }

    /// Sends one request after another to `address`, each over a new connection; never ends. `name` is a part of the
    /// ids of its requests.
    pub async fn repeat(self, address: SocketAddr, method: Method, name: String) {
        for number in 0u64.. {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                // The agent may have closed the connection, or the client's patience may have ended.
                let _ =
                    timeout(self.patience, self.act(&mut stream, &method, &format!("{name}-{number}"))).await;
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    async fn act(&self, stream: &mut TcpStream, method: &Method, id: &str) -> io::Result<()> {
        let (reader, writer) = stream.split();
        let write = async {
            self.write(writer, method, id).await?;
            // What ends the request is the response.
            std::future::pending::<io::Result<()>>().await
        };
        tokio::select! {
            written = write => written,
            read = self.read(reader) => read,
        }
    }

    /// The head of a request.
    fn head(&self, method: &Method, id: &str) -> String {
        let (verb, class) = match self.upload {
            Upload::None => ("GET", &method.get_class),
            Upload::KnownLength(_) | Upload::Chunked(_) => ("POST", &method.post_class),
        };
        let framing = match self.upload {
            Upload::None => String::new(),
            Upload::KnownLength(length) => format!("Content-Length: {length}\r\n"),
            Upload::Chunked(_) => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        let field = match self.head {
            Head::Usual | Head::LongHalf => None,
            Head::Long => Some("v".repeat(LONG_FIELD_BYTES)),
            Head::ManyFields => Some("v".to_owned()),
        };
        let fields: String = field
            .iter()
            .flat_map(|value| (0..HEAD_FIELDS).map(move |number| format!("x{number}: {value}\r\n")))
            .collect();
        format!(
            "{verb} /{class}/{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Timeout: {}m\r\n{}{fields}{framing}\r\n",
            self.responder.path_segment(),
            self.timeout.as_millis(),
            method.fields,
        )
    }

    async fn write(&self, mut writer: WriteHalf<'_>, method: &Method, id: &str) -> io::Result<()> {
        if self.head == Head::LongHalf {
            let field = "x".repeat(HALF_HEAD_BYTES);
            return writer.write_all(format!("POST / HTTP/1.1\r\nX-Junk: {field}").as_bytes()).await;
        }
        writer.write_all(self.head(method, id).as_bytes()).await?;
        let (length, is_chunked) = match self.upload {
            Upload::None => {
                for number in 1..self.pipelined {
                    writer.write_all(self.head(method, &format!("{id}-{number}")).as_bytes()).await?;
                }
                return Ok(());
            }
            Upload::KnownLength(length) => (length, false),
            Upload::Chunked(length) => (length, true),
        };
        let bytes = match self.end {
            End::Complete | End::Extra => length,
            End::Half => length / 2,
            End::Almost => length - MISSING_BYTES,
        };
        self.write_body(&mut writer, bytes, is_chunked).await?;
        if bytes == length && is_chunked {
            writer.write_all(b"0\r\n\r\n").await?;
        }
        if self.end == End::Extra {
            writer.write_all(&[b'x'; EXTRA_BYTES]).await?;
        }
        Ok(())
    }

    async fn write_body(&self, writer: &mut WriteHalf<'_>, bytes: usize, is_chunked: bool) -> io::Result<()> {
        let (since, mut written) = (Instant::now(), 0);
        while written < bytes {
            let piece = match self.pace {
                Pace::Full => FULL_SPEED_PIECE_BYTES,
                Pace::Slow => SLOW_PIECE_BYTES,
                Pace::Trickle if written == 0 => SLOW_PIECE_BYTES,
                Pace::Trickle => 1,
            };
            let piece = vec![b'x'; piece.min(bytes - written)];
            written += piece.len();
            if is_chunked {
                writer.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
            }
            writer.write_all(&piece).await?;
            if is_chunked {
                writer.write_all(b"\r\n").await?;
            }
            match self.pace {
                Pace::Full => {}
                Pace::Slow => sleep_until(slow_due(since, written)).await,
                Pace::Trickle => sleep(TRICKLE_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Reads until the agent closes the connection, or the response to the only request is likely to be complete.
    async fn read(&self, mut reader: ReadHalf<'_>) -> io::Result<()> {
        if self.reading == Reading::Never {
            return std::future::pending().await;
        }
        let mut buffer = vec![0; if self.reading == Reading::Slow { SLOW_PIECE_BYTES } else { READ_BYTES }];
        let (since, mut read) = (Instant::now(), 0);
        loop {
            match reader.read(&mut buffer).await? {
                0 => return Ok(()),
                bytes => read += bytes,
            }
            if self.reading == Reading::Slow {
                sleep_until(slow_due(since, read)).await;
            }
        }
    }
}
