//! Observed latencies by class, by machine type and by server.
//!
//! A latency is stored as a fraction of the latency objective of its class, so that classes can be compared. The
//! fraction is at most one: one costly request must not weigh as much as ten late ones.

use crate::moving_average::step_favoring_low;
use crate::running_median::RunningMedian;
use crate::{KindId, Settings};
use std::collections::BTreeMap;

/// The latency, as a fraction of the latency objective, of every response that misses its objective.
pub(crate) const LATE_LATENCY: f64 = 1.0;
/// The latency that is assumed before the first response, as a fraction of the latency objective.
const INITIAL_LATENCY: f64 = 0.2;
/// The lowest median, as a fraction of the latency objective.
pub(crate) const MIN_MEDIAN: f64 = 0.01;
/// The lowest usual latency of a class in milliseconds.
const MIN_USUAL_LATENCY_MS: f64 = 0.001;
/// The lowest usual latency that a response is compared with, as a fraction of the latency objective.
const MIN_USUAL_LATENCY_FRACTION: f64 = 0.001;
/// The weight of a new response in the smoothed latency of its server and in the current latency of its class: these
/// average over about the last eight responses.
pub(crate) const RESPONSE_GAIN: f64 = 0.12;
/// The weight of a new response in the usual latency of its class and in the slowdown of its server; a quarter of it if
/// the response is slower than the average.
const USUAL_GAIN: f64 = 0.04;
/// The lowest slowdown of a server.
pub(crate) const MIN_SLOWDOWN: f64 = 0.05;
/// The highest slowdown of a server.
pub(crate) const MAX_SLOWDOWN: f64 = 8.0;
/// A server whose latency is over this multiple of the median over all servers is slow, and an outlier. Below it, the
/// load of the server alone moves requests to others.
const SLOW_FACTOR: f64 = 3.0;
/// The lowest median that a probation response is compared with, as a fraction of the latency objective.
const MIN_PROBATION_MEDIAN: f64 = 0.1;
/// A server whose latency is at most this fraction of the latency objective is never slow, whatever the median is.
const MIN_SLOW_LATENCY: f64 = 0.25;
/// The least number of samples before a server can be slow, as a single costly request is no evidence.
const MIN_SLOW_SAMPLES: u32 = 4;
/// A new sample weighs one over the number of samples so far in the mean of its machine type, or one over this if there
/// are more.
const MAX_KIND_SAMPLES: f64 = 12.0;
/// The weight of the machine type in the expected latency of a server, in samples of the server itself.
const KIND_SAMPLE_WEIGHT: f64 = 4.0;
/// The highest weight of a server's own samples in its expected latency.
const MAX_OWN_SAMPLE_WEIGHT: f64 = 8.0;

/// The latencies of all classes and machine types, and the median over the servers.
pub(crate) struct Latencies {
    classes: Vec<ClassLatency>,
    kinds: BTreeMap<KindId, KindLatency>,
    median: f64,
    server_latencies: RunningMedian,
    /// The slots of the servers whose latency may have changed since the median was last updated, each once.
    changed: Vec<usize>,
    /// By slot; whether `changed` contains it.
    is_changed: Vec<bool>,
}

struct ClassLatency {
    objective_ms: f64,
    /// A moving average that follows low latencies faster than high ones, so that congestion hardly raises it.
    usual: f64,
    /// A moving average of all latencies, congestion included.
    current: f64,
}

struct KindLatency {
    mean: f64,
    samples: f64,
}

/// The latency of one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServerLatency {
    slowdown: f64,
    smoothed: f64,
    samples: u32,
}

impl ServerLatency {
    /// Creates the state of a server without samples.
    pub(crate) fn new() -> Self {
        ServerLatency { slowdown: 1.0, smoothed: 0.0, samples: 0 }
    }

    /// Creates the state of a server from a snapshot.
    pub(crate) fn restored(slowdown: f64, smoothed: f64, samples: u32) -> Self {
        ServerLatency { slowdown, smoothed, samples }
    }

    /// Creates the state of a server after a passed probation request, which replaces all earlier samples.
    pub(crate) fn after_probation(latency: f64) -> Self {
        ServerLatency { slowdown: 1.0, smoothed: latency, samples: 1 }
    }

    /// How slow the server itself is, apart from congestion: a moving average of its latency relative to the usual
    /// latency of the class, which follows low values faster than high ones.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The smoothed latency as a fraction of the latency objective.
    pub(crate) fn smoothed(&self) -> f64 {
        self.smoothed
    }

    /// The number of latencies that the smoothed latency was computed from.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

impl Latencies {
    /// Creates the state before the first response.
    pub(crate) fn new(settings: &Settings) -> Self {
        let class = |class: &crate::Class| ClassLatency {
            objective_ms: class.latency_objective.as_ms(),
            usual: INITIAL_LATENCY,
            current: INITIAL_LATENCY,
        };
        Latencies {
            classes: settings.classes.iter().map(class).collect(),
            kinds: BTreeMap::new(),
            median: INITIAL_LATENCY,
            server_latencies: RunningMedian::default(),
            changed: Vec::new(),
            is_changed: Vec::new(),
        }
    }

    /// The usual latency of a class as a fraction of its objective.
    pub(crate) fn usual(&self, class: usize) -> f64 {
        self.classes[class].usual
    }

    /// The usual latency of a class in milliseconds.
    pub(crate) fn usual_ms(&self, class: usize) -> f64 {
        (self.classes[class].usual * self.classes[class].objective_ms).max(MIN_USUAL_LATENCY_MS)
    }

    /// The current latency of a class as a fraction of its objective. Unlike the usual one it includes congestion.
    pub(crate) fn current(&self, class: usize) -> f64 {
        self.classes[class].current
    }

    /// The usual latency of each class, as fractions of their objectives.
    pub(crate) fn all_usual(&self) -> Vec<f64> {
        self.classes.iter().map(|class| class.usual).collect()
    }

    /// The current latency of each class, as fractions of their objectives.
    pub(crate) fn all_current(&self) -> Vec<f64> {
        self.classes.iter().map(|class| class.current).collect()
    }

    /// The median of the servers' smoothed latencies, as of the last update.
    pub(crate) fn median(&self) -> f64 {
        self.median
    }

    /// The expected latency of a server for a class when it is idle, as a fraction of the objective.
    pub(crate) fn idle(&self, class: usize, server: &ServerLatency) -> f64 {
        (self.usual(class) * server.slowdown).min(LATE_LATENCY)
    }

    /// Updates the latencies of a class, and the slowdown of a server, with a successful response.
    pub(crate) fn record_success(&mut self, class: usize, server: &mut ServerLatency, latency: f64) {
        let class = &mut self.classes[class];
        step_favoring_low(&mut class.usual, latency, USUAL_GAIN);
        let slowdown = (latency / class.usual.max(MIN_USUAL_LATENCY_FRACTION)).min(MAX_SLOWDOWN);
        step_favoring_low(&mut server.slowdown, slowdown, USUAL_GAIN);
        server.slowdown = server.slowdown.max(MIN_SLOWDOWN);
        class.current += RESPONSE_GAIN * (latency - class.current);
    }

    /// Updates the smoothed latency of a server and of its machine type. Attempts without a response in time count as
    /// [`LATE_LATENCY`].
    pub(crate) fn record_latency(&mut self, kind: KindId, server: &mut ServerLatency, latency: f64) {
        let initial = KindLatency { mean: self.median, samples: 1.0 };
        let kind = self.kinds.entry(kind).or_insert(initial);
        kind.samples = (kind.samples + 1.0).min(MAX_KIND_SAMPLES);
        kind.mean += (latency - kind.mean) / kind.samples;
        server.smoothed = match server.samples {
            0 => latency,
            _ => server.smoothed + RESPONSE_GAIN * (latency - server.smoothed),
        };
        server.samples += 1;
    }

    /// The expected latency of a server: a weighted mean of its own latency and that of its machine type.
    pub(crate) fn expected(&self, kind: KindId, server: &ServerLatency) -> f64 {
        let kind_mean = self.kinds.get(&kind).map_or(self.median, |kind| kind.mean);
        let own_weight = f64::from(server.samples).min(MAX_OWN_SAMPLE_WEIGHT);
        (kind_mean * KIND_SAMPLE_WEIGHT + server.smoothed * own_weight) / (KIND_SAMPLE_WEIGHT + own_weight)
    }

    /// Whether a server is slow compared with the median.
    pub(crate) fn is_slow(&self, server: &ServerLatency) -> bool {
        server.samples >= MIN_SLOW_SAMPLES
            && server.smoothed > SLOW_FACTOR * self.median
            && server.smoothed > MIN_SLOW_LATENCY
    }

    /// Whether the latency of a probation response is good compared with the median.
    pub(crate) fn is_good_probation(&self, latency: f64) -> bool {
        latency < SLOW_FACTOR * self.median.max(MIN_PROBATION_MEDIAN)
    }

    /// Restores the median from a snapshot.
    pub(crate) fn restore_median(&mut self, median: f64) {
        self.median = median;
    }

    /// Restores the usual latency of each class from a snapshot, and takes it for the current one as well.
    pub(crate) fn restore_classes(&mut self, latencies: &[f64]) {
        for (class, latency) in self.classes.iter_mut().zip(latencies) {
            (class.usual, class.current) = (*latency, *latency);
        }
    }

    /// Marks that a server's latency may have changed.
    pub(crate) fn mark_changed(&mut self, slot: usize) {
        if self.is_changed.len() <= slot {
            self.is_changed.resize(slot + 1, false);
        }
        if !self.is_changed[slot] {
            self.is_changed[slot] = true;
            self.changed.push(slot);
        }
    }

    /// Updates the median; the cost depends only on the number of servers that have changed. `latency` returns the
    /// smoothed latency of the server in a slot, or `None` if it does not count.
    pub(crate) fn update_median(&mut self, latency: impl Fn(usize) -> Option<f64>) {
        for slot in std::mem::take(&mut self.changed) {
            self.is_changed[slot] = false;
            self.server_latencies.set(slot, latency(slot));
        }
        if let Some(median) = self.server_latencies.get() {
            self.median = median.max(MIN_MEDIAN);
        }
    }
}

#[cfg(test)]
mod tests;
