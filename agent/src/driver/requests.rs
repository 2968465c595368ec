//! Pending requests: those that are owed an answer. Each gets one final answer, at which its attempts are cancelled as
//! far as they are unwritten, its end is counted and, if it did not go well, logged.

use super::attempts::{AttemptId, InFlightAttempts};
use super::client_request::ClientRequest;
use crate::log::{describe_attempts, FailedAttempt, Log};
use crate::metrics::{RequestEnd, RequestMetrics};
use crate::traffic::request_body::BodyEvent;
use crate::upstream::attempt::AttemptProgress;
use crate::upstream::exchange::ServedResponse;
use balancer::{AttemptNo, Event, RequestId, Span};
use balancer_settings::Names;
use hyper::StatusCode;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The one final answer to a request.
pub enum FinalResponse {
    /// A server's answer, complete or begun.
    Served(Box<ServedResponse>),
    /// Rejected by the balancer; a retry is harmless, and makes sense after this long.
    Rejected(Option<Span>),
    /// Failed; it may have been executed.
    Failed(StatusCode),
}

/// A request that is owed its answer.
pub struct PendingRequest {
    answer: oneshot::Sender<FinalResponse>,
    /// What the application sent.
    pub client_request: Rc<ClientRequest>,
    metrics: RequestMetrics,
    last_attempt_timed_out: bool,
    /// Attempts without a served answer, for the log.
    failed_attempts: Vec<FailedAttempt>,
}

impl PendingRequest {
    /// A request without attempts whose answer goes to `answer` and whose end is counted by `metrics`.
    pub fn new(
        client_request: Rc<ClientRequest>,
        answer: oneshot::Sender<FinalResponse>,
        metrics: RequestMetrics,
    ) -> Self {
        let (last_attempt_timed_out, failed_attempts) = Default::default();
        PendingRequest { answer, client_request, metrics, last_attempt_timed_out, failed_attempts }
    }
}

/// A server as the log names it.
#[derive(Debug, Clone, Copy)]
pub struct ServerLabel<'a> {
    /// Its name on the endpoint list.
    pub name: &'a str,
    /// The name of its zone.
    pub zone: &'a str,
}

/// An attempt that has just been added.
pub struct NewAttempt {
    /// Its name.
    pub id: AttemptId,
    /// What the application sent.
    pub client_request: Rc<ClientRequest>,
    /// For the task that makes it.
    pub progress: Rc<AttemptProgress>,
}

/// All pending requests, and the attempts that are in flight.
pub struct PendingRequests {
    next_id: u64,
    pending: HashMap<RequestId, PendingRequest>,
    /// The attempts that are in flight.
    pub attempts: InFlightAttempts,
    /// The log's lines on requests, which are limited.
    pub log: Log,
}

impl PendingRequests {
    /// Has none yet.
    pub fn new(log: Log) -> Self {
        let (pending, attempts) = Default::default();
        PendingRequests { next_id: 0, pending, attempts, log }
    }

    /// A number for one more.
    pub fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id - 1)
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// Whether a request is owed its answer.
    pub fn is_pending(&self, id: RequestId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Whether a pending request's streamed body has broken off.
    pub fn is_body_broken(&self, id: RequestId) -> bool {
        let body = self.pending.get(&id).and_then(|request| request.client_request.streamed_body());
        body.is_some_and(|body| body.has_failed())
    }

    /// Adds an attempt at a request, if that is pending.
    pub fn begin_attempt(&mut self, request: RequestId) -> Option<NewAttempt> {
        let pending = self.pending.get_mut(&request)?;
        let id = AttemptId { request, number: AttemptNo(pending.metrics.attempts) };
        pending.metrics.attempts += 1;
        let client_request = pending.client_request.clone();
        Some(NewAttempt { id, client_request, progress: self.attempts.begin(id) })
    }

    /// Records an attempt without a served answer for its request, if that is pending.
    pub fn record_failed_attempt(&mut self, request: RequestId, attempt: FailedAttempt) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.last_attempt_timed_out = attempt.outcome == balancer::Outcome::TimedOut;
        pending.failed_attempts.push(attempt);
    }

    /// Records the progress of a pending request's streamed body; what the balancer is to be notified of.
    pub fn record_body_progress(&mut self, id: RequestId, body_event: BodyEvent) -> Option<Event> {
        let pending = self.pending.get_mut(&id)?;
        Some(match body_event {
            BodyEvent::Consumed => Event::BodyConsumed { request: id },
            BodyEvent::Complete => {
                pending.metrics.mark_arrived();
                let complete_at = pending.client_request.streamed_body().and_then(|body| body.completed_at());
                let elapsed = complete_at.map_or(Duration::ZERO, |complete_at| complete_at.elapsed());
                let time_left = pending.client_request.response_timeout().saturating_sub(elapsed);
                Event::BodyComplete { request: id, time_left: Span(time_left.as_micros() as u64) }
            }
        })
    }

    /// Gives a request up as its client has disconnected; whether it was still owed an answer.
    pub fn abandon(&mut self, id: RequestId, names: &Names) -> bool {
        let Some(request) = self.remove(id) else { return false };
        self.log_end(&request, RequestEnd::Abandoned, names, None);
        true
    }

    /// Answers a request with the balancer's rejection; a retry makes sense after `retry_after`.
    pub fn reject(&mut self, id: RequestId, retry_after: Option<Span>, names: &Names) {
        self.answer(id, FinalResponse::Rejected(retry_after), RequestEnd::Rejected, names);
    }

    /// Answers a request with its failure: 504 if its last attempt timed out, otherwise 502.
    pub fn fail(&mut self, id: RequestId, names: &Names) {
        let timed_out = self.pending.get(&id).is_some_and(|request| request.last_attempt_timed_out);
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.answer(id, FinalResponse::Failed(status), RequestEnd::Failed, names);
    }

    fn answer(&mut self, id: RequestId, answer: FinalResponse, end: RequestEnd, names: &Names) {
        let Some(request) = self.remove(id) else { return };
        self.log_end(&request, end, names, None);
        request.metrics.end(end);
        // A client that disconnects at this very moment gets no answer.
        let _ = request.answer.send(answer);
    }

    /// Answers a request by what a server has served. `on_abort` is called if that breaks off on its way to the client.
    pub fn serve(
        &mut self,
        id: RequestId,
        mut served: ServedResponse,
        on_abort: impl FnOnce() + 'static,
        names: &Names,
        server: ServerLabel,
    ) {
        let Some(request) = self.remove(id) else { return };
        self.log_end(&request, RequestEnd::Served, names, Some(server));
        served.body.end_request_with(request.metrics, on_abort);
        let _ = request.answer.send(FinalResponse::Served(Box::new(served)));
    }

    /// Removes a request that is about to end; its unwritten attempts are cancelled.
    fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.remove(&id)?;
        self.attempts.cancel_unwritten(id, request.metrics.attempts);
        Some(request)
    }

    /// Logs a request that did not go well under the application's name for it; `served_by` is the server whose answer
    /// it got.
    fn log_end(
        &mut self,
        request: &PendingRequest,
        end: RequestEnd,
        names: &Names,
        served_by: Option<ServerLabel>,
    ) {
        let now = Instant::now();
        let PendingRequest { client_request, metrics, failed_attempts, .. } = request;
        // One that was served is logged only after an attempt that failed.
        if (matches!(end, RequestEnd::Served) && failed_attempts.is_empty())
            || !self.log.request_lines.admit_line(now)
        {
            return;
        }
        let server = served_by.unwrap_or_else(|| match failed_attempts.last() {
            Some(attempt) => ServerLabel { name: &attempt.server, zone: &attempt.zone },
            None => ServerLabel { name: "", zone: "" },
        });
        let class = names.classes.get(client_request.class.0).map_or("", String::as_str);
        let took_ms = tenths_of_ms(now.saturating_duration_since(client_request.arrived_at));
        let of_ms = tenths_of_ms(client_request.response_timeout());
        macro_rules! line {
            ($level:ident, $outcome:literal) => {
                tracing::$level!(
                    target: "request",
                    request = format_args!("{:.64}", client_request.request_id),
                    class,
                    outcome = $outcome,
                    server = server.name,
                    zone = server.zone,
                    took_ms,
                    of_ms,
                    sent = metrics.attempts,
                    tried = describe_attempts(failed_attempts),
                    $outcome
                )
            };
        }
        match end {
            RequestEnd::Served => line!(info, "served"),
            RequestEnd::Rejected => line!(warn, "refused"),
            RequestEnd::Failed => line!(warn, "failed"),
            RequestEnd::Abandoned => line!(warn, "gone"),
        }
    }

    /// Logs a request that was invalid and has been answered so with this status.
    pub fn log_invalid(&mut self, request: &str, status: StatusCode, reason: &str) {
        if self.log.request_lines.admit_line(Instant::now()) {
            let status = status.as_u16();
            tracing::warn!(target: "request", request = format_args!("{request:.64}"), outcome = "turned away", status, "{reason}");
        }
    }
}

/// A duration in milliseconds, rounded to tenths.
fn tenths_of_ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
