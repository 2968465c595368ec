//! What a balancer has learned, as it is handed to the process that replaces it.
//!
//! The balancer captures a [`Snapshot`] and restores one. What a snapshot holds comes from another process, so a value
//! is only used if it is a plausible number, and within bounds.

use crate::latency::{MAX_SLOWDOWN, MIN_MEDIAN, MIN_SLOWDOWN};
use crate::{ServerId, Time};
use std::cmp::Reverse;

/// The most servers in a snapshot. Stored, a server takes some 180 bytes, and the file that a snapshot is stored in is
/// limited to 256 KiB (`agent/src/peers/file.rs`).
const MAX_SNAPSHOT_SERVERS: usize = 1024;

/// What a balancer has learned, for the process that takes over from it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The admission level: the fraction of all concurrency limits that is in force.
    pub admission_level: f64,
    /// The median latency of the fleet as a fraction of the latency objective.
    pub median_latency: f64,
    /// The usual latency of each class as a fraction of its latency objective.
    pub class_latencies: Vec<f64>,
    /// The work that a warmed-up server was sent recently.
    pub warm_sent: f64,
    /// What is known of single servers.
    pub servers: Vec<ServerSnapshot>,
}

/// What a balancer has learned of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// When the process that this was learned of started, by the endpoint list.
    pub started: Option<Time>,
    /// Its concurrency limit.
    pub limit: f64,
    /// Whether a late response has ever reduced the limit.
    pub was_reduced: bool,
    /// Its latency relative to the usual latency of the class.
    pub slowdown: f64,
    /// Its latency as a fraction of the latency objective.
    pub latency: f64,
    /// The number of responses that this rests on.
    pub samples: u32,
    /// The work that it was sent recently while it was warming up.
    pub warming_sent: f64,
    /// It is ejected as an outlier.
    pub is_ejected: bool,
}

impl Snapshot {
    /// The admission level, if it is usable; `min_level` at least.
    pub(crate) fn usable_level(&self, min_level: f64) -> Option<f64> {
        is_positive(self.admission_level).then(|| self.admission_level.clamp(min_level, 1.0))
    }

    /// The median latency, if it is usable; `max_latency` at most.
    pub(crate) fn usable_median(&self, max_latency: f64) -> Option<f64> {
        is_positive(self.median_latency).then(|| self.median_latency.clamp(MIN_MEDIAN, max_latency))
    }

    /// The usual latency of each of so many classes, if all are usable; `max_latency` at most.
    pub(crate) fn usable_class_latencies(&self, classes: usize, max_latency: f64) -> Option<Vec<f64>> {
        let is_usable =
            self.class_latencies.len() == classes && self.class_latencies.iter().all(|l| is_positive(*l));
        is_usable.then(|| self.class_latencies.iter().map(|latency| latency.min(max_latency)).collect())
    }

    /// The work that a warmed-up server was sent recently, if it is usable.
    pub(crate) fn usable_warm_sent(&self) -> Option<f64> {
        is_positive(self.warm_sent).then_some(self.warm_sent)
    }
}

impl ServerSnapshot {
    /// This snapshot of a server within bounds; none if it is not usable.
    pub(crate) fn bounded(mut self, bounds: &SnapshotBounds) -> Option<Self> {
        if !is_positive(self.limit) || !is_positive(self.slowdown) || !self.latency.is_finite() {
            return None;
        }
        self.limit = self.limit.clamp(bounds.min_limit, bounds.max_limit);
        self.slowdown = self.slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        self.latency = self.latency.clamp(0.0, bounds.max_latency);
        Some(self)
    }

    /// The work that the server was sent while it was warming up, if that is usable.
    pub(crate) fn usable_warming_sent(&self) -> Option<f64> {
        is_positive(self.warming_sent).then_some(self.warming_sent)
    }
}

/// The bounds of what is restored of a server.
pub(crate) struct SnapshotBounds {
    /// The least concurrency limit.
    pub(crate) min_limit: f64,
    /// The highest concurrency limit.
    pub(crate) max_limit: f64,
    /// The highest latency, as a fraction of the latency objective.
    pub(crate) max_latency: f64,
}

/// Of a large fleet those servers that a snapshot gains most from: ejected ones first, then those that have been
/// measured, the most recent first.
pub(crate) fn select_snapshot_servers<T>(servers: &mut Vec<T>, priority: impl Fn(&T) -> SnapshotPriority) {
    if servers.len() > MAX_SNAPSHOT_SERVERS {
        servers.select_nth_unstable_by_key(MAX_SNAPSHOT_SERVERS, |server| Reverse(priority(server)));
        servers.truncate(MAX_SNAPSHOT_SERVERS);
    }
}

/// How much a snapshot gains from a server.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SnapshotPriority {
    /// It is ejected as an outlier.
    pub(crate) is_ejected: bool,
    /// It has responded.
    pub(crate) is_measured: bool,
    /// When its last response came.
    pub(crate) last_response_at: Time,
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

#[cfg(test)]
mod tests;
