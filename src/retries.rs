//! What may still be done with a request after its earlier attempts, and the budget for retries.
//!
//! An [`AttemptHistory`] holds what is known of a request's attempts. The whole of "nothing is executed twice that must
//! not be" lies in [`AttemptHistory::permitted_actions`] and [`AttemptHistory::may_begin`].

use crate::{
    AttemptNo, CellId, Class, DeduplicationScope, Endpoint, Idempotency, ServerId, Settings, Span, Time,
    ZoneId,
};

/// The budget tokens that a request earns from an admission level of one half down: more would feed an overload.
const MIN_TOKENS_PER_REQUEST: f64 = 0.1;
/// The budget tokens that a request earns while responses are in time, as the fleet then has capacity for retries.
const MAX_TOKENS_PER_REQUEST: f64 = 0.4;
/// The most tokens that are saved.
const MAX_TOKENS: f64 = 10.0;
/// The same with sparse traffic: many balancers that each save a burst would all spend it in the same overload.
const MAX_TOKENS_SPARSE: f64 = 1.0;

/// Where a request may still be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// To no server.
    Nowhere,
    /// To any server.
    Anywhere,
    /// To the servers of one zone.
    Zone(ZoneId),
    /// To the servers of one cell.
    Cell(CellId),
}

impl RetryScope {
    /// Whether the request may be sent to this endpoint.
    pub(crate) fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            RetryScope::Nowhere => false,
            RetryScope::Anywhere => true,
            RetryScope::Zone(zone) => endpoint.zone == zone,
            RetryScope::Cell(cell) => endpoint.cell == cell,
        }
    }
}

/// What may still be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PermittedActions {
    /// Where another attempt may go.
    pub(crate) send: RetryScope,
    /// Whether the client may get a rejection, which says that the request was not executed.
    pub(crate) reject: bool,
}

/// What is known of the execution of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExecutionState {
    InFlight,
    NotExecuted,
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Debug, Clone)]
struct Attempt {
    server: ServerId,
    zone: ZoneId,
    cell: CellId,
    sent_at: Time,
    state: ExecutionState,
}

/// The attempts of a request.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    attempts: Vec<Attempt>,
    has_response_started: bool,
    is_body_consumed: bool,
}

impl AttemptHistory {
    /// Records that an attempt has been sent; returns its number.
    pub(crate) fn record_send(&mut self, now: Time, endpoint: &Endpoint) -> u32 {
        let Endpoint { server, zone, cell, .. } = *endpoint;
        self.attempts.push(Attempt { server, zone, cell, sent_at: now, state: ExecutionState::InFlight });
        self.attempts.len() as u32 - 1
    }

    /// Records that an attempt has ended.
    pub(crate) fn record_end(&mut self, attempt: u32, is_not_executed: bool) {
        let state =
            if is_not_executed { ExecutionState::NotExecuted } else { ExecutionState::MayHaveExecuted };
        self.attempts[attempt as usize].state = state;
    }

    /// Records that the client has been sent the beginning of this attempt's response.
    pub(crate) fn record_first_byte(&mut self, attempt: AttemptNo) {
        self.has_response_started = (attempt.0 as usize) < self.attempts.len();
    }

    /// Records that a part of the body has been forwarded and is not kept.
    pub(crate) fn record_body_consumed(&mut self) {
        self.is_body_consumed = true;
    }

    /// Whether an attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == ExecutionState::InFlight)
    }

    /// The servers that have been sent an attempt, in order.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.attempts.iter().map(|attempt| attempt.server)
    }

    /// What may still be done with the request.
    pub(crate) fn permitted_actions(
        &self,
        now: Time,
        deadline: Time,
        class: &Class,
        settings: &Settings,
    ) -> PermittedActions {
        let first = first_executed(&self.attempts);
        let reject = match (first, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::AtMostOnce) => false,
            (Some(_), Idempotency::Deduplicated { scope, .. }) => scope == DeduplicationScope::All,
        };
        let is_used_up = self.attempts.len() >= settings.max_attempts as usize
            || self.has_response_started
            || self.is_body_consumed
            || now >= deadline
            || (self.is_in_flight() && !settings.hedging);
        PermittedActions {
            send: if is_used_up { RetryScope::Nowhere } else { retry_scope(now, first, class) },
            reject: reject && !self.has_response_started,
        }
    }

    /// Whether an attempt whose first byte can be sent only now may still begin, as far as its request is concerned:
    /// while its connection was established, the window for retries may have closed. Returns the attempt's server.
    pub(crate) fn may_begin(&self, now: Time, attempt: AttemptNo, class: &Class) -> Option<ServerId> {
        let (earlier, rest) = self.attempts.split_at((attempt.0 as usize).min(self.attempts.len()));
        let is_too_late = match (first_executed(earlier), class.idempotency) {
            (Some(first), Idempotency::Deduplicated { window, .. }) => is_past_window(now, first, window),
            _ => false,
        };
        rest.first().filter(|_| !is_too_late).map(|attempt| attempt.server)
    }

    /// Whether an attempt may be cancelled to retry elsewhere: it is the latest one, and its class allows the retry. With
    /// `only_idempotent` the class has to allow any number of executions.
    pub(crate) fn may_cancel(
        &self,
        attempt: u32,
        class: &Class,
        settings: &Settings,
        only_idempotent: bool,
    ) -> bool {
        let attempts = self.attempts.len() as u32;
        let is_last = attempts == attempt + 1;
        let is_retriable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => !only_idempotent,
            Idempotency::AtMostOnce => false,
        };
        let has_attempt = attempts < settings.max_attempts;
        !self.has_response_started && settings.cancel && is_last && has_attempt && is_retriable
    }
}

/// The first attempt that is or may have been executed.
fn first_executed(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| attempt.state != ExecutionState::NotExecuted)
}

fn is_past_window(now: Time, first: &Attempt, window: Span) -> bool {
    now > first.sent_at + window
}

/// Where another attempt may go after `first`, the first that may have been executed.
fn retry_scope(now: Time, first: Option<&Attempt>, class: &Class) -> RetryScope {
    let Some(first) = first else { return RetryScope::Anywhere };
    match class.idempotency {
        Idempotency::Idempotent => RetryScope::Anywhere,
        Idempotency::AtMostOnce => RetryScope::Nowhere,
        Idempotency::Deduplicated { window, .. } if is_past_window(now, first, window) => RetryScope::Nowhere,
        Idempotency::Deduplicated { scope, .. } => match scope {
            DeduplicationScope::All => RetryScope::Anywhere,
            DeduplicationScope::Zone => RetryScope::Zone(first.zone),
            DeduplicationScope::Cell => RetryScope::Cell(first.cell),
        },
    }
}

/// A token bucket that requests fill and retries drain. A retry after an attempt that was not executed is free.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// A new request earns a part of a token, by the admission level.
    pub(crate) fn earn(&mut self, admission_level: f64, is_sparse: bool) {
        let max_tokens = if is_sparse { MAX_TOKENS_SPARSE } else { MAX_TOKENS };
        let spare_capacity = (2.0 * admission_level - 1.0).max(0.0);
        let extra = (MAX_TOKENS_PER_REQUEST - MIN_TOKENS_PER_REQUEST) * spare_capacity;
        self.tokens = (self.tokens + MIN_TOKENS_PER_REQUEST + extra).min(max_tokens);
    }

    /// Whether a retry can be paid for.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a retry.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Grants a retry beyond what requests have earned.
    pub(crate) fn grant(&mut self) {
        self.tokens += 1.0;
    }

    /// The tokens left.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}

#[cfg(test)]
mod tests;
