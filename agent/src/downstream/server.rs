//! The application's side: takes requests in, checks them, and writes the one answer of each.

use crate::driver::arrival::{Arrival, Content};
use crate::driver::requests::Answer;
use crate::driver::{Driver, ANSWER_TURNS};
use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::connection_timer::{yield_turns, ConnectionTimer, StartedRequest, TimedSocket};
use crate::traffic::errors::{concerns_one_connection, is_shortage};
use crate::traffic::lingering::LingeringCloses;
use crate::traffic::memory_budget::{MemoryReservation, HTTP_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::traffic::request_body::{BodyError, LongBody, RequestBodyStream, MAX_REQUEST_BODY_BYTES};
use crate::traffic::response_body::ResponseBody;
use crate::traffic::socket::Socket;
use crate::upstream::exchange::ServedResponse;
use crate::upstream::headers::forwarded_headers;
use balancer::{ClassId, Idempotency, KeyId, RequestId, Span, TenantId};
use balancer_settings::fnv1a;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, ALLOW, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, RETRY_AFTER,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// The part of a client's wait that is kept for writing the answer.
const ANSWER_ROOM: Duration = Duration::from_millis(6);
/// The longest wait that a request may ask for.
const WAIT_MOST: Duration = Duration::from_secs(600);
/// The balancer ends each request by its deadline; should it not, the agent does, this much later.
const OVERDUE: Duration = Duration::from_millis(4);
/// Pause after an accept that failed for more than one connection, or descriptors that have run out would make the loop
/// spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// After SIGTERM new connections go on coming for a while; each is still taken.
pub const ACCEPT_ON: Duration = Duration::from_millis(650);

/// Whether the process goes on serving its connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stay {
    /// It does.
    On,
    /// It ends. What rests is closed, and what has just come up has its first request answered.
    Ends,
    /// It takes no connections any more, and closes those that have not sent anything either.
    Closed,
    /// Another process has taken over. What is idle here may have a request on its way, which would be turned back
    /// unheard: each connection's next one is answered, and only then the connection is closed.
    HandedOver,
}

/// The listening side and the connections it has taken.
pub struct Server {
    driver: Rc<Driver>,
    stay: watch::Sender<Stay>,
    open: Cell<usize>,
    /// Once the process has been told to end: every request has to be answered by then, whatever its client would wait.
    answer_by: watch::Sender<Option<Instant>>,
    places: std::sync::Arc<Semaphore>,
    lingering: LingeringCloses,
}

impl Server {
    /// Serves at most `connections` at a time.
    pub fn new(driver: Rc<Driver>, connections: usize) -> Rc<Self> {
        Rc::new(Server {
            driver,
            stay: watch::Sender::new(Stay::On),
            open: Cell::new(0),
            answer_by: watch::Sender::new(None),
            places: std::sync::Arc::new(Semaphore::new(connections)),
            lingering: LingeringCloses::default(),
        })
    }

    /// Takes connections until it is dropped, or until the process has closed its door.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        self.driver.accepts.set(true);
        let mut stay = self.stay.subscribe();
        let taken = async {
            loop {
                let Some(place) = self.place().await else { return };
                match listener.accept().await {
                    Ok((stream, _)) => self.serve(stream, place),
                    Err(why) if concerns_one_connection(&why) => {}
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        };
        tokio::select! {
            () = taken => return,
            _ = stay.wait_for(|stay| *stay == Stay::Closed) => {}
        }
        self.take_queue(&listener).await;
    }

    /// Takes what the system has accepted, which would be reset with the listener. It asks the system, as the runtime may
    /// not have heard of all yet. How long a shortage is waited out is up to the caller.
    async fn take_queue(self: &Rc<Self>, listener: &TcpListener) {
        while let Some(place) = self.place().await {
            match SockRef::from(listener).accept() {
                Ok((socket, _)) => {
                    let stream =
                        socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket.into()));
                    if let Ok(stream) = stream {
                        self.serve(stream, place);
                    }
                }
                Err(why) if concerns_one_connection(&why) => {}
                Err(why) if is_shortage(&why) => sleep(ACCEPT_PAUSE).await,
                // The queue is empty, or there is none any more.
                Err(_) => return,
            }
        }
    }

    /// A place for one more connection. While all are taken, the connections that have been ended and linger give
    /// theirs up, one after the other.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        let mut place = pin!(self.places.clone().acquire_owned());
        loop {
            tokio::select! {
                biased;
                place = place.as_mut() => return place.ok(),
                () = self.lingering.abort_oldest() => {}
            }
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, place: OwnedSemaphorePermit) {
        tokio::task::spawn_local(self.clone().connection(stream, place));
    }

    /// Says `Connection: close` from now on and closes what rests. All is answered by `answer_by`.
    pub fn drain(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
        self.leave(Stay::Ends);
    }

    /// Takes no more connections, and closes those from which nothing has come.
    pub fn close(&self) {
        self.leave(Stay::Closed);
    }

    /// Answers what is open and the next request of each connection, as another process takes the new ones. All is
    /// answered by `answer_by`.
    pub fn hand_over(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
        self.leave(Stay::HandedOver);
    }

    fn leave(&self, how: Stay) {
        self.driver.accepts.set(false);
        self.stay.send_replace(how);
    }

    /// Whether any connection is open.
    pub fn open(&self) -> bool {
        self.open.get() > 0
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, _place: OwnedSemaphorePermit) {
        let _open = Counted::one(&self.open);
        let socket = Socket::new(stream);
        self.clone().converse(&socket).await;
        self.lingering.close(socket).await;
    }

    /// Answers what comes over a connection until it is to be closed.
    async fn converse(self: Rc<Self>, socket: &Socket) {
        let mut stay = self.stay.subscribe();
        let late = matches!(*stay.borrow_and_update(), Stay::Ends | Stay::Closed);
        let server = self.clone();
        let timer = ConnectionTimer::new();
        let client = (timer.clone(), socket.clone());
        let service = service_fn(move |request| {
            let first = client.0.awaits_first_request();
            server.clone().answer(request, client.0.start_request(), client.1.clone(), first)
        });
        let mut builder = http1::Builder::new();
        // Hyper's own time for a head would go by idle time and head together.
        builder.header_read_timeout(None).keep_alive(!late).max_buf_size(HTTP_BUFFER_BYTES);
        let mut connection =
            pin!(builder.serve_connection(TimedSocket::new(socket.clone(), timer.clone()), service));
        loop {
            // Whatever has come is heard before anything is closed. An error is the client's leaving or its bad bytes;
            // both concern this connection alone.
            tokio::select! {
                biased;
                _ = connection.as_mut() => return,
                () = timer.wait_until_overdue() => {
                    if timer.is_write_blocked() || !socket.has_pending_input() {
                        return;
                    }
                    // The runtime has not heard of it yet.
                    yield_now().await;
                }
                Ok(()) = stay.changed() => match *stay.borrow_and_update() {
                    Stay::On | Stay::HandedOver => {}
                    Stay::Ends | Stay::Closed if timer.has_active_request() => connection.as_mut().graceful_shutdown(),
                    Stay::Ends if timer.awaits_first_request() => {}
                    Stay::Ends | Stay::Closed if timer.is_idle() && !socket.has_pending_input() => return,
                    // A request is on its way here, and its answer says that it is the last.
                    Stay::Ends | Stay::Closed => {}
                },
            }
        }
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        StartedRequest { body_deadline: patience, active: asked }: StartedRequest,
        socket: Socket,
        first: bool,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let answer = tokio::select! {
            biased;
            answer = self.take(request, patience) => answer,
            // Hyper does not look for the end of a connection while bytes stand before it. Nobody reads this.
            () = socket.wait_for_peer_close() => Err(plain(StatusCode::BAD_REQUEST, "the client has left")),
        };
        let (Ok(mut answer) | Err(mut answer)) = answer;
        answer.body_mut().attach_request(asked);
        // When all places are taken, who comes waits in the system's queue, unheard while its time goes by, and the terms let
        // nobody who rests be closed for 2 s. So a connection goes with its first answer then; one that is used again stays.
        let crowded = first && self.places.available_permits() == 0;
        if crowded || *self.stay.borrow() != Stay::On {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn take(
        &self,
        request: Request<Incoming>,
        patience: BodyDeadline,
    ) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
        // A deployment may have a class of this name, whose requests say so.
        let class = text(request.headers(), "x-priority-class") == Some("ready")
            && self.driver.names.classes.iter().any(|name| name == "ready");
        if request.uri().path() == "/ready" && !class {
            let ready = self.driver.is_ready() && *self.stay.borrow() == Stay::On;
            return Ok(if ready {
                plain(StatusCode::OK, "ready")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            });
        }
        let name = request.headers().get("x-request-id").cloned();
        let arrival = match self.read(request, patience).await {
            Ok(arrival) => arrival,
            Err(bad) => {
                let why = bad
                    .body()
                    .as_complete()
                    .and_then(|why| std::str::from_utf8(why).ok())
                    .unwrap_or_default();
                let name = name.as_ref().and_then(|name| name.to_str().ok()).unwrap_or_default();
                self.driver.record_invalid_request(name, bad.status(), why.trim_end());
                return Err(bad);
            }
        };
        let (deadline, wait, intake) = (arrival.deadline, arrival.wait(), arrival.intake().cloned());
        let (id, answer) = self.driver.submit(arrival);
        // When the client leaves, hyper drops this future, and the guard tells the balancer.
        let _owed = Owed(&self.driver, id);
        let over = async {
            match &intake {
                None => sleep_until(deadline + OVERDUE).await,
                Some(intake) => sleep_until(intake.wait_until_complete().await + wait + OVERDUE).await,
            }
            yield_turns(2 * ANSWER_TURNS).await;
        };
        let broken = async {
            match &intake {
                None => std::future::pending().await,
                Some(intake) => intake.wait_for_error().await,
            }
        };
        let answer = tokio::select! {
            // A body that breaks off ends its attempt as well, and its client is told the cause.
            biased;
            why = broken => return Err(unread(why)),
            answer = answer => answer.map_or_else(|_| plain(StatusCode::BAD_GATEWAY, "no answer was decided"), word),
            () = over => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            () = self.shutdown_due(intake.as_deref()) => plain(StatusCode::GATEWAY_TIMEOUT, "the agent ends"),
        };
        if let Some(intake) = intake.filter(|intake| intake.completed_at().is_none()) {
            tokio::task::spawn_local(intake.discard());
        }
        Ok(answer)
    }

    /// Ends when a request has to be answered because the process may be killed soon. One whose body is still coming is
    /// not owed an answer yet.
    async fn shutdown_due(&self, body: Option<&RequestBodyStream>) {
        let mut answer_by = self.answer_by.subscribe();
        let due = answer_by.wait_for(Option::is_some).await.ok().and_then(|due| *due);
        if let Some(due) = due {
            sleep_until(due).await;
            if body.is_none_or(|body| body.completed_at().is_some()) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Reads a small body whole, and so much of another one that it shows. The error is the answer to a bad one.
    async fn collect(
        &self,
        mut body: Incoming,
        mut patience: BodyDeadline,
        expects: bool,
        wait: Duration,
    ) -> Result<Collected, Response<ResponseBody>> {
        let hint = body.size_hint();
        if hint.lower() > MAX_REQUEST_BODY_BYTES {
            return Err(unread(BodyError::TooLong));
        }
        let mut kept = BytesMut::new();
        let mut waited = Duration::ZERO;
        if hint.lower() <= MAX_BUFFERED_BODY_BYTES as u64 {
            let most = hint.exact().map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize);
            let room = self.room(self.driver.budget.reserve_request(most), &patience, wait).await?;
            waited = room.waited;
            while kept.len() <= MAX_BUFFERED_BODY_BYTES {
                let frame = timeout_at(patience.due(), body.frame())
                    .await
                    .map_err(|_| unread(BodyError::TimedOut))?;
                let Some(frame) = frame else {
                    let content = Content::Buffered { bytes: kept.freeze(), _reservation: room.hold };
                    return Ok(Collected { content, waited });
                };
                let Ok(bytes) = frame.map_err(|_| unread(BodyError::Broken))?.into_data() else { continue };
                patience.record_bytes(bytes.len());
                kept.extend_from_slice(&bytes);
            }
        }
        let room = self
            .room(self.driver.budget.reserve_streamed_request(), &patience, wait.saturating_sub(waited))
            .await?;
        waited += room.waited;
        let came = Instant::now() - waited;
        let content = Content::Streamed(RequestBodyStream::new(LongBody {
            first: kept.freeze(),
            rest: body,
            deadline: patience,
            expects_continue: expects,
            reservation: room.hold,
            received_since: came,
        }));
        Ok(Collected { content, waited })
    }

    /// Waits for room for a body, for as long as its client waits and the body has time to come. The error is the answer
    /// when there is none.
    async fn room(
        &self,
        room: impl Future<Output = Result<MemoryReservation, AcquireError>>,
        patience: &BodyDeadline,
        wait: Duration,
    ) -> Result<Room, Response<ResponseBody>> {
        let asked = Instant::now();
        let due = patience.due().min(asked + wait.saturating_sub(ANSWER_ROOM));
        let hold = tokio::select! {
            biased;
            hold = timeout_at(due, room) => hold.ok().and_then(Result::ok),
            () = self.shutdown_due(None) => None,
        };
        let hold = hold.ok_or_else(|| plain(StatusCode::SERVICE_UNAVAILABLE, "no room for the body"))?;
        Ok(Room { hold, waited: asked.elapsed() })
    }

    /// Reads a request whole; the error is the answer to a bad one.
    async fn read(
        &self,
        request: Request<Incoming>,
        patience: BodyDeadline,
    ) -> Result<Arrival, Response<ResponseBody>> {
        let bad = |why: &str| plain(StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        let names = &self.driver.names;
        let path = head.uri.path();
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = names.classes.iter().position(|name| name == first);
        let class = class.ok_or_else(|| plain(StatusCode::NOT_FOUND, "no such class of request"))?;
        if text(&head.headers, "x-priority-class") != Some(first) {
            return Err(bad("X-Priority-Class must be the first part of the path"));
        }
        let name = text(&head.headers, "x-request-id").filter(|name| !name.is_empty());
        let name = name.ok_or_else(|| bad("X-Request-ID is missing"))?.to_owned();
        let tenant = match text(&head.headers, "x-tenant-id") {
            _ if names.tenants.is_empty() => None,
            Some(tenant) => names.tenants.iter().position(|name| name == tenant).map(TenantId),
            None => None,
        };
        if tenant.is_none() && !names.tenants.is_empty() {
            return Err(bad("X-Tenant-Id names no tenant"));
        }
        let wait = text(&head.headers, "x-timeout").and_then(wait_of);
        let wait = wait.ok_or_else(|| bad("X-Timeout must be a time such as 480m or 900u"))?;
        let effect = self.driver.idempotency[class];
        let safe = effect == Idempotency::Idempotent;
        let methods: &[Method] = if safe { &[Method::GET, Method::HEAD] } else { &[Method::POST] };
        if !methods.contains(&head.method) {
            let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED, "this class has another method");
            let allow = if safe { "GET, HEAD" } else { "POST" };
            answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            return Err(answer);
        }
        let keyed = head.headers.get("idempotency-key").is_some_and(|key| !key.is_empty());
        if matches!(effect, Idempotency::Deduplicated { .. }) && !keyed {
            return Err(bad("this class needs an Idempotency-Key"));
        }
        let expects = head.headers.contains_key(EXPECT);
        let body = self.collect(body, patience, expects, wait).await?;
        // While the body waited for room its client may have sent all of it, and its time went by.
        let came = Instant::now() - body.waited;
        let room = ANSWER_ROOM.min(wait / 4);
        let wait = match *self.answer_by.borrow() {
            Some(answer_by) => wait.min(answer_by.saturating_duration_since(came)).max(room),
            None => wait,
        };
        let query = head.uri.query().unwrap_or_default();
        let key = query.split('&').find_map(|pair| pair.strip_prefix("key="));
        let cost = text(&head.headers, "x-cost").and_then(|cost| cost.parse::<f64>().ok());
        Ok(Arrival {
            class: ClassId(class),
            tenant,
            key: key.map(|key| KeyId(fnv1a(key))),
            cost_hint: cost.filter(|us| *us > 0.0 && us.is_finite()).map(|us| Span::from_ms(us / 1e3)),
            repeat: text(&head.headers, "x-retried") == Some("1"),
            name,
            arrived_at: came,
            deadline: came + (wait - room),
            headers: forwarded_headers(&head.headers),
            method: head.method,
            uri: head.uri,
            body: body.content,
        })
    }
}

/// A body, as far as it is kept.
struct Collected {
    content: Content,
    /// How long it has waited for room altogether.
    waited: Duration,
}

/// Room for a body.
struct Room {
    hold: MemoryReservation,
    /// How long the body has waited for it.
    waited: Duration,
}

/// Counts something for as long as it lasts.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Tells the balancer if a request ends without having been given its answer.
struct Owed<'a>(&'a Rc<Driver>, RequestId);

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        self.0.abandon(self.1);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a wait such as `480m` (milliseconds) or `900u` (microseconds).
fn wait_of(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let wait = Duration::try_from_secs_f64(digits.parse::<f64>().ok()? * micros / 1e6).ok()?;
    (!wait.is_zero() && wait <= WAIT_MOST).then_some(wait)
}

fn word(answer: Answer) -> Response<ResponseBody> {
    match answer {
        Answer::Served(served) => {
            let ServedResponse { content_type: kind, content_length: length, body } = *served;
            let mut response = Response::new(body);
            response.headers_mut().extend(kind.map(|kind| (CONTENT_TYPE, kind)));
            response.headers_mut().extend(length.map(|length| (CONTENT_LENGTH, length)));
            response
        }
        Answer::Rejected(after) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
            let after =
                after.and_then(|after| HeaderValue::from_str(&format!("{:.3}", after.as_ms() / 1e3)).ok());
            response.headers_mut().extend(after.map(|after: HeaderValue| (RETRY_AFTER, after)));
            response
        }
        Answer::Failed(status) => plain(status, "failed"),
    }
}

fn unread(why: BodyError) -> Response<ResponseBody> {
    match why {
        BodyError::TooLong => plain(StatusCode::PAYLOAD_TOO_LARGE, "a body holds at most 32 MB"),
        BodyError::TimedOut => plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        BodyError::Broken => plain(StatusCode::BAD_REQUEST, "the body did not come whole"),
    }
}

fn plain(status: StatusCode, why: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(format!("{why}\n").into(), None));
    *response.status_mut() = status;
    let kind: (HeaderName, HeaderValue) = (CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response.headers_mut().extend([kind]);
    response
}

#[cfg(test)]
mod tests;
