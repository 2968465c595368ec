//! What ends the adapter: a fault of the input, or of reading and writing.

use balancer::SettingsError;
use std::fmt;
use std::io;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read the input: {0}")]
    Read(#[source] io::Error),
    /// A line is not a batch.
    #[error("{position}: not a batch: {error}")]
    NotABatch {
        /// Which line.
        position: Position,
        /// What is wrong with it.
        #[source]
        error: serde_json::Error,
    },
    /// A batch makes no sense to its instances.
    #[error("round {round}: {error}")]
    Batch {
        /// The number of the batch.
        round: u64,
        /// What is wrong with it.
        #[source]
        error: BatchError,
    },
    /// A reply cannot be encoded.
    #[error("round {round}: {error}")]
    Encode {
        /// The number of the batch.
        round: u64,
        /// Why.
        #[source]
        error: serde_json::Error,
    },
    /// Standard output cannot be written.
    #[error("round {round}: cannot write the reply: {error}")]
    Write {
        /// The number of the batch.
        round: u64,
        /// Why.
        #[source]
        error: io::Error,
    },
}

/// Where a line is whose own number cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// It is the first one.
    FirstRound,
    /// It follows the batch of this number.
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

/// What is wrong with a batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// Its time is negative or not finite.
    #[error("tMs is {0}; a time of zero or more was expected")]
    InvalidTime(f64),
    /// One of its events is wrong.
    #[error("instance {instance}: {error}")]
    Event {
        /// The instance of the event.
        instance: u32,
        /// What is wrong with it.
        #[source]
        error: EventError,
    },
}

/// What is wrong with an event.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has no process.
    #[error("an event came before ATTACH")]
    NotAttached,
    /// The settings are not usable.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A list without the number of its catalogue.
    #[error("REGISTRY names no catalogue")]
    NoCatalogue,
    /// A list by the number of a catalogue that does not exist.
    #[error("REGISTRY names catalogue {0}, which no CATALOG has set up")]
    UnknownCatalogue(u32),
    /// A request with the name of another one.
    #[error("REQUEST {0} came twice")]
    DuplicateRequest(String),
    /// A health check of a server that does not exist.
    #[error("PROBED names backend {0}, which no list has named")]
    UnknownServer(String),
    /// A gossip message that is not in hexadecimal digits.
    #[error("MAIL holds {0:?}; an even number of hex digits was expected")]
    MalformedMessage(String),
}
