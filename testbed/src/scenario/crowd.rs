//! Clients beside those of the load, which use as much of an agent's memory as they can, and the limits under which the
//! agent has to bear them.

use crate::draw::Range;
use serde::{Deserialize, Serialize};

const MAX_CLIENTS: f64 = 2000.0;
const MAX_KINDS: f64 = 100.0;
const MAX_MEMORY_MB: u32 = 4096;
const MAX_SOCKETS: usize = 4096;

/// A crowd at each agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crowd {
    /// How many clients.
    pub clients: Range,
    /// Into how many kinds they are divided; what a client of a kind does is drawn.
    pub kinds: Range,
    /// With this chance the clients are as many as there are descriptors.
    #[serde(default)]
    pub full_chance: f64,
}

/// Limits of an agent, of which a scenario has several to draw from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// The memory limit in MB.
    pub memory_mb: u32,
    /// The limit on descriptors.
    pub sockets: usize,
}

impl Crowd {
    /// Checks each key against its bounds.
    ///
    /// # Errors
    ///
    /// One line that names the key, its value and what was expected.
    pub fn check(&self) -> Result<(), String> {
        check_range("crowd.clients", &self.clients, MAX_CLIENTS)?;
        check_range("crowd.kinds", &self.kinds, MAX_KINDS)?;
        match (0.0..=1.0).contains(&self.full_chance) {
            true => Ok(()),
            false => Err(format!("crowd.full_chance = {}: 0 to 1 was expected", self.full_chance)),
        }
    }
}

impl Limits {
    /// Checks each key against its bounds.
    ///
    /// # Errors
    ///
    /// One line that names the key, its value and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let Limits { memory_mb, sockets } = self;
        match (1..=MAX_MEMORY_MB).contains(memory_mb) && (1..=MAX_SOCKETS).contains(sockets) {
            true => Ok(()),
            false => Err(format!(
                "agents.limits, memory_mb = {memory_mb} and sockets = {sockets}: 1 to {MAX_MEMORY_MB} and 1 to \
                 {MAX_SOCKETS} were expected"
            )),
        }
    }
}

fn check_range(key: &str, range: &Range, most: f64) -> Result<(), String> {
    match range.low >= 1.0 && range.high <= most {
        true => Ok(()),
        false => Err(format!("{key} = {range}: figures from 1 to {most} were expected")),
    }
}
