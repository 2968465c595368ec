//! Errors that end a run before or while it prints.

use crate::admin_call::InvalidTargetName;
use crate::agent_file::AgentFileError;
use thiserror::Error;

/// Why a command failed as a whole. Failures of single agents are [`crate::client::CallError`]s.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line has both `--agent` and `--agents`.
    #[error("--agent and --agents cannot be used together")]
    TwoAgentSelections,
    /// Neither the command line nor the environment names agents.
    #[error("no agents given: use --agent ADDRESS or --agents FILE")]
    NoAgentSelection,
    /// The agent file cannot be read or is not valid.
    #[error(transparent)]
    AgentFile(#[from] AgentFileError),
    /// The name of a renderer or zone is not valid.
    #[error(transparent)]
    InvalidTargetName(#[from] InvalidTargetName),
    /// Writing to standard output failed.
    #[error("cannot write to standard output: {0}")]
    Print(#[source] std::io::Error),
}
