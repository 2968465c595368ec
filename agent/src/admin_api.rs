//! What the second address answers, in the form in which it is written and read: one JSON object a call.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The answer to `counters`: counts since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests served, by class.
    pub answered: BTreeMap<String, u64>,
    /// Requests refused, by class.
    pub deferred: BTreeMap<String, u64>,
    /// Requests failed, by class.
    pub errored: BTreeMap<String, u64>,
    /// Attempts written whole to renderers.
    pub sends: u64,
    /// Requests taken and not ended.
    pub current: u64,
    /// Renderers on the list.
    pub cluster_size: u64,
    /// Those of them that get nothing, or next to nothing.
    pub cluster_unhealthy: u64,
}

/// The answer to `renderers`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Renderers {
    /// Those on the list, by name; at most [`MAX_RENDERERS`].
    pub renderers: Vec<Renderer>,
    /// Those past that bound.
    pub left_out: u64,
    /// Words of the operators that are not on disk yet: they hold in this process, and would not outlive it.
    #[serde(default)]
    pub unsaved: u64,
}

/// At most so many renderers are told of in one answer.
pub const MAX_RENDERERS: usize = 2000;
/// At most so many zones.
pub const MAX_ZONES: usize = 256;

/// One renderer as an agent sees it. Counts are of attempts since the process began, and of its own alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Renderer {
    /// Its name on the list.
    pub id: String,
    /// Its zone on the list.
    pub zone: String,
    /// The list says that it takes work; else it drains.
    pub serving: bool,
    /// Admin have taken it out of use at this agent.
    pub cordoned: bool,
    /// It is suspect by its own answers: it gets trials alone, or a small part of its share.
    pub doubted: bool,
    /// The share of its capacity that it surely has, 0 to 1; under 1 it has started lately.
    pub warmth: f64,
    /// Requests that it may hold of this agent now; under 1 a rest follows each answer.
    pub limit: f64,
    /// Attempts that are out.
    pub in_flight: u64,
    /// Attempts written whole.
    pub sends: u64,
    /// Attempts served.
    pub answered: u64,
    /// Attempts lost: an error, no answer in time, no connection or a broken one.
    pub failed: u64,
    /// Attempts that it turned away unprocessed.
    pub rejected: u64,
}

/// The answer to `zones`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zones {
    /// All zones that the list names, by name; at most [`MAX_ZONES`].
    pub zones: Vec<Zone>,
    /// Those past that bound.
    pub left_out: u64,
    /// Words of the operators that are not on disk yet: they hold in this process, and would not outlive it.
    #[serde(default)]
    pub unsaved: u64,
}

/// How an agent uses a zone by its own evidence: as a whole, and for the classes for which it differs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePhase {
    /// As a whole.
    #[serde(default, flatten)]
    pub whole: PhaseOf,
    /// For single classes, by name.
    #[serde(default)]
    pub classes: BTreeMap<String, PhaseOf>,
}

/// How far a zone is in use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PhaseOf {
    /// `serving`, `leaving`, `away` or `returning`.
    pub phase: String,
    /// The part of its draws that stand, 0 to 1.
    pub share: f64,
    /// Why; empty if there was never a reason.
    pub why: String,
}

impl Default for PhaseOf {
    fn default() -> Self {
        PhaseOf { phase: "serving".into(), share: 1.0, why: String::new() }
    }
}

/// One zone as an agent sees it: sums over its renderers. The counts go on when a renderer leaves the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name on the list.
    pub zone: String,
    /// Admin have left it at this agent: nothing new goes there.
    #[serde(default)]
    pub left: bool,
    /// How the agent uses it by its own evidence.
    #[serde(default, flatten)]
    pub use_of: ZonePhase,
    /// Its renderers on the list.
    pub listed: u64,
    /// Those that the list says take work.
    pub serving: u64,
    /// Those that staff have taken out of use at this agent.
    pub cordoned: u64,
    /// Those that are suspect by their own answers.
    pub doubted: u64,
    /// Those that have started lately.
    pub cold: u64,
    /// Requests that they may hold of this agent now.
    pub limit: f64,
    /// Attempts that are out.
    pub in_flight: u64,
    /// Attempts written whole.
    pub sends: u64,
    /// Attempts served.
    pub answered: u64,
    /// Attempts lost.
    pub failed: u64,
    /// Attempts turned away unprocessed.
    pub rejected: u64,
}
