//! Observed latencies: of each class, of each machine type and of each server.
//!
//! A latency is kept as a fraction of the latency objective of its class, so that classes can be compared; a response
//! that misses its objective counts as one, as a costly request must not weigh like ten late ones.

use crate::moving_average::step_favoring_low;
use crate::running_median::RunningMedian;
use crate::{KindId, Settings};
use std::collections::BTreeMap;

/// The latency fraction of a response that misses its latency objective.
pub(crate) const LATE: f64 = 1.0;
/// What is assumed before the first response.
const INITIAL_LATENCY: f64 = 0.2;
/// The least median, as a fraction of the latency objective.
pub(crate) const MIN_MEDIAN: f64 = 0.01;
/// The least usual latency of a class in milliseconds.
const MIN_USUAL_LATENCY_MS: f64 = 0.001;
/// The least usual latency, as a fraction, that a response is compared with.
const MIN_USUAL_LATENCY: f64 = 0.001;
/// The weight of a new response in a server's latency and in the current one of its class: about the last eight count.
pub(crate) const RESPONSE_GAIN: f64 = 0.12;
/// The weight of a new response in the usual latency of its class; a slower one counts a quarter.
const USUAL_GAIN: f64 = 0.04;
/// The range of a server's slowdown.
pub(crate) const MIN_SLOWDOWN: f64 = 0.05;
pub(crate) const MAX_SLOWDOWN: f64 = 8.0;
/// A server is slow at this multiple of the median over the servers; below it, load alone moves requests elsewhere.
const SLOW_FACTOR: f64 = 3.0;
/// The least median that a probation response is compared with.
const MIN_PROBATION_MEDIAN: f64 = 0.1;
/// A server whose latency is at most this fraction of the objective is not slow, whatever the others' latency is.
const MIN_SLOW_LATENCY: f64 = 0.25;
/// The responses that it takes to call a server slow; one costly request is no evidence.
const MIN_SLOW_SAMPLES: u32 = 4;
/// The responses that the latency of a machine type remembers at most.
const MAX_KIND_SAMPLES: f64 = 12.0;
/// The responses that the latency of a machine type counts for beside a server's own.
const KIND_WEIGHT: f64 = 4.0;
/// The responses that a server's own latency counts for at most.
const MAX_OWN_WEIGHT: f64 = 8.0;

/// The latencies of classes and machine types, and the median over the servers.
pub(crate) struct Latencies {
    classes: Vec<ClassLatency>,
    kinds: BTreeMap<KindId, KindLatency>,
    median: f64,
    server_latencies: RunningMedian,
    /// The servers whose latency may have changed since the median was updated.
    changed: Vec<usize>,
    is_changed: Vec<bool>,
}

struct ClassLatency {
    objective_ms: f64,
    /// Follows the low ones, so that a time of congestion does not pass for the usual state.
    usual: f64,
    /// Follows all of them.
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
    /// The latency of a server that has not responded yet.
    pub(crate) fn new() -> Self {
        ServerLatency { slowdown: 1.0, smoothed: 0.0, samples: 0 }
    }

    /// A latency from a snapshot.
    pub(crate) fn restored(slowdown: f64, smoothed: f64, samples: u32) -> Self {
        ServerLatency { slowdown, smoothed, samples }
    }

    /// The latency after a good probation response, which ends all that was observed before.
    pub(crate) fn after_probation(latency: f64) -> Self {
        ServerLatency { slowdown: 1.0, smoothed: latency, samples: 1 }
    }

    /// How slow the machine itself is: its latency relative to the usual one of the class, following the low ones.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The smoothed latency as a fraction of the latency objective.
    pub(crate) fn smoothed(&self) -> f64 {
        self.smoothed
    }

    /// The responses that this rests on.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }
}

impl Latencies {
    /// Before the first response.
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

    /// The current latency of a class as a fraction of its objective, congestion included.
    pub(crate) fn current(&self, class: usize) -> f64 {
        self.classes[class].current
    }

    /// The usual latency of each class.
    pub(crate) fn all_usual(&self) -> Vec<f64> {
        self.classes.iter().map(|class| class.usual).collect()
    }

    /// The current latency of each class.
    pub(crate) fn all_current(&self) -> Vec<f64> {
        self.classes.iter().map(|class| class.current).collect()
    }

    /// The median over the servers.
    pub(crate) fn median(&self) -> f64 {
        self.median
    }

    /// The latency that a server shows when it is idle.
    pub(crate) fn idle(&self, class: usize, server: &ServerLatency) -> f64 {
        (self.usual(class) * server.slowdown).min(LATE)
    }

    /// Takes in the latency of a successful response.
    pub(crate) fn record_success(&mut self, class: usize, server: &mut ServerLatency, latency: f64) {
        let class = &mut self.classes[class];
        step_favoring_low(&mut class.usual, latency, USUAL_GAIN);
        let slowdown = (latency / class.usual.max(MIN_USUAL_LATENCY)).min(MAX_SLOWDOWN);
        step_favoring_low(&mut server.slowdown, slowdown, USUAL_GAIN);
        server.slowdown = server.slowdown.max(MIN_SLOWDOWN);
        class.current += RESPONSE_GAIN * (latency - class.current);
    }

    /// Takes in a latency of a server, be it of a response or of one that did not come in time.
    pub(crate) fn record_latency(&mut self, kind: KindId, server: &mut ServerLatency, latency: f64) {
        let unknown = KindLatency { mean: self.median, samples: 1.0 };
        let kind = self.kinds.entry(kind).or_insert(unknown);
        kind.samples = (kind.samples + 1.0).min(MAX_KIND_SAMPLES);
        kind.mean += (latency - kind.mean) / kind.samples;
        server.smoothed = match server.samples {
            0 => latency,
            _ => server.smoothed + RESPONSE_GAIN * (latency - server.smoothed),
        };
        server.samples += 1;
    }

    /// The latency to expect of a server by its own responses and by those of its machine type.
    pub(crate) fn expected(&self, kind: KindId, server: &ServerLatency) -> f64 {
        let of_kind = self.kinds.get(&kind).map_or(self.median, |kind| kind.mean);
        let own_weight = f64::from(server.samples).min(MAX_OWN_WEIGHT);
        (of_kind * KIND_WEIGHT + server.smoothed * own_weight) / (KIND_WEIGHT + own_weight)
    }

    /// Whether a server is slow next to the others.
    pub(crate) fn is_slow(&self, server: &ServerLatency) -> bool {
        server.samples >= MIN_SLOW_SAMPLES
            && server.smoothed > SLOW_FACTOR * self.median
            && server.smoothed > MIN_SLOW_LATENCY
    }

    /// Whether the latency of a probation response is good next to the others.
    pub(crate) fn is_good_probation(&self, latency: f64) -> bool {
        latency < SLOW_FACTOR * self.median.max(MIN_PROBATION_MEDIAN)
    }

    /// Restores the median from a snapshot.
    pub(crate) fn restore_median(&mut self, median: f64) {
        self.median = median;
    }

    /// Restores the usual latency of each class from a snapshot.
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

    /// Updates the median, at the cost of the servers that have changed. `latency` gives the smoothed latency of a slot,
    /// none if the slot does not count.
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
