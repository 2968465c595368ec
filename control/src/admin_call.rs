//! The calls of the agents' admin API, typed. A call is one line of words; `docs/oncall.md` lists them.

use std::fmt;
use thiserror::Error;

/// The name of a renderer or a zone: not empty, without white space and control characters, so that it is always one
/// word of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Name(String);

/// A name that would make another call of the line that it stands in.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is no name; one without spaces was expected")]
pub struct InvalidName(String);

impl Name {
    /// Checks a name.
    ///
    /// # Errors
    ///
    /// [`InvalidName`] if it is empty or has white space or control characters.
    pub fn parse(text: &str) -> Result<Self, InvalidName> {
        if text.is_empty() || text.contains(|c: char| c.is_whitespace() || c.is_control()) {
            return Err(InvalidName(text.to_owned()));
        }
        Ok(Name(text.to_owned()))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A command that changes what an agent uses. Each is idempotent and is displayed as its line of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send nothing new to a renderer.
    Cordon(Name),
    /// Use a renderer again.
    Uncordon(Name),
    /// Send nothing new to any renderer of a zone.
    LeaveZone(Name),
    /// Use a zone again.
    ReturnToZone(Name),
}

impl OperatorCommand {
    /// The command that undoes this one.
    pub fn inverse(&self) -> Self {
        match self.clone() {
            OperatorCommand::Cordon(renderer) => OperatorCommand::Uncordon(renderer),
            OperatorCommand::Uncordon(renderer) => OperatorCommand::Cordon(renderer),
            OperatorCommand::LeaveZone(zone) => OperatorCommand::ReturnToZone(zone),
            OperatorCommand::ReturnToZone(zone) => OperatorCommand::LeaveZone(zone),
        }
    }
}

impl fmt::Display for OperatorCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCommand::Cordon(renderer) => write!(formatter, "cordon {renderer}"),
            OperatorCommand::Uncordon(renderer) => write!(formatter, "uncordon {renderer}"),
            OperatorCommand::LeaveZone(zone) => write!(formatter, "zone leave {zone}"),
            OperatorCommand::ReturnToZone(zone) => write!(formatter, "zone return {zone}"),
        }
    }
}

/// One call of the admin API, displayed as its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether the agent takes clients; answered `done` or an error.
    Health,
    /// Its counters, as JSON.
    Counters,
    /// The renderers on its endpoint list, as JSON.
    Renderers,
    /// The zones of its endpoint list, as JSON.
    Zones,
    /// A command; answered `done` or an error.
    Command(OperatorCommand),
}

impl fmt::Display for AdminCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminCall::Health => formatter.write_str("health"),
            AdminCall::Counters => formatter.write_str("counters"),
            AdminCall::Renderers => formatter.write_str("renderers"),
            AdminCall::Zones => formatter.write_str("zones"),
            AdminCall::Command(command) => command.fmt(formatter),
        }
    }
}
