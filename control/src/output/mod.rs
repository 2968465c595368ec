//! The output of the commands: tables and text for people, JSON for programs.

mod counters;
mod json;
mod operator_command;
mod renderers;
mod status;
mod table;
mod zones;

pub use counters::counters;
pub use json::json;
pub use operator_command::operator_command;
pub use renderers::renderers;
pub use status::status;
pub use zones::zones;

use crate::agent_file::Agent;
use crate::client::CallError;
use crate::queries::FleetAnswers;

/// The text that a command prints at once, with the final newline.
pub type Page = String;

/// How many agents accept clients.
pub fn health(answers: &FleetAnswers<()>) -> Page {
    format!("{} agents take clients\n", count_of(answers.accepted().count(), answers.agents.len()))
}

/// A line for each agent that did not accept the call, with the reason.
pub fn failures<T>(answers: &FleetAnswers<T>) -> String {
    let line = |(agent, error): (&Agent, &CallError)| {
        let outcome = match error {
            CallError::Rejected(_) => "rejected the call",
            CallError::NoAnswer(_) => "did not answer",
        };
        format!("{} {outcome}: {error}\n", name_and_address(agent))
    };
    answers.failed().map(line).collect()
}

fn name_and_address(agent: &Agent) -> String {
    let address = agent.address.to_string();
    if agent.name == address {
        return address;
    }
    format!("{} ({address})", agent.name)
}

fn count_of(count: usize, all: usize) -> String {
    format!("{count} of {all}")
}
