//! Output of the `status` command.

use super::table::{numbers_table, render};
use super::{count_of, name_and_address, zones, Page};
use crate::aggregate::{merge_zones, sum_counters, total};
use crate::queries::{FleetAnswers, Health, Status};
use balancer_agent::admin_api::Counters;
use std::collections::BTreeMap;

const HEADER: [&str; 9] =
    ["AGENT", "HEALTH", "ANSWERED", "DEFERRED", "ERRORED", "CURRENT", "SENDS", "RENDERERS", "AVOIDED"];
/// Where the sizes of the endpoint lists differ, at most this many agents are named for each size.
const MAX_NAMED_AGENTS: usize = 3;

/// The status of all agents: a row for each and one for their sum, the zones, and lines for conditions that need
/// attention.
pub fn status(answers: &FleetAnswers<Status>) -> Page {
    let mut page = agents_table(answers);
    let zones = merge_zones(answers.answers().filter_map(|status| status.zones.as_ref()));
    if !zones.is_empty() {
        page.push('\n');
        page.push_str(&zones::zones_section(&zones));
    }
    page.push_str(&endpoint_list_differences(answers));
    for (agent, status) in answers.accepted() {
        if let Health::NotServing(reason) = &status.health {
            page.push_str(&format!("{} takes no clients: {reason}\n", name_and_address(agent)));
        }
    }
    page
}

fn agents_table(answers: &FleetAnswers<Status>) -> String {
    let mut table = numbers_table(&HEADER);
    for (agent, result) in answers.iter() {
        match result {
            Ok(status) => table.add_row(row(&agent.name, health_word(&status.health), &status.counters)),
            Err(_) => table.add_row([agent.name.as_str(), "-", "-", "-", "-", "-", "-", "-", "-"]),
        };
    }
    let serving = answers.answers().filter(|status| status.health == Health::Serving).count();
    let sum = sum_counters(answers.answers().map(|status| &status.counters));
    table.add_row(row("all", &count_of(serving, answers.agents.len()), &sum));
    render(&table)
}

fn row(name: &str, health: &str, counters: &Counters) -> [String; HEADER.len()] {
    [
        name.to_owned(),
        health.to_owned(),
        total(&counters.answered).to_string(),
        total(&counters.rejected).to_string(),
        total(&counters.failed).to_string(),
        counters.current.to_string(),
        counters.sends.to_string(),
        counters.cluster_size.to_string(),
        counters.cluster_unhealthy.to_string(),
    ]
}

fn health_word(health: &Health) -> &'static str {
    match health {
        Health::Serving => "yes",
        Health::NotServing(_) => "no",
    }
}

/// A line if agents have endpoint lists of different sizes, which means that some have missed an update.
fn endpoint_list_differences(answers: &FleetAnswers<Status>) -> String {
    let mut agents_by_size: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
    for (agent, status) in answers.accepted() {
        agents_by_size.entry(status.counters.cluster_size).or_default().push(&agent.name);
    }
    if agents_by_size.len() < 2 {
        return String::new();
    }
    let groups: Vec<String> = agents_by_size
        .iter()
        .map(|(size, names)| format!("{size} renderers at {}", abbreviate_names(names)))
        .collect();
    format!("The endpoint lists differ: {}\n", groups.join("; "))
}

fn abbreviate_names(names: &[&str]) -> String {
    let shown = &names[..names.len().min(MAX_NAMED_AGENTS)];
    let more = names.len() - shown.len();
    let shown = shown.join(", ");
    if more == 0 {
        return shown;
    }
    format!("{shown} and {more} more")
}
