//! Retry rules for a request after its earlier attempts, and the retry budget.
//!
//! An [`AttemptHistory`] records the attempts of a request. The rule that no request is executed twice unless its class
//! allows it is enforced only by [`AttemptHistory::permitted_actions`] and [`AttemptHistory::may_begin`].

use crate::{
    AttemptNo, CellId, Class, DeduplicationScope, Endpoint, Idempotency, ServerId, Settings, Span, Time,
    ZoneId,
};

/// The tokens that a request earns at an admission level of one half or less. More would feed an overload.
const MIN_TOKENS_PER_REQUEST: f64 = 0.1;
/// The tokens that a request earns at an admission level of one, when the fleet has capacity for retries.
const MAX_TOKENS_PER_REQUEST: f64 = 0.4;
/// The most tokens that a budget holds.
const MAX_TOKENS: f64 = 10.0;
/// The most tokens that a budget holds with sparse traffic: many balancers that had each saved up a burst of retries
/// would all spend it in the same overload.
const MAX_TOKENS_SPARSE: f64 = 1.0;

/// Where a request may still be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// Not at all.
    Nowhere,
    /// To any server.
    Anywhere,
    /// Only to servers in this zone.
    Zone(ZoneId),
    /// Only to servers in this cell.
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

/// How a request may proceed after its earlier attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PermittedActions {
    /// Where another attempt may be sent.
    pub(crate) send: RetryScope,
    /// Whether the final answer may be a rejection, which tells the client that it may safely retry.
    pub(crate) reject: bool,
}

/// Whether an attempt is in flight, and once it has ended, whether it may have been executed.
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

/// The attempts of a request, and the other facts that limit its retries.
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

    /// Records that no attempt in flight has been written completely, and none will be.
    pub(crate) fn record_unwritten(&mut self) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.state == ExecutionState::InFlight) {
            attempt.state = ExecutionState::NotExecuted;
        }
    }

    /// Records that the beginning of this attempt's response has been forwarded to the client.
    pub(crate) fn record_first_byte(&mut self, attempt: AttemptNo) {
        self.has_response_started = (attempt.0 as usize) < self.attempts.len();
    }

    /// Records that a part of the request body has been forwarded and is not kept, so that it cannot be sent again.
    pub(crate) fn record_body_consumed(&mut self) {
        self.is_body_consumed = true;
    }

    /// Whether any attempt may have been executed, or may yet be.
    pub(crate) fn may_have_executed(&self) -> bool {
        first_possibly_executed(&self.attempts).is_some()
    }

    /// Whether any attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == ExecutionState::InFlight)
    }

    /// The servers that have been sent an attempt, in order.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.attempts.iter().map(|attempt| attempt.server)
    }

    /// Where the request may still be sent, and whether it may be rejected.
    pub(crate) fn permitted_actions(
        &self,
        now: Time,
        deadline: Time,
        class: &Class,
        settings: &Settings,
    ) -> PermittedActions {
        let first = first_possibly_executed(&self.attempts);
        let reject = match (first, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::AtMostOnce) => false,
            (Some(_), Idempotency::Deduplicated { scope, .. }) => scope == DeduplicationScope::All,
        };
        let is_exhausted = self.attempts.len() >= settings.max_attempts as usize
            || self.has_response_started
            || self.is_body_consumed
            || now >= deadline
            || (self.is_in_flight() && !settings.hedging);
        PermittedActions {
            send: if is_exhausted { RetryScope::Nowhere } else { retry_scope(now, first, class) },
            reject: reject && !self.has_response_started,
        }
    }

    /// Whether an attempt whose connection has only now been established may still begin, as far as its request is
    /// concerned: the deduplication window for retries may have closed in the meantime. Returns the attempt's server if
    /// it may begin.
    pub(crate) fn may_begin(&self, now: Time, attempt: AttemptNo, class: &Class) -> Option<ServerId> {
        let (earlier, rest) = self.attempts.split_at((attempt.0 as usize).min(self.attempts.len()));
        let is_too_late = match (first_possibly_executed(earlier), class.idempotency) {
            (Some(first), Idempotency::Deduplicated { window, .. }) => is_past_window(now, first, window),
            _ => false,
        };
        rest.first().filter(|_| !is_too_late).map(|attempt| attempt.server)
    }

    /// Whether an attempt may be cancelled to retry elsewhere: it must be the latest one and not the last that the
    /// settings allow, no response may have started, and both the settings and the class must allow it. With
    /// `only_idempotent` the class must be idempotent.
    pub(crate) fn may_cancel(
        &self,
        attempt: u32,
        class: &Class,
        settings: &Settings,
        only_idempotent: bool,
    ) -> bool {
        let attempts = self.attempts.len() as u32;
        let is_last = attempts == attempt + 1;
        let is_retry_allowed = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => !only_idempotent,
            Idempotency::AtMostOnce => false,
        };
        let has_attempt_left = attempts < settings.max_attempts;
        !self.has_response_started && settings.cancel && is_last && has_attempt_left && is_retry_allowed
    }
}

/// The first attempt that may have been executed; one in flight counts as well.
fn first_possibly_executed(attempts: &[Attempt]) -> Option<&Attempt> {
    attempts.iter().find(|attempt| attempt.state != ExecutionState::NotExecuted)
}

fn is_past_window(now: Time, first: &Attempt, window: Span) -> bool {
    now > first.sent_at + window
}

/// Where another attempt may be sent, given the first attempt that may have been executed.
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

/// A token bucket that new requests fill and retries drain. A retry after an attempt that was not executed takes no
/// token.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Adds the fraction of a token that a new request earns. It rises with the admission level.
    pub(crate) fn earn(&mut self, admission_level: f64, is_sparse: bool) {
        let max_tokens = if is_sparse { MAX_TOKENS_SPARSE } else { MAX_TOKENS };
        let capacity_left = (2.0 * admission_level - 1.0).max(0.0);
        let extra = (MAX_TOKENS_PER_REQUEST - MIN_TOKENS_PER_REQUEST) * capacity_left;
        self.tokens = (self.tokens + MIN_TOKENS_PER_REQUEST + extra).min(max_tokens);
    }

    /// Whether the budget allows a retry.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for a retry.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adds a token for a retry that needs no budget.
    pub(crate) fn grant(&mut self) {
        self.tokens += 1.0;
    }

    /// The tokens in the budget.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}

#[cfg(test)]
mod tests;
