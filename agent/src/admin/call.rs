//! The calls of the admin API and their parser. Each call is one line of text.

use crate::peers::command::Target;
use thiserror::Error;

/// The list of calls in error messages.
const CALLS: &str =
    "health, counters, renderers, zones, cordon ID, uncordon ID, zone leave NAME, zone return NAME";

/// A call of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process serves clients.
    Health,
    /// Asks for the counts since the start of the process.
    Counters,
    /// Asks for the state of each server on the endpoint list.
    Renderers,
    /// Asks for the state of each zone.
    Zones,
    /// Cordons a server or evacuates a zone, or undoes that.
    Command {
        /// The server or zone that the command applies to.
        target: Target,
        /// Whether to take the target out of use; otherwise it is put back in use.
        is_withdrawn: bool,
    },
}

/// Why a line is not a valid call.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The line is empty or has only white space.
    #[error("an empty line; calls are {CALLS}")]
    Empty,
    /// There is no call of this name.
    #[error("no call {0:.40}; calls are {CALLS}")]
    Unknown(String),
    /// A call that takes no arguments has one.
    #[error("this call stands alone")]
    UnexpectedArgument,
    /// `cordon` or `uncordon` is not followed by exactly one name.
    #[error("this call takes one renderer's name")]
    ServerExpected,
    /// `zone` is not followed by `leave` or `return` and exactly one name.
    #[error("this call is zone leave NAME or zone return NAME")]
    ZoneExpected,
}

impl Call {
    /// Parses a line without its line feed. Words may be separated by any white space.
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
