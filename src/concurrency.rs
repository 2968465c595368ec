//! Concurrency limits: how many of this balancer's requests each server may have at once, and the admission level that
//! scales all limits.
//!
//! A server's limit follows its latency: while that is below a target between the latency of the idle server and the
//! latency objective, a limit in use grows; above the target it shrinks. A balancer sees few responses of each server
//! but many of the whole fleet. The admission level therefore reacts to an overload of most servers within a few round
//! trips, where the limits alone would take half a minute.

use crate::latency::LATE_LATENCY;
use crate::{Outcome, Settings, Span, Time};

/// The target latency of a server: this fraction of the way from its idle latency to the latency objective.
const TARGET_LATENCY_FRACTION: f64 = 0.25;
/// A late response or a full queue multiplies a limit by this.
const LATE_REDUCTION_FACTOR: f64 = 0.85;
/// How much a limit in full use grows during as many responses as it allows requests at once.
const GROWTH_PER_ROUND_TRIP: f64 = 0.1;
/// Each response above the target shrinks a limit by this fraction times the overshoot. 0.04 and 0.08 cost more than
/// they saved.
const SHRINK_PER_RESPONSE: f64 = 0.02;
/// The largest overshoot that counts; an overshoot of one is twice the target latency.
const MAX_OVERSHOOT: f64 = 2.0;
/// A limit counts as in use, and may grow, if at least this fraction of it is used.
const MIN_USED_FRACTION: f64 = 0.7;
/// The limit of a server before its first response.
const INITIAL_LIMIT: f64 = 2.0;
/// Below this, a limit that was never reduced grows by [`FAST_GROWTH_PER_RESPONSE`]. The bound is low enough that a
/// server that becomes unresponsive cannot hold a large part of all requests.
const FAST_GROWTH_LIMIT: f64 = 6.0;
const FAST_GROWTH_PER_RESPONSE: f64 = 0.5;
/// The highest limit.
pub(crate) const MAX_LIMIT: f64 = 1000.0;
/// The fraction of the admission level that it loses in a round trip of slow responses: those whose latency is at least
/// twice [`TARGET_LATENCY_FRACTION`]. In a round trip of good ones it gains [`LEVEL_GROWTH`] times its square root. The
/// level is stable at a quarter of slow responses, and the root lets low levels recover faster.
const LEVEL_REDUCTION: f64 = 0.6;
/// See [`LEVEL_REDUCTION`].
const LEVEL_GROWTH: f64 = 0.2;
/// [`LEVEL_REDUCTION`] with sparse traffic, where only late responses count as slow. The level is stable at one late response in
/// seven. Servers that are congested for long may become slower and stay so, and an overload that is kept up by a
/// quarter of late responses would never end.
const LEVEL_REDUCTION_SPARSE: f64 = 1.2;
/// The least number of responses in a round trip with sparse traffic. With fewer, some responses that are late by
/// chance would make the balancer reject nearly everything.
const MIN_ROUND_TRIP_SPARSE: usize = 8;
/// The lowest admission level with sparse traffic. At zero a balancer would never see that an overload has ended.
const MIN_LEVEL_SPARSE: f64 = 0.02;

/// The admission level: the factor that scales all concurrency limits, or with sparse traffic the fraction of requests
/// that is admitted.
pub(crate) struct AdmissionLevel {
    level: f64,
    min_limit: f64,
}

impl AdmissionLevel {
    /// Creates a level of one, which admits everything.
    pub(crate) fn new(settings: &Settings) -> Self {
        AdmissionLevel { level: 1.0, min_limit: min_limit(settings) }
    }

    /// The level, above zero and at most one.
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

    /// Adjusts the level to a response of this latency, a fraction of the latency objective, while `in_flight` other
    /// attempts are in flight.
    pub(crate) fn record(&mut self, latency: f64, in_flight: usize, is_sparse: bool) {
        let (slow_latency, reduction, min_round_trip) = match is_sparse {
            true => (LATE_LATENCY, LEVEL_REDUCTION_SPARSE, MIN_ROUND_TRIP_SPARSE),
            false => (2.0 * TARGET_LATENCY_FRACTION, LEVEL_REDUCTION, 0),
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

/// The lowest concurrency limit of a server: this balancer's share if all balancers together send it one request at a
/// time.
pub(crate) fn min_limit(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.balancers.max(1))
}

/// What the concurrency limit of a server is updated with after an attempt has ended. The latencies are fractions of
/// the latency objective.
pub(crate) struct LimitSample {
    pub(crate) now: Time,
    pub(crate) sent_at: Time,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Span,
    pub(crate) latency_objective: Span,
    /// The latency of this attempt.
    pub(crate) latency: f64,
    /// The smoothed latency of the server, including this attempt.
    pub(crate) smoothed_latency: f64,
    /// The expected latency of the server when it is idle.
    pub(crate) idle_latency: f64,
    /// The usual latency of the class.
    pub(crate) usual_latency: f64,
    /// The number of this balancer's requests that the server is still working on.
    pub(crate) at_work: u32,
}

/// The concurrency limit of one server. A limit below one is enforced by a pause after each response.
pub(crate) struct ServerLimit {
    limit: f64,
    /// When a late response or a full queue last reduced it.
    reduced_at: Option<Time>,
    paused_until: Time,
    /// When the last attempt with a latency ended.
    last_sample_at: Time,
    /// The latency of that attempt, or the latency objective if it was rejected.
    last_latency_ms: f64,
}

impl ServerLimit {
    /// The limit of a server before its first response.
    pub(crate) fn new(now: Time) -> Self {
        ServerLimit {
            limit: INITIAL_LIMIT,
            reduced_at: None,
            paused_until: now,
            last_sample_at: now,
            last_latency_ms: 0.0,
        }
    }

    /// How many of this balancer's requests the server may have at once at an admission level of one.
    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Whether a late response or a full queue has ever reduced it.
    pub(crate) fn was_reduced(&self) -> bool {
        self.reduced_at.is_some()
    }

    /// When the last attempt with a latency ended.
    pub(crate) fn last_sample_at(&self) -> Time {
        self.last_sample_at
    }

    /// Restores the limit from a snapshot.
    pub(crate) fn restore(&mut self, limit: f64, was_reduced: bool) {
        self.limit = limit;
        self.reduced_at = was_reduced.then_some(Time(0));
    }

    /// Pauses the server because it is full: it is sent nothing for `duration`.
    pub(crate) fn pause(&mut self, now: Time, duration: Span) {
        self.paused_until = now + duration;
    }

    /// Whether the pause after the server was last full is over. With sparse traffic, no other limit on requests in
    /// flight is enforced.
    pub(crate) fn is_pause_over(&self, now: Time) -> bool {
        now >= self.paused_until
    }

    /// Whether the limit allows one more request besides the `at_work` ones. If the limit is below one, the length of
    /// the pause is computed from the current limit and level rather than fixed at the last response; otherwise one
    /// late response at a low level would pause a server for a minute.
    pub(crate) fn has_capacity(&self, now: Time, level: f64, slow_start_factor: f64, at_work: u32) -> bool {
        let limit = self.limit * level;
        let pause_ms = self.last_latency_ms * (1.0 / limit - 1.0).max(0.0);
        now.since(self.last_sample_at).as_ms() >= pause_ms
            && self.is_pause_over(now)
            && f64::from(at_work) + 1.0 <= (limit * slow_start_factor).max(1.0)
    }

    /// Updates the limit after an attempt has ended.
    pub(crate) fn record(&mut self, sample: &LimitSample, min_limit: f64) {
        let target = sample.idle_latency + TARGET_LATENCY_FRACTION * (1.0 - sample.idle_latency);
        let overshoot = (sample.smoothed_latency / target - 1.0).min(MAX_OVERSHOOT);
        self.reduce(sample, target, overshoot, min_limit);
        let is_in_use = f64::from(sample.at_work) + 1.0 >= (MIN_USED_FRACTION * self.limit).floor();
        if overshoot <= 0.0 && sample.latency < LATE_LATENCY && is_in_use {
            self.grow();
        }
        (self.last_sample_at, self.last_latency_ms) = (sample.now, sample.elapsed.as_ms());
        if sample.outcome == Outcome::Rejected {
            // A full server is always paused. Otherwise its rejected requests would be retried across the whole fleet
            // at once.
            self.last_latency_ms = sample.latency_objective.as_ms();
            self.pause(sample.now, Span::from_ms(self.last_latency_ms * sample.usual_latency));
        }
    }

    /// Reduces the limit if the server is too slow. The reduction follows the smaller overshoot of this response and of
    /// the smoothed latency, whose lag would otherwise drive the limit down too far. A rejection by a full queue,
    /// a timeout and a cancellation are conclusive on their own. A late successful response is conclusive only if the
    /// smoothed latency is above the target too, as it may be a single costly request.
    fn reduce(&mut self, sample: &LimitSample, target: f64, overshoot: f64, min_limit: f64) {
        let is_conclusive =
            sample.latency >= LATE_LATENCY && (overshoot > 0.0 || sample.outcome != Outcome::Success);
        // An attempt sent before the last reduction met the same congestion, which must not reduce the limit twice.
        let is_already_counted = self.reduced_at.is_some_and(|at| sample.sent_at < at);
        let factor = match (is_conclusive, is_already_counted) {
            (true, true) => 1.0,
            (true, false) => LATE_REDUCTION_FACTOR,
            (false, _) => 1.0 - SHRINK_PER_RESPONSE * overshoot.min(sample.latency / target - 1.0).max(0.0),
        };
        if is_conclusive && !is_already_counted {
            self.reduced_at = Some(sample.now);
        }
        self.limit = (self.limit * factor).max(min_limit);
    }

    fn grow(&mut self) {
        let is_fast = !self.was_reduced() && self.limit < FAST_GROWTH_LIMIT;
        let growth =
            if is_fast { FAST_GROWTH_PER_RESPONSE } else { GROWTH_PER_ROUND_TRIP / self.limit.max(1.0) };
        self.limit = (self.limit + growth).min(MAX_LIMIT);
    }
}

#[cfg(test)]
mod tests;
