//! What a fleet file says.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How this agent finds the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The fleet's name; messages of another fleet are ignored.
    pub name: String,
    /// Where other agents reach this one.
    pub listen: SocketAddr,
    /// Where this agent reaches some of the others at first.
    pub seeds: Vec<SocketAddr>,
    /// The folder of what outlives a restart.
    pub state_folder: Option<PathBuf>,
}

/// The contents of a fleet file.
#[derive(Debug, Clone, PartialEq)]
pub struct Contents {
    /// `[fleet]`; without it the agent neither listens for other agents nor sends to them.
    pub membership: Option<Membership>,
    /// `[regions]`: the zones of each. Without any, all zones are one region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// `[shared] stale_after_ms`: older values of other agents are not used.
    pub stale_after: Duration,
    /// `[limits.classes]`: requests a second for the whole fleet.
    pub class_limits: BTreeMap<String, f64>,
    /// `[limits.tenants]`: the same for tenants.
    pub tenant_limits: BTreeMap<String, f64>,
}

impl Contents {
    /// The contents in lines for a person.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = match &self.membership {
            None => writeln!(text, "  no [fleet]: talks to no other agent"),
            Some(Membership { name, listen, seeds, state_folder }) => writeln!(
                text,
                "  fleet {name}, other agents reach this one at {listen}, {} seeds, state {}",
                seeds.len(),
                state_folder.as_ref().map_or("not kept".into(), |folder| format!("in {}", folder.display())),
            ),
        };
        for (region, zones) in &self.regions {
            let _ = writeln!(text, "  region {region}: {}", zones.join(", "));
        }
        if self.regions.is_empty() {
            text.push_str("  no regions: all zones are one\n");
        }
        for (kind, limits) in [("class", &self.class_limits), ("tenant", &self.tenant_limits)] {
            for (name, limit) in limits {
                let _ = writeln!(text, "  {kind} {name}: {limit} requests a second for the whole fleet");
            }
        }
        let _ = writeln!(text, "  what others said holds for {} ms", self.stale_after.as_millis());
        text
    }
}
