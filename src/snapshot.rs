//! Snapshots of a balancer's measured state, which hand it over to the process that replaces this one.
//!
//! A snapshot that is restored comes from another process. Its values are therefore clamped to bounds, and a value is
//! ignored if it is not a plausible number.

use crate::latency::{MAX_SLOWDOWN, MIN_MEDIAN, MIN_SLOWDOWN};
use crate::{ServerId, Time};
use std::cmp::Reverse;

/// The maximum number of servers in a snapshot. The file that stores a snapshot is limited to 256 KiB
/// (`agent/src/peers/file.rs`), and a server takes about 180 bytes in it.
const MAX_SNAPSHOT_SERVERS: usize = 1024;

/// A balancer's measured state, for the process that takes over from it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The admission level: the fraction of all concurrency limits that is in force.
    pub admission_level: f64,
    /// The median latency of the fleet as a fraction of the latency objective.
    pub median_latency: f64,
    /// The usual latency of each class as a fraction of its latency objective.
    pub class_latencies: Vec<f64>,
    /// The mean work in milliseconds that each warmed-up server was recently sent, as an exponentially decaying sum.
    pub warm_sent: f64,
    /// The state of the individual servers.
    pub servers: Vec<ServerSnapshot>,
}

/// The measured state of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSnapshot {
    /// The server that was measured.
    pub server: ServerId,
    /// When the measured process started, according to the endpoint list.
    pub started: Option<Time>,
    /// The server's concurrency limit.
    pub limit: f64,
    /// Whether a late response has ever reduced the limit.
    pub was_reduced: bool,
    /// The server's latency relative to the usual latency of the class.
    pub slowdown: f64,
    /// The server's latency as a fraction of the latency objective.
    pub latency: f64,
    /// The number of responses that `slowdown` and `latency` were measured from.
    pub samples: u32,
    /// The work in milliseconds that the server was recently sent while it was warming up: an exponentially decaying
    /// sum.
    pub warming_sent: f64,
    /// Whether the server is ejected as an outlier.
    pub is_ejected: bool,
}

impl Snapshot {
    /// The admission level, clamped to at least `min_level`; `None` if it is not a plausible number.
    pub(crate) fn usable_level(&self, min_level: f64) -> Option<f64> {
        is_positive(self.admission_level).then(|| self.admission_level.clamp(min_level, 1.0))
    }

    /// The median latency, clamped to at most `max_latency`; `None` if it is not a plausible number.
    pub(crate) fn usable_median(&self, max_latency: f64) -> Option<f64> {
        is_positive(self.median_latency).then(|| self.median_latency.clamp(MIN_MEDIAN, max_latency))
    }

    /// The usual latencies of the classes, clamped to at most `max_latency`; `None` if one of them is not a plausible
    /// number or if the snapshot has another number of classes.
    pub(crate) fn usable_class_latencies(&self, classes: usize, max_latency: f64) -> Option<Vec<f64>> {
        let is_usable = self.class_latencies.len() == classes
            && self.class_latencies.iter().all(|latency| is_positive(*latency));
        is_usable.then(|| self.class_latencies.iter().map(|latency| latency.min(max_latency)).collect())
    }

    /// The work that each warmed-up server was recently sent; `None` if it is not a plausible number.
    pub(crate) fn usable_warm_sent(&self) -> Option<f64> {
        is_positive(self.warm_sent).then_some(self.warm_sent)
    }
}

impl ServerSnapshot {
    /// This snapshot with its values clamped to `bounds`; `None` if a value is not a plausible number.
    pub(crate) fn bounded(mut self, bounds: &SnapshotBounds) -> Option<Self> {
        if !is_positive(self.limit) || !is_positive(self.slowdown) || !self.latency.is_finite() {
            return None;
        }
        self.limit = self.limit.clamp(bounds.min_limit, bounds.max_limit);
        self.slowdown = self.slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        self.latency = self.latency.clamp(0.0, bounds.max_latency);
        Some(self)
    }

    /// The work that the server was sent while it was warming up; `None` if it is not a plausible number.
    pub(crate) fn usable_warming_sent(&self) -> Option<f64> {
        is_positive(self.warming_sent).then_some(self.warming_sent)
    }
}

/// The bounds that restored values of a server are clamped to.
pub(crate) struct SnapshotBounds {
    /// The lowest concurrency limit.
    pub(crate) min_limit: f64,
    /// The highest concurrency limit.
    pub(crate) max_limit: f64,
    /// The highest latency, as a fraction of the latency objective.
    pub(crate) max_latency: f64,
}

/// Reduces `servers` to the [`MAX_SNAPSHOT_SERVERS`] of the highest priority: ejected ones first, then those that have
/// responded, most recent response first.
pub(crate) fn select_snapshot_servers<T>(servers: &mut Vec<T>, priority: impl Fn(&T) -> SnapshotPriority) {
    if servers.len() > MAX_SNAPSHOT_SERVERS {
        servers.select_nth_unstable_by_key(MAX_SNAPSHOT_SERVERS, |server| Reverse(priority(server)));
        servers.truncate(MAX_SNAPSHOT_SERVERS);
    }
}

/// The priority with which a server is included in a snapshot, compared field by field in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SnapshotPriority {
    /// Whether the server is ejected as an outlier.
    pub(crate) is_ejected: bool,
    /// Whether the server has responded.
    pub(crate) is_measured: bool,
    /// When the server last responded.
    pub(crate) last_response_at: Time,
}

/// Whether a value is a plausible number: positive and finite.
fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

#[cfg(test)]
mod tests;
