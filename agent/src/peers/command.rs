//! The operators' commands on servers and zones, and their form in the file that the processes share.

use serde::{Deserialize, Serialize};

/// Stands before a zone's name among the stored commands. It is part of the stored form, which the earlier version
/// reads too. The admin API takes no server name with a space, so none is taken for a zone's.
const STORED_ZONE_PREFIX: &str = "zone ";

/// What a command is about.
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
            Target::Zone(name) => format!("{STORED_ZONE_PREFIX}{name}"),
        }
    }

    /// The target that a key of the shared file stands for.
    pub fn from_stored_key(key: &str) -> Self {
        match key.strip_prefix(STORED_ZONE_PREFIX) {
            Some(zone) => Target::Zone(zone.to_owned()),
            None => Target::Server(key.to_owned()),
        }
    }
}

/// The operators' latest command on a target, in the form in which it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The server is cordoned or the zone evacuated; otherwise it is back in use.
    #[serde(rename = "out")]
    pub is_withdrawn: bool,
    /// When the command was given, in Unix microseconds.
    #[serde(rename = "at")]
    pub given_at_us: u64,
}

#[cfg(test)]
mod tests;
