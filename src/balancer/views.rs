//! Read access to a balancer's state: snapshot, views for operators and a summary for logs.

use super::Balancer;
use crate::{EndpointCounts, ServerView, Snapshot, Time, ZoneView};

impl Balancer {
    /// The state to restore in the process that replaces this one. In a large fleet it holds only the most relevant
    /// servers.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.fleet.snapshot(now)
    }

    /// The number of servers in the endpoint list, and of those that are currently sent few requests or none.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        self.fleet.endpoint_counts(now)
    }

    /// The state of each server in the endpoint list.
    pub fn server_views(&self, now: Time) -> Vec<ServerView> {
        self.fleet.server_views(now)
    }

    /// The state of each zone, as a whole and for each class whose state differs. Zones that have never responded are
    /// left out.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        self.fleet.zones.views()
    }

    /// A one-line summary of the internal state, for logs.
    pub fn summary(&self) -> String {
        let fleet = &self.fleet;
        let open = || fleet.endpoints.open().iter().map(|&slot| fleet.server(slot));
        let limits = open().map(|server| server.limit.value());
        let (lowest, sum) =
            limits.fold((f64::INFINITY, 0.0), |(lowest, sum), limit| (lowest.min(limit), sum + limit));
        format!(
            "open {} ejected {} in flight {} queued {} level {:.2} limits {sum:.1} lowest {lowest:.2} \
             median {:.2} usual {:.2?} current {:.2?} retry tokens {:.1}",
            open().count(),
            fleet.outliers.ejected().len(),
            self.pending.in_flight_count(),
            self.pending.queue_len(),
            fleet.admission_level.value(),
            fleet.latencies.median(),
            fleet.latencies.all_usual(),
            fleet.latencies.all_current(),
            self.retry_budget.tokens(),
        )
    }
}
