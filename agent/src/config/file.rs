//! The configuration file that `PROXY_CONFIG` names: JSON from the platform. Unknown keys are ignored.

use super::error::ConfigError;
use balancer_settings::Params;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::path::PathBuf;

/// Names the file.
const PATH_VARIABLE: &str = "PROXY_CONFIG";

/// The file at the start of the process. Addresses are text, as variables replace some of them.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The agent's name.
    #[serde(default)]
    pub name: Option<String>,
    /// Where the application connects.
    #[serde(default)]
    pub listen: Option<String>,
    /// Where discovery answers.
    #[serde(default)]
    pub discovery: Option<String>,
    /// The admin address.
    #[serde(default, rename = "operator")]
    pub admin_address: Option<String>,
    /// The seed for random numbers: hexadecimal digits, or any other text.
    #[serde(default)]
    pub seed: Option<String>,
    /// What the process may use of the machine.
    #[serde(default)]
    pub limits: Limits,
    /// The endpoint list as the agent last had it.
    #[serde(rename = "known")]
    pub endpoint_list: Option<Box<RawValue>>,
    /// The balancer's settings.
    pub settings: Params,
}

/// What the process may use of the machine.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Descriptors that it may have open.
    #[serde(rename = "sockets")]
    pub max_descriptors: Option<usize>,
    /// Memory, in MB.
    pub memory_mb: Option<f64>,
}

/// The part of the file that a running process reads again.
#[derive(Deserialize)]
pub struct ReloadedFile {
    /// Where discovery answers.
    pub discovery: Option<String>,
}

/// Reads the file that the variable names.
pub fn read<T: DeserializeOwned>(variable: &impl Fn(&str) -> Option<String>) -> Result<T, ConfigError> {
    let path = variable(PATH_VARIABLE).ok_or(ConfigError::NotSet { variable: PATH_VARIABLE })?;
    let path = PathBuf::from(path);
    match std::fs::read(&path) {
        Ok(text) => serde_json::from_slice(&text).map_err(|source| ConfigError::Malformed { path, source }),
        Err(source) => Err(ConfigError::Unreadable { path, source }),
    }
}
