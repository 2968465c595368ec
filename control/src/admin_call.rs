//! Typed calls of the agents' admin API. On the wire a call is one line of words; `docs/oncall.md` lists them.

use std::fmt;
use thiserror::Error;

/// The name of a renderer or a zone. It is not empty and has no white space or control characters, so it is always
/// exactly one word of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetName(String);

/// The rejected text: as a name in a call's line it could turn that line into a different call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not a valid name: expected a non-empty one without spaces or control characters")]
pub struct InvalidTargetName(String);

impl TargetName {
    /// Validates a name.
    ///
    /// # Errors
    ///
    /// [`InvalidTargetName`] if it is empty or has white space or control characters.
    pub fn parse(text: &str) -> Result<Self, InvalidTargetName> {
        if text.is_empty() || text.contains(|c: char| c.is_whitespace() || c.is_control()) {
            return Err(InvalidTargetName(text.to_owned()));
        }
        Ok(TargetName(text.to_owned()))
    }
}

impl fmt::Display for TargetName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A command that changes which renderers or zones an agent uses. All commands are idempotent. `Display` writes the
/// command's line of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Send no new requests to a renderer.
    Cordon(TargetName),
    /// Use a renderer again.
    Uncordon(TargetName),
    /// Send no new requests to any renderer of a zone.
    LeaveZone(TargetName),
    /// Use a zone again.
    ReturnToZone(TargetName),
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

/// One call of the admin API. `Display` writes its line, without the newline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether the agent accepts clients; answered `done` or an error.
    Health,
    /// The agent's counters, as JSON.
    Counters,
    /// The renderers on the agent's endpoint list, as JSON.
    Renderers,
    /// The zones on the agent's endpoint list, as JSON.
    Zones,
    /// An operator command; answered `done` or an error.
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
