//! Outlier detection: failures, unresponsive servers, ejection, probation and gossip about them.
//!
//! A server that fails more often than chance explains, that is slow next to the others or that does not respond is
//! ejected: it is sent nothing but one probation request at a time, at growing intervals, until one succeeds.
//!
//! With sparse traffic a server is met too seldom for that, and the probation requests of all balancers together would
//! be a load of their own. There a server is suspected for a while instead: it keeps a small part of its share.

mod gossip;
#[cfg(test)]
mod tests;

pub(crate) use gossip::decode as decode_gossip;

use crate::{Action, Outcome, ServerId, Settings, Span, Time};
use gossip::GossipBudget;
use std::collections::BTreeSet;
use std::fmt;

/// Failures in a row eject a server if chance brings as many no more often than this, at the fleet's failure rate ...
const MAX_CHANCE_PROBABILITY: f64 = 0.002;
/// ... and if they are this many.
const MIN_FAILURES: f64 = 2.0;
/// The range of the fleet's failure rate in that calculation.
const MIN_FAILURE_RATE: f64 = 1e-6;
const MAX_FAILURE_RATE: f64 = 0.6;
/// The weight of a new outcome in the fleet's failure rate.
const FAILURE_RATE_GAIN: f64 = 0.02;
/// What a successful response leaves of the count of aborted ones. It ends a row of failures, but a server that aborts
/// every response begins each of them well.
const ABORTED_DECAY_FACTOR: f64 = 0.75;
/// An attempt is overdue at this multiple of the expected latency ...
const OVERDUE_FACTOR: f64 = 4.0;
/// ... and after this fraction of the latency objective, or all of it if the attempt is alone on its server, where it
/// may well be a costly request.
const MIN_OVERDUE_FRACTION: f64 = 0.6;
const MIN_OVERDUE_FRACTION_ALONE: f64 = 1.0;
/// The largest fraction of the open servers that is ejected; if more of them fail, the cause lies elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.75;
/// The first and the longest interval between two probation requests to a server.
const FIRST_PROBATION_INTERVAL: Span = Span(250_000);
const MAX_PROBATION_INTERVAL: Span = Span(4_000_000);
/// How many further intervals a probation request waits for an idempotent request before any other is taken.
const NON_IDEMPOTENT_EXTRA_INTERVALS: f64 = 2.0;
/// How long a server is suspected after own evidence, and after gossip.
const SUSPICION_TIME: Span = Span(8_000_000);
const GOSSIP_SUSPICION_TIME: Span = Span(5_000_000);
/// The part of its share that a suspected server keeps.
const SUSPECTED_WEIGHT: f64 = 0.05;

/// Why a server is an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutlierReason {
    /// Its requests fail.
    Failing,
    /// It is slow next to the others.
    Slow,
    /// It does not respond to requests.
    Unresponsive,
    /// It does not respond to health checks.
    FailsHealthChecks,
}

impl fmt::Display for OutlierReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OutlierReason::Failing => "failing",
            OutlierReason::Slow => "slow",
            OutlierReason::Unresponsive => "unresponsive",
            OutlierReason::FailsHealthChecks => "unresponsive to health checks",
        })
    }
}

/// How a probation request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbationResult {
    Passed,
    Failed,
    /// It did not reach the server.
    NotSent,
}

/// The ejection of a server. It is kept apart from the server's record, as few servers have one.
struct Ejection {
    next_probation_at: Time,
    probation_interval: Span,
    is_on_probation: bool,
}

/// The failures of one server, and what has followed from them.
pub(crate) struct ServerHealth {
    /// Failures in a row.
    consecutive_failures: u32,
    /// The recent responses that were aborted after a good beginning.
    recent_aborted: f64,
    last_response_at: Time,
    ejection: Option<Box<Ejection>>,
    suspected_until: Time,
}

impl ServerHealth {
    /// A server without failures.
    pub(crate) fn new(now: Time) -> Self {
        ServerHealth {
            consecutive_failures: 0,
            recent_aborted: 0.0,
            last_response_at: now,
            ejection: None,
            suspected_until: now,
        }
    }

    /// Its process has restarted: its failures no longer count.
    pub(crate) fn restart(&mut self, now: Time) {
        *self = ServerHealth { last_response_at: self.last_response_at, ..ServerHealth::new(now) };
    }

    /// When it last responded to a request in any way.
    pub(crate) fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Whether it is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether it is suspected, with sparse traffic.
    pub(crate) fn is_suspected(&self, now: Time) -> bool {
        now < self.suspected_until
    }

    /// The part of its share that it keeps, with sparse traffic.
    pub(crate) fn weight(&self, now: Time) -> f64 {
        if self.is_suspected(now) {
            SUSPECTED_WEIGHT
        } else {
            1.0
        }
    }

    /// Whether its ejection leaves it a request now. An idempotent request is preferred for probation; any other is taken
    /// once none has come for a while, or a site without idempotent requests would never take a server back.
    pub(crate) fn permits_request(&self, now: Time, is_idempotent: bool) -> bool {
        self.ejection.as_deref().is_none_or(|ejection| {
            let extra_wait = if is_idempotent {
                Span::ZERO
            } else {
                ejection.probation_interval * NON_IDEMPOTENT_EXTRA_INTERVALS
            };
            !ejection.is_on_probation && now >= ejection.next_probation_at + extra_wait
        })
    }

    /// Takes in that it is sent a request; true if that is a probation request.
    pub(crate) fn record_send(&mut self) -> bool {
        if let Some(ejection) = &mut self.ejection {
            ejection.is_on_probation = true;
        }
        self.is_ejected()
    }

    /// Takes in how an attempt ended. A server that rejects is full and not failing.
    pub(crate) fn record_outcome(&mut self, now: Time, outcome: Outcome, is_in_time: bool) {
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => {}
            Outcome::Success => {
                self.consecutive_failures = 0;
                self.recent_aborted *= ABORTED_DECAY_FACTOR;
                self.last_response_at = now;
                if is_in_time {
                    self.suspected_until = now;
                }
            }
            Outcome::Rejected => self.last_response_at = now,
            Outcome::ConnectFailed => self.consecutive_failures += 1,
            Outcome::ServerError | Outcome::ConnectionReset => {
                self.consecutive_failures += 1;
                self.last_response_at = now;
            }
        }
    }

    /// Takes in that a response was aborted after a good beginning.
    pub(crate) fn record_aborted_response(&mut self) {
        self.recent_aborted += 1.0;
    }

    /// Takes in how a probation request ended: the ejection ends, or the next interval is twice as long. One that was not
    /// sent says nothing of the server, and the next follows after the same interval.
    pub(crate) fn record_probation(&mut self, now: Time, result: ProbationResult) {
        if result == ProbationResult::Passed {
            self.ejection = None;
            self.consecutive_failures = 0;
        } else if let Some(ejection) = &mut self.ejection {
            ejection.is_on_probation = false;
            if result == ProbationResult::Failed {
                ejection.probation_interval = (ejection.probation_interval * 2.0).min(MAX_PROBATION_INTERVAL);
            }
            ejection.next_probation_at = now + ejection.probation_interval;
        }
    }

    /// Ejects it; its first probation request follows after the first interval.
    pub(crate) fn eject(&mut self, now: Time) {
        self.ejection = Some(Box::new(Ejection {
            next_probation_at: now + FIRST_PROBATION_INTERVAL,
            probation_interval: FIRST_PROBATION_INTERVAL,
            is_on_probation: false,
        }));
    }

    /// Takes in gossip that it is an outlier.
    pub(crate) fn record_gossip(&mut self, now: Time) {
        self.suspected_until = self.suspected_until.max(now + GOSSIP_SUSPICION_TIME);
    }

    /// Ends ejection and suspicion.
    pub(crate) fn clear(&mut self, now: Time) {
        self.ejection = None;
        self.suspected_until = now;
    }
}

/// The outliers among all servers.
pub(crate) struct Outliers {
    /// The recent fraction of attempts that failed, over all servers.
    failure_rate: f64,
    /// The open servers that are ejected.
    ejected: BTreeSet<usize>,
    gossip: GossipBudget,
}

impl Outliers {
    /// No outliers yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Outliers { failure_rate: 0.0, ejected: BTreeSet::new(), gossip: GossipBudget::new(settings) }
    }

    /// Updates the index after a change of a server.
    pub(crate) fn index(&mut self, slot: usize, server: &ServerHealth, is_open: bool) {
        match is_open && server.is_ejected() {
            true => self.ejected.insert(slot),
            false => self.ejected.remove(&slot),
        };
    }

    /// The open servers that are ejected.
    pub(crate) fn ejected(&self) -> &BTreeSet<usize> {
        &self.ejected
    }

    /// Takes in that a request has arrived.
    pub(crate) fn record_request(&mut self) {
        self.gossip.earn();
    }

    /// Whether a server has failed more often than chance explains. An outcome that says whether a server fails, as
    /// `is_failure`, counts in the fleet's failure rate.
    pub(crate) fn has_failed_too_often(
        &mut self,
        server: &ServerHealth,
        is_failure: Option<bool>,
        is_sparse: bool,
    ) -> bool {
        // The rate before this outcome, or the first few failures would hide themselves.
        let failure_rate = self.failure_rate.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE);
        let failure_threshold = (MAX_CHANCE_PROBABILITY.ln() / failure_rate.ln()).ceil().max(MIN_FAILURES);
        if let Some(is_failure) = is_failure {
            self.failure_rate += FAILURE_RATE_GAIN * (f64::from(is_failure) - self.failure_rate);
        }
        let failures = f64::from(server.consecutive_failures) + server.recent_aborted;
        failures >= failure_threshold || (is_sparse && failures >= 1.0)
    }

    /// Ejects a server, unless it is ejected already or too many are; true if it was.
    pub(crate) fn eject(&mut self, now: Time, server: &mut ServerHealth, open_servers: usize) -> bool {
        let ejected = (self.ejected.len() + 1) as f64;
        if server.is_ejected() || ejected > MAX_EJECTED_SHARE * open_servers as f64 {
            return false;
        }
        server.eject(now);
        true
    }

    /// Suspects a server and lets some peers know, for each of them would otherwise lose a request to find out.
    pub(crate) fn suspect(
        &mut self,
        now: Time,
        id: ServerId,
        server: &mut ServerHealth,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) {
        server.suspected_until = now + SUSPICION_TIME;
        self.gossip.send(id, rng, actions);
    }
}

/// How long an attempt may go without a response before its server counts as unresponsive. `expected` is its expected
/// latency as a fraction of the objective, `in_flight` the number of attempts at the server.
pub(crate) fn overdue_after(latency_objective: Span, expected: f64, in_flight: u32) -> Span {
    let min = if in_flight > 1 { MIN_OVERDUE_FRACTION } else { MIN_OVERDUE_FRACTION_ALONE };
    latency_objective * (OVERDUE_FACTOR * expected).max(min)
}
