//! In-flight attempts: which there are, how long each may take, and what of them can still be cancelled.

use super::client_request::ClientRequest;
use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::connection_timer::yield_turns;
use crate::traffic::request_body::RequestBodyStream;
use crate::upstream::attempt::AttemptProgress;
use balancer::{AttemptNo, RequestId};
use hyper::Request;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Turns of the runtime from an answer at a socket to the attempt that waits for it, and some to spare.
pub const RESPONSE_DELIVERY_TURNS: u32 = 8;

/// Names one attempt of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that it is made for.
    pub request: RequestId,
    /// Its place among the attempts of that request, from 0.
    pub number: AttemptNo,
}

/// The in-flight attempts. One may outlive its request.
#[derive(Default)]
pub struct InFlightAttempts(HashMap<AttemptId, Rc<AttemptProgress>>);

impl InFlightAttempts {
    /// Adds an attempt; its progress is for the task that makes it.
    pub fn begin(&mut self, id: AttemptId) -> Rc<AttemptProgress> {
        let progress = Rc::new(AttemptProgress::default());
        self.0.insert(id, progress.clone());
        progress
    }

    /// Removes an attempt that has ended.
    pub fn end(&mut self, id: AttemptId) {
        self.0.remove(&id);
    }

    /// Cancels an attempt if it is in flight. What of it has not been written stays unwritten.
    pub fn cancel(&self, id: AttemptId) {
        if let Some(progress) = self.0.get(&id) {
            progress.cancel();
        }
    }

    /// Cancels those of a request's first `attempts` that cannot have been executed, as they are not written completely.
    pub fn cancel_unwritten(&self, request: RequestId, attempts: u32) {
        for number in 0..attempts {
            let id = AttemptId { request, number: AttemptNo(number) };
            if let Some(progress) = self.0.get(&id).filter(|progress| !progress.may_have_executed()) {
                progress.cancel();
            }
        }
    }
}

/// How long an attempt may take. One with a streamed body is timed from the body's last byte, by what its client said.
pub struct AttemptTime {
    sent: Instant,
    timeout_at: Instant,
    upload: Option<Rc<RequestBodyStream>>,
    response_timeout: Duration,
}

impl AttemptTime {
    /// The time of an attempt that is sent now; `timeout_at` holds for one whose body is not streamed.
    pub fn start(client_request: &ClientRequest, timeout_at: Instant) -> Self {
        let upload = client_request.streamed_body().cloned();
        AttemptTime {
            sent: Instant::now(),
            timeout_at,
            upload,
            response_timeout: client_request.response_timeout(),
        }
    }

    /// Returns once the attempt has timed out, and an answer that is at the socket by then has been read.
    pub async fn wait_for_timeout(&self) {
        match &self.upload {
            None => sleep_until(self.timeout_at).await,
            Some(upload) => upload.wait_for_attempt_timeout(self.response_timeout).await,
        }
        yield_turns(RESPONSE_DELIVERY_TURNS).await;
    }

    /// What the server is sent, with the time that the attempt has left at `now`: its connection may have taken a good
    /// part of the wait to be established.
    pub fn build_request(&self, client_request: &ClientRequest, now: Instant) -> Request<AttemptBody> {
        let time_left = match &self.upload {
            None => self.timeout_at.saturating_duration_since(now),
            Some(upload) => self.response_timeout.saturating_sub(upload.unread_time()),
        };
        client_request.build_request(time_left)
    }

    /// From when the attempt's duration counts: when it was sent, or a streamed body's last byte if that came later.
    pub fn measured_from(&self) -> Instant {
        let complete_at = self.upload.as_ref().and_then(|upload| upload.completed_at());
        complete_at.map_or(self.sent, |complete_at| complete_at.max(self.sent))
    }
}
