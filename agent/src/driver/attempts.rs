//! In-flight attempts: tracking, timeouts and cancellation.

use super::client_request::ClientRequest;
use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::connection_timer::yield_turns;
use crate::traffic::request_body::RequestBodyStream;
use crate::upstream::attempt::AttemptProgress;
use balancer::{AttemptNo, ClientRequestKey, RequestId};
use hyper::Request;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How often a timed-out task yields to the runtime, so that a response that is already in the socket buffer still
/// reaches the attempt that waits for it. Includes a margin.
pub const RESPONSE_DELIVERY_TURNS: u32 = 8;

/// Identifies an attempt among those of all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index among the attempts of that request, from 0.
    pub number: AttemptNo,
}

/// An attempt in flight.
struct InFlightAttempt {
    progress: Rc<AttemptProgress>,
    /// The key of its request; `None` if that may be executed again.
    repetition_key: Option<ClientRequestKey>,
}

/// The in-flight attempts. An attempt can outlive its request.
#[derive(Default)]
pub struct InFlightAttempts(HashMap<AttemptId, InFlightAttempt>);

impl InFlightAttempts {
    /// Adds an attempt and returns its progress, which is shared with the task that runs the attempt.
    /// `repetition_key` is the key of its request, unless that may be executed again.
    pub fn begin(&mut self, id: AttemptId, repetition_key: Option<ClientRequestKey>) -> Rc<AttemptProgress> {
        let progress = Rc::new(AttemptProgress::default());
        self.0.insert(id, InFlightAttempt { progress: progress.clone(), repetition_key });
        progress
    }

    /// Removes a finished attempt, and returns the key of its request unless that may be executed again.
    pub fn end(&mut self, id: AttemptId) -> Option<ClientRequestKey> {
        self.0.remove(&id)?.repetition_key
    }

    /// The keys of the requests that may not be executed again, one for each attempt.
    pub fn repetition_keys(&self) -> impl Iterator<Item = ClientRequestKey> + '_ {
        self.0.values().filter_map(|attempt| attempt.repetition_key)
    }

    /// Cancels an attempt if it is in flight; the part of its request that is not yet written is never written.
    pub fn cancel(&self, id: AttemptId) {
        if let Some(attempt) = self.0.get(&id) {
            attempt.progress.cancel();
        }
    }

    /// Whether any of a request's `attempt_count` attempts is in flight and completely written: its server may have
    /// executed it.
    pub fn may_have_executed(&self, request: RequestId, attempt_count: u32) -> bool {
        self.of_request(request, attempt_count).any(|progress| progress.may_have_executed())
    }

    /// Cancels those of a request's `attempt_count` attempts that are not completely written: the server cannot have
    /// executed them.
    pub fn cancel_unwritten(&self, request: RequestId, attempt_count: u32) {
        let attempts = self.of_request(request, attempt_count);
        attempts.filter(|progress| !progress.may_have_executed()).for_each(|progress| progress.cancel());
    }

    /// Those of a request's `attempt_count` attempts that are in flight.
    fn of_request(
        &self,
        request: RequestId,
        attempt_count: u32,
    ) -> impl Iterator<Item = &Rc<AttemptProgress>> {
        let ids = (0..attempt_count).map(move |number| AttemptId { request, number: AttemptNo(number) });
        ids.filter_map(|id| Some(&self.0.get(&id)?.progress))
    }
}

/// The timeout of an attempt and the start of its latency measurement. With a streamed body, both count from the body's
/// last byte, and the timeout is the request's response timeout.
pub struct AttemptTiming {
    started_at: Instant,
    timeout_at: Instant,
    streamed_body: Option<Rc<RequestBodyStream>>,
    response_timeout: Duration,
}

impl AttemptTiming {
    /// The timing of an attempt that starts now. `timeout_at` is ignored if the body is streamed.
    pub fn start(client_request: &ClientRequest, timeout_at: Instant) -> Self {
        let streamed_body = client_request.streamed_body().cloned();
        AttemptTiming {
            started_at: Instant::now(),
            timeout_at,
            streamed_body,
            response_timeout: client_request.response_timeout(),
        }
    }

    /// Waits until the attempt has timed out, then yields so that a response that is already in the socket buffer is
    /// still read.
    pub async fn wait_for_timeout(&self) {
        match &self.streamed_body {
            None => sleep_until(self.timeout_at).await,
            Some(streamed_body) => streamed_body.wait_until_answer_due(self.response_timeout).await,
        }
        yield_turns(RESPONSE_DELIVERY_TURNS).await;
    }

    /// Builds the request to the server. The timeout in it is the time left at `now`, because establishing the
    /// connection can take a good part of it.
    pub fn build_request(&self, client_request: &ClientRequest, now: Instant) -> Request<AttemptBody> {
        let time_left = match &self.streamed_body {
            None => self.timeout_at.saturating_duration_since(now),
            Some(streamed_body) => {
                streamed_body.record_attempt();
                streamed_body.time_left(self.response_timeout)
            }
        };
        client_request.build_request(time_left)
    }

    /// The start of the latency measurement: when the attempt started, or a streamed body's last byte if that came
    /// later.
    pub fn measured_from(&self) -> Instant {
        let completed_at = self.streamed_body.as_ref().and_then(|streamed_body| streamed_body.completed_at());
        completed_at.map_or(self.started_at, |completed_at| completed_at.max(self.started_at))
    }
}
