//! One call to discovery: its connection, its request, and the response, which is read as it comes.

use crate::endpoint_list::{Envelope, InvalidEntry, ListError, Reader, ServerEntry};
use crate::traffic::socket::Socket;
use crate::upstream::discovery::errors::CallError;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{timeout, timeout_at, Instant};

/// What a watch that has fallen silent misses counts as notified at the latest this long after its wait is over (the
/// operators' page of standing rules). By then another watch must have brought it.
const NOTIFIED_AFTER_WAIT: Duration = Duration::from_secs(2);
/// A call that has said nothing this long after it should have is silent: half of [`NOTIFIED_AFTER_WAIT`] for finding
/// that out, the other half for opening a watch anew.
pub const SILENCE_TIMEOUT: Duration = NOTIFIED_AFTER_WAIT.checked_div(2).unwrap();
/// A long response gets another [`SILENCE_TIMEOUT`] for each so many bytes: as many as a body may have (the protocol
/// page), which have always had to come within that.
const BYTES_PER_SILENCE_TIMEOUT: u32 = 64 << 10;
/// Entries of a response that are read and applied before requests have their turn again: a fraction of a millisecond.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// What comes of a call to discovery, in the order in which it comes.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A call has been made; what an earlier response began is void.
    CallStarted,
    /// Entries of a response that is still coming, [`MAX_ENTRIES_PER_STEP`] at most.
    Entries(Vec<Result<ServerEntry, InvalidEntry>>),
    /// The response is complete.
    Complete(Envelope),
    /// There was more to apply than fits beside requests: time for the next step of it.
    Continue,
    /// The call failed: it was refused, or no response came or half of one.
    Failed,
    /// The response is unusable, and a retry at once would bring the same.
    Unusable,
}

/// Receives discovery's events; returns whether there is more to apply, for which [`DiscoveryEvent::Continue`] follows.
pub type Listener = Rc<dyn Fn(DiscoveryEvent) -> bool>;

/// Where discovery is and how it is called.
#[derive(Clone, Copy)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// A connection that is not open after this has failed.
    pub connect_timeout: Duration,
    /// Servers that a response may name.
    pub max_servers: usize,
}

/// A connection to discovery.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: TaskGuard,
}

/// Ends a connection's task with its last user.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes one call after the other, over one connection for as long as all goes well.
pub struct Caller {
    target: Target,
    listener: Listener,
    connection: Option<Connection>,
}

impl Caller {
    /// Calls `target`; `listener` receives what comes of it.
    pub fn new(target: Target, listener: Listener) -> Self {
        Caller { target, listener, connection: None }
    }

    /// Makes one call, which the server may take `wait` to answer. Returns the version of the list that it brought; `None`
    /// if it failed in any way, of which the listener has been notified.
    pub async fn call(&mut self, path: &str, wait: Duration) -> Option<u64> {
        let started = Instant::now();
        (self.listener)(DiscoveryEvent::CallStarted);
        let mut reader = Reader::new(self.target.max_servers);
        let mut connection = self.connection.take();
        let deadline = started + wait + SILENCE_TIMEOUT;
        let result = self.exchange(&mut connection, path, deadline, &mut reader).await;
        let entries = reader.entries();
        let result = result.and_then(|()| end_list(reader));
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        match result {
            Ok(envelope) => {
                // A watch without changes says nothing here either.
                if envelope.is_complete || entries > 0 {
                    let what = if envelope.is_complete { "the whole list" } else { "changes" };
                    tracing::info!(target: "discovery", "{what} to {}, {entries} entries, after {elapsed_ms:.1} ms", envelope.seq);
                }
                self.apply(envelope).await;
                self.connection = connection;
                Some(envelope.seq)
            }
            Err(error) => {
                tracing::warn!(target: "discovery", "{path} failed after {elapsed_ms:.1} ms: {error}");
                let event =
                    if error.is_permanent() { DiscoveryEvent::Unusable } else { DiscoveryEvent::Failed };
                (self.listener)(event);
                None
            }
        }
    }

    /// Lets the listener apply a complete response, step by step.
    async fn apply(&self, envelope: Envelope) {
        let mut has_more = (self.listener)(DiscoveryEvent::Complete(envelope));
        while has_more {
            yield_now().await;
            has_more = (self.listener)(DiscoveryEvent::Continue);
        }
    }

    /// Makes a call and reads its response as it comes, until `deadline` at least.
    async fn exchange(
        &self,
        connection: &mut Option<Connection>,
        path: &str,
        deadline: Instant,
        reader: &mut Reader,
    ) -> Result<(), CallError> {
        if connection.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
            *connection = Some(connect(self.target, deadline).await?);
        }
        let Some(Connection { sender, .. }) = connection else { return Err(CallError::ConnectTimeout) };
        let response = async {
            sender.ready().await?;
            let request = Request::get(path).header("host", self.target.address.to_string());
            Ok::<_, CallError>(sender.send_request(request.body(Empty::new())?).await?)
        };
        // A discovery that is cut off leaves its connection open and silent: no response in time is a failure like any other.
        let response = timeout_at(deadline, response).await.map_err(|_| CallError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        self.read_body(response.into_body(), deadline, reader).await
    }

    /// Until `deadline` a call may be silent; after that, what comes has to go on coming, and at a pace of
    /// [`BYTES_PER_SILENCE_TIMEOUT`].
    async fn read_body(
        &self,
        mut body: Incoming,
        deadline: Instant,
        reader: &mut Reader,
    ) -> Result<(), CallError> {
        loop {
            let earned = reader.bytes() as f64 / f64::from(BYTES_PER_SILENCE_TIMEOUT);
            let paced = deadline + SILENCE_TIMEOUT.mul_f64(earned);
            let until = deadline.max(paced.min(Instant::now() + SILENCE_TIMEOUT));
            let frame = timeout_at(until, body.frame()).await.map_err(|_| CallError::BodyTimeout)?;
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            self.read_entries(&data, reader).await.map_err(CallError::MalformedList)?;
        }
    }

    async fn read_entries(&self, data: &Bytes, reader: &mut Reader) -> Result<(), ListError> {
        reader.push(data)?;
        loop {
            let mut entries = Vec::new();
            let has_more = reader.read(MAX_ENTRIES_PER_STEP, &mut entries)?;
            if !entries.is_empty() {
                (self.listener)(DiscoveryEvent::Entries(entries));
            }
            if !has_more {
                return Ok(());
            }
            yield_now().await;
        }
    }
}

/// What is said of the list as such, once its response has ended. Half a list has failed; a complete one that is
/// unusable is malformed.
fn end_list(reader: Reader) -> Result<Envelope, CallError> {
    let is_complete = reader.is_complete();
    reader.end().map_err(|error| match is_complete {
        true => CallError::MalformedList(error),
        false => CallError::IncompleteList(error),
    })
}

async fn connect(target: Target, deadline: Instant) -> Result<Connection, CallError> {
    let connect = timeout(target.connect_timeout, TcpStream::connect(target.address));
    let connected = timeout_at(deadline, connect).await.map_err(|_| CallError::ConnectTimeout)?;
    let stream = connected.map_err(io::Error::from).and_then(|stream| stream).map_err(CallError::Connect)?;
    let (sender, driven) = handshake(TokioIo::new(Socket::new(stream))).await?;
    let task = tokio::task::spawn_local(async move {
        // Its end shows at the sender.
        let _ = driven.await;
    });
    Ok(Connection { sender, _task: TaskGuard(task) })
}
