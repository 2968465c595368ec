//! Output of the `counters` command.

use super::table::{numbers_table, render};
use super::Page;
use crate::aggregate::sum_counters;
use crate::queries::FleetAnswers;
use balancer_agent::admin_api::Counters;
use std::collections::BTreeMap;

const HEADER: [&str; 5] = ["AGENT", "CLASS", "ANSWERED", "DEFERRED", "ERRORED"];

/// A table of counters by class: rows for each agent, then for the sum over all agents.
pub fn counters(answers: &FleetAnswers<Counters>) -> Page {
    let mut table = numbers_table(&HEADER);
    let sum = sum_counters(answers.answers());
    let agents = answers.accepted().map(|(agent, counters)| (agent.name.as_str(), counters));
    for (name, counters) in agents.chain([("all", &sum)]) {
        for class in counters.answered.keys() {
            table.add_row(row(name, class, counters));
        }
    }
    render(&table)
}

fn row(name: &str, class: &str, counters: &Counters) -> [String; HEADER.len()] {
    [
        name.to_owned(),
        class.to_owned(),
        count(&counters.answered, class),
        count(&counters.rejected, class),
        count(&counters.failed, class),
    ]
}

fn count(by_class: &BTreeMap<String, u64>, class: &str) -> String {
    by_class.get(class).copied().unwrap_or_default().to_string()
}
