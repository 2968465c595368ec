//! Output of the `renderers` command.

use super::table::{numbers_table, render};
use super::{count_of, Page};
use crate::aggregate::{merge_renderers, RendererSummary};
use crate::queries::FleetAnswers;
use balancer_agent::admin_api::Renderers;

const HEADER: [&str; 12] = [
    "RENDERER",
    "ZONE",
    "LISTED AT",
    "CORDONED AT",
    "OUTLIER AT",
    "WARM-UP",
    "LIMIT",
    "IN FLIGHT",
    "SENDS",
    "ANSWERED",
    "FAILED",
    "REJECTED",
];

/// A table of the renderers with the combined values of all agents.
pub fn renderers(answers: &FleetAnswers<Renderers>) -> Page {
    let answering_agents = answers.answers().count();
    let mut table = numbers_table(&HEADER);
    for (id, summary) in merge_renderers(answers.answers()) {
        table.add_row(row(id, &summary, answering_agents));
    }
    let mut page = render(&table);
    let left_out = answers.answers().map(|answer| answer.left_out).max().unwrap_or(0);
    if left_out > 0 {
        page.push_str(&format!("{left_out} more renderers are not shown: an answer lists at most 2,000\n"));
    }
    page
}

fn row(id: &str, summary: &RendererSummary, answering_agents: usize) -> [String; HEADER.len()] {
    [
        id.to_owned(),
        summary.zone.clone(),
        count_of(summary.listing_agents, answering_agents),
        count_of(summary.cordoning_agents, answering_agents),
        count_of(summary.ejecting_agents, answering_agents),
        format!("{:.2}", summary.slow_start_factor),
        format!("{:.1}", summary.concurrency_limit),
        summary.in_flight.to_string(),
        summary.sends.to_string(),
        summary.answered.to_string(),
        summary.failed.to_string(),
        summary.rejected.to_string(),
    ]
}
