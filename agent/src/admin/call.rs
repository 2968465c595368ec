//! The calls of the admin API, as lines of text.

use crate::peers::command::Target;
use thiserror::Error;

/// The calls, for an error that has to list them.
const CALLS: &str =
    "health, counters, renderers, zones, cordon ID, uncordon ID, zone leave NAME, zone return NAME";

/// A call of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process serves clients.
    Health,
    /// The counts since the start of the process.
    Counters,
    /// Each server on the endpoint list.
    Renderers,
    /// Each zone.
    Zones,
    /// A command of the operators: cordon a server or evacuate a zone, or undo that.
    Command {
        /// The server or the zone.
        target: Target,
        /// Whether to take it out of use, or back into it.
        is_withdrawn: bool,
    },
}

/// Why a line is no call.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The line has no words.
    #[error("an empty line; calls are {CALLS}")]
    Empty,
    /// There is no call of this name.
    #[error("no call {0:.40}; calls are {CALLS}")]
    Unknown(String),
    /// The call takes no arguments.
    #[error("this call stands alone")]
    UnexpectedArgument,
    /// A cordon or its end is for one server.
    #[error("this call takes one renderer's name")]
    ServerExpected,
    /// A zone's call has a verb and a name.
    #[error("this call is zone leave NAME or zone return NAME")]
    ZoneExpected,
}

impl Call {
    /// Parses a line without its end.
    pub fn parse(line: &str) -> Result<Self, CallError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["health"] => Ok(Call::Health),
            ["counters"] => Ok(Call::Counters),
            ["renderers"] => Ok(Call::Renderers),
            ["zones"] => Ok(Call::Zones),
            [verb @ ("cordon" | "uncordon"), server] => Ok(Call::Command {
                target: Target::Server(server.to_owned()),
                is_withdrawn: verb == "cordon",
            }),
            ["zone", verb @ ("leave" | "return"), zone] => {
                Ok(Call::Command { target: Target::Zone(zone.to_owned()), is_withdrawn: verb == "leave" })
            }
            ["zone", ..] => Err(CallError::ZoneExpected),
            ["cordon" | "uncordon", ..] => Err(CallError::ServerExpected),
            ["health" | "counters" | "renderers" | "zones", ..] => Err(CallError::UnexpectedArgument),
            [] => Err(CallError::Empty),
            [other, ..] => Err(CallError::Unknown(other.to_owned())),
        }
    }
}

#[cfg(test)]
mod tests;
