//! How far each zone is in use: zone health, evacuation and the recovery ramp.
//!
//! The evidence is the balancer's own, over several servers of the zone, and is compared with the other zones in the
//! same time, so that no zone fails where the whole fleet does.
//!
//! A zone that does not respond at all is left at once. One that fails or is slow for a class gives up half of its draws
//! of that class a step. It recovers by probation requests, then with a quarter, a half and all of its draws, each after
//! good responses at the step before.

mod evidence;
mod health;
mod probation;
#[cfg(test)]
mod tests;

use crate::{Action, ClassId, Outcome, Settings, Span, Time, ZoneId, ZonePhase, ZoneView};
pub(crate) use evidence::{ZoneAttempt, ZoneChange, ZoneContext, ZoneOutcome, ZoneScope};
use health::{ZoneHealth, ZoneUsage};
use std::collections::BTreeMap;

/// The outcomes that it takes to judge a zone.
const MIN_SAMPLES: f64 = 8.0;
/// The outcomes that are remembered at most.
const MAX_SAMPLES: f64 = 4.0 * MIN_SAMPLES;
/// A zone that is left stays at its present share after so many outcomes.
const SETTLED_SAMPLES: f64 = 2.0 * MIN_SAMPLES;
/// A zone fails if it loses this much more than the others do, and by so many standard deviations.
const MIN_EXCESS_LOSS: f64 = 0.05;
const MIN_DEVIATIONS: f64 = 3.0;
/// The loss of the others is taken to be this at most.
const MAX_EXPECTED_LOSS: f64 = 0.9;
/// A zone is slow at this multiple of the others, each server against its own usual latency.
const SLOW_FACTOR: f64 = 3.0;
/// The highest latency that counts, relative to the usual one.
const MAX_SLOWDOWN: f64 = 2.0 * SLOW_FACTOR;
/// The share of its draws with which a zone starts its recovery.
const FIRST_RECOVERY_SHARE: f64 = 0.25;
/// The good responses before the share is doubled: of the zone as a whole, with sparse traffic, and for one class, where
/// most responses are good all the time.
const GOOD_RESPONSES_PER_STEP: u32 = 2;
const GOOD_RESPONSES_PER_STEP_SPARSE: u32 = 1;
const GOOD_RESPONSES_PER_STEP_OF_CLASS: u32 = 6;
/// The bad responses that end a recovery.
const BAD_RESPONSES_TO_RELAPSE: u32 = 2;
/// The first and the longest interval between two probation requests.
const FIRST_PROBATION_INTERVAL: Span = Span(250_000);
const MAX_PROBATION_INTERVAL: Span = Span(8_000_000);
/// A zone that responds within this many first intervals had not been away.
const FALSE_ALARM_INTERVALS: f64 = 2.0;
/// The relapses that lengthen the interval at most.
const MAX_RELAPSES: u32 = 4;
/// A zone relapses if it is left again within this many intervals.
const RELAPSE_INTERVALS: f64 = 8.0;
/// The requests that a server handles at once at least: two cores, and half of a response's time is waiting.
const REQUESTS_PER_SERVER: f64 = 4.0;
/// The least fraction of its capacity at which a starting server is taken to work.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// What one outcome says of a zone.
#[derive(Debug, Clone, Copy)]
struct Verdict {
    is_good: bool,
    is_bad: bool,
    sent_at: Time,
}

/// All zones that have responded, or have failed to.
pub(crate) struct Zones {
    zones: BTreeMap<ZoneId, ZoneHealth>,
    /// Some zone is less than wholly in use, so that its share has to be looked up.
    is_any_restricted: bool,
    class_count: usize,
    has_health_checks: bool,
    balancers: u32,
    /// The requests that a starting server handles at once.
    requests_per_starting_server: f64,
}

impl Zones {
    /// Nothing is known of any zone.
    pub(crate) fn new(settings: &Settings) -> Self {
        let initial_capacity =
            (settings.initial_capacity * settings.overload_factor).max(MIN_INITIAL_CAPACITY);
        Zones {
            zones: BTreeMap::new(),
            is_any_restricted: false,
            class_count: settings.classes.len(),
            has_health_checks: settings.health_checks,
            balancers: settings.balancers,
            requests_per_starting_server: initial_capacity * REQUESTS_PER_SERVER,
        }
    }

    /// The fraction of its draws that a zone is used for, for a class.
    pub(crate) fn share(&self, zone: ZoneId, class: usize) -> f64 {
        let health = self.restricted(zone);
        health.map_or(1.0, |health| health.usages[class].share * health.usages[self.class_count].share)
    }

    /// Whether the zone may be sent what no other has capacity for: one that serves some classes badly is better than
    /// none, one that does not respond is not.
    pub(crate) fn takes_overflow(&self, zone: ZoneId) -> bool {
        self.restricted(zone).is_none_or(|health| health.usages[self.class_count].share >= 1.0)
    }

    /// How each zone is used, as a whole, and by class where that differs.
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

    /// Forgets the zones that are not to be kept.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(ZoneId) -> bool) {
        self.zones.retain(|zone, _| is_kept(*zone));
        self.update_is_any_restricted();
    }

    /// Takes in how an attempt ended.
    pub(crate) fn record_outcome(
        &mut self,
        context: &mut ZoneContext,
        attempt: ZoneAttempt,
        ended: ZoneOutcome,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let outcome = ended.outcome;
        let is_success = outcome == Outcome::Success;
        let is_lost = outcome.is_failure() || outcome == Outcome::TimedOut;
        if matches!(outcome, Outcome::ConnectFailed | Outcome::TimedOut) {
            if let Some(change) = self.record_unanswered(context, attempt, actions) {
                return change;
            }
        } else if matches!(outcome, Outcome::Success | Outcome::ServerError | Outcome::Rejected) {
            self.health(attempt.zone).record_response(context.now, attempt.sent_at);
        }
        if !is_success && !is_lost {
            return ZoneChange::None;
        }
        // A server that is warming up is slow, and what was lost took no time that says anything.
        let slowdown = if is_success && !ended.is_warming {
            (ended.elapsed.as_ms() / ended.usual_ms).min(MAX_SLOWDOWN)
        } else {
            1.0
        };
        let is_slow = slowdown > SLOW_FACTOR;
        let usage = &mut self.health(attempt.zone).usages[ended.class];
        usage.record(attempt.server, is_lost, slowdown, is_slow, MAX_SAMPLES);
        let verdict = Verdict {
            is_good: is_success && ended.is_in_time && !is_slow,
            is_bad: is_lost || is_slow,
            sent_at: attempt.sent_at,
        };
        self.judge(context, ZoneScope { zone: attempt.zone, class: Some(ended.class) }, verdict, actions);
        self.judge(context, ZoneScope::whole(attempt.zone), verdict, actions)
    }

    /// Takes in that an attempt has had no response for too long; none if its zone has responded since it was sent.
    pub(crate) fn record_unanswered(
        &mut self,
        context: &mut ZoneContext,
        attempt: ZoneAttempt,
        actions: &mut Vec<Action>,
    ) -> Option<ZoneChange> {
        let (scope, class_count) = (ZoneScope::whole(attempt.zone), self.class_count);
        let health = self.health(attempt.zone);
        if attempt.sent_at < health.last_response_at {
            return None;
        }
        let silence = health.record_unanswered(attempt.server, attempt.sent_at);
        let phase = health.usages[class_count].phase;
        let is_in_use = matches!(phase, ZonePhase::Serving | ZonePhase::Leaving);
        // If the whole fleet is silent, no other zone has responded to anything that was sent after both.
        let does_other_respond =
            |since: Time| self.zones.iter().any(|(z, h)| *z != attempt.zone && h.last_answered_send > since);
        if is_in_use && silence.second_server_since.is_some_and(does_other_respond) {
            self.change(context, scope, 0.0, "silent", actions);
            return Some(ZoneChange::Unresponsive(attempt.zone));
        }
        if !is_in_use && silence.is_new {
            let verdict = Verdict { is_good: false, is_bad: true, sent_at: attempt.sent_at };
            return Some(self.judge(context, scope, verdict, actions));
        }
        Some(ZoneChange::None)
    }

    /// Decides what follows from one outcome.
    fn judge(
        &mut self,
        context: &mut ZoneContext,
        scope: ZoneScope,
        verdict: Verdict,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let now = context.now;
        let is_whole = scope.class.is_none();
        let good_responses_per_step = match (is_whole, context.is_sparse) {
            (false, _) => GOOD_RESPONSES_PER_STEP_OF_CLASS,
            (true, true) => GOOD_RESPONSES_PER_STEP_SPARSE,
            (true, false) => GOOD_RESPONSES_PER_STEP,
        };
        let usage = self.usage(scope);
        let Verdict { is_good, is_bad, sent_at } = verdict;
        let was_sent_since = sent_at >= usage.since;
        usage.good += u32::from(is_good && was_sent_since);
        usage.bad += u32::from(is_bad && was_sent_since);
        let is_false_alarm =
            is_whole && now.since(usage.since) <= FIRST_PROBATION_INTERVAL * FALSE_ALARM_INTERVALS;
        let (share, reason) = match usage.phase {
            ZonePhase::Away if is_good && is_false_alarm => (1.0, "not away"),
            ZonePhase::Away if is_good && (is_whole || was_sent_since) => {
                (FIRST_RECOVERY_SHARE, "a trial went well")
            }
            ZonePhase::Away if is_bad && was_sent_since => {
                usage.back_off(now, MAX_PROBATION_INTERVAL);
                return ZoneChange::None;
            }
            ZonePhase::Returning if usage.bad >= BAD_RESPONSES_TO_RELAPSE => (0.0, "relapsed"),
            ZonePhase::Returning if usage.good >= good_responses_per_step => {
                (2.0 * usage.share, "answers well")
            }
            ZonePhase::Leaving if usage.samples >= SETTLED_SAMPLES => (usage.share, "no worse"),
            ZonePhase::Serving | ZonePhase::Leaving
                if usage.samples >= MIN_SAMPLES && usage.is_adverse_at_several_servers() =>
            {
                let share = if usage.share > FIRST_RECOVERY_SHARE { 0.5 * usage.share } else { 0.0 };
                match self.complaint(scope) {
                    Some(reason) => (share, reason),
                    None => return ZoneChange::None,
                }
            }
            _ => return ZoneChange::None,
        };
        self.change(context, scope, share, reason, actions);
        if is_whole {
            ZoneChange::Changed(scope.zone)
        } else {
            ZoneChange::None
        }
    }

    /// What is wrong with a zone next to the others, if anything is.
    fn complaint(&mut self, scope: ZoneScope) -> Option<&'static str> {
        let usage = self.usage(scope);
        let (samples, loss, slowdown) = (usage.samples, usage.loss, usage.slowdown);
        let (others_loss, others_slowdown) = self.mean_of_others(scope)?;
        let expected = (others_loss + MIN_EXCESS_LOSS).min(MAX_EXPECTED_LOSS);
        let deviation = (samples * expected * (1.0 - expected)).sqrt();
        if (loss - expected) * samples > MIN_DEVIATIONS * deviation {
            Some("failing")
        } else if slowdown > SLOW_FACTOR * others_slowdown.max(1.0) {
            Some("slow")
        } else {
            None
        }
    }

    /// The mean loss and slowdown of the other zones that are wholly in use; none if too few outcomes tell.
    fn mean_of_others(&self, scope: ZoneScope) -> Option<(f64, f64)> {
        let index = self.index(scope);
        let others = self.zones.iter().filter(|(zone, _)| **zone != scope.zone);
        let is_judged =
            |usage: &&ZoneUsage| usage.phase == ZonePhase::Serving && usage.samples >= MIN_SAMPLES;
        let others: Vec<&ZoneUsage> =
            others.map(|(_, health)| &health.usages[index]).filter(is_judged).collect();
        let mean = |value: fn(&ZoneUsage) -> f64| {
            others.iter().map(|usage| value(usage)).sum::<f64>() / others.len() as f64
        };
        (!others.is_empty()).then(|| (mean(|usage| usage.loss), mean(|usage| usage.slowdown)))
    }

    /// Changes how far a zone is in use.
    fn change(
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
        let usage = self.usage(scope);
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
            next_probation: now + probation_interval * jitter,
            probation_interval,
            is_health_checked: scope.class.is_some(),
            relapses,
            bad: if phase == usage.phase { usage.bad } else { 0 },
            ..ZoneUsage::default()
        };
        self.update_is_any_restricted();
        if scope.class.is_none() {
            self.health(scope.zone).clear_unanswered();
        }
        let class = scope.class.map_or(String::new(), |class| format!(" for class {class}"));
        let text = format!("zone is {phase:?}{class} with {:.0}% of its draws: {reason}", 100.0 * share);
        actions.push(Action::Log { server: None, zone: Some(scope.zone), text });
    }

    /// The probation requests of all balancers together stay within what the zone's servers take when they start.
    fn min_probation_interval(&self, context: &ZoneContext, zone: ZoneId) -> Span {
        let servers = context.open_servers.members(zone).len().max(1);
        let requests_at_once = self.requests_per_starting_server * servers as f64;
        let latencies = (0..self.class_count).map(|class| context.latencies.usual_ms(class));
        let slowest_ms = latencies.fold(0.0, f64::max);
        Span::from_ms(slowest_ms * f64::from(self.balancers) / requests_at_once).min(MAX_PROBATION_INTERVAL)
    }

    fn index(&self, scope: ZoneScope) -> usize {
        scope.class.unwrap_or(self.class_count)
    }

    fn health(&mut self, zone: ZoneId) -> &mut ZoneHealth {
        let usages = self.class_count + 1;
        self.zones.entry(zone).or_insert_with(|| ZoneHealth::new(usages))
    }

    fn usage(&mut self, scope: ZoneScope) -> &mut ZoneUsage {
        let index = self.index(scope);
        &mut self.health(scope.zone).usages[index]
    }

    /// The health of a zone that has one, if any zone is less than wholly in use.
    fn restricted(&self, zone: ZoneId) -> Option<&ZoneHealth> {
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
