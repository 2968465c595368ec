//! The record of one server. Each part of the balancer keeps its state of a server here, behind its own type, so that
//! what is known of a server lies together in memory.

use crate::concurrency::ServerLimit;
use crate::connections::ServerConnections;
use crate::latency::ServerLatency;
use crate::load_report::ReportedLoad;
use crate::outliers::ServerHealth;
use crate::slow_start::ServerSlowStart;
use crate::snapshot::SnapshotPriority;
use crate::zones::ZoneAttempt;
use crate::{Endpoint, ServerSnapshot, Status, Time};

/// What is known of a server.
pub(crate) struct Server {
    /// What the endpoint list says.
    pub(crate) endpoint: Endpoint,
    /// The endpoint list and the operators let it be sent requests.
    pub(crate) is_open: bool,
    pub(crate) connections: ServerConnections,
    pub(crate) latency: ServerLatency,
    pub(crate) health: ServerHealth,
    pub(crate) limit: ServerLimit,
    pub(crate) slow_start: ServerSlowStart,
    pub(crate) report: ReportedLoad,
}

impl Server {
    /// A server that nothing but its endpoint is known of.
    pub(crate) fn new(endpoint: Endpoint, now: Time) -> Self {
        Server {
            endpoint,
            is_open: false,
            connections: ServerConnections::new(now),
            latency: ServerLatency::new(),
            health: ServerHealth::new(now),
            limit: ServerLimit::new(now),
            slow_start: ServerSlowStart::default(),
            report: ReportedLoad::default(),
        }
    }

    /// Takes in that a new process runs on the machine: what is known of the previous one says nothing of it.
    pub(crate) fn restart(&mut self, endpoint: Endpoint, now: Time) {
        self.endpoint = endpoint;
        self.is_open = false;
        self.connections.restart(now);
        self.latency = ServerLatency::new();
        self.health.restart(now);
        self.limit = ServerLimit::new(now);
        self.slow_start.restart();
        self.report = ReportedLoad::default();
    }

    /// Whether the endpoint list has the server.
    pub(crate) fn is_listed(&self) -> bool {
        self.endpoint.status != Status::Gone
    }

    /// Its latency, if that counts in the median.
    pub(crate) fn latency_for_median(&self) -> Option<f64> {
        let counts = self.endpoint.status == Status::Serving && self.latency.samples() > 0;
        counts.then_some(self.latency.smoothed())
    }

    /// An attempt that it was sent, as its zone records it.
    pub(crate) fn zone_attempt(&self, sent_at: Time) -> ZoneAttempt {
        ZoneAttempt { zone: self.endpoint.zone, server: self.endpoint.server, sent_at }
    }

    /// How much a snapshot gains from it.
    pub(crate) fn snapshot_priority(&self) -> SnapshotPriority {
        SnapshotPriority {
            is_ejected: self.health.is_ejected(),
            is_measured: self.latency.samples() > 0,
            last_response_at: self.limit.last_sample_at(),
        }
    }

    /// What the next process should know of it.
    pub(crate) fn snapshot(&self, now: Time) -> ServerSnapshot {
        ServerSnapshot {
            server: self.endpoint.server,
            started: self.endpoint.started,
            limit: self.limit.value(),
            was_reduced: self.limit.was_reduced(),
            slowdown: self.latency.slowdown(),
            latency: self.latency.smoothed(),
            samples: self.latency.samples(),
            warming_sent: self.slow_start.sent(now),
            is_ejected: self.health.is_ejected(),
        }
    }
}
