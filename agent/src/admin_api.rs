//! The answers of the admin API as they are written and read: one JSON object a call. The JSON keys are part of the API
//! and stay as they are where a field has another name.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The answer to `counters`: counts since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that got a server's response, by class.
    pub answered: BTreeMap<String, u64>,
    /// Requests rejected by the agent, by class.
    #[serde(rename = "deferred")]
    pub rejected: BTreeMap<String, u64>,
    /// Requests that failed, by class.
    #[serde(rename = "errored")]
    pub failed: BTreeMap<String, u64>,
    /// Attempts written completely to servers.
    pub sends: u64,
    /// Requests accepted and not ended.
    pub current: u64,
    /// Servers on the endpoint list.
    pub cluster_size: u64,
    /// Those of them that get no requests, or next to none.
    pub cluster_unhealthy: u64,
}

/// The answer to `renderers`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Renderers {
    /// The servers on the endpoint list, by name; at most [`MAX_RENDERERS`].
    pub renderers: Vec<Renderer>,
    /// How many are past that bound.
    pub left_out: u64,
    /// Operator commands that are not on disk yet: they hold in this process, and would not outlive it.
    #[serde(default)]
    pub unsaved: u64,
}

/// One answer has at most so many servers.
pub const MAX_RENDERERS: usize = 2000;
/// One answer has at most so many zones.
pub const MAX_ZONES: usize = 256;

/// One server as an agent sees it. Counts are of this process's own attempts since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Renderer {
    /// Its name on the endpoint list.
    pub id: String,
    /// Its zone on the endpoint list.
    pub zone: String,
    /// Whether the endpoint list has it in service; otherwise it is draining.
    pub serving: bool,
    /// Whether the operators have cordoned it at this agent.
    pub cordoned: bool,
    /// Whether it is ejected as an outlier: it gets probation requests alone, or a small part of its share.
    #[serde(rename = "doubted")]
    pub is_ejected: bool,
    /// The part of its capacity that it is assumed to have, 0 to 1; under 1 it is warming up.
    #[serde(rename = "warmth")]
    pub slow_start_factor: f64,
    /// Its concurrency limit for this agent; under 1 a pause follows each response.
    pub limit: f64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Attempts written completely.
    pub sends: u64,
    /// Attempts with a successful response.
    pub answered: u64,
    /// Attempts that failed: an error, no response in time, no connection or a broken one.
    pub failed: u64,
    /// Attempts that it rejected unprocessed.
    pub rejected: u64,
}

/// The answer to `zones`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zones {
    /// All zones of the endpoint list, by name; at most [`MAX_ZONES`].
    pub zones: Vec<Zone>,
    /// How many are past that bound.
    pub left_out: u64,
    /// Operator commands that are not on disk yet: they hold in this process, and would not outlive it.
    #[serde(default)]
    pub unsaved: u64,
}

/// The health of a zone by an agent's own evidence: for all classes, and for those for which it differs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePhases {
    /// For all classes.
    #[serde(default, flatten)]
    pub overall: ZonePhase,
    /// For single classes, by name.
    #[serde(default)]
    pub classes: BTreeMap<String, ZonePhase>,
}

/// How far a zone gets requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZonePhase {
    /// `serving`, `leaving`, `away` or `returning`.
    pub phase: String,
    /// The part of its usual requests that it gets, 0 to 1.
    pub share: f64,
    /// Why it left `serving` last; empty if it never did.
    pub why: String,
}

impl Default for ZonePhase {
    fn default() -> Self {
        ZonePhase { phase: "serving".into(), share: 1.0, why: String::new() }
    }
}

/// One zone as an agent sees it: sums over its servers. The counts include servers that have left the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name on the endpoint list.
    pub zone: String,
    /// Whether the operators have evacuated it at this agent: it gets no new requests.
    #[serde(default, rename = "left")]
    pub is_evacuated: bool,
    /// Its health by the agent's own evidence.
    #[serde(default, flatten)]
    pub phases: ZonePhases,
    /// Its servers on the endpoint list.
    pub listed: u64,
    /// Those that the endpoint list has in service.
    pub serving: u64,
    /// Those that the operators have cordoned at this agent.
    pub cordoned: u64,
    /// Those that are ejected as outliers.
    #[serde(rename = "doubted")]
    pub ejected: u64,
    /// Those that are warming up.
    #[serde(rename = "cold")]
    pub warming_up: u64,
    /// The sum of their concurrency limits for this agent.
    pub limit: f64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Attempts written completely.
    pub sends: u64,
    /// Attempts with a successful response.
    pub answered: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts rejected unprocessed.
    pub rejected: u64,
}

#[cfg(test)]
mod tests;
