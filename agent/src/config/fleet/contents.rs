//! The parsed contents of a fleet file.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How this agent communicates with the other agents of its fleet: the section `[fleet]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The fleet's name; messages of another fleet are ignored.
    pub name: String,
    /// The address at which other agents reach this one.
    pub listen: SocketAddr,
    /// The addresses of the agents that this agent contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The folder for state that is kept across restarts; without one none is kept.
    pub state_folder: Option<PathBuf>,
}

/// The contents of a fleet file.
#[derive(Debug, Clone, PartialEq)]
pub struct Contents {
    /// `[fleet]`; without it the agent neither accepts messages from other agents nor sends any.
    pub membership: Option<Membership>,
    /// `[regions]`: the zones of each region. Without any region, all zones form one.
    pub regions: BTreeMap<String, Vec<String>>,
    /// `[shared] stale_after_ms`: the age above which values from other agents are not used.
    pub stale_after: Duration,
    /// `[limits.classes]`: by class, the limit on requests per second of the whole fleet.
    pub class_limits: BTreeMap<String, f64>,
    /// `[limits.tenants]`: by tenant, the limit on requests per second of the whole fleet.
    pub tenant_limits: BTreeMap<String, f64>,
}

impl Contents {
    /// Describes the contents in lines of text, for `balancer-agent check`.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = match &self.membership {
            None => writeln!(text, "  no [fleet]: no communication with other agents"),
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
            text.push_str("  no regions: all zones form one region\n");
        }
        for (kind, limits) in [("class", &self.class_limits), ("tenant", &self.tenant_limits)] {
            for (name, limit) in limits {
                let _ = writeln!(text, "  {kind} {name}: {limit} requests per second for the whole fleet");
            }
        }
        let _ = writeln!(text, "  values from other agents are used for {} ms", self.stale_after.as_millis());
        text
    }
}
