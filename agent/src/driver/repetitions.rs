//! Exchanges the attempts that may be made only once with the other process of this agent, while both run.

use super::attempts::AttemptId;
use super::client_request::ClientRequest;
use super::Driver;
use balancer::{ClientRequestKey, Event, Idempotency, OtherProcessEvent};
use std::path::{Path, PathBuf};
use std::rc::Rc;

impl Driver {
    /// Begins to record the attempts of this process for another one, those that are in flight included.
    pub fn start_recording_attempts(&self, path: PathBuf) {
        let state = self.state.borrow();
        let in_flight = state.requests.attempts.repetition_keys().map(OtherProcessEvent::AttemptBegan);
        let abandoned = state.queue.balancer.abandoned_requests().map(OtherProcessEvent::RequestAbandoned);
        let records: Vec<_> = abandoned.chain(in_flight).collect();
        self.attempt_logs.start(path, &records);
    }

    /// Begins to read the attempts of the other process, if that records them.
    pub fn follow_attempts(&self, path: &Path) {
        self.attempt_logs.follow(path);
    }

    /// Reads what the other process has recorded.
    pub(super) fn poll_other_process(self: &Rc<Self>) {
        for record in self.attempt_logs.read_other() {
            self.handle(Event::OtherProcess(record));
        }
    }

    /// Ends the exchange, as the other process has ended.
    pub fn end_exchange(self: &Rc<Self>) {
        self.poll_other_process();
        if self.attempt_logs.remove() {
            self.handle(Event::OtherProcess(OtherProcessEvent::ProcessEnded));
        }
    }

    /// The key of a request, unless it may be executed again.
    pub(super) fn repetition_key(&self, client_request: &ClientRequest) -> Option<ClientRequestKey> {
        let is_idempotent = self.idempotency[client_request.class.0] == Idempotency::Idempotent;
        (!is_idempotent).then(|| client_request.key())
    }

    /// Records that an attempt has ended, if it may be made only once.
    pub(super) fn record_attempt_end(&self, id: AttemptId) {
        let key = self.state.borrow_mut().requests.attempts.end(id);
        if let Some(key) = key {
            self.attempt_logs.record(OtherProcessEvent::AttemptEnded(key));
        }
    }

    /// Records that a client has left, if its request must not be executed again.
    pub(super) fn record_abandoned(&self, key: Option<ClientRequestKey>) {
        let is_abandoned = |key: &ClientRequestKey| self.state.borrow().queue.balancer.has_abandoned(*key);
        if let Some(key) = key.filter(is_abandoned) {
            self.attempt_logs.record(OtherProcessEvent::RequestAbandoned(key));
        }
    }
}
