//! Requests that are owed an answer, and their attempts that are out.

use crate::log::{self, Log, Tried};
use crate::metrics::{End, Taken};
use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::memory_budget::MemoryReservation;
use crate::traffic::request_body::RequestBodyStream;
use crate::upstream::attempt::AttemptProgress;
use crate::upstream::exchange::ServedResponse;
use balancer::{ClassId, KeyId, RequestId, Span, TenantId};
use balancer_settings::Names;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
use hyper::{Method, Request, StatusCode, Uri};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request as the application sent it, whole.
pub struct Arrival {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The application's name for it.
    pub name: String,
    /// When it had come whole, or its head if its body is long.
    pub came: Instant,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Content,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// What it is about.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it is a repeat.
    pub repeat: bool,
    /// When its answer must be on its way; if its body is long, what it has left then counts from its last byte.
    pub deadline: Instant,
}

/// The body of a request.
pub enum Content {
    /// There whole, for as long as the request is.
    Kept { bytes: Bytes, _hold: MemoryReservation },
    /// Passed on as it comes.
    Passed(Rc<RequestBodyStream>),
}

impl Arrival {
    /// Its body, if that is passed on as it comes.
    pub fn intake(&self) -> Option<&Rc<RequestBodyStream>> {
        match &self.body {
            Content::Kept { .. } => None,
            Content::Passed(intake) => Some(intake),
        }
    }

    /// How long its client waits.
    pub fn wait(&self) -> Duration {
        self.deadline.saturating_duration_since(self.came)
    }
}

/// The one final answer to a request.
pub enum Answer {
    /// A backend's answer, whole or begun.
    Served(Box<ServedResponse>),
    /// Refused by the balancer; trying again is harmless, and makes sense after this long.
    Refused(Option<Span>),
    /// Failed, with no promise.
    Failed(StatusCode),
}

/// A request that is owed its answer.
pub struct Open {
    /// Where its answer goes.
    pub answer: oneshot::Sender<Answer>,
    /// What came.
    pub parts: Rc<Arrival>,
    /// Its place in the metrics.
    pub taken: Taken,
    /// Its last attempt had no answer in time.
    pub timed_out: bool,
    /// Attempts that served nothing, for the log.
    pub tried: Vec<Tried>,
}

/// All of them.
pub struct Requests {
    next: u64,
    /// Those that are owed an answer.
    pub open: HashMap<RequestId, Open>,
    /// Attempts that are out; one may outlive its request.
    pub attempts: HashMap<(RequestId, u32), Rc<AttemptProgress>>,
    /// Room in the log.
    pub log: Log,
}

impl Requests {
    /// None yet.
    pub fn new(log: Log) -> Self {
        Requests { next: 0, open: HashMap::new(), attempts: HashMap::new(), log }
    }

    /// A number for one more.
    pub fn number(&mut self) -> RequestId {
        self.next += 1;
        RequestId(self.next - 1)
    }

    /// Its client no longer waits; whether it was still owed an answer.
    pub fn gone(&mut self, id: RequestId, names: &Names) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.stop_unwritten(id, open.taken.sends);
        self.note(&open, End::Gone, names, None);
        true
    }

    /// Gives a request its final answer that is not a backend's. What of it has not been written to a backend stays
    /// unwritten.
    pub fn answer(&mut self, id: RequestId, answer: Answer, names: &Names) {
        let Some(open) = self.open.remove(&id) else { return };
        self.stop_unwritten(id, open.taken.sends);
        let end = if matches!(answer, Answer::Refused(_)) { End::Refused } else { End::Failed };
        self.note(&open, end, names, None);
        open.taken.end(end);
        // A client that left at this very moment hears nothing.
        let _ = open.answer.send(answer);
    }

    /// Gives a request its final answer by a backend, with which it ends.
    pub fn serve(
        &mut self,
        id: RequestId,
        mut served: ServedResponse,
        broke: impl FnOnce() + 'static,
        names: &Names,
        by: (&str, &str),
    ) {
        let Some(open) = self.open.remove(&id) else { return };
        self.stop_unwritten(id, open.taken.sends);
        self.note(&open, End::Served, names, Some(by));
        served.body.end_request_with(open.taken, broke);
        let _ = open.answer.send(Answer::Served(Box::new(served)));
    }

    /// Logs a request that did not go well under the application's name for it; `by` is the server that served it.
    fn note(&mut self, open: &Open, end: End, names: &Names, by: Option<(&str, &str)>) {
        let now = Instant::now();
        let Open { parts, taken, tried, .. } = open;
        // Served at last is worth a line too, if only after an attempt that was lost.
        if (matches!(end, End::Served) && tried.is_empty()) || !self.log.room(now) {
            return;
        }
        let last = || tried.last().map_or(("", ""), |tried| (tried.server.as_str(), tried.zone.as_str()));
        let (server, zone) = by.unwrap_or_else(last);
        let class = names.classes.get(parts.class.0).map_or("", String::as_str);
        let ms = |time: Duration| (time.as_secs_f64() * 1e4).round() / 10.0;
        let took_ms = ms(now.saturating_duration_since(parts.came));
        let of_ms = ms(parts.deadline.saturating_duration_since(parts.came));
        macro_rules! line {
            ($level:ident, $outcome:literal) => {
                tracing::$level!(
                    target: "request",
                    request = format_args!("{:.64}", parts.name),
                    class,
                    outcome = $outcome,
                    server,
                    zone,
                    took_ms,
                    of_ms,
                    sent = taken.sends,
                    tried = log::attempts(tried),
                    $outcome
                )
            };
        }
        match end {
            End::Served => line!(info, "served"),
            End::Refused => line!(warn, "refused"),
            End::Failed => line!(warn, "failed"),
            End::Gone => line!(warn, "gone"),
        }
    }

    /// Logs a request that made no sense and was turned away.
    pub fn turned_away(&mut self, request: &str, status: StatusCode, why: &str) {
        if self.log.room(Instant::now()) {
            let status = status.as_u16();
            tracing::warn!(target: "request", request = format_args!("{request:.64}"), outcome = "turned away", status, "{why}");
        }
    }

    fn stop_unwritten(&self, id: RequestId, sends: u32) {
        for attempt in 0..sends {
            if let Some(progress) = self.attempts.get(&(id, attempt)).filter(|p| !p.may_have_executed()) {
                progress.cancel();
            }
        }
    }
}

/// What goes to a backend: the request unchanged, and how long the agent will wait.
pub fn outgoing(parts: &Arrival, wait: Duration) -> Request<AttemptBody> {
    let body = match &parts.body {
        Content::Kept { bytes, .. } => AttemptBody::Buffered(Full::new(bytes.clone())),
        Content::Passed(intake) => AttemptBody::streamed(intake),
    };
    let length = body.size_hint().exact();
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    *request.headers_mut() = parts.headers.clone();
    let wait = HeaderValue::from_str(&format!("{}u", wait.as_micros().max(1)));
    let headers = request.headers_mut();
    headers.extend(wait.ok().map(|wait| (hyper::header::HeaderName::from_static("x-timeout"), wait)));
    let bodiless = matches!(parts.method, Method::GET | Method::HEAD);
    if let Some(length) = length.filter(|length| !bodiless || *length > 0) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}
