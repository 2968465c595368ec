//! Pending requests: those without a final response. A request ends with its final response, or without one when its
//! client disconnects or its time is up. Its attempts that are not completely written are then cancelled, and the end is
//! counted in the metrics. It is also logged, unless the request was served without a failed attempt.

use super::attempts::{AttemptId, InFlightAttempts};
use super::client_request::ClientRequest;
use crate::log::{describe_attempts, FailedAttempt, Log};
use crate::metrics::{RequestEnd, RequestMetrics};
use crate::traffic::request_body::BodyEvent;
use crate::traffic::response_body::{Framing, StreamEnd};
use crate::upstream::attempt::AttemptProgress;
use crate::upstream::exchange::ServedResponse;
use balancer::{AttemptNo, ClientRequestKey, Event, RequestId, Span};
use balancer_settings::Names;
use hyper::StatusCode;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final response to a request. Each request gets at most one.
pub enum FinalResponse {
    /// A server's response; its body may still be streaming.
    Served(Box<ServedResponse>),
    /// Rejected by the balancer. The request has not been executed, so a retry is safe; it makes sense after the
    /// given time.
    Rejected(Option<Span>),
    /// Failed with this status. A server may have executed the request.
    Failed(StatusCode),
}

/// A request without a final response yet.
pub struct PendingRequest {
    response_sender: oneshot::Sender<FinalResponse>,
    /// The request as received from the client.
    pub client_request: Rc<ClientRequest>,
    metrics: RequestMetrics,
    last_attempt_timed_out: bool,
    /// Attempts that have ended without a served response, for the log.
    failed_attempts: Vec<FailedAttempt>,
}

impl PendingRequest {
    /// A request without attempts. Its final response is sent to `response_sender`, and its end is counted by
    /// `metrics`.
    pub fn new(
        client_request: Rc<ClientRequest>,
        response_sender: oneshot::Sender<FinalResponse>,
        metrics: RequestMetrics,
    ) -> Self {
        let (last_attempt_timed_out, failed_attempts) = Default::default();
        PendingRequest { response_sender, client_request, metrics, last_attempt_timed_out, failed_attempts }
    }
}

/// The names by which log lines identify a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLabel<'a> {
    /// The server's name on the endpoint list.
    pub name: &'a str,
    /// The name of the server's zone.
    pub zone: &'a str,
}

/// What the task that runs a new attempt needs.
pub struct NewAttempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The request as received from the client.
    pub client_request: Rc<ClientRequest>,
    /// Shared with [`PendingRequests::attempts`], which cancels the attempt through it.
    pub progress: Rc<AttemptProgress>,
    /// The key of its request; `None` if that may be executed again.
    pub repetition_key: Option<ClientRequestKey>,
}

/// All pending requests and all in-flight attempts.
pub struct PendingRequests {
    next_id: u64,
    pending: HashMap<RequestId, PendingRequest>,
    /// The in-flight attempts, including those of requests that have already ended.
    pub attempts: InFlightAttempts,
    /// The rate limits of log lines.
    pub log: Log,
}

impl PendingRequests {
    /// Creates the state without requests.
    pub fn new(log: Log) -> Self {
        let (pending, attempts) = Default::default();
        PendingRequests { next_id: 0, pending, attempts, log }
    }

    /// Assigns the next request id.
    pub fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id - 1)
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// Whether a request has no final response yet.
    pub fn is_pending(&self, id: RequestId) -> bool {
        self.pending.contains_key(&id)
    }

    /// The number of requests without a final response.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// The number of requests without a final response whose streamed body is not complete.
    pub fn uploads(&self) -> usize {
        let bodies = self.pending.values().filter_map(|request| request.client_request.streamed_body());
        bodies.filter(|body| body.completed_at().is_none()).count()
    }

    /// Whether receiving the streamed body of a pending request has failed.
    pub fn has_body_failed(&self, id: RequestId) -> bool {
        let body = self.pending.get(&id).and_then(|request| request.client_request.streamed_body());
        body.is_some_and(|body| body.has_failed())
    }

    /// Adds an attempt for a request; `None` if the request is not pending. `repetition_key` returns the request's key
    /// unless it may be executed again.
    pub fn begin_attempt(
        &mut self,
        request: RequestId,
        repetition_key: impl FnOnce(&ClientRequest) -> Option<ClientRequestKey>,
    ) -> Option<NewAttempt> {
        let pending = self.pending.get_mut(&request)?;
        let id = AttemptId { request, number: AttemptNo(pending.metrics.attempts) };
        pending.metrics.attempts += 1;
        let client_request = pending.client_request.clone();
        let repetition_key = repetition_key(&client_request);
        let progress = self.attempts.begin(id, repetition_key);
        Some(NewAttempt { id, client_request, progress, repetition_key })
    }

    /// Records an attempt that ended without a served response. Ignored if the request is not pending.
    pub fn record_failed_attempt(&mut self, request: RequestId, attempt: FailedAttempt) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.last_attempt_timed_out = attempt.outcome == balancer::Outcome::TimedOut;
        pending.failed_attempts.push(attempt);
    }

    /// Records the progress of a request's streamed body and returns the event for the balancer; `None` if the
    /// request is not pending.
    pub fn record_body_progress(&mut self, id: RequestId, body_event: BodyEvent) -> Option<Event> {
        let pending = self.pending.get_mut(&id)?;
        Some(match body_event {
            BodyEvent::Consumed => Event::BodyConsumed { request: id },
            BodyEvent::Complete => {
                pending.metrics.mark_arrived();
                let completed_at =
                    pending.client_request.streamed_body().and_then(|body| body.completed_at());
                let elapsed = completed_at.map_or(Duration::ZERO, |completed_at| completed_at.elapsed());
                let time_left = pending.client_request.response_timeout().saturating_sub(elapsed);
                Event::BodyComplete { request: id, time_left: Span(time_left.as_micros() as u64) }
            }
        })
    }

    /// The event that tells the balancer how long the client of a request still waits for the response, if its streamed
    /// body is not complete; `None` if it is, or the request is not pending.
    pub fn upload_time_left(&self, id: RequestId) -> Option<Event> {
        let client_request = &self.pending.get(&id)?.client_request;
        let body = client_request.streamed_body().filter(|body| body.completed_at().is_none())?;
        let time_left = body.time_left(client_request.response_timeout());
        Some(Event::UploadTimeLeft { request: id, time_left: Span(time_left.as_micros() as u64) })
    }

    /// Prepares a request for an answer that is due while attempts are in flight, and returns whether one of these may
    /// have been executed. Its answer, if not a rejection, is that it timed out.
    pub fn begin_overdue_answer(&mut self, id: RequestId) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        pending.last_attempt_timed_out = true;
        self.may_have_executed(id)
    }

    /// Whether an attempt in flight of a pending request is completely written.
    pub fn may_have_executed(&self, id: RequestId) -> bool {
        let pending = self.pending.get(&id);
        pending.is_some_and(|pending| self.attempts.may_have_executed(id, pending.metrics.attempts))
    }

    /// Ends a request without a final response, and returns what its client sent; `None` if it was not pending.
    pub fn abandon(&mut self, id: RequestId, names: &Names) -> Option<Rc<ClientRequest>> {
        let request = self.remove(id)?;
        self.log_end(&request, RequestEnd::Abandoned, names, None);
        Some(request.client_request)
    }

    /// Rejects a request; the client may retry after `retry_after`.
    pub fn reject(&mut self, id: RequestId, retry_after: Option<Span>, names: &Names) {
        self.respond(id, FinalResponse::Rejected(retry_after), RequestEnd::Rejected, names);
    }

    /// Fails a request with status 504 if its last failed attempt timed out, otherwise 502.
    pub fn fail(&mut self, id: RequestId, names: &Names) {
        let timed_out = self.pending.get(&id).is_some_and(|request| request.last_attempt_timed_out);
        let status = if timed_out { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.respond(id, FinalResponse::Failed(status), RequestEnd::Failed, names);
    }

    fn respond(&mut self, id: RequestId, response: FinalResponse, end: RequestEnd, names: &Names) {
        let Some(request) = self.remove(id) else { return };
        self.log_end(&request, end, names, None);
        request.metrics.end(end);
        // The receiver may be gone already because the client has just disconnected.
        let _ = request.response_sender.send(response);
    }

    /// Ends a request with a server's response. `on_end` is called with the client's `X-Request-ID` when the response ends,
    /// if it is streamed.
    pub fn serve(
        &mut self,
        id: RequestId,
        mut served: ServedResponse,
        on_end: impl FnOnce(&str, StreamEnd) + 'static,
        names: &Names,
        server: ServerLabel,
    ) {
        let Some(request) = self.remove(id) else { return };
        self.log_end(&request, RequestEnd::Served, names, Some(server));
        let request_id = request.client_request.request_id.clone();
        let on_end = move |end| on_end(&request_id, end);
        served.body.end_request_with(request.metrics, on_end);
        let _ = request.response_sender.send(FinalResponse::Served(Box::new(served)));
    }

    /// Removes a request that ends and cancels its attempts that are not completely written.
    fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.pending.remove(&id)?;
        self.attempts.cancel_unwritten(id, request.metrics.attempts);
        Some(request)
    }

    /// Logs the end of a request within the rate limit, unless it was served without a failed attempt. `served_by` is
    /// the server whose response the client gets.
    fn log_end(
        &mut self,
        request: &PendingRequest,
        end: RequestEnd,
        names: &Names,
        served_by: Option<ServerLabel>,
    ) {
        let now = Instant::now();
        let PendingRequest { client_request, metrics, failed_attempts, .. } = request;
        // A served request is logged only if an attempt failed before.
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
        let took_ms = rounded_ms(now.saturating_duration_since(client_request.arrived_at));
        let of_ms = rounded_ms(client_request.response_timeout());
        let body = client_request.streamed_body().map(|body| body.progress().to_string());
        macro_rules! log_line {
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
                    body,
                    $outcome
                )
            };
        }
        match end {
            RequestEnd::Served => log_line!(info, "served"),
            RequestEnd::Rejected => log_line!(warn, "refused"),
            RequestEnd::Failed => log_line!(warn, "failed"),
            RequestEnd::Abandoned => log_line!(warn, "gone"),
        }
    }

    /// Logs how the stream of a response ended: if it broke off, and, at the level `debug`, if its end is that of the
    /// server's connection.
    pub fn log_stream_end(&mut self, request: &str, server: ServerLabel, end: &StreamEnd) {
        let StreamEnd { framing, bytes, elapsed, abort } = end;
        let request = format_args!("{request:.64}");
        let after_ms = rounded_ms(*elapsed);
        let ServerLabel { name, zone } = server;
        match abort {
            Some(cause) if self.log.request_lines.admit_line(Instant::now()) => {
                tracing::warn!(
                    target: "request", request, server = name, zone, ?framing, bytes, after_ms, %cause,
                    "an answer broke off on its way to the client"
                );
            }
            None if *framing == Framing::Close => {
                tracing::debug!(
                    target: "request", request, server = name, zone, bytes, after_ms,
                    "an answer ended with its connection"
                );
            }
            Some(_) | None => {}
        }
    }

    /// Logs an invalid request that was answered with `status`.
    pub fn log_invalid(&mut self, request: &str, status: StatusCode, reason: &str) {
        if self.log.request_lines.admit_line(Instant::now()) {
            let status = status.as_u16();
            tracing::warn!(target: "request", request = format_args!("{request:.64}"), outcome = "turned away", status, "{reason}");
        }
    }
}

/// A duration in milliseconds, rounded to tenths.
fn rounded_ms(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
