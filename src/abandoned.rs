//! Requests whose clients have left before the response, and which a server may have executed all the same. One that comes
//! again must not be executed a second time.
//!
//! While two processes of one agent run, each is notified of the attempts of the other: a client may leave one process
//! unnoticed, and its request comes to the other while the first attempt is in flight.

use crate::{ClientRequestKey, OtherProcessEvent, Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
    /// The number of attempts that the agent's other process has in flight for a request, of at most [`MAX_REQUESTS`].
    in_flight_elsewhere: BTreeMap<ClientRequestKey, u32>,
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

    /// Whether a request was abandoned before, or may be executed by an attempt of the other process.
    pub(crate) fn contains(&mut self, now: Time, key: ClientRequestKey) -> bool {
        self.forget_expired(now);
        self.keys.contains(&key) || self.in_flight_elsewhere.contains_key(&key)
    }

    /// The requests that were abandoned, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ClientRequestKey> + '_ {
        self.abandoned_at.iter().map(|(_, key)| *key)
    }

    /// Whether a request was abandoned at this process or the other one.
    pub(crate) fn has_recorded(&self, key: ClientRequestKey) -> bool {
        self.keys.contains(&key)
    }

    /// Records what the agent's other process has done.
    pub(crate) fn record_other_process(&mut self, now: Time, event: OtherProcessEvent) {
        match event {
            OtherProcessEvent::AttemptBegan(key) => {
                if self.in_flight_elsewhere.len() < MAX_REQUESTS
                    || self.in_flight_elsewhere.contains_key(&key)
                {
                    *self.in_flight_elsewhere.entry(key).or_default() += 1;
                }
            }
            OtherProcessEvent::AttemptEnded(key) => {
                if let Some(attempts) = self.in_flight_elsewhere.get_mut(&key) {
                    *attempts -= 1;
                    if *attempts == 0 {
                        self.in_flight_elsewhere.remove(&key);
                    }
                }
            }
            OtherProcessEvent::RequestAbandoned(key) => self.record(now, key),
            OtherProcessEvent::ProcessEnded => {
                // What it had in flight may have been executed, and nobody will say so.
                let in_flight = std::mem::take(&mut self.in_flight_elsewhere);
                in_flight.into_keys().for_each(|key| self.record(now, key));
            }
        }
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
