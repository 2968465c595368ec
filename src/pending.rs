//! Requests that are owed an answer, their attempts in flight, and the queue of those that wait for a server.

use crate::admission::TimeLimits;
use crate::retries::AttemptHistory;
use crate::{Request, RequestId, Span, Time};
use std::collections::BTreeMap;

/// The one record of an accepted request; it goes when the request has its final answer.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) limits: TimeLimits,
    pub(crate) history: AttemptHistory,
    /// Its tenant has had its share already.
    pub(crate) is_over_share: bool,
}

/// Names an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// An attempt that has not ended; it outlives its request if that ends first.
pub(crate) struct InFlightAttempt {
    /// The slot of its server.
    pub(crate) server: usize,
    pub(crate) class: usize,
    /// When it was sent, or when the last byte of its body was.
    pub(crate) sent_at: Time,
    /// It is a probation request of an ejected server.
    pub(crate) is_probation: bool,
    /// It is not the first attempt of its request.
    pub(crate) is_retry: bool,
    /// Its request body is still being received, so its server has nothing to work on yet.
    pub(crate) is_uploading: bool,
    /// It has counted as late in the admission level already, or says nothing of it.
    pub(crate) is_level_settled: bool,
    pub(crate) is_cancelled: bool,
}

/// All pending requests.
#[derive(Default)]
pub(crate) struct Pending {
    requests: BTreeMap<RequestId, PendingRequest>,
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Newest first within each rank.
    queue: Vec<RequestId>,
}

impl Pending {
    /// A pending request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A pending request.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// The number of pending requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that has arrived.
    pub(crate) fn insert(&mut self, request: PendingRequest) {
        self.requests.insert(request.request.id, request);
    }

    /// Removes a request that has its final answer, or needs none.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }

    /// Adds an attempt that has been sent.
    pub(crate) fn start_attempt(&mut self, key: AttemptKey, attempt: InFlightAttempt) {
        self.in_flight.insert(key, attempt);
    }

    /// Removes an attempt that has ended.
    pub(crate) fn end_attempt(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        self.in_flight.remove(&key)
    }

    /// An attempt in flight.
    pub(crate) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut InFlightAttempt> {
        self.in_flight.get_mut(&key)
    }

    /// All attempts in flight.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        self.in_flight.iter().map(|(key, attempt)| (*key, attempt))
    }

    /// Whether a request of this identifier, which may have ended already, has an attempt in flight.
    pub(crate) fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        let key = |attempt| AttemptKey { request, attempt };
        self.in_flight.range(key(0)..=key(u32::MAX)).next().is_some()
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Settles in the admission level the attempts that are late; returns their number.
    pub(crate) fn settle_late(&mut self, is_late: impl Fn(&InFlightAttempt) -> bool) -> usize {
        let mut count = 0;
        for attempt in self.in_flight.values_mut().filter(|attempt| !attempt.is_level_settled) {
            if is_late(attempt) {
                attempt.is_level_settled = true;
                count += 1;
            }
        }
        count
    }

    /// Takes in the last byte of a request body: the time of the request and of its attempts starts now. Returns the
    /// slots of the servers that these are at.
    pub(crate) fn complete_upload(
        &mut self,
        now: Time,
        id: RequestId,
        time_left: Span,
        latency_objective: impl Fn(&Request) -> Span,
    ) -> Vec<usize> {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.request.uploading) else {
            return Vec::new();
        };
        pending.request.uploading = false;
        pending.limits = TimeLimits::from_now(now, time_left, latency_objective(&pending.request));
        let (first, last) =
            (AttemptKey { request: id, attempt: 0 }, AttemptKey { request: id, attempt: u32::MAX });
        let mut servers = Vec::new();
        for (_, attempt) in self.in_flight.range_mut(first..=last).filter(|(_, a)| a.is_uploading) {
            (attempt.is_uploading, attempt.sent_at) = (false, now);
            servers.push(attempt.server);
        }
        servers
    }

    /// Queues a request that has no server yet.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.queue.insert(0, id);
    }

    /// The number of queued requests.
    pub(crate) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes the queue, the lowest rank first, and of a rank the newest first: first come first served would let every
    /// request wait until it is nearly too late, and then be late. [`Self::set_queue`] puts back what stays.
    pub(crate) fn take_queue<R: Ord>(&mut self, rank: impl Fn(&PendingRequest) -> R) -> Vec<RequestId> {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|id| self.requests.get(id).map(&rank));
        queue
    }

    /// Puts back the queued requests that stay.
    pub(crate) fn set_queue(&mut self, queue: Vec<RequestId>) {
        self.queue = queue;
    }
}

#[cfg(test)]
mod tests;
