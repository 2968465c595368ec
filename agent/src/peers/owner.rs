//! The agent and the deployment that a shared file is written for, and the file names that follow from them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Begins the names of all shared files. It is part of the stored form: the earlier version reads and writes files of
/// the same names.
const STORED_NAME_PREFIX: &str = "bellcroft-";
/// File names show this many characters of the agent's name; their hash covers all of it.
const MAX_SHOWN_NAME_CHARS: usize = 40;

/// The agent of one deployment that a file is written for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The agent's name.
    pub agent: String,
    /// The address on which it takes its application's connections.
    pub listen: String,
    /// The zones of the deployment, whose servers and names the operators' commands are about.
    pub zones: Vec<String>,
    /// The classes of the deployment: a snapshot's values stand in their order.
    pub classes: Vec<String>,
}

impl Owner {
    /// The name of this owner's file with such contents, unique to the owner.
    pub fn file_name(&self, contents: &str) -> String {
        format!("{}-{contents}.json", self.file_name_stem())
    }

    /// What the names of all files of this owner begin with.
    pub(super) fn file_name_stem(&self) -> String {
        let file_name_char = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let shown_name: String = self.agent.chars().map(file_name_char).take(MAX_SHOWN_NAME_CHARS).collect();
        let zones = self.zones.join("\0");
        let hash = balancer_settings::fnv1a(&format!("{}\0{}\0{zones}", self.agent, self.listen));
        format!("{STORED_NAME_PREFIX}{shown_name}-{hash:016x}")
    }

    /// Whether a command on a server or zone means the same one for both owners, whatever their classes are.
    pub fn has_same_servers(&self, other: &Owner) -> bool {
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
