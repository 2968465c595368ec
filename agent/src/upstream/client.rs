//! Connections to backends, and what goes over them: attempts and probes.
//!
//! A connection carries one exchange at a time and is used again only after a whole answer. Whatever else ends
//! an exchange (a time-out, a cancel, an error) ends its connection with it.

use crate::endpoint_list::{Health, Host};
use crate::metrics::Metrics;
use crate::traffic::body::{Budget, Intake, Outgoing, Reply, BUFFER, KEPT_MOST};
use crate::traffic::socket::Socket;
use balancer::{Outcome, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// An answer of unknown length is held back for this long after its head: one that breaks off by then is tried
/// elsewhere, and one that goes on is passed on as it comes.
const HOLD_BACK: Duration = Duration::from_millis(50);
/// An idle connection is given up after this share of the time in the settings: one that the backend closes
/// while a request is on its way to it costs that request a reset of which nobody knows whether it ran.
const IDLE_SHARE: f64 = 0.7;
/// A probe that has not been answered by then has timed out.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// After a whole answer a connection is ready again at once, or there is something wrong with it.
const SETTLE: Duration = Duration::from_millis(5);

/// The longest reason that is logged for a lost attempt, in characters.
const REASON_MOST: usize = 80;

/// What passes between a connection's task and its user: bytes written so far, and leave to write more.
#[derive(Default)]
struct Wire {
    written: Cell<u64>,
    shut: Cell<bool>,
    /// The count at which the attempt that is under way is out whole, and where that is told.
    whole: RefCell<Option<(Goal, ServerId, Rc<Metrics>)>>,
}

/// The count at which an attempt is out whole; while its length is unknown, no count is.
type Goal = Rc<Cell<u64>>;

/// A socket that counts what the kernel has taken, so that the fate of a broken attempt is known.
struct Counted {
    io: TokioIo<Socket>,
    wire: Rc<Wire>,
}

impl Counted {
    fn wrote(&self, n: usize) -> usize {
        let written = self.wire.written.get() + n as u64;
        self.wire.written.set(written);
        if let Some((_, server, metrics)) =
            self.wire.whole.borrow_mut().take_if(|(whole, ..)| written >= whole.get())
        {
            metrics.sent(server);
        }
        n
    }

    /// Nothing goes out for a request that has its answer, not even what is queued already.
    fn leave(&self) -> io::Result<()> {
        if self.wire.shut.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.leave()?;
        let n = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        Poll::Ready(Ok(self.wrote(n)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.leave()?;
        let n = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        Poll::Ready(Ok(self.wrote(n)))
    }
}

/// How far an attempt has come, shared by the driver and the attempt's task.
#[derive(Default)]
pub struct Progress {
    /// The wire that it goes over, and the count there when its last byte is out.
    wire: RefCell<Option<(Rc<Wire>, Goal)>>,
    /// How long the connection had stood idle, if it was not a fresh one.
    idled: Cell<Option<Duration>>,
    stopped: Cell<bool>,
    stop: Notify,
}

impl Progress {
    /// Its last byte may be out: from here on it may have run.
    pub fn may_have_run(&self) -> bool {
        self.wire.borrow().as_ref().is_some_and(|(wire, whole)| wire.written.get() >= whole.get())
    }

    /// Gives the attempt up. What has not been written stays unwritten.
    pub fn call_off(&self) {
        self.stopped.set(true);
        if let Some((wire, _)) = &*self.wire.borrow() {
            wire.shut.set(true);
        }
        self.stop.notify_one();
    }
}

/// How an exchange ended.
pub struct Ended {
    /// The outcome in the balancer's terms.
    pub outcome: Outcome,
    /// The status that the backend gave, for the log.
    pub status: Option<StatusCode>,
    /// How long the connection had stood idle before, if it was not a fresh one; for the log.
    pub idled: Option<Duration>,
    /// What was wrong with the connection or the answer; for the log.
    pub why: Option<String>,
    /// The load report that came along.
    pub report: Option<Vec<f64>>,
    /// The answer of a served request.
    pub answer: Option<Served>,
}

/// What a backend has answered to a request that it served.
pub struct Served {
    /// Its content type.
    pub kind: Option<HeaderValue>,
    /// The length of the body that it would have, if only its head was asked for.
    pub length: Option<HeaderValue>,
    /// The body, as far as it has come.
    pub body: Reply,
}

impl Ended {
    fn without_answer(outcome: Outcome) -> Self {
        Ended { outcome, status: None, idled: None, why: None, report: None, answer: None }
    }
}

/// One open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Outgoing>,
    socket: Socket,
    task: JoinHandle<()>,
    wire: Rc<Wire>,
    server: ServerId,
    life: u64,
    idle_since: Instant,
    _place: Place,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A counted place among the connections that the process may hold.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A backend as the list last described it.
struct Remote {
    dial: Option<SocketAddr>,
    born_ms: f64,
    /// Counts its processes and addresses; connections of an earlier one are not used again.
    life: u64,
    open: bool,
    idle: Vec<Connection>,
}

/// All backends and the connections to them.
pub struct Upstream {
    remotes: RefCell<HashMap<ServerId, Remote>>,
    /// Those with idle connections, and perhaps some that had: what looks after these must not walk all others.
    resting: RefCell<HashSet<ServerId>>,
    held: Rc<Cell<usize>>,
    most: usize,
    metrics: Rc<Metrics>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    idle_most: Duration,
    fields: Vec<String>,
}

impl Upstream {
    /// Knows no backend yet; holds at most `most` connections.
    pub fn new(
        most: usize,
        metrics: Rc<Metrics>,
        budget: Rc<Budget>,
        connect_timeout: Duration,
        keepalive: Duration,
        fields: Vec<String>,
    ) -> Self {
        Upstream {
            remotes: RefCell::default(),
            resting: RefCell::default(),
            held: Rc::default(),
            most,
            metrics,
            budget,
            connect_timeout,
            idle_most: keepalive.mul_f64(IDLE_SHARE),
            fields,
        }
    }

    /// The connections that are open or being opened.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Takes in a line of the list. A new address or a new process means new connections; one that drains or
    /// has left keeps none that are idle.
    pub fn describe(&self, server: ServerId, host: &Host) {
        let mut remotes = self.remotes.borrow_mut();
        let remote = remotes.entry(server).or_insert_with(|| Remote {
            dial: host.dial,
            born_ms: host.born_ms,
            life: 0,
            open: true,
            idle: Vec::new(),
        });
        let moved = host.dial.is_some() && host.dial != remote.dial;
        if moved || host.born_ms != remote.born_ms {
            remote.life += 1;
            remote.idle.clear();
            remote.dial = host.dial.or(remote.dial);
            remote.born_ms = host.born_ms;
        }
        remote.open = host.health == Health::Up;
        if !remote.open {
            remote.idle.clear();
        }
    }

    /// Forgets a backend; what is out to it goes on.
    pub fn forget(&self, server: ServerId) {
        self.remotes.borrow_mut().remove(&server);
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(remote) = self.remotes.borrow_mut().get_mut(&server) {
            remote.idle.clear();
        }
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        let mut remotes = self.remotes.borrow_mut();
        self.resting.borrow_mut().retain(|server| {
            let Some(remote) = remotes.get_mut(server) else { return false };
            remote.idle.retain(|c| c.idle_since.elapsed() < self.idle_most && !c.sender.is_closed());
            !remote.idle.is_empty()
        });
    }

    /// The most recently used connection that still stands, or a fresh one. Where the agent has no place for one
    /// more, nothing was tried, and the backend must not pass for one that cannot be reached.
    async fn connection(self: &Rc<Self>, server: ServerId) -> Result<Connection, Outcome> {
        let (dial, life) = {
            let mut remotes = self.remotes.borrow_mut();
            let remote = remotes.get_mut(&server).ok_or(Outcome::ConnectFailed)?;
            while let Some(connection) = remote.idle.pop() {
                let stands = connection.idle_since.elapsed() < self.idle_most && connection.sender.is_ready();
                // Its end, or half a line, may have come without the connection's task having run since.
                if stands && connection.socket.quiet() {
                    return Ok(connection);
                }
            }
            (remote.dial.ok_or(Outcome::ConnectFailed)?, remote.life)
        };
        let place = self.place().ok_or(Outcome::NotSent)?;
        // A task of its own: when its attempt is given up meanwhile, the connection, which has cost the
        // backend work by then, serves the next one.
        let (tell, told) = oneshot::channel();
        let upstream = self.clone();
        tokio::task::spawn_local(async move {
            let opened = timeout(upstream.connect_timeout, open(dial)).await;
            let opened = opened.ok().and_then(Result::ok).map(|(sender, socket, task, wire)| Connection {
                sender,
                socket,
                task,
                wire,
                server,
                life,
                idle_since: Instant::now(),
                _place: place,
            });
            if let Err(Some(connection)) = tell.send(opened) {
                upstream.park(connection);
            }
        });
        told.await.ok().flatten().ok_or(Outcome::ConnectFailed)
    }

    /// A place for one more connection; an idle one of another backend gives way if all are taken.
    fn place(&self) -> Option<Place> {
        if self.held.get() >= self.most {
            let mut remotes = self.remotes.borrow_mut();
            let since = |server: &ServerId| remotes.get(server)?.idle.first().map(|c| c.idle_since);
            let resting = self.resting.borrow();
            let oldest = resting.iter().filter_map(|server| Some((since(server)?, *server))).min();
            remotes.get_mut(&oldest?.1)?.idle.remove(0);
        }
        self.held.set(self.held.get() + 1);
        Some(Place(self.held.clone()))
    }

    /// Whether a connection leads to the process and address that its backend has now.
    fn leads_there(&self, connection: &Connection) -> bool {
        let remotes = self.remotes.borrow();
        remotes.get(&connection.server).is_some_and(|remote| remote.life == connection.life)
    }

    fn park(&self, mut connection: Connection) {
        let leads_there = self.leads_there(&connection);
        let mut remotes = self.remotes.borrow_mut();
        let Some(remote) = remotes.get_mut(&connection.server) else { return };
        if remote.open && leads_there && !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.resting.borrow_mut().insert(connection.server);
            remote.idle.push(connection);
        }
    }

    /// Sends an attempt and waits for its end, until its time is over at the longest. Directly before its first byte
    /// `begin` is asked for the request: a connection takes its time to come up, and what was decided before may hold no
    /// more. `intake` is the request's body, if that is passed on as it comes.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        begin: impl FnOnce() -> Option<Request<Outgoing>>,
        intake: Option<&Rc<Intake>>,
        over: impl Future<Output = ()>,
        progress: &Progress,
    ) -> Ended {
        let exchange = async {
            let connection = self.connection(server).await.map_err(|outcome| {
                let why = if outcome == Outcome::NotSent { "no place" } else { "no connection" };
                (Some(outcome), why.to_owned())
            })?;
            if progress.stopped.get() {
                self.park(connection);
                return Err((None, "called off".to_owned()));
            }
            let request = if self.leads_there(&connection) { begin() } else { None };
            let Some(mut request) = request else {
                self.park(connection);
                return Err((Some(Outcome::NotSent), "too late to begin".to_owned()));
            };
            let length = length(&request).map_or(u64::MAX, |length| connection.wire.written.get() + length);
            let whole = Goal::new(Cell::new(length));
            *progress.wire.borrow_mut() = Some((connection.wire.clone(), whole.clone()));
            *connection.wire.whole.borrow_mut() = Some((whole.clone(), server, self.metrics.clone()));
            if length == u64::MAX {
                // What ends the body is written next.
                let wire = connection.wire.clone();
                request.body_mut().ends(move || whole.set(wire.written.get() + 1));
            }
            progress.idled.set((connection.wire.written.get() > 0).then(|| connection.idle_since.elapsed()));
            self.exchange(connection, request).await.map_err(|why| (None, why))
        };
        let (ended, why) = tokio::select! {
            biased;
            () = progress.stop.notified() => (Some(Outcome::Cancelled), None),
            ended = exchange => match ended {
                Ok(ended) => return Ended { idled: progress.idled.get(), ..ended },
                Err((outcome, why)) => (outcome, Some(why)),
            },
            () = over => (Some(Outcome::TimedOut), None),
        };
        // A client that sends no more has ended it, and neither the server nor the way to it.
        let unsent = progress.stopped.get() || intake.is_some_and(|intake| intake.is_broken());
        // Whether a broken attempt may have run rests on the bytes that went out and on nothing else.
        let ended = Ended::without_answer(match (progress.may_have_run(), ended) {
            (true, outcome) => outcome.unwrap_or(Outcome::ConnectionReset),
            (false, outcome) if unsent || outcome == Some(Outcome::NotSent) => Outcome::NotSent,
            (false, _) => Outcome::ConnectFailed,
        });
        Ended { idled: progress.idled.get(), why, ..ended }
    }

    /// Asks a backend for its health, and for its load where it tells that.
    pub async fn probe(self: &Rc<Self>, server: ServerId) -> Ended {
        let path = if self.fields.is_empty() { "/health" } else { "/status/load" };
        let request = Request::get(path).header("host", "backend").body(Outgoing::default());
        let exchange = async {
            let Ok(request) = request else { return Ended::without_answer(Outcome::NotSent) };
            let connection = match self.connection(server).await {
                Ok(connection) => connection,
                Err(outcome) => return Ended::without_answer(outcome),
            };
            let ended = self.exchange(connection, request).await;
            let mut ended = ended.unwrap_or_else(|_| Ended::without_answer(Outcome::ConnectionReset));
            let body = ended.answer.as_ref().and_then(|answer| answer.body.as_whole());
            if let (None, Some(body)) = (&ended.report, body) {
                ended.report =
                    std::str::from_utf8(body).ok().and_then(|text| parse_report(text, &self.fields));
            }
            ended
        };
        timeout(PROBE_WAIT, exchange).await.unwrap_or(Ended::without_answer(Outcome::TimedOut))
    }

    /// One request and its answer over a connection, whole or so much of it that the rest can be passed on; what
    /// went wrong if that broke on the way.
    async fn exchange(
        self: &Rc<Self>,
        mut connection: Connection,
        request: Request<Outgoing>,
    ) -> Result<Ended, String> {
        let head_only = request.method() == Method::HEAD;
        let response = connection.sender.send_request(request).await.map_err(|e| reason(&e))?;
        let (outcome, report) = self.judge(&response);
        let (head, mut body) = response.into_parts();
        let ended =
            Ended { outcome, status: Some(head.status), idled: None, why: None, report, answer: None };
        if outcome != Outcome::Success {
            // Its status says it all. What comes with it is not passed on; if that is long, it is not read either.
            let rest = Limited::new(body, KEPT_MOST).collect().await;
            match rest {
                Ok(_) => self.clone().settle(connection).await,
                Err(why) if why.is::<LengthLimitError>() => {}
                Err(why) => return Err(reason(&*why)),
            }
            return Ok(ended);
        }
        let kind = head.headers.get(CONTENT_TYPE).cloned();
        let length = head.headers.get(CONTENT_LENGTH).filter(|_| head_only).cloned();
        let known = body.size_hint().exact();
        let mut first = VecDeque::new();
        let mut whole = false;
        let mut hold = None;
        if known.is_none_or(|length| length <= KEPT_MOST as u64) {
            let most = known.map_or(KEPT_MOST, |length| length as usize);
            hold = Some(self.budget.answer(most).await.map_err(|e| reason(&e))?);
            let begin = known.is_none().then(|| Instant::now() + HOLD_BACK);
            whole = gather(&mut body, &mut first, begin).await.map_err(|e| reason(&e))?;
        }
        let body = if whole {
            self.clone().settle(connection).await;
            Reply::whole(joined(first), hold)
        } else {
            drop(hold);
            let hold = self.budget.passing().await.map_err(|e| reason(&e))?;
            let upstream = self.clone();
            let give_back = move || drop(tokio::task::spawn_local(upstream.settle(connection)));
            Reply::begun(first, body, Box::new(give_back), hold)
        };
        Ok(Ended { answer: Some(Served { kind, length, body }), ..ended })
    }

    /// Keeps a connection after a whole answer, if it is ready for another request.
    async fn settle(self: Rc<Self>, mut connection: Connection) {
        if let Ok(Ok(())) = timeout(SETTLE, connection.sender.ready()).await {
            self.park(connection);
        }
    }

    /// What an answer means. Only a rejection that says so proves that the request has not run: a bare 503
    /// may come from something that ran it.
    fn judge<B>(&self, response: &Response<B>) -> (Outcome, Option<Vec<f64>>) {
        let untouched = response.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match response.status() {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if untouched => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let report = response.headers().get("x-server-load").and_then(|v| v.to_str().ok());
        (outcome, report.and_then(|text| parse_report(text, &self.fields)))
    }
}

/// Reads an answer until it has ended, is too long to be kept, or `begin` has come; whether it has ended.
async fn gather(
    body: &mut Incoming,
    first: &mut VecDeque<Bytes>,
    begin: Option<Instant>,
) -> Result<bool, hyper::Error> {
    let mut size = 0;
    while size <= KEPT_MOST {
        let frame = match begin {
            None => body.frame().await,
            Some(begin) => match timeout_at(begin, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(false),
            },
        };
        let Some(frame) = frame.transpose()? else { return Ok(true) };
        if let Ok(bytes) = frame.into_data() {
            size += bytes.len();
            first.push_back(bytes);
        }
    }
    Ok(false)
}

fn joined(mut parts: VecDeque<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop_front().unwrap_or_default(),
        _ => parts.iter().flat_map(|part| part.iter().copied()).collect::<Vec<u8>>().into(),
    }
}

async fn open(dial: SocketAddr) -> io::Result<(SendRequest<Outgoing>, Socket, JoinHandle<()>, Rc<Wire>)> {
    let socket = Socket::new(TcpStream::connect(dial).await?);
    let wire = Rc::<Wire>::default();
    let io = Counted { io: TokioIo::new(socket.clone()), wire: wire.clone() };
    let (sender, driven) =
        Builder::new().max_buf_size(BUFFER).handshake(io).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows at the sender and in the bytes written.
        let _ = driven.await;
    });
    Ok((sender, socket, task, wire))
}

/// An error and what lies under it, short.
fn reason(error: &dyn std::error::Error) -> String {
    let under = error.source().map(|under| format!(": {under}")).unwrap_or_default();
    format!("{error}{under}").chars().take(REASON_MOST).collect()
}

/// The bytes of a request as they go out, or a few less: short of them, its last byte is not out. Nobody knows
/// them before a body without a known length has ended.
fn length(request: &Request<Outgoing>) -> Option<u64> {
    let line =
        request.method().as_str().len() + request.uri().path().len() + " ".len() + " HTTP/1.1\r\n".len();
    let headers: usize =
        request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
    let query = request.uri().query().map_or(0, |q| q.len() + "?".len());
    let body = request.body().size_hint().exact()?;
    Some((line + query + headers + "\r\n".len()) as u64 + body)
}

/// Reads `TEXT inflight=7, queue=2` into the order of the settings; `None` if it says nothing of these.
fn parse_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = vec![f64::NAN; fields.len()];
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(place) = fields.iter().position(|f| f.as_str() == name.trim()) else { continue };
        report[place] = value.trim().parse().unwrap_or(f64::NAN);
    }
    report.iter().any(|value| value.is_finite()).then_some(report)
}

/// The headers that go on: those that speak of the connection or are worded anew stay behind.
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    const OWN: [&str; 12] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "x-timeout",
    ];
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let goes_on = |name: &str| !OWN.contains(&name) && !named.iter().any(|n| n == name);
    headers.iter().filter(|(n, _)| goes_on(n.as_str())).map(|(n, v)| (n.clone(), v.clone())).collect()
}

#[cfg(test)]
mod tests;
