//! Errors that end the adapter: invalid input, and failures to read input or write output.

use balancer::SettingsError;
use std::fmt;
use std::io;
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Reading standard input failed.
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    /// A line does not decode to a batch.
    #[error("{position}: not a batch: {error}")]
    NotABatch {
        /// The position of the line in the input.
        position: Position,
        /// The decoding error.
        #[source]
        error: serde_json::Error,
    },
    /// A batch has an invalid time or an invalid event.
    #[error("round {round}: {error}")]
    Batch {
        /// The round number of the batch.
        round: u64,
        /// The error in the batch.
        #[source]
        error: BatchError,
    },
    /// Encoding a reply as JSON failed.
    #[error("round {round}: cannot encode the reply: {error}")]
    Encode {
        /// The round number of the batch.
        round: u64,
        /// The encoding error.
        #[source]
        error: serde_json::Error,
    },
    /// Writing standard output failed.
    #[error("round {round}: cannot write the reply: {error}")]
    Write {
        /// The round number of the batch.
        round: u64,
        /// The I/O error.
        #[source]
        error: io::Error,
    },
}

/// The position of a line that cannot be decoded, relative to the last batch that could be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// The first line of the input.
    FirstRound,
    /// The line after the batch with this round number.
    After(u64),
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Position::FirstRound => formatter.write_str("the first round"),
            Position::After(round) => write!(formatter, "the round after {round}"),
        }
    }
}

/// An error in a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The batch's time, in milliseconds, is negative or not finite.
    #[error("tMs is {0}; a time of zero or more was expected")]
    InvalidTime(f64),
    /// One of the batch's events is invalid.
    #[error("instance {instance_id}: {error}")]
    Event {
        /// The id of the instance that the event is for.
        instance_id: u32,
        /// The error in the event.
        #[source]
        error: EventError,
    },
}

/// An error in an event.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has no running process.
    #[error("an event came before ATTACH")]
    NotAttached,
    /// The settings in ATTACH are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An endpoint list without a catalogue id.
    #[error("REGISTRY names no catalogue")]
    NoCatalogue,
    /// An endpoint list with the id of a catalogue that does not exist.
    #[error("REGISTRY names catalogue {0}, which no CATALOG has set up")]
    UnknownCatalogue(u32),
    /// A request whose name is already in use.
    #[error("REQUEST {0} came twice")]
    DuplicateRequest(String),
    /// A health check of a server that no endpoint list has named.
    #[error("PROBED names backend {0}, which no list has named")]
    UnknownServer(String),
    /// A gossip message that is not an even number of hexadecimal digits.
    #[error("MAIL holds {0:?}; an even number of hex digits was expected")]
    MalformedMessage(String),
}
