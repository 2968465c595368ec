//! The agent and the deployment that a shared file belongs to, and the file names derived from them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Prefix of the names of all shared files. It is part of the file format: the previous version of the agent reads and
/// writes files with the same names.
const FILE_NAME_PREFIX: &str = "bellcroft-";
/// The number of characters of the agent's name that a file name shows; its hash covers the whole name.
const MAX_SHOWN_NAME_CHARS: usize = 40;

/// The agent and the deployment that a shared file belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The agent's name.
    pub agent: String,
    /// The address on which it accepts its application's connections.
    pub listen: String,
    /// The zones of the deployment. The operators' commands name them or servers in them.
    pub zones: Vec<String>,
    /// The classes of the deployment, in the order in which a snapshot lists its values per class.
    pub classes: Vec<String>,
}

impl Owner {
    /// The name of this owner's file of a kind. No other owner has a file of that name.
    pub fn file_name(&self, kind: &str) -> String {
        format!("{}-{kind}.json", self.file_name_stem())
    }

    /// The part with which the names of all of this owner's files begin.
    pub(super) fn file_name_stem(&self) -> String {
        let to_file_name_char = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let shown_name: String =
            self.agent.chars().map(to_file_name_char).take(MAX_SHOWN_NAME_CHARS).collect();
        let zones = self.zones.join("\0");
        let hash = balancer_settings::fnv1a(&format!("{}\0{}\0{zones}", self.agent, self.listen));
        format!("{FILE_NAME_PREFIX}{shown_name}-{hash:016x}")
    }

    /// Whether a command names the same server or zone for both owners. Their classes may differ.
    pub fn has_same_targets(&self, other: &Owner) -> bool {
        (&self.agent, &self.listen, &self.zones) == (&other.agent, &other.listen, &other.zones)
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Owner { agent, listen, zones, classes } = self;
        write!(
            f,
            "agent {agent:.80} at {listen:.80}, zones {}, classes {}",
            zones.join(" "),
            classes.join(" ")
        )
    }
}
