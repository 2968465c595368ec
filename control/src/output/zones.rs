//! The page of `zones`, which `status` shows as well.

use super::table::{numbers_table, render};
use super::Page;
use crate::aggregate::merge_zones;
use crate::queries::FleetAnswers;
use balancer_agent::admin_api::{Zone, ZonePhase, Zones};

const HEADER: [&str; 12] = [
    "ZONE",
    "RENDERERS",
    "SERVING",
    "CORDONED",
    "OUTLIERS",
    "WARMING UP",
    "LIMIT",
    "IN FLIGHT",
    "SENDS",
    "ANSWERED",
    "FAILED",
    "REJECTED",
];

/// The zones as all agents together see them.
pub fn zones(answers: &FleetAnswers<Zones>) -> Page {
    zones_section(&merge_zones(answers.answers()))
}

/// A row for each zone, and a line for each that an agent does not use completely.
pub fn zones_section(zones: &[Zone]) -> String {
    let mut table = numbers_table(&HEADER);
    for zone in zones {
        table.add_row(row(zone));
    }
    let mut section = render(&table);
    for zone in zones {
        section.push_str(&partial_use(zone));
    }
    section
}

fn row(zone: &Zone) -> [String; HEADER.len()] {
    let name = if zone.zone.is_empty() { "?" } else { &zone.zone };
    [
        if zone.is_evacuated { format!("{name} (left)") } else { name.to_owned() },
        zone.listed.to_string(),
        zone.serving.to_string(),
        zone.cordoned.to_string(),
        zone.ejected.to_string(),
        zone.warming_up.to_string(),
        format!("{:.1}", zone.limit),
        zone.in_flight.to_string(),
        zone.sends.to_string(),
        zone.answered.to_string(),
        zone.failed.to_string(),
        zone.rejected.to_string(),
    ]
}

/// How far the zone is in use and why, for all classes and for those that differ.
fn partial_use(zone: &Zone) -> String {
    let mut lines = partial_use_line(&zone.zone, "", &zone.phases.overall);
    for (class, phase) in &zone.phases.classes {
        lines.push_str(&partial_use_line(&zone.zone, &format!(" for {class}"), phase));
    }
    lines
}

fn partial_use_line(zone: &str, scope: &str, zone_phase: &ZonePhase) -> String {
    if zone_phase.share >= 1.0 {
        return String::new();
    }
    let ZonePhase { phase, why, .. } = zone_phase;
    let percent = 100.0 * zone_phase.share;
    format!("{zone} is {phase}{scope} at an agent, {percent:.0}% of its draws: {why}\n")
}
