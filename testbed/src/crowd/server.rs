//! The server's side of a crowd: reads request bodies and writes responses as the path says.

use super::{LONG_BODY_BYTES, PATH_PREFIX, SLOW_BYTES_PER_SECOND};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant, Sleep};

/// The body of a response in pieces: as long as the agent buffers at most.
const PIECES_BODY_BYTES: usize = 60_000;
const PIECE_BYTES: usize = 100;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
const LONG_PIECE_BYTES: usize = 16 << 10;
const SHORT_BODY_BYTES: usize = 600;
/// A slow server waits this long after each piece.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
const SLOW_PIECE_BYTES: usize = SLOW_BYTES_PER_SECOND / 10;

/// How a server reads the request and writes the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ServerPace {
    /// As fast as it can.
    Fast,
    /// Reads the request slowly.
    ReadsSlowly,
    /// Writes the response slowly.
    WritesSlowly,
    /// Reads nothing of a body and does not respond.
    Hangs,
    /// Reads a little of the request and closes the connection.
    Closes,
}

/// What a server responds with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum ResponseForm {
    /// A short body.
    Short,
    /// A long body of known length.
    Long,
    /// A long chunked body.
    LongChunked,
    /// A short body of known length that is written in small pieces.
    Pieces,
    /// A chunked body that is written in small pieces.
    ChunkedPieces,
    /// The longest body that an agent buffers, at once.
    Medium,
}

impl ServerPace {
    /// Every pace.
    pub const ALL: [ServerPace; 5] = [
        ServerPace::Fast,
        ServerPace::ReadsSlowly,
        ServerPace::WritesSlowly,
        ServerPace::Hangs,
        ServerPace::Closes,
    ];
}

impl ResponseForm {
    /// Every form.
    pub const ALL: [ResponseForm; 6] = [
        ResponseForm::Short,
        ResponseForm::Long,
        ResponseForm::LongChunked,
        ResponseForm::Pieces,
        ResponseForm::ChunkedPieces,
        ResponseForm::Medium,
    ];
}

/// What a server does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Responder {
    /// How it reads and writes.
    pub pace: ServerPace,
    /// What it responds with.
    pub form: ResponseForm,
}

impl Responder {
    /// The last segment of a path that asks for this.
    pub fn path_segment(self) -> String {
        let place = |found: Option<usize>| found.unwrap_or_default();
        let pace = place(ServerPace::ALL.iter().position(|pace| *pace == self.pace));
        let form = place(ResponseForm::ALL.iter().position(|form| *form == self.form));
        format!("{PATH_PREFIX}{pace}-{form}")
    }

    /// What a path asks for; `None` if it is no path of a crowd.
    pub fn of_path(path: &str) -> Option<Self> {
        let segment = path.rsplit('/').next()?.strip_prefix(PATH_PREFIX)?;
        let (pace, form) = segment.split_once('-')?;
        Some(Responder {
            pace: *ServerPace::ALL.get(pace.parse::<usize>().ok()?)?,
            form: *ResponseForm::ALL.get(form.parse::<usize>().ok()?)?,
        })
    }
}

/// The server ends the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed on purpose")]
pub struct ClosedOnPurpose;

/// Responds to a request of a crowd.
///
/// # Errors
///
/// If the connection is to be closed without a response.
pub async fn respond(
    responder: Responder,
    mut body: Incoming,
) -> Result<Response<PacedBody>, ClosedOnPurpose> {
    match responder.pace {
        ServerPace::Hangs => std::future::pending().await,
        ServerPace::Closes => {
            let _ = body.frame().await;
            return Err(ClosedOnPurpose);
        }
        ServerPace::ReadsSlowly => {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                sleep(Duration::from_secs_f64(bytes as f64 / SLOW_BYTES_PER_SECOND as f64)).await;
            }
        }
        ServerPace::Fast | ServerPace::WritesSlowly => while let Some(Ok(_)) = body.frame().await {},
    }
    Ok(Response::new(PacedBody::new(responder)))
}

/// A response body that is written in pieces, with a pause after each.
pub struct PacedBody {
    remaining_bytes: usize,
    has_known_length: bool,
    piece_bytes: usize,
    interval: Duration,
    pause: Option<Pin<Box<Sleep>>>,
}

impl PacedBody {
    fn new(responder: Responder) -> Self {
        let (length, has_known_length, piece_bytes, interval) = match responder.form {
            ResponseForm::Short => (SHORT_BODY_BYTES, true, SHORT_BODY_BYTES, Duration::ZERO),
            ResponseForm::Long => (LONG_BODY_BYTES, true, LONG_PIECE_BYTES, Duration::ZERO),
            ResponseForm::LongChunked => (LONG_BODY_BYTES, false, LONG_PIECE_BYTES, Duration::ZERO),
            ResponseForm::Pieces => (PIECES_BODY_BYTES, true, PIECE_BYTES, PIECE_INTERVAL),
            ResponseForm::ChunkedPieces => (LONG_BODY_BYTES, false, PIECE_BYTES, PIECE_INTERVAL),
            ResponseForm::Medium => (PIECES_BODY_BYTES, true, PIECES_BODY_BYTES, Duration::ZERO),
        };
        let is_slow = responder.pace == ServerPace::WritesSlowly && piece_bytes > PIECE_BYTES;
        PacedBody {
            remaining_bytes: length,
            has_known_length,
            piece_bytes: if is_slow { SLOW_PIECE_BYTES } else { piece_bytes },
            interval: if is_slow { SLOW_INTERVAL } else { interval },
            pause: None,
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
        }
        if self.remaining_bytes == 0 {
            return Poll::Ready(None);
        }
        let bytes = self.piece_bytes.min(self.remaining_bytes);
        self.remaining_bytes -= bytes;
        self.pause = (!self.interval.is_zero()).then(|| Box::pin(sleep(self.interval)));
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; bytes])))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        match self.has_known_length {
            true => SizeHint::with_exact(self.remaining_bytes as u64),
            false => SizeHint::default(),
        }
    }
}

/// A server on a free port that responds to a crowd, and with a short body to everybody else.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
}

impl Server {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A connection without it is good all the same.
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request: Request<Incoming>| {
                    let other = Responder { pace: ServerPace::Fast, form: ResponseForm::Short };
                    let responder = Responder::of_path(request.uri().path()).unwrap_or(other);
                    respond(responder, request.into_body())
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok(Server { address })
    }
}

/// How long a body of this many bytes takes a slow peer.
pub fn slow_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / SLOW_BYTES_PER_SECOND as f64)
}

/// When a slow peer that began at `since` may handle its next byte after `bytes` of them.
pub fn slow_due(since: Instant, bytes: usize) -> Instant {
    since + slow_time(bytes)
}
