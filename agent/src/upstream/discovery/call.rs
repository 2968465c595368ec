//! A call to discovery: its connection, its request and the response, which is parsed while it arrives.

use crate::endpoint_list::{Envelope, InvalidEntry, ListError, Reader, ServerEntry};
use crate::traffic::socket::Socket;
use crate::upstream::discovery::errors::CallError;
use crate::upstream::discovery::open_calls::{CallNumber, OpenCalls};
use balancer::{CallTimes, Span};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{timeout_at, Instant};

/// Entries of a response that are parsed and applied before other tasks run: a fraction of a millisecond of work.
pub const MAX_ENTRIES_PER_STEP: usize = 128;

/// The events of a call to discovery, in the order in which they occur.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// The call has started.
    CallStarted,
    /// Entries of a response that is still being received, at most [`MAX_ENTRIES_PER_STEP`].
    Entries(Vec<Result<ServerEntry, InvalidEntry>>),
    /// A step of the call has taken too long. The call goes on, as discovery may only be slow.
    Overdue,
    /// The response is complete, and all other calls have been abandoned.
    Complete {
        /// The fields of the list that are not entries.
        envelope: Envelope,
        /// How long the slowest step of the call took; `None` for a watch that was answered within its wait.
        lateness: Option<Span>,
    },
    /// The observer had more to apply than fits into one step: the next step is due.
    Continue,
    /// The call failed: it was refused, or the response was incomplete or an error.
    Failed,
    /// The response is unusable, and an immediate retry would return the same.
    Unusable,
}

/// Observes the calls to discovery and determines their times.
pub trait DiscoveryObserver {
    /// The times of a call that begins now.
    fn call_times(&self) -> CallTimes;

    /// Handles an event of a call. Returns whether there is more to apply, in which case [`DiscoveryEvent::Continue`]
    /// follows.
    fn handle(&self, call: CallNumber, event: DiscoveryEvent) -> bool;
}

/// The address of discovery and the limits of calls to it.
#[derive(Clone, Copy)]
pub struct Target {
    /// The address of discovery.
    pub address: SocketAddr,
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

/// Makes the calls of a watch one after another, over the same connection until a call fails.
pub struct Caller {
    target: Target,
    observer: Rc<dyn DiscoveryObserver>,
    open_calls: Rc<OpenCalls>,
    /// The number of the next call, or of the current one.
    number: CallNumber,
    connection: Option<Connection>,
}

/// The progress of a call.
struct Progress {
    times: CallTimes,
    /// How long the slowest step took so far beyond its wait; `None` if no step has shown anything.
    lateness: Option<Duration>,
}

impl Progress {
    fn record_step(&mut self, lateness: Duration) {
        self.lateness = self.lateness.max(Some(lateness));
    }
}

impl Caller {
    /// Creates a caller without a connection, whose first call has been opened with this number.
    pub fn new(
        target: Target,
        observer: Rc<dyn DiscoveryObserver>,
        open_calls: Rc<OpenCalls>,
        number: CallNumber,
    ) -> Self {
        Caller { target, observer, open_calls, number, connection: None }
    }

    /// Asks for the changes after version `seq`, or without `seq` for the complete list. Returns the version of the list
    /// in the response, or `None` if the call failed, of which the observer has then been notified.
    pub async fn call(&mut self, seq: Option<u64>) -> Option<u64> {
        let started = Instant::now();
        let times = self.observer.call_times();
        let (path, wait) = match seq {
            None => ("/v1/endpoints".to_owned(), Span::ZERO),
            Some(seq) => {
                let wait_ms = times.wait.as_ms().round();
                (format!("/v1/endpoints?after={seq}&wait_ms={wait_ms}"), times.wait)
            }
        };
        let mut progress = Progress { times: CallTimes { wait, ..times }, lateness: None };
        self.observer.handle(self.number, DiscoveryEvent::CallStarted);
        let mut reader = Reader::new(self.target.max_servers);
        let mut connection = self.connection.take();
        let result = self.exchange(&mut connection, &path, &mut progress, &mut reader).await;
        let entries = reader.entries();
        let result = result.and_then(|()| finish_list(reader));
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        match result {
            Ok(envelope) => {
                let abandoned = self.open_calls.keep_only(self.number);
                // A watch's call that ended without changes is not logged, unless it was overdue.
                if envelope.is_complete || entries > 0 || abandoned > 0 {
                    let content = if envelope.is_complete { "complete list" } else { "changes" };
                    let others = match abandoned {
                        0 => String::new(),
                        _ => format!(", {abandoned} other calls abandoned"),
                    };
                    tracing::info!(target: "discovery", "{content} up to version {}, {entries} entries, after {elapsed_ms:.1} ms{others}", envelope.seq);
                }
                self.apply(envelope, progress.lateness).await;
                self.connection = connection;
                self.number = self.open_calls.begin_next(self.number);
                Some(envelope.seq)
            }
            Err(error) => {
                tracing::warn!(target: "discovery", "{path} failed after {elapsed_ms:.1} ms: {error}");
                self.open_calls.remove(self.number);
                let event =
                    if error.is_permanent() { DiscoveryEvent::Unusable } else { DiscoveryEvent::Failed };
                self.observer.handle(self.number, event);
                None
            }
        }
    }

    /// Lets the observer apply a complete response in steps, and other tasks run between them.
    async fn apply(&self, envelope: Envelope, lateness: Option<Duration>) {
        let lateness = lateness.map(|lateness| Span(lateness.as_micros() as u64));
        let mut has_more = self.observer.handle(self.number, DiscoveryEvent::Complete { envelope, lateness });
        while has_more {
            yield_now().await;
            has_more = self.observer.handle(self.number, DiscoveryEvent::Continue);
        }
    }

    /// Sends a request and parses the response while it arrives. No step is given up for being late: then the observer is
    /// notified, and another call is opened beside this one.
    async fn exchange(
        &self,
        connection: &mut Option<Connection>,
        path: &str,
        progress: &mut Progress,
        reader: &mut Reader,
    ) -> Result<(), CallError> {
        let CallTimes { wait, patience } = progress.times;
        let (wait, patience) = (to_duration(wait), to_duration(patience));
        if connection.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
            let started = Instant::now();
            *connection = Some(self.wait_for("connection", started + patience, connect(self.target)).await?);
            progress.record_step(started.elapsed());
        }
        let Some(Connection { sender, .. }) = connection else { return Ok(()) };
        let response = async {
            sender.ready().await?;
            let request = Request::get(path).header("host", self.target.address.to_string());
            Ok::<_, CallError>(sender.send_request(request.body(Empty::new())?).await?)
        };
        let sent = Instant::now();
        let response = self.wait_for("response", sent + wait + patience, response).await?;
        if wait.is_zero() || sent.elapsed() > wait {
            progress.record_step(sent.elapsed().saturating_sub(wait));
        }
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        self.read_body(response.into_body(), progress, reader).await
    }

    /// Reads and parses a body. It is overdue if nothing arrives for a while, or if it arrives very slowly altogether.
    async fn read_body(
        &self,
        mut body: Incoming,
        progress: &mut Progress,
        reader: &mut Reader,
    ) -> Result<(), CallError> {
        let (times, begun) = (progress.times, Instant::now());
        loop {
            let waiting_since = Instant::now();
            let slow_at = begun + to_duration(times.body_time(reader.bytes() as u64));
            let overdue_at = slow_at.min(waiting_since + to_duration(times.patience));
            let frame = self.wait_for("whole response", overdue_at, body.frame()).await;
            let Some(frame) = frame else { return Ok(()) };
            progress.record_step(waiting_since.elapsed());
            let Ok(data) = frame?.into_data() else { continue };
            self.read_entries(&data, reader).await.map_err(CallError::MalformedList)?;
        }
    }

    /// Waits for a step of the call. If the call becomes overdue meanwhile, notifies the observer and waits on.
    async fn wait_for<T>(&self, what: &str, overdue_at: Instant, step: impl Future<Output = T>) -> T {
        let mut step = pin!(step);
        if let Ok(output) = timeout_at(overdue_at, step.as_mut()).await {
            return output;
        }
        if self.open_calls.mark_overdue(self.number) {
            tracing::warn!(target: "discovery", "no {what} in time, another call follows");
            self.observer.handle(self.number, DiscoveryEvent::Overdue);
        }
        step.await
    }

    async fn read_entries(&self, data: &Bytes, reader: &mut Reader) -> Result<(), ListError> {
        reader.push(data)?;
        loop {
            let mut entries = Vec::new();
            let has_more = reader.read(MAX_ENTRIES_PER_STEP, &mut entries)?;
            if !entries.is_empty() {
                self.observer.handle(self.number, DiscoveryEvent::Entries(entries));
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

async fn connect(target: Target) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(target.address).await.map_err(CallError::Connect)?;
    let (sender, driver) = handshake(TokioIo::new(Socket::new(stream))).await?;
    let task = tokio::task::spawn_local(async move {
        // The sender reports the end of the connection.
        let _ = driver.await;
    });
    Ok(Connection { sender, _task: TaskGuard(task) })
}

fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
