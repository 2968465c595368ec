//! What a process goes by from its start: the inherited listener, the configuration, the fleet file and the log.

use crate::config::error::ConfigError;
use crate::config::fleet::error::FleetFileError;
use crate::config::fleet::Fleet;
use crate::config::Config;
use crate::log::{LogError, LogFormat};
use crate::peers::listener::{self, InheritedListenerError};
use std::net::TcpListener;
use std::path::PathBuf;
use thiserror::Error;

/// Names the fleet file.
const FLEET_VARIABLE: &str = "PROXY_FLEET";

/// Everything that a start reads.
pub struct Startup {
    /// The clients' listener that another process of the agent passes on, if there is one.
    pub inherited_listener: Option<TcpListener>,
    /// The platform's configuration.
    pub config: Config,
    /// The fleet file, if there is one.
    pub fleet: Option<Fleet>,
    /// How the log is written.
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
    /// The log's variables cannot be used.
    #[error(transparent)]
    Log(#[from] LogError),
}

impl Startup {
    /// Reads everything; `variable` is the environment.
    ///
    /// # Errors
    ///
    /// If any part is missing or cannot be used.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, StartupError> {
        // First, as any file that is opened could take the descriptor's number.
        let inherited_listener = listener::inherited_listener(&variable)?;
        let config = Config::load(&variable)?;
        let fleet_path = variable(FLEET_VARIABLE).filter(|path| !path.is_empty()).map(PathBuf::from);
        let fleet = fleet_path.map(|path| Fleet::read(&path, &config.names)).transpose()?;
        let log_format = LogFormat::read(&variable)?;
        Ok(Startup { inherited_listener, config, fleet, log_format })
    }
}
