//! What a process reads at its start: the inherited listener, the configuration, the fleet file and the log settings.

use crate::config::error::ConfigError;
use crate::config::fleet::error::FleetFileError;
use crate::config::fleet::Fleet;
use crate::config::Config;
use crate::log::{LogError, LogFormat};
use crate::peers::listener::{self, InheritedListenerError};
use std::net::TcpListener;
use std::path::PathBuf;
use thiserror::Error;

/// Environment variable with the path of the fleet file.
const FLEET_VARIABLE: &str = "PROXY_FLEET";

/// Everything that a process reads at its start.
pub struct Startup {
    /// The clients' listener, if another process of the agent passed it on.
    pub inherited_listener: Option<TcpListener>,
    /// The configuration from the platform.
    pub config: Config,
    /// The fleet file, if there is one.
    pub fleet: Option<Fleet>,
    /// Format and filter of the log.
    pub log_format: LogFormat,
}

/// Why a process cannot start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The inherited listener cannot be used.
    #[error(transparent)]
    Listener(#[from] InheritedListenerError),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The fleet file cannot be used.
    #[error(transparent)]
    Fleet(#[from] FleetFileError),
    /// The environment variables of the log have invalid values.
    #[error(transparent)]
    Log(#[from] LogError),
}

impl Startup {
    /// Reads everything. `variable` returns the value of an environment variable.
    ///
    /// # Errors
    ///
    /// If any part is missing or cannot be used.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, StartupError> {
        // Must come first: a file that is opened earlier could get the number of the inherited descriptor.
        let inherited_listener = listener::inherited_listener(&variable)?;
        let config = Config::load(&variable)?;
        let fleet_path = variable(FLEET_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from);
        let fleet = fleet_path.map(|path| Fleet::read(&path, &config.names)).transpose()?;
        let log_format = LogFormat::read(&variable)?;
        Ok(Startup { inherited_listener, config, fleet, log_format })
    }
}
