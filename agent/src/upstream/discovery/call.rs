//! A call to discovery: its connection, its request and the response, which is parsed while it arrives.

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

/// How long after the end of a watch's wait the agent counts as notified, at the latest, of the changes that a silent
/// watch missed (the operators' page of standing rules). A new watch must have delivered them by then.
const POST_WAIT_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// How long after the end of its wait a call without a response counts as silent: half of [`POST_WAIT_GRACE_PERIOD`],
/// which leaves the other half for opening a new watch.
pub const SILENCE_TIMEOUT: Duration = POST_WAIT_GRACE_PERIOD.checked_div(2).unwrap();
/// A response gets another [`SILENCE_TIMEOUT`] for each so many bytes. The protocol page allows bodies up to this size,
/// which have always had to arrive within one timeout.
const BYTES_PER_SILENCE_TIMEOUT: u32 = 64 << 10;
/// Entries of a response that are parsed and applied before other tasks run: a fraction of a millisecond of work.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// The events of a call to discovery, in the order in which they occur.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// A call has started; entries of an earlier, incomplete response must be discarded.
    CallStarted,
    /// Entries of a response that is still being received, at most [`MAX_ENTRIES_PER_STEP`].
    Entries(Vec<Result<ServerEntry, InvalidEntry>>),
    /// The response is complete.
    Complete(Envelope),
    /// The listener had more to apply than fits into one step: the next step is due.
    Continue,
    /// The call failed: it was refused, or the response was missing, incomplete or an error.
    Failed,
    /// The response is unusable, and an immediate retry would return the same.
    Unusable,
}

/// Handles discovery events; returns whether there is more to apply, in which case [`DiscoveryEvent::Continue`]
/// follows.
pub type Listener = Rc<dyn Fn(DiscoveryEvent) -> bool>;

/// The address of discovery and the limits of calls to it.
#[derive(Clone, Copy)]
pub struct Target {
    /// The address of discovery.
    pub address: SocketAddr,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// The most servers that a response may contain.
    pub max_servers: usize,
}

/// A connection to discovery.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: TaskGuard,
}

/// Aborts a connection's task when dropped.
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes calls one after another, over the same connection until a call fails.
pub struct Caller {
    target: Target,
    listener: Listener,
    connection: Option<Connection>,
}

impl Caller {
    /// Creates a caller without a connection; `listener` receives the events of its calls.
    pub fn new(target: Target, listener: Listener) -> Self {
        Caller { target, listener, connection: None }
    }

    /// Makes a call that discovery may hold open for `wait`. Returns the version of the list in the response, or `None`
    /// if the call failed, of which the listener has then been notified.
    pub async fn call(&mut self, path: &str, wait: Duration) -> Option<u64> {
        let started = Instant::now();
        (self.listener)(DiscoveryEvent::CallStarted);
        let mut reader = Reader::new(self.target.max_servers);
        let mut connection = self.connection.take();
        let deadline = started + wait + SILENCE_TIMEOUT;
        let result = self.exchange(&mut connection, path, deadline, &mut reader).await;
        let entries = reader.entries();
        let result = result.and_then(|()| finish_list(reader));
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        match result {
            Ok(envelope) => {
                // A watch's call that ended without changes is not logged.
                if envelope.is_complete || entries > 0 {
                    let content = if envelope.is_complete { "complete list" } else { "changes" };
                    tracing::info!(target: "discovery", "{content} up to version {}, {entries} entries, after {elapsed_ms:.1} ms", envelope.seq);
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

    /// Lets the listener apply a complete response in steps, and other tasks run between them.
    async fn apply(&self, envelope: Envelope) {
        let mut has_more = (self.listener)(DiscoveryEvent::Complete(envelope));
        while has_more {
            yield_now().await;
            has_more = (self.listener)(DiscoveryEvent::Continue);
        }
    }

    /// Sends a request and parses the response while it arrives. The response must begin before `deadline`; its body
    /// may take longer, see [`Self::read_body`].
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
        let Some(Connection { sender, .. }) = connection else { return Err(CallError::ConnectDeadline) };
        let response = async {
            sender.ready().await?;
            let request = Request::get(path).header("host", self.target.address.to_string());
            Ok::<_, CallError>(sender.send_request(request.body(Empty::new())?).await?)
        };
        // If the network drops all packets, the connection stays open and silent, so a missing response is a failure
        // too.
        let response = timeout_at(deadline, response).await.map_err(|_| CallError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        self.read_body(response.into_body(), deadline, reader).await
    }

    /// Reads and parses a body. Until `deadline` data may pause; after that, there may be no gap longer than
    /// [`SILENCE_TIMEOUT`], and the average rate must be at least [`BYTES_PER_SILENCE_TIMEOUT`].
    async fn read_body(
        &self,
        mut body: Incoming,
        deadline: Instant,
        reader: &mut Reader,
    ) -> Result<(), CallError> {
        loop {
            let extra_timeouts = reader.bytes() as f64 / f64::from(BYTES_PER_SILENCE_TIMEOUT);
            let paced_deadline = deadline + SILENCE_TIMEOUT.mul_f64(extra_timeouts);
            let read_deadline = deadline.max(paced_deadline.min(Instant::now() + SILENCE_TIMEOUT));
            let frame = timeout_at(read_deadline, body.frame()).await.map_err(|_| CallError::BodyTimeout)?;
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

/// Returns the fields of the list that are not entries, once the response has ended. A truncated list may be complete
/// on a retry; a complete but unusable one is malformed.
fn finish_list(reader: Reader) -> Result<Envelope, CallError> {
    let is_complete = reader.is_complete();
    reader.end().map_err(|error| match is_complete {
        true => CallError::MalformedList(error),
        false => CallError::IncompleteList(error),
    })
}

async fn connect(target: Target, deadline: Instant) -> Result<Connection, CallError> {
    let connect = timeout(target.connect_timeout, TcpStream::connect(target.address));
    let connected = timeout_at(deadline, connect).await.map_err(|_| CallError::ConnectDeadline)?;
    let stream = connected.map_err(io::Error::from).and_then(|stream| stream).map_err(CallError::Connect)?;
    let (sender, driver) = handshake(TokioIo::new(Socket::new(stream))).await?;
    let task = tokio::task::spawn_local(async move {
        // The sender reports the end of the connection.
        let _ = driver.await;
    });
    Ok(Connection { sender, _task: TaskGuard(task) })
}
