//! `balancer-agent check`: prints what an agent would start with, for an operator to review before the start.

use crate::config::Config;
use crate::process::startup::Startup;
use balancer::{DeduplicationScope, Idempotency};
use std::fmt::Write;

/// Describes what an agent would do with what it has read, one line for each setting.
pub fn describe(startup: &Startup) -> String {
    let Startup { inherited_listener, config, fleet, log_format } = startup;
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "agent {}", config.name);
    let _ = match inherited_listener {
        None => writeln!(text, "  listens on {}", config.listen),
        Some(listener) => {
            let address = listener.local_addr().map_or("an unknown address".into(), |at| at.to_string());
            writeln!(text, "  takes over the listener on {address}")
        }
    };
    describe_config(config, &mut text);
    let _ = writeln!(text, "log as {log_format}");
    match fleet {
        None => text.push_str("no fleet file: a standalone agent\n"),
        Some(fleet) => {
            let _ = writeln!(text, "fleet file {}", fleet.path.display());
            text.push_str(&fleet.contents.describe());
            let zones = fleet.contents.regions.values().flatten();
            for zone in zones.filter(|zone| !config.names.zones.contains(zone)) {
                let _ = writeln!(
                    text,
                    "  note: zone {zone} is not in the settings; the endpoint list may still add it"
                );
            }
        }
    }
    text
}

fn describe_config(config: &Config, text: &mut String) {
    let _ = writeln!(text, "  discovery at {}", config.discovery);
    let _ = match config.admin_address {
        None => writeln!(text, "  no admin address: operators cannot call it"),
        Some(address) => writeln!(text, "  operators call it at {address}"),
    };
    let _ = writeln!(text, "  {} descriptors, {} MB of memory", config.max_descriptors, config.memory_mb);
    let list = &config.endpoint_list;
    let _ = writeln!(text, "  begins with a list of {} renderers, version {}", list.hosts.len(), list.seq);
    for (name, class) in config.names.classes.iter().zip(&config.settings.classes) {
        let (objective, deadline) = (class.latency_objective.as_ms(), class.deadline.as_ms());
        let idempotency = describe_idempotency(&class.idempotency);
        let _ = writeln!(
            text,
            "  class {name}: {idempotency}, latency objective {objective} ms, deadline {deadline} ms"
        );
    }
    for (kind, names) in [("zones", &config.names.zones), ("tenants", &config.names.tenants)] {
        if !names.is_empty() {
            let _ = writeln!(text, "  {kind}: {}", names.join(", "));
        }
    }
}

fn describe_idempotency(idempotency: &Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "idempotent",
        Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => "deduplicated everywhere",
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => "deduplicated within a zone",
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => "deduplicated within a cell",
        Idempotency::AtMostOnce => "at most once",
    }
}
