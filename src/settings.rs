//! The configuration of a [`crate::Balancer`] and its validation.

use crate::{Span, ZoneId};
use std::fmt;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Idempotency {
    /// It may be executed any number of times.
    #[default]
    Idempotent,
    /// It carries an idempotency key by which the servers of `scope` recognize a retry and do not execute it again.
    Deduplicated {
        /// The servers that share a deduplication store.
        scope: DeduplicationScope,
        /// How long the servers remember the key, counted from the first attempt.
        window: Span,
    },
    /// It must not be executed more than once.
    AtMostOnce,
}

/// The servers that share a deduplication store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All servers share one store.
    All,
    /// The servers of a zone share a store.
    Zone,
    /// The servers of a cell share a store.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// A response within this time counts with the full `priority_weight`.
    pub latency_objective: Span,
    /// The latency objective of a request is extended by its work times this factor, up to the deadline.
    pub latency_objective_stretch: f64,
    /// How long a client waits for an answer in total, including its own retries.
    pub deadline: Span,
    /// How much a request counts that is answered within its latency objective.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that a response after the latency objective and before the deadline counts.
    pub late_weight: f64,
    /// Responses are streamed; [`crate::Event::FirstByte`] reports that one has begun.
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: Span::from_ms(500.0),
            latency_objective_stretch: 0.0,
            deadline: Span::from_ms(1000.0),
            priority_weight: 1.0,
            late_weight: 0.0,
            stream: false,
        }
    }
}

/// A tenant that has a quota of the service's capacity.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// The fraction of the service that the tenant is entitled to, from 0 to 1.
    pub fraction: f64,
    /// The requests per second, summed over all balancers, that are within the tenant's quota.
    pub allowance_per_s: f64,
}

/// The meaning of a value in a server's load report; [`Settings::report_fields`] gives the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// The requests in flight at the server.
    InFlight,
    /// The requests queued at the server.
    Queue,
    /// The fraction of the server's cores that is busy.
    Utilisation,
    /// The recent service time in milliseconds, excluding queueing.
    ServiceTime,
    /// The requests answered per second.
    Rate,
    /// The errors per second.
    Errors,
    /// A value that the balancer ignores.
    Other,
}

/// How the balancer gets changes of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// Service discovery pushes them.
    #[default]
    Pushed,
    /// The balancer has to request them with [`crate::Action::Watch`].
    Polled,
}

/// Which responses carry load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// The servers send no load reports.
    #[default]
    None,
    /// Responses to requests and to health checks carry them.
    Responses,
    /// Only responses to health checks carry them.
    HealthChecks,
}

/// The meaning of [`crate::Endpoint::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// They have no meaning and are ignored.
    #[default]
    None,
    /// The exact or approximate capacity of the machine.
    Capacity,
    /// The capacity of the machine divided by its load, which may be out of date.
    Live,
}

/// The weights of the components of the service's score; they need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// The weight of the score over all requests.
    pub overall: f64,
    /// The weight of the score in the worst time window.
    pub worst_window: f64,
    /// The weight of the score of the class that is served worst.
    pub worst_class: f64,
    /// The weight of the score of the tenant that is served worst within its quota.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// The costs of operations: by which fraction of the service's score an operation lowers it if it occurs once per
/// request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prices {
    /// The cost of an attempt to a server outside the balancer's zone.
    pub cross_zone: f64,
    /// The cost of a health check.
    pub health_check: f64,
    /// The cost of opening a connection.
    pub handshake: f64,
    /// The cost of an open connection per hundred servers.
    pub connection: f64,
    /// The cost of work that led to no response.
    pub waste: f64,
    /// The cost of a request that fails or is rejected after its latency objective.
    pub late_failure: f64,
}

/// The configuration of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of balancers of this service, including this one.
    pub balancers: u32,
    /// The zone that this balancer runs in.
    pub zone: ZoneId,
    /// The request classes; [`crate::ClassId`] is an index into them. There must be at least one.
    pub classes: Vec<Class>,
    /// The tenants; [`crate::TenantId`] is an index into them. May be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a request counts if its tenant has exceeded the quota.
    pub over_quota_weight: f64,
    /// Whether `priority_weight` applies per unit of work instead of per request.
    pub weight_by_work: bool,
    /// The weights of the components of the service's score.
    pub goal: Goal,
    /// The costs of operations.
    pub prices: Prices,
    /// How the balancer gets changes of the endpoint list.
    pub discovery: Discovery,
    /// The longest interval between two polls of the endpoint list while there is no watch.
    pub max_poll_interval: Span,
    /// Which responses carry load reports.
    pub report_source: ReportSource,
    /// The meaning of each value of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// The meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// Whether a server that has recently handled an affinity key needs less work for further requests with that key.
    pub key_affinity: bool,
    /// The maximum number of attempts per request, at least 1.
    pub max_attempts: u32,
    /// Whether a request may be hedged, that is, have two attempts in flight at once.
    pub hedging: bool,
    /// Whether the balancer may use [`crate::Action::Cancel`].
    pub cancel: bool,
    /// Whether the balancer may use [`crate::Action::HealthCheck`].
    pub health_checks: bool,
    /// Whether the balancer may use [`crate::Action::Gossip`].
    pub gossip: bool,
    /// Whether the host passes the retry time of [`crate::Action::Reject`] on to clients as Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients comply with.
    pub max_retry_after: Span,
    /// For how long an attempt may still begin at a server after the balancer was notified that the server is draining
    /// or has been removed.
    pub drain_grace: Span,
    /// The fraction of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// How long a server takes to reach its full capacity after it starts.
    pub warm_up_time: Span,
    /// A server that is warming up fails if the work that it is sent within `overload_window` exceeds its capacity by
    /// more than this factor.
    pub overload_factor: f64,
    /// The time window that `overload_factor` applies to.
    pub overload_window: Span,
    /// The maximum number of requests that clients can have open at once; `None` if it is unlimited.
    pub max_concurrent_requests: Option<u32>,
    /// The shortest interval between two times at which events are passed in.
    pub event_interval: Span,
    /// After how long a server closes an idle connection.
    pub keepalive: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            goal: Goal::default(),
            prices: Prices::default(),
            discovery: Discovery::Pushed,
            max_poll_interval: Span::from_ms(10_000.0),
            report_source: ReportSource::None,
            report_fields: Vec::new(),
            weights: Weights::None,
            key_affinity: false,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            health_checks: false,
            gossip: false,
            retry_after: false,
            max_retry_after: Span::from_ms(1000.0),
            drain_grace: Span::from_ms(1000.0),
            initial_capacity: 0.1,
            warm_up_time: Span::from_ms(20_000.0),
            overload_factor: 2.0,
            overload_window: Span::from_ms(1000.0),
            max_concurrent_requests: None,
            event_interval: Span::from_ms(1.0),
            keepalive: Span::from_ms(15_000.0),
        }
    }
}

impl Settings {
    /// Returns an error if the settings are invalid; [`crate::Balancer::new`] calls it.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            if class.latency_objective == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "latency_objective" });
            }
            if class.deadline == Span::ZERO {
                return Err(SettingsError::ZeroSpan { setting: "deadline" });
            }
        }
        let fixed = [("initial_capacity", self.initial_capacity), ("overload_factor", self.overload_factor)];
        let weights = self.classes.iter().map(|class| ("priority_weight", class.priority_weight));
        for (setting, value) in fixed.into_iter().chain(weights) {
            if !value.is_finite() || value < 0.0 {
                return Err(SettingsError::BadNumber { setting, value });
            }
        }
        Ok(())
    }
}

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no request class.
    NoClasses,
    /// A number is negative, infinite or NaN.
    BadNumber {
        /// The name of the setting.
        setting: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// A duration that must be positive is zero.
    ZeroSpan {
        /// The name of the setting.
        setting: &'static str,
    },
    /// [`Settings::max_attempts`] is zero.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request class; at least one is needed"),
            SettingsError::BadNumber { setting, value } => {
                write!(f, "setting {setting} is {value}; it must be finite and not negative")
            }
            SettingsError::ZeroSpan { setting } => {
                write!(f, "setting {setting} is zero; it must be a positive duration")
            }
            SettingsError::NoAttempts => {
                write!(f, "setting max_attempts is zero; a request needs at least one attempt")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
