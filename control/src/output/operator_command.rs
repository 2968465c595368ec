//! Output of the operator commands, which change which renderers and zones the agents use.

use super::table::{render, text_table};
use super::{count_of, Page};
use crate::admin_call::OperatorCommand;
use crate::queries::FleetAnswers;

/// How many agents accepted the command. If some did not: which ones, why, and how to proceed.
pub fn operator_command(answers: &FleetAnswers<()>, command: &OperatorCommand) -> Page {
    let done = answers.accepted().count();
    let all = answers.agents.len();
    let mut page = format!("{command}: done at {} agents\n", count_of(done, all));
    if done == all {
        return page;
    }
    let mut table = text_table(&["LACKING", "ADDRESS", "WHY"]);
    for (agent, error) in answers.failed() {
        table.add_row([agent.name.clone(), agent.address.to_string(), error.to_string()]);
    }
    page.push_str(&render(&table));
    page.push_str(&format!(
        "To proceed: call `{command}` again, which changes nothing where it is done; or undo it with `{}`.\n",
        command.inverse()
    ));
    page
}
