//! Output of the `zones` command, which `status` also includes.

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

/// The zones with the combined values of all agents.
pub fn zones(answers: &FleetAnswers<Zones>) -> Page {
    zones_section(&merge_zones(answers.answers()))
}

/// A row for each zone, and lines for each zone that some agent uses only in part.
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

/// For a zone that is used only in part: the share of its usual requests that it gets, and the reason; overall and for
/// each class with a phase of its own.
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
