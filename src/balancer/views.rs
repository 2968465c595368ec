//! What a balancer shows of its state.

use super::Balancer;
use crate::{EndpointCounts, ServerView, Snapshot, Time, ZoneView};

impl Balancer {
    /// What the process that replaces this one should know; of a large fleet the servers that most is known of.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        self.fleet.snapshot(now)
    }

    /// How many servers the endpoint list has, and how many of them are sent nothing or next to nothing for now.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        self.fleet.endpoint_counts(now)
    }

    /// Its view of each server that the endpoint list has.
    pub fn server_views(&self, now: Time) -> Vec<ServerView> {
        self.fleet.server_views(now)
    }

    /// How it uses each zone, as a whole, and by class where that differs; zones without a response are left out.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        self.fleet.zones.views()
    }

    /// The state behind the decisions in one line, for a log.
    pub fn summary(&self) -> String {
        let fleet = &self.fleet;
        let open = || fleet.endpoints.open().iter().map(|&slot| fleet.server(slot));
        let limits = open().map(|server| server.limit.value());
        let (lowest, sum) = limits.fold((f64::INFINITY, 0.0), |(lowest, sum), l| (lowest.min(l), sum + l));
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
