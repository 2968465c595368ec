//! The configuration of a [`crate::Balancer`] and its validation.

use crate::{Span, ZoneId};
use std::fmt;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Idempotency {
    /// May be executed any number of times.
    #[default]
    Idempotent,
    /// Carries an idempotency key by which the servers of `scope` drop a repeated request.
    Deduplicated {
        /// The servers that share a deduplication store.
        scope: DeduplicationScope,
        /// How long they remember the key, counted from the first attempt.
        window: Span,
    },
    /// Must not be executed twice.
    AtMostOnce,
}

/// The servers that share a deduplication store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// A response within this time earns the full `priority_weight`.
    pub latency_objective: Span,
    /// The latency objective grows by this multiple of the request's own work, up to the deadline.
    pub latency_objective_stretch: f64,
    /// How long a client waits in total, over all its retries.
    pub deadline: Span,
    /// What a request that is served within its latency objective counts.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that a response between the latency objective and the deadline keeps.
    pub late_weight: f64,
    /// The response is a stream, announced by [`crate::Event::FirstByte`].
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

/// A tenant with a quota of the service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tenant {
    /// Its fraction of the service, 0 to 1.
    pub fraction: f64,
    /// Requests a second, summed over all balancers, that lie within its quota.
    pub allowance_per_s: f64,
}

/// A field of a server's load report, in the order that [`Settings::report_fields`] gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportField {
    /// Requests in flight at the server.
    InFlight,
    /// Requests queued at the server.
    Queue,
    /// The busy fraction of its cores.
    Utilisation,
    /// Its recent service time in milliseconds, without queueing.
    ServiceTime,
    /// Requests it answers a second.
    Rate,
    /// Errors a second.
    Errors,
    /// A field that the balancer does not use.
    Other,
}

/// How the balancer learns of changes to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Discovery {
    /// Discovery pushes them.
    #[default]
    Pushed,
    /// Only after [`crate::Action::Watch`] or [`crate::Action::FetchEndpoints`].
    Polled,
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ReportSource {
    /// There are none.
    #[default]
    None,
    /// With responses and with health checks.
    Responses,
    /// With health checks only.
    HealthChecks,
}

/// The meaning of [`crate::Endpoint::weight`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Weights {
    /// None; the weights are ignored.
    #[default]
    None,
    /// The capacity of the machine, exactly or roughly.
    Capacity,
    /// The capacity divided by the load of some time ago.
    Live,
}

/// The weights of the parts of the service's overall result; they need not sum to one.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// All requests together.
    pub overall: f64,
    /// The worst time window.
    pub worst_window: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst within its quota.
    pub worst_tenant: f64,
}

impl Default for Goal {
    fn default() -> Self {
        Goal { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 }
    }
}

/// What an operation costs, as a fraction of the result if there is one of it per request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Prices {
    /// An attempt that leaves the balancer's zone.
    pub cross_zone: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub handshake: f64,
    /// An open connection, per hundred servers.
    pub connection: f64,
    /// Work that led to no response.
    pub waste: f64,
    /// A request that ends unserved after its latency objective.
    pub late_failure: f64,
}

/// The configuration of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of balancers of this service, this one included.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// `priority_weight` counts per unit of work and not per request.
    pub weight_by_work: bool,
    /// The weights of the parts of the overall result.
    pub goal: Goal,
    /// What operations cost.
    pub prices: Prices,
    /// How the balancer learns of changes to the endpoint list.
    pub discovery: Discovery,
    /// Without a watch the endpoint list must be polled at least this often.
    pub max_poll_interval: Span,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// The fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// The meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// A server that handled an affinity key recently serves it with less work.
    pub key_affinity: bool,
    /// The maximum number of attempts for a request.
    pub max_attempts: u32,
    /// A request may be hedged: have two attempts in flight at once.
    pub hedging: bool,
    /// [`crate::Action::Cancel`] is allowed.
    pub cancel: bool,
    /// [`crate::Action::HealthCheck`] is allowed.
    pub health_checks: bool,
    /// [`crate::Action::Gossip`] is allowed.
    pub gossip: bool,
    /// Clients are passed the Retry-After of [`crate::Action::Reject`].
    pub retry_after: bool,
    /// The longest Retry-After that a client respects.
    pub max_retry_after: Span,
    /// How long after the notification an attempt may still begin at a draining or removed server.
    pub drain_grace: Span,
    /// The fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// How long a server takes to warm up to its full capacity.
    pub warm_up_time: Span,
    /// A server that is warming up fails when it is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... within this window.
    pub overload_window: Span,
    /// The maximum number of requests that clients can have open at once, if there is one.
    pub max_concurrent_requests: Option<u32>,
    /// The shortest interval between two events.
    pub event_interval: Span,
    /// A server closes a connection that has been idle for this long.
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
    /// Rejects settings that no balancer can work with; [`crate::Balancer::new`] calls it.
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

/// Settings that no balancer can work with.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There must be at least one class.
    NoClasses,
    /// A number that must be finite and not negative is not.
    BadNumber {
        /// Which setting.
        setting: &'static str,
        /// Its value.
        value: f64,
    },
    /// A duration that must be above zero is zero.
    ZeroSpan {
        /// Which setting.
        setting: &'static str,
    },
    /// A request needs at least one attempt.
    NoAttempts,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoClasses => write!(f, "settings name no request class; at least one is needed"),
            SettingsError::BadNumber { setting, value } => {
                write!(f, "setting {setting} is {value}; a finite number of zero or more is needed")
            }
            SettingsError::ZeroSpan { setting } => write!(f, "setting {setting} is zero; it must be longer"),
            SettingsError::NoAttempts => {
                write!(f, "settings allow no attempt for a request; at least one is needed")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
