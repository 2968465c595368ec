//! Admission: which requests are served first when not all can be, which are rejected, and when a client may retry.
//!
//! In an overload whole classes give way before others, and of each class the requests of tenants that take more than
//! their share. A request that can no longer be answered in time is rejected at once.

use crate::latency::Latencies;
use crate::{Class, Request, Settings, Span, TenantId, Time};

/// Traffic is counted over about this many milliseconds.
const TRAFFIC_WINDOW_MS: f64 = 3000.0;
/// The most votes for the usual wait of a class; a new habit of the clients is believed after as many.
const MAX_WAIT_VOTES: u32 = 50;
/// The most cost hints that a mean goes by.
const MAX_MEAN_HINTS: u32 = 100;
/// A tenant is over its share at this multiple of its fraction; usage varies without anyone flooding the service.
const TENANT_SHARE_SLACK: f64 = 1.4;
/// A response is expected after this fraction of the usual latency of its class.
const EXPECTED_LATENCY_FACTOR: f64 = 0.7;
/// A queued request needs this multiple of its class's current latency, or this fraction of its latency objective.
const QUEUE_MARGIN_FACTOR: f64 = 2.0;
const MAX_QUEUE_MARGIN: f64 = 0.7;
/// The longest queue in requests.
const MAX_QUEUE_LENGTH: usize = 500;
/// Nothing is queued while more than this fraction of the requests that clients can have open is open: if all of them
/// were queued, a request that could be served at once would not even arrive.
const MAX_OPEN_FRACTION: f64 = 0.75;

/// The moments by which a request needs its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TimeLimits {
    /// The client stops waiting.
    pub(crate) deadline: Time,
    /// The latency objective ends; after it a response counts less, or nothing.
    pub(crate) objective: Time,
}

impl TimeLimits {
    /// No limits: a request whose body is still being received is timed by the caller.
    pub(crate) const NONE: TimeLimits = TimeLimits { deadline: Time::NEVER, objective: Time::NEVER };

    /// The limits of a request whose time starts now.
    pub(crate) fn from_now(now: Time, time_left: Span, latency_objective: Span) -> Self {
        let deadline = now + time_left;
        TimeLimits { deadline, objective: (now + latency_objective).min(deadline) }
    }
}

/// What is decided on a request when it arrives.
pub(crate) struct Assessment {
    pub(crate) limits: TimeLimits,
    /// Its tenant has had its share already.
    pub(crate) is_over_share: bool,
}

/// The wait that most requests of a class come with, that of a first try.
#[derive(Debug, Clone, Copy, Default)]
struct UsualWait {
    wait: Span,
    votes: u32,
}

impl UsualWait {
    /// Whether a request comes with the usual wait; it has a vote in what that is.
    fn vote(&mut self, wait: Span, tolerance: Span) -> bool {
        let difference = Span(wait.0.abs_diff(self.wait.0));
        let is_usual = difference <= tolerance || self.votes == 0;
        match self.votes {
            0 => *self = UsualWait { wait, votes: 1 },
            _ if is_usual => self.votes = (self.votes + 1).min(MAX_WAIT_VOTES),
            _ => self.votes -= 1,
        }
        is_usual
    }
}

/// The mean cost hint of a class's requests; the last ones weigh most.
#[derive(Debug, Clone, Copy, Default)]
struct MeanCostHint {
    ms: f64,
    hints: u32,
}

impl MeanCostHint {
    fn add(&mut self, hint: Span) {
        self.hints = (self.hints + 1).min(MAX_MEAN_HINTS);
        self.ms += (hint.as_ms() - self.ms) / f64::from(self.hints);
    }
}

/// The recent traffic by class and by tenant, and what follows from it.
pub(crate) struct Admission {
    usual_waits: Vec<UsualWait>,
    requests_by_class: Vec<f64>,
    requests_by_tenant: Vec<f64>,
    mean_cost_hints: Vec<MeanCostHint>,
    counted_at: Time,
    /// The classes that are rejected last.
    is_protected: Vec<bool>,
}

impl Admission {
    /// Before the first request.
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.len();
        Admission {
            usual_waits: vec![UsualWait::default(); classes],
            requests_by_class: vec![0.0; classes],
            requests_by_tenant: vec![0.0; settings.tenants.len()],
            mean_cost_hints: vec![MeanCostHint::default(); classes],
            counted_at: Time(0),
            is_protected: vec![false; classes],
        }
    }

    /// Counts a request that has arrived, and decides by when it needs its response and whether its tenant is over its
    /// share.
    pub(crate) fn assess(
        &mut self,
        now: Time,
        request: &Request,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Assessment {
        let class = &settings.classes[request.class.0];
        // First tries of a class come with the same wait; another wait is what earlier tries have left of the deadline.
        let is_first_try = self.usual_waits[request.class.0].vote(request.time_left, settings.event_interval);
        let time_used =
            if is_first_try { Span::ZERO } else { class.deadline.saturating_sub(request.time_left) };
        let objective = class.latency_objective.saturating_sub(time_used);
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

    /// Of a tenant that takes more than its fraction of this balancer's traffic, the excess is over its share. No
    /// balancer sees the whole traffic; its own is the sample that it has.
    fn is_over_share(&self, request: &Request, settings: &Settings, rng: &mut fastrand::Rng) -> bool {
        let Some(TenantId(tenant)) = request.tenant.filter(|t| t.0 < settings.tenants.len()) else {
            return false;
        };
        let does_quota_matter = settings.over_quota_weight < 1.0;
        if !does_quota_matter {
            return false;
        }
        let all: f64 = self.requests_by_tenant.iter().sum();
        let share = TENANT_SHARE_SLACK * settings.tenants[tenant].fraction * all;
        rng.f64() * self.requests_by_tenant[tenant] > share.max(1.0)
    }

    /// The mean cost hint of a class in milliseconds; none before the first hint.
    pub(crate) fn mean_cost_hint_ms(&self, class: usize) -> Option<f64> {
        let mean = self.mean_cost_hints[class];
        (mean.hints > 0).then_some(mean.ms)
    }

    /// Whether requests of a class are rejected last.
    pub(crate) fn is_protected(&self, class: usize) -> bool {
        self.is_protected[class]
    }

    /// Decides which classes are rejected last. To reject a set of classes costs their priority and, once, the part of
    /// the result that depends on the worst class; the set that frees most work for its cost is not protected.
    pub(crate) fn rank_classes(&mut self, settings: &Settings, latencies: &Latencies) {
        let work = |class: usize| self.requests_by_class[class] * latencies.usual_ms(class);
        let priority = |class: usize| {
            let amount = if settings.weight_by_work { work(class) } else { self.requests_by_class[class] };
            settings.classes[class].priority_weight * amount
        };
        let value = |class: usize| priority(class) / work(class);
        let mut order: Vec<usize> = (0..settings.classes.len()).filter(|&class| work(class) > 0.0).collect();
        order.sort_by(|&a, &b| value(a).total_cmp(&value(b)));
        let total_priority: f64 = order.iter().map(|&class| priority(class)).sum();
        let goal = &settings.goal;
        let mut cost = goal.worst_class * total_priority;
        let (mut freed, mut lowest_cost, mut unprotected) = (0.0, f64::INFINITY, 0);
        for (index, &class) in order.iter().enumerate() {
            cost += (goal.overall + goal.worst_window) * priority(class);
            freed += work(class);
            if cost / freed < lowest_cost {
                (lowest_cost, unprotected) = (cost / freed, index + 1);
            }
        }
        self.is_protected = vec![false; settings.classes.len()];
        order[unprotected..].iter().for_each(|&class| self.is_protected[class] = true);
    }
}

/// Whether a request that is sent now would be answered too late to count. `usual_latency` is that of its class, as a
/// fraction of its latency objective.
pub(crate) fn is_too_late(now: Time, class: &Class, limits: &TimeLimits, usual_latency: f64) -> bool {
    let expected_latency = class.latency_objective * (EXPECTED_LATENCY_FACTOR * usual_latency);
    let last_moment = if class.late_weight > 0.0 { limits.deadline } else { limits.objective };
    now + expected_latency >= last_moment
}

/// Whether a queued request would be answered after its latency objective. `current_latency` is that of its class, as a
/// fraction of its latency objective.
pub(crate) fn is_too_late_to_queue(
    now: Time,
    class: &Class,
    limits: &TimeLimits,
    current_latency: f64,
) -> bool {
    let margin = (QUEUE_MARGIN_FACTOR * current_latency).min(MAX_QUEUE_MARGIN);
    now + class.latency_objective * margin >= limits.objective
}

/// Whether one more request may be queued, beside so many that are queued, and of so many that are open.
pub(crate) fn has_queue_capacity(settings: &Settings, queued: usize, open: usize) -> bool {
    let max_open =
        settings.max_concurrent_requests.map_or(f64::INFINITY, |n| MAX_OPEN_FRACTION * f64::from(n));
    queued < MAX_QUEUE_LENGTH && open as f64 <= max_open
}

/// When a client whose request of this class was rejected may retry.
pub(crate) fn retry_after(settings: &Settings, class: &Class) -> Option<Span> {
    settings.retry_after.then(|| class.latency_objective.min(settings.max_retry_after))
}

#[cfg(test)]
mod tests;
