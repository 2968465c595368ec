//! The format of the configuration file named by `PROXY_CONFIG`: JSON written by the platform. Unknown keys are ignored.

use super::error::ConfigError;
use balancer_settings::Params;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::path::PathBuf;

/// The environment variable with the path of the configuration file.
const PATH_VARIABLE: &str = "PROXY_CONFIG";

/// The file as it is read at startup. Addresses are not parsed yet, as variables may override them.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The agent's name.
    #[serde(default)]
    pub name: Option<String>,
    /// The address on which the agent accepts connections from clients.
    #[serde(default)]
    pub listen: Option<String>,
    /// The address of the discovery service.
    #[serde(default)]
    pub discovery: Option<String>,
    /// The address of the admin API; empty for none.
    #[serde(default, rename = "operator")]
    pub admin_address: Option<String>,
    /// The seed of the random number generator: hexadecimal digits, or any other text.
    #[serde(default)]
    pub seed: Option<String>,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// The last endpoint list that the agent had. It is kept as JSON text until the limit on its length is known.
    #[serde(rename = "known")]
    pub endpoint_list: Option<Box<RawValue>>,
    /// The balancer's settings.
    pub settings: Params,
}

/// Resource limits of the process.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The most descriptors that it may have open.
    #[serde(rename = "sockets")]
    pub max_descriptors: Option<usize>,
    /// The memory limit in MB.
    pub memory_mb: Option<f64>,
}

/// The part of the file that a running process reloads.
#[derive(Deserialize)]
pub struct ReloadedFile {
    /// The address of the discovery service.
    pub discovery: Option<String>,
}

/// Reads and parses the file named by `PROXY_CONFIG`; `variable` returns the value of an environment variable.
///
/// # Errors
///
/// If `PROXY_CONFIG` is not set, or the file cannot be read or parsed.
pub fn read<T: DeserializeOwned>(variable: &impl Fn(&str) -> Option<String>) -> Result<T, ConfigError> {
    let path = variable(PATH_VARIABLE).ok_or(ConfigError::NotSet { variable: PATH_VARIABLE })?;
    let path = PathBuf::from(path);
    match std::fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|source| ConfigError::Malformed { path, source }),
        Err(source) => Err(ConfigError::Unreadable { path, source }),
    }
}
