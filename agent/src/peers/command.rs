//! The operators' commands on servers and zones, and their format in the file that the processes share.

use serde::{Deserialize, Serialize};

/// Prefix of a zone's key in the shared file. It is part of the file format, which the previous version of the agent
/// reads too. A server's key cannot begin with it, as the admin API accepts no server name that contains a space.
const ZONE_KEY_PREFIX: &str = "zone ";

/// The server or zone that a command applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The server of this name on the endpoint list.
    Server(String),
    /// The zone of this name.
    Zone(String),
}

impl Target {
    /// The key of this target in the shared file.
    pub fn stored_key(&self) -> String {
        match self {
            Target::Server(name) => name.clone(),
            Target::Zone(name) => format!("{ZONE_KEY_PREFIX}{name}"),
        }
    }

    /// The target that has this key in the shared file.
    pub fn from_stored_key(key: &str) -> Self {
        match key.strip_prefix(ZONE_KEY_PREFIX) {
            Some(zone) => Target::Zone(zone.to_owned()),
            None => Target::Server(key.to_owned()),
        }
    }
}

/// The operators' latest command on a target, as it is stored in the shared file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Whether the command cordons the server or evacuates the zone; otherwise it puts the target back in use.
    #[serde(rename = "out")]
    pub is_withdrawn: bool,
    /// When the command was given, in Unix microseconds.
    #[serde(rename = "at")]
    pub given_at_us: u64,
}

#[cfg(test)]
mod tests;
