//! The answers of the admin API, for the agent that writes them and for programs that read them. An answer is one JSON
//! object. The JSON keys are part of the API and must not change, also where a field has another name.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The answer to `counters`: counts since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that were answered with a server's response, by class.
    pub answered: BTreeMap<String, u64>,
    /// Requests rejected by the agent, by class.
    #[serde(rename = "deferred")]
    pub rejected: BTreeMap<String, u64>,
    /// Requests that failed, by class.
    #[serde(rename = "errored")]
    pub failed: BTreeMap<String, u64>,
    /// Attempts whose request was written completely to a server.
    pub sends: u64,
    /// Requests in progress: accepted and not ended.
    pub current: u64,
    /// Servers on the endpoint list.
    pub cluster_size: u64,
    /// Servers on the endpoint list that get no requests, or next to none.
    pub cluster_unhealthy: u64,
}

/// The answer to `renderers`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Renderers {
    /// The servers on the endpoint list, ordered by name; at most [`MAX_RENDERERS`].
    pub renderers: Vec<Renderer>,
    /// How many servers are left out because of that maximum.
    pub left_out: u64,
    /// Operator commands that are not on disk yet. They are in effect in this process, but the next one would not know
    /// them.
    #[serde(default)]
    pub unsaved: u64,
}

/// The maximum number of servers in one answer.
pub const MAX_RENDERERS: usize = 2000;
/// The maximum number of zones in one answer.
pub const MAX_ZONES: usize = 256;

/// The state of one server at an agent. The counts are of the attempts of one agent process since its start.
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
    /// Whether it is ejected as an outlier: it gets only probation requests, or a small part of its share.
    #[serde(rename = "doubted")]
    pub is_ejected: bool,
    /// The part of its capacity that it is assumed to have, from 0 to 1. It is warming up below 1.
    #[serde(rename = "warmth")]
    pub slow_start_factor: f64,
    /// Its concurrency limit at this agent. Below 1, a pause follows each response.
    pub limit: f64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Attempts whose request was written completely.
    pub sends: u64,
    /// Attempts with a successful response.
    pub answered: u64,
    /// Attempts that failed: an error, no response in time, no connection or a broken one.
    pub failed: u64,
    /// Attempts that the server rejected without processing them.
    pub rejected: u64,
}

/// The answer to `zones`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zones {
    /// The zones of the endpoint list, ordered by name; at most [`MAX_ZONES`].
    pub zones: Vec<Zone>,
    /// How many zones are left out because of that maximum.
    pub left_out: u64,
    /// Operator commands that are not on disk yet. They are in effect in this process, but the next one would not know
    /// them.
    #[serde(default)]
    pub unsaved: u64,
}

/// The health of a zone as one agent has observed it: for all classes, and for single classes where it differs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePhases {
    /// For all classes.
    #[serde(default, flatten)]
    pub overall: ZonePhase,
    /// For the classes whose phase differs, by name.
    #[serde(default)]
    pub classes: BTreeMap<String, ZonePhase>,
}

/// How much of its usual requests a zone gets, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZonePhase {
    /// `serving`, `leaving`, `away` or `returning`.
    pub phase: String,
    /// The part of its usual requests that it gets, from 0 to 1.
    pub share: f64,
    /// Why it last left the phase `serving`; empty if it never did.
    pub why: String,
}

impl Default for ZonePhase {
    fn default() -> Self {
        ZonePhase { phase: "serving".into(), share: 1.0, why: String::new() }
    }
}

/// The state of one zone at an agent, as sums over its servers. `sends`, `answered`, `failed` and `rejected` include
/// attempts at servers that have left the endpoint list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name on the endpoint list.
    pub zone: String,
    /// Whether the operators have evacuated it at this agent, so that it gets no new requests.
    #[serde(default, rename = "left")]
    pub is_evacuated: bool,
    /// Its health as the agent has observed it.
    #[serde(default, flatten)]
    pub phases: ZonePhases,
    /// The number of its servers on the endpoint list.
    pub listed: u64,
    /// How many of them the endpoint list has in service.
    pub serving: u64,
    /// How many of them the operators have cordoned at this agent.
    pub cordoned: u64,
    /// How many of them are ejected as outliers.
    #[serde(rename = "doubted")]
    pub ejected: u64,
    /// How many of them are warming up.
    #[serde(rename = "cold")]
    pub warming_up: u64,
    /// The sum of their concurrency limits at this agent.
    pub limit: f64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Attempts whose request was written completely.
    pub sends: u64,
    /// Attempts with a successful response.
    pub answered: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts that a server rejected without processing them.
    pub rejected: u64,
}

#[cfg(test)]
mod tests;
