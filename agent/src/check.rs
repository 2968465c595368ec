//! `balancer-agent check`: what a start would go by, for a person to read before one.

use crate::process::Start;
use balancer::{DeduplicationScope, Idempotency};
use std::fmt::Write;

/// What a start would do with this, in lines.
pub fn describe(start: &Start) -> String {
    let Start { held, config, fleet, log } = start;
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "agent {}", config.name);
    let _ = match held {
        None => writeln!(text, "  listens on {}", config.listen),
        Some(held) => {
            let at = held.local_addr().map_or("an unknown address".into(), |at| at.to_string());
            writeln!(text, "  takes over the listener on {at}")
        }
    };
    let _ = writeln!(text, "  discovery at {}", config.discovery);
    let _ = match config.admin_address {
        None => writeln!(text, "  no second address: staff cannot call it"),
        Some(operator) => writeln!(text, "  staff call it at {operator}"),
    };
    let _ = writeln!(text, "  {} descriptors, {} MB of memory", config.max_descriptors, config.memory_mb);
    let hosts = config.endpoint_list.hosts.len();
    let _ = writeln!(text, "  begins with a list of {hosts} renderers, version {}", config.endpoint_list.seq);
    for (name, class) in config.names.classes.iter().zip(&config.settings.classes) {
        let (aim, deadline) = (class.latency_objective.as_ms(), class.deadline.as_ms());
        let effect = match class.idempotency {
            Idempotency::Idempotent => "safe to repeat",
            Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => {
                "repeats are dropped everywhere"
            }
            Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                "repeats are dropped within a zone"
            }
            Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                "repeats are dropped within a cell"
            }
            Idempotency::AtMostOnce => "never repeated",
        };
        let _ = writeln!(text, "  class {name}: {effect}, aim {aim} ms, deadline {deadline} ms");
    }
    for (what, names) in [("zones", &config.names.zones), ("tenants", &config.names.tenants)] {
        if !names.is_empty() {
            let _ = writeln!(text, "  {what}: {}", names.join(", "));
        }
    }
    let _ = writeln!(text, "log as {log}");
    match fleet {
        None => text.push_str("no fleet file: an agent alone\n"),
        Some(fleet) => {
            let _ = writeln!(text, "fleet file {}", fleet.path.display());
            text.push_str(&fleet.contents.describe());
            for zone in
                fleet.contents.regions.values().flatten().filter(|zone| !config.names.zones.contains(zone))
            {
                let _ =
                    writeln!(text, "  note: zone {zone} is not in the settings; the list may still bring it");
            }
        }
    }
    text
}
