//! Errors in the configuration.

use balancer::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// Why the configuration is rejected. The message is one line that names the variable, key or file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required value is neither in the environment nor in the file.
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
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error("{} is not a valid configuration: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// The file has no discovery address when it is reloaded.
    #[error("discovery is missing from the configuration file")]
    NoDiscovery,
    /// A value is not an IP address with a port.
    #[error("{name} is {value:?}; an IP address with a port was expected")]
    InvalidAddress {
        /// The environment variable, or the key in the file.
        name: &'static str,
        /// Its value.
        value: String,
        /// The error of the address parser.
        source: AddrParseError,
    },
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A class has an empty name.
    #[error("class {position} in the settings has no name")]
    UnnamedClass {
        /// The index of the class, from 0.
        position: usize,
    },
    /// The limit on descriptors is too low.
    #[error("limits.sockets is below the minimum of {minimum}")]
    TooFewDescriptors {
        /// The lowest valid limit.
        minimum: usize,
    },
    /// The endpoint list in the file is invalid.
    #[error("known is not a valid endpoint list: {reason}")]
    InvalidEndpointList {
        /// The message of the endpoint list's parser.
        reason: String,
    },
}
