//! Pending requests, which have no final answer yet; their attempts in flight; and the queue of requests that wait for
//! a server.

use crate::admission::TimeLimits;
use crate::retries::AttemptHistory;
use crate::{Request, RequestId, Span, Time};
use std::collections::BTreeMap;

/// A request that has no final answer yet. It is removed when the answer is given.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) limits: TimeLimits,
    pub(crate) history: AttemptHistory,
    /// Whether it counts as over its tenant's share of the traffic.
    pub(crate) is_over_share: bool,
}

/// Identifies an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
}

/// An attempt that has not ended. It may outlive its request, which can get its final answer first.
pub(crate) struct InFlightAttempt {
    /// The slot of its server.
    pub(crate) server: usize,
    pub(crate) class: usize,
    /// When it was sent. Once an upload is complete, when the last byte of the body arrived.
    pub(crate) sent_at: Time,
    /// Whether it is a probation request to an ejected server.
    pub(crate) is_probation: bool,
    /// Whether it is not the first attempt of its request.
    pub(crate) is_retry: bool,
    /// Whether its request body is still being received, so that its server has nothing to work on yet.
    pub(crate) is_uploading: bool,
    /// Whether its end must not be recorded in the admission level: it has been recorded as late already, or shows
    /// nothing about the load of the fleet.
    pub(crate) is_excluded_from_level: bool,
    pub(crate) is_cancelled: bool,
}

/// All pending requests, all attempts in flight, and the queue.
#[derive(Default)]
pub(crate) struct Pending {
    requests: BTreeMap<RequestId, PendingRequest>,
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Newest first within each rank. It may hold requests that are no longer pending.
    queue: Vec<RequestId>,
}

impl Pending {
    /// Returns a pending request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a pending request for modification.
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

    /// Returns an attempt in flight for modification.
    pub(crate) fn attempt_mut(&mut self, key: AttemptKey) -> Option<&mut InFlightAttempt> {
        self.in_flight.get_mut(&key)
    }

    /// All attempts in flight.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        self.in_flight.iter().map(|(key, attempt)| (*key, attempt))
    }

    /// Whether a request with this identifier has an attempt in flight; the request itself may have ended.
    pub(crate) fn has_attempt_in_flight(&self, request: RequestId) -> bool {
        let key = |attempt| AttemptKey { request, attempt };
        self.in_flight.range(key(0)..=key(u32::MAX)).next().is_some()
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Excludes late attempts from the admission level, for the caller to record them there once; returns their number.
    pub(crate) fn mark_late(&mut self, is_late: impl Fn(&InFlightAttempt) -> bool) -> usize {
        let mut count = 0;
        for attempt in self.in_flight.values_mut().filter(|attempt| !attempt.is_excluded_from_level) {
            if is_late(attempt) {
                attempt.is_excluded_from_level = true;
                count += 1;
            }
        }
        count
    }

    /// Records that the last byte of a request body has arrived: the time limits of the request and the elapsed time of
    /// its attempts count from now. Returns the slots of the servers of these attempts.
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

    /// Adds a request to the queue, before all others.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.queue.insert(0, id);
    }

    /// The number of queued requests.
    pub(crate) fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Takes all requests out of the queue, ordered by ascending rank and, within a rank, newest first. In an overload,
    /// oldest first would make every request wait until it is nearly too late, and then be late. [`Self::set_queue`]
    /// puts back the requests that stay queued.
    pub(crate) fn take_queue<R: Ord>(&mut self, rank: impl Fn(&PendingRequest) -> R) -> Vec<RequestId> {
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|id| self.requests.get(id).map(&rank));
        queue
    }

    /// Puts back the requests that stay queued after [`Self::take_queue`].
    pub(crate) fn set_queue(&mut self, queue: Vec<RequestId>) {
        self.queue = queue;
    }
}

#[cfg(test)]
mod tests;
