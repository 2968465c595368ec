//! Admission control: which requests take precedence in an overload, which are rejected, and when a client may retry.
//!
//! In an overload requests within their tenant's share take precedence over those beyond it, and among each of these
//! protected classes take precedence over the others. A request that can no longer be answered in time is rejected at
//! once.

use crate::latency::Latencies;
use crate::{Class, Request, Settings, Span, TenantId, Time};

/// The time constant of the exponentially decaying request counts, in milliseconds.
const TRAFFIC_WINDOW_MS: f64 = 3000.0;
/// The most votes for the usual timeout of a class. When the clients change theirs, it is adopted after this many
/// requests.
const MAX_TIMEOUT_VOTES: u32 = 50;
/// A new cost hint weighs one over the number of hints so far in the mean, or one over this if there are more.
const MAX_MEAN_HINTS: u32 = 100;
/// A tenant is over its share at this multiple of its fraction of the traffic, as usage varies in normal operation too.
const TENANT_SHARE_SLACK: f64 = 1.4;
/// A request is too late to be sent if less than this fraction of the usual latency of its class is left until its
/// response no longer counts.
const EXPECTED_LATENCY_FACTOR: f64 = 0.7;
/// A queued request must have this multiple of the current latency of its class left before its latency objective ends.
const QUEUE_MARGIN_FACTOR: f64 = 2.0;
/// The largest time that a queued request must have left, as a fraction of the latency objective.
const MAX_QUEUE_MARGIN: f64 = 0.7;
/// The longest queue, in requests.
const MAX_QUEUE_LENGTH: usize = 500;
/// Nothing is queued while more than this fraction of the requests that clients may have open at once is pending. If
/// all of these were queued, clients could not submit a request that could be served at once.
const MAX_OPEN_FRACTION: f64 = 0.75;

/// The times by which a request needs its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimeLimits {
    /// When the client stops waiting.
    pub(crate) deadline: Time,
    /// When the latency objective ends, the deadline at the latest. A later response counts less or not at all.
    pub(crate) objective: Time,
}

impl TimeLimits {
    /// No limits. While a request body is still being received, the host applies its own timeouts.
    pub(crate) const NONE: TimeLimits = TimeLimits { deadline: Time::NEVER, objective: Time::NEVER };

    /// The limits of a request whose time counts from now.
    pub(crate) fn from_now(now: Time, time_left: Span, latency_objective: Span) -> Self {
        let deadline = now + time_left;
        TimeLimits { deadline, objective: (now + latency_objective).min(deadline) }
    }
}

/// What is decided about a request when it arrives.
pub(crate) struct Assessment {
    pub(crate) limits: TimeLimits,
    /// Whether it counts as over its tenant's share of the traffic.
    pub(crate) is_over_share: bool,
}

/// The timeout that the first tries of a class arrive with, found by majority vote over its recent requests.
#[derive(Debug, Clone, Copy, Default)]
struct UsualTimeout {
    timeout: Span,
    votes: u32,
}

impl UsualTimeout {
    /// Counts the timeout of a request as a vote, and returns whether it is within `tolerance` of the usual one.
    fn vote(&mut self, timeout: Span, tolerance: Span) -> bool {
        let difference = Span(timeout.0.abs_diff(self.timeout.0));
        let matches_usual = difference <= tolerance || self.votes == 0;
        match self.votes {
            0 => *self = UsualTimeout { timeout, votes: 1 },
            _ if matches_usual => self.votes = (self.votes + 1).min(MAX_TIMEOUT_VOTES),
            _ => self.votes -= 1,
        }
        matches_usual
    }
}

/// The mean cost hint of a class's requests. Recent hints weigh most.
#[derive(Debug, Clone, Copy, Default)]
struct MeanCostHint {
    mean_ms: f64,
    hints: u32,
}

impl MeanCostHint {
    fn add(&mut self, hint: Span) {
        self.hints = (self.hints + 1).min(MAX_MEAN_HINTS);
        self.mean_ms += (hint.as_ms() - self.mean_ms) / f64::from(self.hints);
    }
}

/// Recent traffic by class and by tenant, and the classes that are protected.
pub(crate) struct Admission {
    usual_timeouts: Vec<UsualTimeout>,
    requests_by_class: Vec<f64>,
    requests_by_tenant: Vec<f64>,
    mean_cost_hints: Vec<MeanCostHint>,
    counted_at: Time,
    /// By class; protected classes are rejected last.
    is_protected: Vec<bool>,
}

impl Admission {
    /// Creates the state before the first request, without protected classes.
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.len();
        Admission {
            usual_timeouts: vec![UsualTimeout::default(); classes],
            requests_by_class: vec![0.0; classes],
            requests_by_tenant: vec![0.0; settings.tenants.len()],
            mean_cost_hints: vec![MeanCostHint::default(); classes],
            counted_at: Time(0),
            is_protected: vec![false; classes],
        }
    }

    /// Counts a request that has arrived, sets its time limits, and decides whether its tenant is over its share.
    pub(crate) fn assess(
        &mut self,
        now: Time,
        request: &Request,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Assessment {
        let class = &settings.classes[request.class.0];
        // First tries of a class arrive with the same timeout. Any other timeout is what the client's earlier tries
        // have left of the deadline, so the latency objective is reduced by the time that they took.
        let timeout = Span(request.time_left.0.saturating_add(request.waited.0));
        let is_first_try = self.usual_timeouts[request.class.0].vote(timeout, settings.event_interval);
        let time_used = if is_first_try { Span::ZERO } else { class.deadline.saturating_sub(timeout) };
        let objective = class.latency_objective.saturating_sub(time_used).saturating_sub(request.waited);
        self.count(now, request);
        Assessment {
            limits: TimeLimits::from_now(now, request.time_left, objective),
            is_over_share: self.is_over_share(request, settings, rng),
        }
    }

    fn count(&mut self, now: Time, request: &Request) {
        let decay = (-now.since(self.counted_at).as_ms() / TRAFFIC_WINDOW_MS).exp();
        self.counted_at = now;
        let counts = self.requests_by_class.iter_mut().chain(&mut self.requests_by_tenant);
        counts.for_each(|count| *count *= decay);
        self.requests_by_class[request.class.0] += 1.0;
        if let Some(hint) = request.cost_hint {
            self.mean_cost_hints[request.class.0].add(hint);
        }
        if let Some(tenant) = request.tenant.and_then(|t| self.requests_by_tenant.get_mut(t.0)) {
            *tenant += 1.0;
        }
    }

    /// Whether a request counts as over its tenant's share. If a tenant exceeds its share, a random part of its
    /// requests does, as large as the excess. A balancer does not see the whole traffic, so it takes its own as a
    /// sample of it.
    fn is_over_share(&self, request: &Request, settings: &Settings, rng: &mut fastrand::Rng) -> bool {
        let Some(TenantId(tenant)) = request.tenant.filter(|t| t.0 < settings.tenants.len()) else {
            return false;
        };
        let has_quota_penalty = settings.over_quota_weight < 1.0;
        if !has_quota_penalty {
            return false;
        }
        let total: f64 = self.requests_by_tenant.iter().sum();
        let share = TENANT_SHARE_SLACK * settings.tenants[tenant].fraction * total;
        rng.f64() * self.requests_by_tenant[tenant] > share.max(1.0)
    }

    /// The mean cost hint of a class in milliseconds, or `None` before the first hint.
    pub(crate) fn mean_cost_hint_ms(&self, class: usize) -> Option<f64> {
        let mean = self.mean_cost_hints[class];
        (mean.hints > 0).then_some(mean.mean_ms)
    }

    /// Whether a class is protected: its requests are rejected last.
    pub(crate) fn is_protected(&self, class: usize) -> bool {
        self.is_protected[class]
    }

    /// Decides which classes are protected. Rejecting a set of classes costs their priority and, once for any set, the
    /// part of the goal that depends on the worst class. The set with the lowest cost for the work that it frees is not
    /// protected.
    pub(crate) fn rank_classes(&mut self, settings: &Settings, latencies: &Latencies) {
        let work = |class: usize| self.requests_by_class[class] * latencies.usual_ms(class);
        let priority = |class: usize| {
            let traffic = if settings.weight_by_work { work(class) } else { self.requests_by_class[class] };
            settings.classes[class].priority_weight * traffic
        };
        let priority_per_work = |class: usize| priority(class) / work(class);
        let mut order: Vec<usize> = (0..settings.classes.len()).filter(|&class| work(class) > 0.0).collect();
        order.sort_by(|&a, &b| priority_per_work(a).total_cmp(&priority_per_work(b)));
        let total_priority: f64 = order.iter().map(|&class| priority(class)).sum();
        let goal = &settings.goal;
        let mut cost = goal.worst_class * total_priority;
        let (mut freed_work, mut lowest_cost, mut unprotected) = (0.0, f64::INFINITY, 0);
        for (index, &class) in order.iter().enumerate() {
            cost += (goal.overall + goal.worst_window) * priority(class);
            freed_work += work(class);
            if cost / freed_work < lowest_cost {
                (lowest_cost, unprotected) = (cost / freed_work, index + 1);
            }
        }
        self.is_protected = vec![false; settings.classes.len()];
        order[unprotected..].iter().for_each(|&class| self.is_protected[class] = true);
    }
}

/// Whether the response to a request sent now would come too late to count. `usual_latency` is that of its class, as a
/// fraction of the latency objective.
pub(crate) fn is_too_late(now: Time, class: &Class, limits: &TimeLimits, usual_latency: f64) -> bool {
    let expected_latency = class.latency_objective * (EXPECTED_LATENCY_FACTOR * usual_latency);
    let latest_response_at = if class.late_weight > 0.0 { limits.deadline } else { limits.objective };
    now + expected_latency >= latest_response_at
}

/// Whether a request has too little time left to stay queued: it would probably miss its latency objective.
/// `current_latency` is that of its class, as a fraction of the latency objective.
pub(crate) fn is_too_late_to_queue(
    now: Time,
    class: &Class,
    limits: &TimeLimits,
    current_latency: f64,
) -> bool {
    let margin = (QUEUE_MARGIN_FACTOR * current_latency).min(MAX_QUEUE_MARGIN);
    now + class.latency_objective * margin >= limits.objective
}

/// Whether one more request may be queued while `queued` requests are in the queue and `open` requests are pending.
pub(crate) fn has_queue_capacity(settings: &Settings, queued: usize, open: usize) -> bool {
    let max_open =
        settings.max_concurrent_requests.map_or(f64::INFINITY, |n| MAX_OPEN_FRACTION * f64::from(n));
    queued < MAX_QUEUE_LENGTH && open as f64 <= max_open
}

/// How long a client should wait before it retries a rejected request of this class; `None` unless the settings enable
/// Retry-After.
pub(crate) fn retry_after(settings: &Settings, class: &Class) -> Option<Span> {
    settings.retry_after.then(|| class.latency_objective.min(settings.max_retry_after))
}

#[cfg(test)]
mod tests;
