//! Requests whose clients have left before the response, and which a server may have executed all the same. One that comes
//! again must not be executed a second time.

use crate::{ClientRequestKey, Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// How long a request is remembered: longer than a client tries again for one request.
const RETENTION: Span = Span(30_000_000);
/// The most requests that are remembered. Beyond it the oldest are forgotten.
const MAX_REQUESTS: usize = 10_000;

/// The requests of recent clients that have left.
#[derive(Debug, Default)]
pub(crate) struct AbandonedRequests {
    /// When each was abandoned, the oldest first.
    abandoned_at: VecDeque<(Time, ClientRequestKey)>,
    keys: BTreeSet<ClientRequestKey>,
}

impl AbandonedRequests {
    /// Remembers a request that was abandoned at `now`.
    pub(crate) fn record(&mut self, now: Time, key: ClientRequestKey) {
        self.forget_expired(now);
        if !self.keys.insert(key) {
            return;
        }
        self.abandoned_at.push_back((now, key));
        if self.abandoned_at.len() > MAX_REQUESTS {
            self.forget_oldest();
        }
    }

    /// Whether a request was abandoned before.
    pub(crate) fn contains(&mut self, now: Time, key: ClientRequestKey) -> bool {
        self.forget_expired(now);
        self.keys.contains(&key)
    }

    fn forget_expired(&mut self, now: Time) {
        while self.abandoned_at.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.abandoned_at.pop_front() {
            self.keys.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
