//! The state that is kept for one server. Each module defines a type for its part of the state; the parts are stored
//! in one struct so that they are adjacent in memory.

use crate::concurrency::ServerLimit;
use crate::connections::ServerConnections;
use crate::latency::ServerLatency;
use crate::load_report::ReportedLoad;
use crate::outliers::ServerHealth;
use crate::slow_start::ServerSlowStart;
use crate::snapshot::SnapshotPriority;
use crate::zones::ZoneAttempt;
use crate::{Endpoint, ServerSnapshot, Status, Time};

/// The state of a server.
pub(crate) struct Server {
    /// The server's entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Whether both the endpoint list and the operators permit sending requests to the server.
    pub(crate) is_open: bool,
    pub(crate) connections: ServerConnections,
    pub(crate) latency: ServerLatency,
    pub(crate) health: ServerHealth,
    pub(crate) limit: ServerLimit,
    pub(crate) slow_start: ServerSlowStart,
    pub(crate) report: ReportedLoad,
}

impl Server {
    /// A server of which only the endpoint is known.
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

    /// Discards what was measured of the previous process after a new one has started on the machine.
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

    /// Whether the server is in the endpoint list.
    pub(crate) fn is_listed(&self) -> bool {
        self.endpoint.status != Status::Gone
    }

    /// The smoothed latency, if it counts in the fleet's median: if the server is serving and has responded.
    pub(crate) fn latency_for_median(&self) -> Option<f64> {
        let counts = self.endpoint.status == Status::Serving && self.latency.samples() > 0;
        counts.then_some(self.latency.smoothed())
    }

    /// An attempt at this server, as the zone statistics record it.
    pub(crate) fn zone_attempt(&self, sent_at: Time) -> ZoneAttempt {
        ZoneAttempt { zone: self.endpoint.zone, server: self.endpoint.server, sent_at }
    }

    /// The priority with which the server is included in a snapshot of a large fleet.
    pub(crate) fn snapshot_priority(&self) -> SnapshotPriority {
        SnapshotPriority {
            is_ejected: self.health.is_ejected(),
            is_measured: self.latency.samples() > 0,
            last_response_at: self.limit.last_sample_at(),
        }
    }

    /// The state of the server that is handed over to the next process.
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
