//! What a fleet shows of itself: to operators, and to the next process.

use super::Fleet;
use crate::concurrency::{self, MAX_LIMIT};
use crate::latency::{ServerLatency, LATE};
use crate::server::Server;
use crate::snapshot::{self, SnapshotBounds};
use crate::{EndpointCounts, ServerSnapshot, ServerView, Snapshot, Time};

impl Fleet {
    /// What the process that replaces this one should know; of a large fleet the servers that most is known of.
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

    /// Restores what another balancer has learned, server by server as long as its process is the same; what is not
    /// usable is left out.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot) {
        if let Some(level) = snapshot.usable_level(self.admission_level.min(self.is_sparse())) {
            self.admission_level.restore(level);
        }
        if let Some(median) = snapshot.usable_median(LATE) {
            self.latencies.restore_median(median);
        }
        if let Some(latencies) = snapshot.usable_class_latencies(self.settings.classes.len(), LATE) {
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
        let bounds = SnapshotBounds { min_limit, max_limit: MAX_LIMIT, max_latency: LATE };
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

    /// The number of servers, and of those that are sent nothing or next to nothing for now, whoever decided that.
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

    /// Each server that the endpoint list has.
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
