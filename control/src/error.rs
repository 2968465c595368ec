//! What ends a run before or while it prints.

use crate::admin_call::InvalidName;
use crate::agent_file::AgentFileError;
use thiserror::Error;

/// Why the command could not be carried out at all. Faults of single agents are [`crate::client::CallError`]s.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Agents are named in two ways.
    #[error("--agent and --agents are both given; one of them was expected")]
    TwoAgentSelections,
    /// Agents are named in no way.
    #[error("no agent is named; --agent ADDRESS or --agents FILE was expected")]
    NoAgentSelection,
    /// The agent file is not valid.
    #[error(transparent)]
    AgentFile(#[from] AgentFileError),
    /// The name of a renderer or zone is not valid.
    #[error(transparent)]
    InvalidName(#[from] InvalidName),
    /// Standard output does not take the page.
    #[error("cannot print: {0}")]
    Print(#[source] std::io::Error),
}
