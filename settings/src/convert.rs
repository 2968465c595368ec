//! Converts the parsed settings object to [`balancer::Settings`].

use crate::params::{
    ClassParams, DeduplicationScopeParam, DiscoveryParam, GoalParams, IdempotencyParam, Params, PriceParams,
    ReportSourceParam, TenantParams, WeightUnit, WeightsParam,
};
use balancer::{
    Class, DeduplicationScope, Discovery, Goal, Idempotency, Prices, ReportField, ReportSource, Settings,
    Span, Tenant, Weights, ZoneId,
};

/// Converts a settings object to the settings of a balancer. An absent key has its value in [`Settings::default`], except
/// that the weights of the goal and `maxRetryAfterMs` are then zero, `cancel` is false and there are no classes. The
/// result is not validated here: [`balancer::Balancer::new`] does that.
pub fn settings(params: &Params) -> Settings {
    let default = Settings::default();
    let (limits, rules) = (&params.limits, &params.rules);
    Settings {
        // Derived from the descriptor limit, which only the host knows.
        max_concurrent_requests: None,
        balancers: params.balancers.unwrap_or(default.balancers),
        zone: ZoneId(params.zone),
        classes: params.classes.iter().map(Class::from).collect(),
        tenants: params.tenants.iter().map(Tenant::from).collect(),
        over_quota_weight: params.over_quota_weight.unwrap_or(default.over_quota_weight),
        weight_by_work: params.weight_unit == Some(WeightUnit::Work),
        goal: Goal::from(&params.goal),
        prices: Prices::from(&params.prices),
        discovery: params.discovery.map_or(default.discovery, Discovery::from),
        max_poll_interval: span_or_default(rules.max_poll_interval_ms, default.max_poll_interval),
        report_source: ReportSource::from(params.reports.source),
        report_fields: params.reports.fields.iter().map(|name| report_field(name)).collect(),
        weights: params.weights.map_or(default.weights, Weights::from),
        key_affinity: params.family_info.key_affinity,
        max_attempts: limits.max_attempts.unwrap_or(default.max_attempts),
        hedging: limits.hedging,
        cancel: limits.cancel,
        health_checks: limits.health_checks,
        gossip: limits.gossip,
        retry_after: limits.retry_after,
        max_retry_after: Span::from_ms(limits.max_retry_after_ms),
        drain_grace: span_or_default(rules.drain_grace_ms, default.drain_grace),
        initial_capacity: rules.initial_capacity.unwrap_or(default.initial_capacity),
        warm_up_time: span_or_default(rules.warm_up_time_ms, default.warm_up_time),
        overload_factor: rules.overload_factor.unwrap_or(default.overload_factor),
        overload_window: span_or_default(rules.overload_window_ms, default.overload_window),
        event_interval: span_or_default(params.event_interval_ms, default.event_interval),
        keepalive: span_or_default(limits.keepalive_ms, default.keepalive),
    }
}

fn span_or_default(ms: Option<f64>, default: Span) -> Span {
    ms.map_or(default, Span::from_ms)
}

/// The load report field with this wire name. An unknown name is [`ReportField::Other`], whose values are not used.
fn report_field(name: &str) -> ReportField {
    match name {
        "inflight" => ReportField::InFlight,
        "queue" => ReportField::Queue,
        "util" => ReportField::Utilisation,
        "latency_ms" => ReportField::ServiceTime,
        "qps" => ReportField::Rate,
        "eps" => ReportField::Errors,
        _ => ReportField::Other,
    }
}

impl From<&ClassParams> for Class {
    fn from(params: &ClassParams) -> Self {
        Class {
            idempotency: idempotency(params),
            latency_objective: Span::from_ms(params.latency_objective_ms),
            latency_objective_stretch: params.latency_objective_stretch.unwrap_or(0.0),
            deadline: Span::from_ms(params.deadline_ms),
            priority_weight: params.priority_weight,
            late_weight: params.late_weight,
            stream: params.stream,
        }
    }
}

fn idempotency(params: &ClassParams) -> Idempotency {
    match params.idempotency {
        IdempotencyParam::Idempotent => Idempotency::Idempotent,
        IdempotencyParam::AtMostOnce => Idempotency::AtMostOnce,
        IdempotencyParam::Deduplicated => Idempotency::Deduplicated {
            // The narrowest scope is the safe default: it permits the fewest servers for a retry.
            scope: params.deduplication_scope.map_or(DeduplicationScope::Cell, DeduplicationScope::from),
            window: Span::from_ms(params.deduplication_window_ms),
        },
    }
}

impl From<DeduplicationScopeParam> for DeduplicationScope {
    fn from(scope: DeduplicationScopeParam) -> Self {
        match scope {
            DeduplicationScopeParam::All => DeduplicationScope::All,
            DeduplicationScopeParam::Zone => DeduplicationScope::Zone,
            DeduplicationScopeParam::Cell => DeduplicationScope::Cell,
        }
    }
}

impl From<&TenantParams> for Tenant {
    fn from(params: &TenantParams) -> Self {
        Tenant { fraction: params.fraction, allowance_per_s: params.allowance_per_s }
    }
}

impl From<&GoalParams> for Goal {
    fn from(params: &GoalParams) -> Self {
        Goal {
            overall: params.overall,
            worst_window: params.worst_window,
            worst_class: params.worst_class,
            worst_tenant: params.worst_tenant,
        }
    }
}

impl From<&PriceParams> for Prices {
    fn from(params: &PriceParams) -> Self {
        Prices {
            cross_zone: params.cross_zone,
            health_check: params.health_check,
            handshake: params.handshake,
            connection: params.connection,
            waste: params.waste,
            late_failure: params.late_failure,
        }
    }
}

impl From<DiscoveryParam> for Discovery {
    fn from(discovery: DiscoveryParam) -> Self {
        match discovery {
            DiscoveryParam::Pushed => Discovery::Pushed,
            DiscoveryParam::Polled => Discovery::Polled,
        }
    }
}

impl From<ReportSourceParam> for ReportSource {
    fn from(source: ReportSourceParam) -> Self {
        match source {
            ReportSourceParam::Responses => ReportSource::Responses,
            ReportSourceParam::HealthChecks => ReportSource::HealthChecks,
            ReportSourceParam::None => ReportSource::None,
        }
    }
}

impl From<WeightsParam> for Weights {
    fn from(weights: WeightsParam) -> Self {
        match weights {
            WeightsParam::None => Weights::None,
            WeightsParam::Nominal | WeightsParam::Rough => Weights::Capacity,
            WeightsParam::Live => Weights::Live,
        }
    }
}
