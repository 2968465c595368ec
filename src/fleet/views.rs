//! Snapshots of the fleet for the next process, and views for operators.

use super::Fleet;
use crate::concurrency::{self, MAX_LIMIT};
use crate::latency::{ServerLatency, LATE_LATENCY};
use crate::server::Server;
use crate::snapshot::{self, SnapshotBounds};
use crate::{EndpointCounts, ServerSnapshot, ServerView, Snapshot, Time};

impl Fleet {
    /// The state to restore in the process that replaces this one. In a large fleet it holds only the most relevant
    /// servers.
    pub(crate) fn snapshot(&self, now: Time) -> Snapshot {
        let mut servers: Vec<&Server> =
            self.endpoints.servers().iter().filter(|server| server.is_open).collect();
        snapshot::select_snapshot_servers(&mut servers, |server| server.snapshot_priority());
        Snapshot {
            admission_level: self.admission_level.value(),
            median_latency: self.latencies.median(),
            class_latencies: self.latencies.all_usual(),
            warm_sent: self.slow_start.warm_sent(now),
            servers: servers.into_iter().map(|server| server.snapshot(now)).collect(),
        }
    }

    /// Restores the state of a previous process. A server's state is only restored if the server has not been restarted
    /// since the snapshot and nothing is recorded about it yet. Unusable values are ignored.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot) {
        if let Some(level) = snapshot.usable_level(self.admission_level.min(self.is_sparse())) {
            self.admission_level.restore(level);
        }
        if let Some(median) = snapshot.usable_median(LATE_LATENCY) {
            self.latencies.restore_median(median);
        }
        if let Some(latencies) = snapshot.usable_class_latencies(self.settings.classes.len(), LATE_LATENCY) {
            self.latencies.restore_classes(&latencies);
        }
        if let Some(work) = snapshot.usable_warm_sent() {
            self.slow_start.restore_warm_sent(now, work);
        }
        for server in snapshot.servers {
            self.restore_server(now, server);
        }
    }

    fn restore_server(&mut self, now: Time, snapshot: ServerSnapshot) {
        let Some(slot) = self.endpoints.slot(snapshot.server) else { return };
        let is_sparse = self.is_sparse();
        let server = self.endpoints.server_mut(slot);
        if server.latency.samples() > 0 || server.endpoint.started != snapshot.started {
            return;
        }
        let min_limit = concurrency::min_limit(&self.settings);
        let bounds = SnapshotBounds { min_limit, max_limit: MAX_LIMIT, max_latency: LATE_LATENCY };
        let Some(snapshot) = snapshot.bounded(&bounds) else { return };
        server.limit.restore(snapshot.limit, snapshot.was_reduced);
        server.latency = ServerLatency::restored(snapshot.slowdown, snapshot.latency, snapshot.samples);
        if let Some(work) = snapshot.usable_warming_sent() {
            self.slow_start.restore_sent(now, &mut server.slow_start, work);
        }
        if snapshot.is_ejected && !is_sparse {
            server.health.eject(now);
        }
        self.reindex(slot);
    }

    /// The number of listed servers, and of those that are currently sent few requests or none: servers that are not
    /// open and outliers.
    pub(crate) fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        let is_avoided = |server: &&Server| !server.is_open || self.is_outlier(now, server);
        EndpointCounts {
            listed: self.endpoints.listed().count(),
            avoided: self.endpoints.listed().filter(is_avoided).count(),
        }
    }

    fn is_outlier(&self, now: Time, server: &Server) -> bool {
        server.health.is_ejected() || (self.is_sparse() && server.health.is_suspected(now))
    }

    /// The state of each server in the endpoint list.
    pub(crate) fn server_views(&self, now: Time) -> Vec<ServerView> {
        let view = |server: &Server| ServerView {
            server: server.endpoint.server,
            zone: server.endpoint.zone,
            status: server.endpoint.status,
            cordoned: self.endpoints.is_cordoned(server.endpoint.server),
            outlier: self.is_outlier(now, server),
            in_flight: server.connections.in_flight(),
            limit: server.limit.value() * self.admission_level.value(),
            slow_start_factor: self.slow_start_factor(now, server),
        };
        self.endpoints.listed().map(view).collect()
    }
}
