//! Zone health: moves requests away from zones that fail, are slow or do not respond, and returns them by a recovery
//! ramp.
//!
//! Each zone has a share, the fraction of its draws in selection that are used, as a whole and for each class. It
//! follows from the outcomes of this balancer's own attempts at several servers of the zone, compared with the outcomes
//! in other zones over the same time, so that no zone is considered failing if the whole fleet is.
//!
//! The share of a zone that does not respond at all becomes zero at once. A zone that fails or is slow for a class
//! loses half of its share for that class per step. It recovers by probation requests, then with shares of a quarter, a
//! half and one, each step after good outcomes in the previous one.

mod evidence;
mod health;
mod probation;
#[cfg(test)]
mod tests;

use crate::{Action, ClassId, Outcome, Settings, Span, Time, ZoneId, ZonePhase, ZoneView};
pub(crate) use evidence::{ZoneAttempt, ZoneChange, ZoneContext, ZoneOutcome, ZoneScope};
use health::{ZoneHealth, ZoneUsage};
use std::collections::BTreeMap;

/// The minimum number of outcomes that a change of share or a comparison with other zones is based on.
const MIN_SAMPLES: f64 = 8.0;
/// The maximum number of recent outcomes that count in the averages of a zone.
const MAX_SAMPLES: f64 = 4.0 * MIN_SAMPLES;
/// After this many outcomes without another reduction, a zone in the phase `Leaving` starts to recover from its current
/// share.
const SETTLED_SAMPLES: f64 = 2.0 * MIN_SAMPLES;
/// A zone is failing if its loss rate exceeds that of the other zones by this much, and by this many standard
/// deviations more.
const MIN_EXCESS_LOSS_RATE: f64 = 0.05;
const MIN_STANDARD_DEVIATIONS: f64 = 3.0;
/// The maximum loss rate that the loss rate of a zone is compared with.
const MAX_EXPECTED_LOSS_RATE: f64 = 0.9;
/// A zone is slow if its slowdown is this multiple of that of the other zones. The slowdown is the latency relative to
/// the usual latency of each server.
const SLOW_FACTOR: f64 = 3.0;
/// The maximum slowdown that a single response counts with.
const MAX_SLOWDOWN: f64 = 2.0 * SLOW_FACTOR;
/// The share with which a zone starts its recovery.
const FIRST_RECOVERY_SHARE: f64 = 0.25;
/// The number of good outcomes before the share is doubled: of the zone as a whole, the same with sparse traffic, and
/// for one class, where most outcomes are good at any time.
const GOOD_OUTCOMES_PER_STEP: u32 = 2;
const GOOD_OUTCOMES_PER_STEP_SPARSE: u32 = 1;
const GOOD_OUTCOMES_PER_STEP_OF_CLASS: u32 = 6;
/// The number of bad outcomes that end a recovery.
const BAD_OUTCOMES_TO_RELAPSE: u32 = 2;
/// The first and the longest interval between probation requests to a zone.
const FIRST_PROBATION_INTERVAL: Span = Span(250_000);
const MAX_PROBATION_INTERVAL: Span = Span(8_000_000);
/// If a zone as a whole responds well within this many first intervals after its share became zero, that was a false
/// alarm.
const FALSE_ALARM_INTERVALS: f64 = 2.0;
/// The maximum number of relapses that lengthen the probation interval.
const MAX_RELAPSES: u32 = 4;
/// It is a relapse if the share of a zone becomes zero again within this many probation intervals after its last
/// change.
const RELAPSE_INTERVALS: f64 = 8.0;
/// The minimum number of requests that a server handles concurrently: it has at least two cores, and half of the
/// response time is waiting.
const MIN_CONCURRENT_REQUESTS_PER_SERVER: f64 = 4.0;
/// The minimum for the fraction of its capacity that a server is assumed to have when it starts.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// Whether one outcome counts for or against its zone.
#[derive(Debug, Clone, Copy)]
struct OutcomeAssessment {
    is_good: bool,
    is_bad: bool,
    sent_at: Time,
}

/// The health of all zones to which attempts were sent.
pub(crate) struct Zones {
    zones: BTreeMap<ZoneId, ZoneHealth>,
    /// Whether the share of any zone is below 1. Otherwise no share needs to be looked up.
    is_any_restricted: bool,
    class_count: usize,
    has_health_checks: bool,
    balancers: u32,
    /// The number of requests that a server handles concurrently when it starts.
    concurrent_requests_per_starting_server: f64,
}

impl Zones {
    /// Creates the state in which nothing is known of any zone.
    pub(crate) fn new(settings: &Settings) -> Self {
        let initial_capacity =
            (settings.initial_capacity * settings.overload_factor).max(MIN_INITIAL_CAPACITY);
        Zones {
            zones: BTreeMap::new(),
            is_any_restricted: false,
            class_count: settings.classes.len(),
            has_health_checks: settings.health_checks,
            balancers: settings.balancers,
            concurrent_requests_per_starting_server: initial_capacity * MIN_CONCURRENT_REQUESTS_PER_SERVER,
        }
    }

    /// The share of a zone for a class: the fraction of its draws that are used.
    pub(crate) fn share(&self, zone: ZoneId, class: usize) -> f64 {
        let health = self.restricted_health(zone);
        health.map_or(1.0, |health| health.usages[class].share * health.usages[self.class_count].share)
    }

    /// Whether a zone may be sent requests that no other zone has capacity for. A zone that serves some classes badly
    /// may, as that is better than nothing. A zone that does not respond, or is recovering from that, may not.
    pub(crate) fn takes_overflow(&self, zone: ZoneId) -> bool {
        self.restricted_health(zone).is_none_or(|health| health.usages[self.class_count].share >= 1.0)
    }

    /// The phase and share of each zone as a whole, and for each class whose phase is not `Serving`.
    pub(crate) fn views(&self) -> Vec<ZoneView> {
        let views = self.zones.iter().flat_map(|(&zone, health)| {
            let is_shown = |(index, usage): &(usize, &ZoneUsage)| {
                *index == self.class_count || usage.phase != ZonePhase::Serving
            };
            let view = move |(index, usage): (usize, &ZoneUsage)| ZoneView {
                zone,
                class: (index < self.class_count).then_some(ClassId(index)),
                phase: usage.phase,
                share: usage.share,
                reason: usage.reason,
                since: usage.since,
            };
            health.usages.iter().enumerate().filter(is_shown).map(view)
        });
        views.collect()
    }

    /// Forgets the zones for which `is_kept` is false.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(ZoneId) -> bool) {
        self.zones.retain(|zone, _| is_kept(*zone));
        self.update_is_any_restricted();
    }

    /// Records how an attempt ended, and changes the share of its zone if necessary.
    pub(crate) fn record_outcome(
        &mut self,
        context: &mut ZoneContext,
        attempt: ZoneAttempt,
        end: ZoneOutcome,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let outcome = end.outcome;
        let is_success = outcome == Outcome::Success;
        let is_lost = outcome.is_failure() || outcome == Outcome::TimedOut;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            if let Some(change) = self.record_unanswered(context, attempt, actions) {
                return change;
            }
        } else if matches!(outcome, Outcome::Success | Outcome::ServerError | Outcome::Rejected) {
            self.health_mut(attempt.zone).record_response(context.now, attempt.sent_at);
        }
        if !is_success && !is_lost {
            return ZoneChange::None;
        }
        // The latency says nothing of the zone if the server is warming up, which makes it slow, or if the attempt was
        // lost.
        let slowdown = if is_success && !end.is_warming_up {
            (end.elapsed.as_ms() / end.usual_ms).min(MAX_SLOWDOWN)
        } else {
            1.0
        };
        let is_slow = slowdown > SLOW_FACTOR;
        let usage = &mut self.health_mut(attempt.zone).usages[end.class];
        usage.record(attempt.server, is_lost, slowdown, is_slow, MAX_SAMPLES);
        let assessment = OutcomeAssessment {
            is_good: is_success && end.is_in_time && !is_slow,
            is_bad: is_lost || is_slow,
            sent_at: attempt.sent_at,
        };
        self.update_phase(
            context,
            ZoneScope { zone: attempt.zone, class: Some(end.class) },
            assessment,
            actions,
        );
        self.update_phase(context, ZoneScope::whole_zone(attempt.zone), assessment, actions)
    }

    /// Records that an attempt has had no response for too long. `None` if its zone has responded since it was sent.
    pub(crate) fn record_unanswered(
        &mut self,
        context: &mut ZoneContext,
        attempt: ZoneAttempt,
        actions: &mut Vec<Action>,
    ) -> Option<ZoneChange> {
        let (scope, class_count) = (ZoneScope::whole_zone(attempt.zone), self.class_count);
        let health = self.health_mut(attempt.zone);
        if attempt.sent_at < health.last_response_at {
            return None;
        }
        let unanswered = health.record_unanswered(attempt.server, attempt.sent_at);
        let phase = health.usages[class_count].phase;
        let is_in_use = matches!(phase, ZonePhase::Serving | ZonePhase::Leaving);
        // If the whole fleet is unresponsive, no other zone has responded to an attempt that was sent after those to
        // two servers of this one.
        let has_other_zone_responded =
            |since: Time| self.zones.iter().any(|(z, h)| *z != attempt.zone && h.last_answered_send > since);
        if is_in_use && unanswered.second_server_sent_at.is_some_and(has_other_zone_responded) {
            self.set_share(context, scope, 0.0, "silent", actions);
            return Some(ZoneChange::Unresponsive(attempt.zone));
        }
        if !is_in_use && unanswered.is_new {
            let assessment = OutcomeAssessment { is_good: false, is_bad: true, sent_at: attempt.sent_at };
            return Some(self.update_phase(context, scope, assessment, actions));
        }
        Some(ZoneChange::None)
    }

    /// Changes the phase and share of a zone as one outcome requires.
    fn update_phase(
        &mut self,
        context: &mut ZoneContext,
        scope: ZoneScope,
        assessment: OutcomeAssessment,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let now = context.now;
        let is_whole_zone = scope.class.is_none();
        let good_outcomes_per_step = match (is_whole_zone, context.is_sparse) {
            (false, _) => GOOD_OUTCOMES_PER_STEP_OF_CLASS,
            (true, true) => GOOD_OUTCOMES_PER_STEP_SPARSE,
            (true, false) => GOOD_OUTCOMES_PER_STEP,
        };
        let usage = self.usage_mut(scope);
        let OutcomeAssessment { is_good, is_bad, sent_at } = assessment;
        let was_sent_since_change = sent_at >= usage.since;
        usage.good_outcomes += u32::from(is_good && was_sent_since_change);
        usage.bad_outcomes += u32::from(is_bad && was_sent_since_change);
        let is_false_alarm =
            is_whole_zone && now.since(usage.since) <= FIRST_PROBATION_INTERVAL * FALSE_ALARM_INTERVALS;
        let (share, reason) = match usage.phase {
            ZonePhase::Away if is_good && is_false_alarm => (1.0, "not away"),
            ZonePhase::Away if is_good && (is_whole_zone || was_sent_since_change) => {
                (FIRST_RECOVERY_SHARE, "a trial went well")
            }
            ZonePhase::Away if is_bad && was_sent_since_change => {
                usage.back_off(now, MAX_PROBATION_INTERVAL);
                return ZoneChange::None;
            }
            ZonePhase::Returning if usage.bad_outcomes >= BAD_OUTCOMES_TO_RELAPSE => (0.0, "relapsed"),
            ZonePhase::Returning if usage.good_outcomes >= good_outcomes_per_step => {
                (2.0 * usage.share, "answers well")
            }
            ZonePhase::Leaving if usage.samples >= SETTLED_SAMPLES => (usage.share, "no worse"),
            ZonePhase::Serving | ZonePhase::Leaving
                if usage.samples >= MIN_SAMPLES && usage.has_bad_outcomes_at_several_servers() =>
            {
                let share = if usage.share > FIRST_RECOVERY_SHARE { 0.5 * usage.share } else { 0.0 };
                match self.detect_problem(scope) {
                    Some(reason) => (share, reason),
                    None => return ZoneChange::None,
                }
            }
            _ => return ZoneChange::None,
        };
        self.set_share(context, scope, share, reason, actions);
        if is_whole_zone {
            ZoneChange::Changed(scope.zone)
        } else {
            ZoneChange::None
        }
    }

    /// Why the share of a zone is to be reduced, compared with the other zones; `None` if it is not.
    fn detect_problem(&mut self, scope: ZoneScope) -> Option<&'static str> {
        let usage = self.usage_mut(scope);
        let (samples, loss_rate, slowdown) = (usage.samples, usage.loss_rate, usage.slowdown);
        let (others_loss_rate, others_slowdown) = self.mean_of_other_zones(scope)?;
        let expected_loss_rate = (others_loss_rate + MIN_EXCESS_LOSS_RATE).min(MAX_EXPECTED_LOSS_RATE);
        let standard_deviation = (samples * expected_loss_rate * (1.0 - expected_loss_rate)).sqrt();
        if (loss_rate - expected_loss_rate) * samples > MIN_STANDARD_DEVIATIONS * standard_deviation {
            Some("failing")
        } else if slowdown > SLOW_FACTOR * others_slowdown.max(1.0) {
            Some("slow")
        } else {
            None
        }
    }

    /// The mean loss rate and slowdown of the other zones in the phase `Serving`; `None` if none of them has enough
    /// outcomes.
    fn mean_of_other_zones(&self, scope: ZoneScope) -> Option<(f64, f64)> {
        let index = self.usage_index(scope);
        let others = self.zones.iter().filter(|(zone, _)| **zone != scope.zone);
        let is_comparable =
            |usage: &&ZoneUsage| usage.phase == ZonePhase::Serving && usage.samples >= MIN_SAMPLES;
        let others: Vec<&ZoneUsage> =
            others.map(|(_, health)| &health.usages[index]).filter(is_comparable).collect();
        let mean = |value: fn(&ZoneUsage) -> f64| {
            others.iter().map(|usage| value(usage)).sum::<f64>() / others.len() as f64
        };
        (!others.is_empty()).then(|| (mean(|usage| usage.loss_rate), mean(|usage| usage.slowdown)))
    }

    /// Sets the share of a zone and the phase that follows from it, and starts to gather evidence anew.
    fn set_share(
        &mut self,
        context: &mut ZoneContext,
        scope: ZoneScope,
        share: f64,
        reason: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let min_interval = self.min_probation_interval(context, scope.zone);
        let jitter = 0.75 + 0.5 * context.rng.f64();
        let usage = self.usage_mut(scope);
        let phase = usage.phase_for(share);
        let interval = FIRST_PROBATION_INTERVAL * 2f64.powi(usage.relapses as i32);
        let is_relapse =
            usage.phase == ZonePhase::Returning || now.since(usage.since) < interval * RELAPSE_INTERVALS;
        let (interval, relapses) = match phase {
            ZonePhase::Away if is_relapse => (interval * 2.0, (usage.relapses + 1).min(MAX_RELAPSES)),
            ZonePhase::Away => (FIRST_PROBATION_INTERVAL, 0),
            _ => (FIRST_PROBATION_INTERVAL, usage.relapses),
        };
        let probation_interval = interval.max(min_interval);
        *usage = ZoneUsage {
            phase,
            share,
            reason,
            since: now,
            next_probation_at: now + probation_interval * jitter,
            probation_interval,
            has_passed_health_check: scope.class.is_some(),
            relapses,
            bad_outcomes: if phase == usage.phase { usage.bad_outcomes } else { 0 },
            ..ZoneUsage::default()
        };
        self.update_is_any_restricted();
        if scope.class.is_none() {
            self.health_mut(scope.zone).clear_unanswered();
        }
        let class = scope.class.map_or(String::new(), |class| format!(" for class {class}"));
        let text = format!("zone is {phase:?}{class} with {:.0}% of its draws: {reason}", 100.0 * share);
        actions.push(Action::Log { server: None, zone: Some(scope.zone), text });
    }

    /// The minimum interval between probation requests, so that those of all balancers together do not exceed the
    /// capacity that the zone's servers have when they start.
    fn min_probation_interval(&self, context: &ZoneContext, zone: ZoneId) -> Span {
        let servers = context.open_servers.members(zone).len().max(1);
        let concurrent_requests = self.concurrent_requests_per_starting_server * servers as f64;
        let latencies = (0..self.class_count).map(|class| context.latencies.usual_ms(class));
        let slowest_ms = latencies.fold(0.0, f64::max);
        Span::from_ms(slowest_ms * f64::from(self.balancers) / concurrent_requests)
            .min(MAX_PROBATION_INTERVAL)
    }

    fn usage_index(&self, scope: ZoneScope) -> usize {
        scope.class.unwrap_or(self.class_count)
    }

    fn health_mut(&mut self, zone: ZoneId) -> &mut ZoneHealth {
        let usages = self.class_count + 1;
        self.zones.entry(zone).or_insert_with(|| ZoneHealth::new(usages))
    }

    fn usage_mut(&mut self, scope: ZoneScope) -> &mut ZoneUsage {
        let index = self.usage_index(scope);
        &mut self.health_mut(scope.zone).usages[index]
    }

    /// The health of a zone; `None` if no share is below 1 or nothing is known of the zone.
    fn restricted_health(&self, zone: ZoneId) -> Option<&ZoneHealth> {
        if self.is_any_restricted {
            self.zones.get(&zone)
        } else {
            None
        }
    }

    fn update_is_any_restricted(&mut self) {
        let mut usages = self.zones.values().flat_map(|health| &health.usages);
        self.is_any_restricted = usages.any(|usage| usage.share < 1.0);
    }
}
