//! The JSON schema of the settings object: its keys, its enumerations and the defaults of absent keys.
//!
//! The platform defines the keys, so they must not change; the fields are named as in [`balancer::Settings`]. Times are
//! in milliseconds. Unknown keys are ignored, as later versions of the platform may add some.

use serde::Deserialize;

/// A parsed settings object.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Params {
    pub(crate) balancers: Option<u32>,
    pub(crate) classes: Vec<ClassParams>,
    pub(crate) discovery: Option<DiscoveryParam>,
    pub(crate) family_info: FamilyInfo,
    #[serde(rename = "feedback")]
    pub(crate) reports: ReportParams,
    pub(crate) goal: GoalParams,
    pub(crate) limits: Limits,
    #[serde(rename = "overShareWorth")]
    pub(crate) over_quota_weight: Option<f64>,
    #[serde(rename = "parties")]
    pub(crate) tenants: Vec<TenantParams>,
    #[serde(rename = "penalties")]
    pub(crate) prices: PriceParams,
    #[serde(rename = "periodMs")]
    pub(crate) event_interval_ms: Option<f64>,
    pub(crate) rules: Rules,
    pub(crate) weights: Option<WeightsParam>,
    #[serde(rename = "worthBy")]
    pub(crate) weight_unit: Option<WeightUnit>,
    pub(crate) zone: u32,
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
}

/// A request class.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClassParams {
    pub(crate) name: String,
    #[serde(rename = "aimMs")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "aimStretch")]
    pub(crate) latency_objective_stretch: Option<f64>,
    pub(crate) deadline_ms: f64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: IdempotencyParam,
    #[serde(rename = "group")]
    pub(crate) deduplication_scope: Option<DeduplicationScopeParam>,
    #[serde(rename = "dedupWindowMs")]
    pub(crate) deduplication_window_ms: f64,
    #[serde(rename = "points")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateWorth")]
    pub(crate) late_weight: f64,
    pub(crate) stream: bool,
}

/// Whether a server may execute a request of the class more than once. The default is the strictest value.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum IdempotencyParam {
    Idempotent,
    Deduplicated,
    #[default]
    AtMostOnce,
}

/// Which servers share a deduplication store.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum DeduplicationScopeParam {
    All,
    Zone,
    Cell,
}

/// How the balancer receives changes to the endpoint list.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiscoveryParam {
    Pushed,
    #[serde(rename = "on_request")]
    Polled,
}

/// What the server weights in the endpoint list stand for.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WeightsParam {
    #[serde(rename = "silent")]
    None,
    /// The exact capacity of the server.
    Nominal,
    /// An estimate of the capacity of the server.
    Rough,
    Live,
}

/// The unit to which a priority weight applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WeightUnit {
    Request,
    Work,
}

/// How servers deliver load reports.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReportSourceParam {
    #[serde(rename = "piggyback")]
    Responses,
    #[serde(rename = "pull")]
    HealthChecks,
    #[default]
    #[serde(rename = "silent")]
    None,
}

/// Properties of the kind of service.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct FamilyInfo {
    #[serde(rename = "warmKeys")]
    pub(crate) key_affinity: bool,
}

/// The fields of load reports and how servers deliver them.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ReportParams {
    pub(crate) fields: Vec<String>,
    pub(crate) source: ReportSourceParam,
}

/// The weights of the parts of the overall result: all requests, and the worst window, class and tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct GoalParams {
    #[serde(rename = "whole")]
    pub(crate) overall: f64,
    pub(crate) worst_class: f64,
    pub(crate) worst_tenant: f64,
    pub(crate) worst_window: f64,
}

/// Features that the platform permits, and its limits on attempts and waiting times.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    pub(crate) cancel: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) connect_timeout_ms: Option<f64>,
    pub(crate) keepalive_ms: Option<f64>,
    pub(crate) max_retry_after_ms: f64,
    #[serde(rename = "peers")]
    pub(crate) gossip: bool,
    #[serde(rename = "probes")]
    pub(crate) health_checks: bool,
    pub(crate) retry_after: bool,
    #[serde(rename = "secondCopies")]
    pub(crate) hedging: bool,
}

/// A tenant and its quota.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct TenantParams {
    pub(crate) allowance_per_s: f64,
    pub(crate) fraction: f64,
    pub(crate) name: String,
}

/// The cost of each operation in the overall result.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct PriceParams {
    pub(crate) connection: f64,
    pub(crate) cross_zone: f64,
    pub(crate) handshake: f64,
    #[serde(rename = "lateFail")]
    pub(crate) late_failure: f64,
    #[serde(rename = "probe")]
    pub(crate) health_check: f64,
    pub(crate) waste: f64,
}

/// Timing of polling, drain and slow start, and the thresholds of overload.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Rules {
    #[serde(rename = "askWithinMs")]
    pub(crate) max_poll_interval_ms: Option<f64>,
    #[serde(rename = "coldShare")]
    pub(crate) initial_capacity: Option<f64>,
    #[serde(rename = "warmAfterMs")]
    pub(crate) warm_up_time_ms: Option<f64>,
    #[serde(rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: Option<f64>,
    pub(crate) overload_factor: Option<f64>,
    #[serde(rename = "fallMs")]
    pub(crate) overload_window_ms: Option<f64>,
}
