//! Outlier detection: failures, unresponsive servers, ejection, probation, and gossip about outliers.
//!
//! A server is ejected if it fails more often than chance explains, is slow compared with the other servers, or does
//! not respond. An ejected server is sent only one probation request at a time, at increasing intervals, until one
//! succeeds.
//!
//! With sparse traffic a balancer sends too few requests to each server for that, and the probation requests of all
//! balancers together would be a considerable load. A server is then suspected for a limited time instead of ejected:
//! it keeps a small part of its share of the requests.

mod gossip;
#[cfg(test)]
mod tests;

pub(crate) use gossip::decode as decode_gossip;

use crate::{Action, Outcome, ServerId, Settings, Span, Time};
use gossip::GossipBudget;
use std::collections::BTreeSet;
use std::fmt;

/// A server is an outlier if its number of consecutive failures would occur by chance with at most this probability,
/// given the failure rate of the fleet, ...
const MAX_CHANCE_PROBABILITY: f64 = 0.002;
/// ... and if there are at least this many.
const MIN_FAILURES: f64 = 2.0;
/// The range to which the failure rate of the fleet is limited in that calculation.
const MIN_FAILURE_RATE: f64 = 1e-6;
const MAX_FAILURE_RATE: f64 = 0.6;
/// The gain of the moving average that is the failure rate of the fleet.
const FAILURE_RATE_GAIN: f64 = 0.02;
/// The factor by which a successful response reduces the count of aborted ones. A success ends a series of failures,
/// but a server that aborts every response starts each of them successfully, so the count is not reset.
const ABORTED_DECAY_FACTOR: f64 = 0.75;
/// An attempt is overdue after this multiple of its expected latency, ...
const OVERDUE_FACTOR: f64 = 4.0;
/// ... but not before this fraction of the latency objective. An attempt that is alone at its server may well be a
/// costly request and has the whole objective.
const MIN_OVERDUE_FRACTION: f64 = 0.6;
const MIN_OVERDUE_FRACTION_ALONE: f64 = 1.0;
/// The maximum fraction of the open servers that are ejected. If more of them fail, the cause is elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.75;
/// The first and the longest interval between probation requests to a server.
const FIRST_PROBATION_INTERVAL: Span = Span(250_000);
const MAX_PROBATION_INTERVAL: Span = Span(4_000_000);
/// The number of additional intervals after which a request that is not idempotent may be the probation request.
const NON_IDEMPOTENT_EXTRA_INTERVALS: f64 = 2.0;
/// How long a server is suspected after failures that this balancer observed, and after gossip.
const SUSPICION_TIME: Span = Span(8_000_000);
const GOSSIP_SUSPICION_TIME: Span = Span(5_000_000);
/// The fraction of its weight that a suspected server keeps.
const SUSPECTED_WEIGHT: f64 = 0.05;

/// Why a server is an outlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutlierReason {
    /// Its requests fail or, with sparse traffic, are late.
    Failing,
    /// It is slow compared with the other servers.
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
    /// The request did not reach the server.
    NotSent,
}

/// The state of an ejected server. It is allocated separately because few servers have it.
struct Ejection {
    next_probation_at: Time,
    probation_interval: Span,
    is_probation_in_flight: bool,
}

/// The recent failures of one server, and its ejection or suspicion.
pub(crate) struct ServerHealth {
    /// The number of failures since the last success.
    consecutive_failures: u32,
    /// The number of responses that were aborted after a successful start, reduced by each success.
    recent_aborted: f64,
    last_response_at: Time,
    ejection: Option<Box<Ejection>>,
    suspected_until: Time,
}

impl ServerHealth {
    /// The state of a server without failures.
    pub(crate) fn new(now: Time) -> Self {
        ServerHealth {
            consecutive_failures: 0,
            recent_aborted: 0.0,
            last_response_at: now,
            ejection: None,
            suspected_until: now,
        }
    }

    /// Clears the state after a restart of the server process, except for the time of the last response.
    pub(crate) fn restart(&mut self, now: Time) {
        *self = ServerHealth { last_response_at: self.last_response_at, ..ServerHealth::new(now) };
    }

    /// When the server last responded to a request, with success or not.
    pub(crate) fn last_response_at(&self) -> Time {
        self.last_response_at
    }

    /// Whether the server is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the server is suspected, which counts only with sparse traffic.
    pub(crate) fn is_suspected(&self, now: Time) -> bool {
        now < self.suspected_until
    }

    /// The factor on the server's weight with sparse traffic: below 1 if it is suspected.
    pub(crate) fn weight(&self, now: Time) -> f64 {
        if self.is_suspected(now) {
            SUSPECTED_WEIGHT
        } else {
            1.0
        }
    }

    /// Whether the server may be sent a request now: it is not ejected, or a probation request is due. Idempotent
    /// requests are preferred for probation. Others are permitted when no idempotent one has arrived for some
    /// intervals, as otherwise a site without idempotent requests would never use an ejected server again.
    pub(crate) fn permits_request(&self, now: Time, is_idempotent: bool) -> bool {
        self.ejection.as_deref().is_none_or(|ejection| {
            let extra_wait = if is_idempotent {
                Span::ZERO
            } else {
                ejection.probation_interval * NON_IDEMPOTENT_EXTRA_INTERVALS
            };
            !ejection.is_probation_in_flight && now >= ejection.next_probation_at + extra_wait
        })
    }

    /// Records that the server is sent a request; true if that is a probation request.
    pub(crate) fn record_send(&mut self) -> bool {
        if let Some(ejection) = &mut self.ejection {
            ejection.is_probation_in_flight = true;
        }
        self.is_ejected()
    }

    /// Records how an attempt ended. A rejection is no failure, as the server is full.
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

    /// Records that a response was aborted after a successful start.
    pub(crate) fn record_aborted_response(&mut self) {
        self.recent_aborted += 1.0;
    }

    /// Records how a probation request ended. Success ends the ejection, failure doubles the interval. If the request
    /// did not reach the server, the next one follows after the same interval.
    pub(crate) fn record_probation(&mut self, now: Time, result: ProbationResult) {
        if result == ProbationResult::Passed {
            self.ejection = None;
            self.consecutive_failures = 0;
        } else if let Some(ejection) = &mut self.ejection {
            ejection.is_probation_in_flight = false;
            if result == ProbationResult::Failed {
                ejection.probation_interval = (ejection.probation_interval * 2.0).min(MAX_PROBATION_INTERVAL);
            }
            ejection.next_probation_at = now + ejection.probation_interval;
        }
    }

    /// Ejects the server. Its first probation request is due after the first interval.
    pub(crate) fn eject(&mut self, now: Time) {
        self.ejection = Some(Box::new(Ejection {
            next_probation_at: now + FIRST_PROBATION_INTERVAL,
            probation_interval: FIRST_PROBATION_INTERVAL,
            is_probation_in_flight: false,
        }));
    }

    /// Records gossip that the server is an outlier.
    pub(crate) fn record_gossip(&mut self, now: Time) {
        self.suspected_until = self.suspected_until.max(now + GOSSIP_SUSPICION_TIME);
    }

    /// Ends the ejection or suspicion of the server.
    pub(crate) fn clear(&mut self, now: Time) {
        self.ejection = None;
        self.suspected_until = now;
    }
}

/// The ejected servers, and what outlier detection knows of the fleet as a whole.
pub(crate) struct Outliers {
    /// The moving average of the fraction of attempts that fail, over all servers.
    failure_rate: f64,
    /// The slots of the open servers that are ejected.
    ejected: BTreeSet<usize>,
    gossip: GossipBudget,
}

impl Outliers {
    /// Creates the state of a fleet without outliers.
    pub(crate) fn new(settings: &Settings) -> Self {
        Outliers { failure_rate: 0.0, ejected: BTreeSet::new(), gossip: GossipBudget::new(settings) }
    }

    /// Updates the set of ejected servers after a change of one server.
    pub(crate) fn index(&mut self, slot: usize, server: &ServerHealth, is_open: bool) {
        match is_open && server.is_ejected() {
            true => self.ejected.insert(slot),
            false => self.ejected.remove(&slot),
        };
    }

    /// The slots of the open servers that are ejected.
    pub(crate) fn ejected(&self) -> &BTreeSet<usize> {
        &self.ejected
    }

    /// Records that a request has arrived, which adds to the gossip budget.
    pub(crate) fn record_request(&mut self) {
        self.gossip.earn();
    }

    /// Whether a server has failed more often than chance explains. Also updates the failure rate of the fleet, unless
    /// `is_failure` is `None`: the outcome does not show whether the server fails.
    pub(crate) fn has_failed_too_often(
        &mut self,
        server: &ServerHealth,
        is_failure: Option<bool>,
        is_sparse: bool,
    ) -> bool {
        // The rate without this outcome; otherwise the first few failures would raise the threshold that they have to
        // reach.
        let failure_rate = self.failure_rate.clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE);
        let failure_threshold = (MAX_CHANCE_PROBABILITY.ln() / failure_rate.ln()).ceil().max(MIN_FAILURES);
        if let Some(is_failure) = is_failure {
            self.failure_rate += FAILURE_RATE_GAIN * (f64::from(is_failure) - self.failure_rate);
        }
        let failures = f64::from(server.consecutive_failures) + server.recent_aborted;
        failures >= failure_threshold || (is_sparse && failures >= 1.0)
    }

    /// Ejects a server, unless it is already ejected or too many servers are; true if it was ejected now.
    pub(crate) fn eject(&mut self, now: Time, server: &mut ServerHealth, open_servers: usize) -> bool {
        let ejected = (self.ejected.len() + 1) as f64;
        if server.is_ejected() || ejected > MAX_EJECTED_SHARE * open_servers as f64 {
            return false;
        }
        server.eject(now);
        true
    }

    /// Suspects a server and sends gossip about it to some peers, each of which would otherwise lose a request to
    /// detect the outlier itself.
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

/// How long an attempt may have no response before it is overdue. `expected` is its expected latency as a fraction of
/// the latency objective, `in_flight` the number of own attempts in flight to the server, including this one.
pub(crate) fn overdue_after(latency_objective: Span, expected: f64, in_flight: u32) -> Span {
    let min = if in_flight > 1 { MIN_OVERDUE_FRACTION } else { MIN_OVERDUE_FRACTION_ALONE };
    latency_objective * (OVERDUE_FACTOR * expected).max(min)
}
