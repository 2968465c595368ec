//! Concurrency limits: how many own requests each server may have at once, and the admission level that scales them all.
//!
//! A limit follows from how much longer than on an idle server responses take: below a target it grows while it is in
//! use, above it shrinks. A balancer sees few responses of each server but many of the fleet, so an overload of most
//! servers shows in the admission level within a few round trips, where single limits would take half a minute.

use crate::latency::LATE;
use crate::{Outcome, Settings, Span, Time};

/// The target latency lies this far between the latency of an idle server and the latency objective.
const TARGET: f64 = 0.25;
/// What a late response or a full queue leaves of a limit.
const LATE_REDUCTION: f64 = 0.85;
/// A limit in full use grows by this much in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// And shrinks by this fraction of its overshoot a response; 0.04 and 0.08 cost more than they save.
const SHRINK: f64 = 0.02;
/// The largest overshoot that counts.
const MAX_OVERSHOOT: f64 = 2.0;
/// A limit is in use from this fraction of it on.
const IN_USE: f64 = 0.7;
/// The limit of a server that nothing is known of.
const INITIAL_LIMIT: f64 = 2.0;
/// Up to here a limit that was never reduced grows by `FAST_GROWTH` a response. That ends well before a server that
/// becomes unresponsive could hold a good part of all requests.
const FAST_GROWTH_LIMIT: f64 = 6.0;
const FAST_GROWTH: f64 = 0.5;
/// The highest limit.
pub(crate) const MAX_LIMIT: f64 = 1000.0;
/// In a round trip of slow responses (over twice the target) the admission level loses this fraction of itself, and in
/// one of good ones it gains `LEVEL_GROWTH` of its root: a quarter of slow responses holds it, low levels catch up.
const LEVEL_REDUCTION: f64 = 0.6;
const LEVEL_GROWTH: f64 = 0.2;
/// What it loses with sparse traffic, where late responses are the slow ones: one in seven holds it. Servers that are
/// congested for long may become slower and stay so, and an overload fed by a quarter of late responses never ends.
const LEVEL_REDUCTION_SPARSE: f64 = 1.2;
/// With sparse traffic a round trip is this many responses at least, or a few that are late by chance would shut the
/// balancer; and it always admits this fraction, or it would never see an overload end.
const MIN_ROUND_TRIP_SPARSE: usize = 8;
const MIN_LEVEL_SPARSE: f64 = 0.02;

/// The admission level: the fraction of all concurrency limits that is in force.
pub(crate) struct AdmissionLevel {
    level: f64,
    min_limit: f64,
}

impl AdmissionLevel {
    /// Everything is admitted.
    pub(crate) fn new(settings: &Settings) -> Self {
        AdmissionLevel { level: 1.0, min_limit: min_limit(settings) }
    }

    /// The level, above 0 and up to 1.
    pub(crate) fn value(&self) -> f64 {
        self.level
    }

    /// The lowest level.
    pub(crate) fn min(&self, is_sparse: bool) -> f64 {
        if is_sparse {
            MIN_LEVEL_SPARSE
        } else {
            self.min_limit
        }
    }

    /// Moves the level by one response of this latency, while so many others are in flight.
    pub(crate) fn record(&mut self, latency: f64, in_flight: usize, is_sparse: bool) {
        let (slow_latency, reduction, min_round_trip) = match is_sparse {
            true => (LATE, LEVEL_REDUCTION_SPARSE, MIN_ROUND_TRIP_SPARSE),
            false => (2.0 * TARGET, LEVEL_REDUCTION, 0),
        };
        let change = match latency >= slow_latency {
            true => -reduction * self.level,
            false => LEVEL_GROWTH * self.level.sqrt(),
        };
        let round_trip = min_round_trip.max(in_flight + 1);
        self.level = (self.level + change / round_trip as f64).clamp(self.min(is_sparse), 1.0);
    }

    /// Restores the level from a snapshot.
    pub(crate) fn restore(&mut self, level: f64) {
        self.level = level;
    }
}

/// The lowest limit of a server: this balancer's share of one request at a time.
pub(crate) fn min_limit(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.balancers.max(1))
}

/// What an attempt that has ended says of its server's limit.
pub(crate) struct LimitSample {
    pub(crate) now: Time,
    pub(crate) sent_at: Time,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Span,
    pub(crate) latency_objective: Span,
    /// The latency as a fraction of the objective.
    pub(crate) latency: f64,
    /// The smoothed latency of the server, this one included.
    pub(crate) smoothed_latency: f64,
    /// The latency that the server shows when it is idle.
    pub(crate) idle_latency: f64,
    /// The usual latency of the class.
    pub(crate) usual_latency: f64,
    /// Own requests that the server is still working on.
    pub(crate) at_work: u32,
}

/// The concurrency limit of one server. Below one it is kept by rests after each response.
pub(crate) struct ServerLimit {
    limit: f64,
    /// When a late response or a full queue last reduced it.
    reduced_at: Option<Time>,
    rest_until: Time,
    /// When its last response came, and what that took.
    last_sample_at: Time,
    last_latency_ms: f64,
}

impl ServerLimit {
    /// The limit of a server that nothing is known of.
    pub(crate) fn new(now: Time) -> Self {
        ServerLimit {
            limit: INITIAL_LIMIT,
            reduced_at: None,
            rest_until: now,
            last_sample_at: now,
            last_latency_ms: 0.0,
        }
    }

    /// Own requests that the server may have at an admission level of one.
    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Whether a late response or a full queue has ever reduced it.
    pub(crate) fn was_reduced(&self) -> bool {
        self.reduced_at.is_some()
    }

    /// When the last response came.
    pub(crate) fn last_sample_at(&self) -> Time {
        self.last_sample_at
    }

    /// Restores the limit from a snapshot.
    pub(crate) fn restore(&mut self, limit: f64, was_reduced: bool) {
        self.limit = limit;
        self.reduced_at = was_reduced.then_some(Time(0));
    }

    /// The server is full: it is sent nothing for this long.
    pub(crate) fn rest(&mut self, now: Time, duration: Span) {
        self.rest_until = now + duration;
    }

    /// Whether the server is not resting after it was full; all that limits it with sparse traffic.
    pub(crate) fn is_rested(&self, now: Time) -> bool {
        now >= self.rest_until
    }

    /// Whether the limit leaves capacity for one more request beside those `at_work`. The rests of a limit below one
    /// follow from the limit as it is now, or one late response at a low level would rest a server for a minute.
    pub(crate) fn has_capacity(&self, now: Time, level: f64, slow_start_factor: f64, at_work: u32) -> bool {
        let limit = self.limit * level;
        let rest_ms = self.last_latency_ms * (1.0 / limit - 1.0).max(0.0);
        now.since(self.last_sample_at).as_ms() >= rest_ms
            && self.is_rested(now)
            && f64::from(at_work) + 1.0 <= (limit * slow_start_factor).max(1.0)
    }

    /// Takes in how an attempt ended.
    pub(crate) fn record(&mut self, sample: &LimitSample, min_limit: f64) {
        let target = sample.idle_latency + TARGET * (1.0 - sample.idle_latency);
        let overshoot = (sample.smoothed_latency / target - 1.0).min(MAX_OVERSHOOT);
        self.reduce(sample, target, overshoot, min_limit);
        let is_in_use = f64::from(sample.at_work) + 1.0 >= (IN_USE * self.limit).floor();
        if overshoot <= 0.0 && sample.latency < LATE && is_in_use {
            self.grow();
        }
        (self.last_sample_at, self.last_latency_ms) = (sample.now, sample.elapsed.as_ms());
        if sample.outcome == Outcome::Rejected {
            // A full server rests in any case, or what it rejects would go round the fleet at once.
            self.last_latency_ms = sample.latency_objective.as_ms();
            self.rest(sample.now, Span::from_ms(self.last_latency_ms * sample.usual_latency));
        }
    }

    /// Reduces the limit by how slow the server is. It follows the slower of this response and the smoothed latency's
    /// lag, or that lag would drive the limit down too far. A full queue is certain evidence and counts at once, a late
    /// response only at a slow server: alone it may be a costly request.
    fn reduce(&mut self, sample: &LimitSample, target: f64, overshoot: f64, min_limit: f64) {
        let is_certain = sample.latency >= LATE && (overshoot > 0.0 || sample.outcome != Outcome::Success);
        // What was sent before the last reduction says the same once more.
        let is_known = self.reduced_at.is_some_and(|at| sample.sent_at < at);
        let factor = match (is_certain, is_known) {
            (true, true) => 1.0,
            (true, false) => LATE_REDUCTION,
            (false, _) => 1.0 - SHRINK * overshoot.min(sample.latency / target - 1.0).max(0.0),
        };
        if is_certain && !is_known {
            self.reduced_at = Some(sample.now);
        }
        self.limit = (self.limit * factor).max(min_limit);
    }

    fn grow(&mut self) {
        let is_fast = !self.was_reduced() && self.limit < FAST_GROWTH_LIMIT;
        let growth = if is_fast { FAST_GROWTH } else { GROWTH / self.limit.max(1.0) };
        self.limit = (self.limit + growth).min(MAX_LIMIT);
    }
}

#[cfg(test)]
mod tests;
