//! What may be wrong with the configuration.

use balancer::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// Why there is no configuration to go by; one line with what is wrong and where.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the variable nor the file has a value that is needed.
    #[error("{variable} is not set")]
    NotSet {
        /// The environment variable.
        variable: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What reading it said.
        source: io::Error,
    },
    /// The file is not JSON of the expected shape.
    #[error("{} is no configuration: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The file, read again, has no discovery address.
    #[error("the file names no discovery")]
    NoDiscovery,
    /// A value is not an IP address with a port.
    #[error("{name} is {value:?}; an address was expected")]
    InvalidAddress {
        /// The variable or the key.
        name: &'static str,
        /// Its value.
        value: String,
        /// Why it cannot be parsed.
        source: AddrParseError,
    },
    /// The settings cannot be worked with.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A class has an empty name.
    #[error("settings give class {position} no name")]
    UnnamedClass {
        /// Its place among the classes, from 0.
        position: usize,
    },
    /// The limit of descriptors is too low.
    #[error("limits.sockets is below {minimum}; that is too few to serve")]
    TooFewDescriptors {
        /// The lowest limit that is accepted.
        minimum: usize,
    },
    /// The endpoint list in the file cannot be read.
    #[error("known is no server list: {reason}")]
    InvalidEndpointList {
        /// What the reader of lists said.
        reason: String,
    },
}
