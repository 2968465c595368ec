//! The agent's configuration at startup: the `PROXY_*` environment variables and the file named by `PROXY_CONFIG`.

pub mod error;
mod file;
pub mod fleet;

use self::error::ConfigError;
use self::file::{ConfigFile, ReloadedFile};
use crate::endpoint_list::{self, List};
use balancer::Settings;
use balancer_settings::Names;
use std::net::SocketAddr;

/// The limits on descriptors and memory if the file has none. They fit small machines.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// With fewer descriptors the agent cannot serve requests.
const MIN_DESCRIPTORS: usize = 80;
/// A higher limit in the file is reduced to this one, as no process may have more open.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// Memory for each known server, with all state that is kept about it (`testbed scale list` measures 1.2 to 1.6 KB).
const BYTES_PER_SERVER: u64 = 2 << 10;
/// Known servers may use one half of the memory limit.
const SERVERS_MEMORY_DIVISOR: u64 = 2;

/// Requests of clients may use one third of the descriptors, by the terms of the deployment.
const REQUEST_DESCRIPTORS_DIVISOR: usize = 3;
/// The agent's name if neither `PROXY_NAME` nor the file has one.
const DEFAULT_NAME: &str = "agent";

/// The validated configuration of one process of the agent.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, as it is logged.
    pub name: String,
    /// The address on which the agent accepts connections from clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the admin API; without one there is no admin API.
    pub admin_address: Option<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The most descriptors that the process may have open.
    pub max_descriptors: usize,
    /// The memory limit of the process in MB, or of two processes together if `is_memory_shared`.
    pub memory_mb: u64,
    /// Whether another process of the agent may run at the same time, as during an upgrade, within the same limit.
    pub is_memory_shared: bool,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names and connection timeouts in the settings.
    pub names: Names,
    /// The most servers that may be known at once; a longer endpoint list is rejected.
    pub max_servers: usize,
    /// The endpoint list with which the process starts: the last one that the agent had.
    pub endpoint_list: List,
}

impl Config {
    /// Reads and validates the configuration of this process. Variables take precedence over the file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a value is missing or invalid.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file(file::read(&variable)?, variable)
    }

    /// Reads the discovery address from the current file. `PROXY_DISCOVERY` is ignored: it dates from the start of the
    /// process, and the file may have been replaced since.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or has no valid discovery address.
    pub fn reload_discovery(variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
        let address = file::read::<ReloadedFile>(&variable)?.discovery.ok_or(ConfigError::NoDiscovery)?;
        parse_address("discovery", address)
    }

    fn from_file(file: ConfigFile, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let address = |name, in_file: Option<String>| {
            let text = variable(name).or(in_file).ok_or(ConfigError::NotSet { variable: name })?;
            parse_address(name, text)
        };
        let listen = address("PROXY_LISTEN", file.listen)?;
        let discovery = address("PROXY_DISCOVERY", file.discovery)?;
        let admin_address = variable("PROXY_OPERATOR").or(file.admin_address).filter(|text| !text.is_empty());
        let admin_address = admin_address.map(|text| parse_address("PROXY_OPERATOR", text)).transpose()?;
        let mut settings = balancer_settings::settings(&file.settings);
        settings.check()?;
        let names = balancer_settings::names(&file.settings);
        check_class_names(&names)?;
        let max_descriptors = max_descriptors(file.limits.max_descriptors)?;
        settings.max_concurrent_requests = Some((max_descriptors / REQUEST_DESCRIPTORS_DIVISOR) as u32);
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as u64;
        let max_servers = ((memory_mb << 20) / SERVERS_MEMORY_DIVISOR / BYTES_PER_SERVER) as usize;
        let endpoint_list = match file.endpoint_list {
            None => List::default(),
            Some(text) => endpoint_list::read_list(text.get().as_bytes(), max_servers)
                .map_err(|error| ConfigError::InvalidEndpointList { reason: error.to_string() })?,
        };
        Ok(Config {
            name: variable("PROXY_NAME").or(file.name).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen,
            discovery,
            admin_address,
            seed: seed_from_text(&file.seed.unwrap_or_default()),
            max_descriptors,
            memory_mb,
            is_memory_shared: variable("PROXY_LISTEN_FD").is_some_and(|text| !text.is_empty()),
            settings,
            names,
            max_servers,
            endpoint_list,
        })
    }
}

fn parse_address(name: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|source| ConfigError::InvalidAddress { name, value, source })
}

fn check_class_names(names: &Names) -> Result<(), ConfigError> {
    match names.classes.iter().position(String::is_empty) {
        Some(position) => Err(ConfigError::UnnamedClass { position }),
        None => Ok(()),
    }
}

fn max_descriptors(configured: Option<usize>) -> Result<usize, ConfigError> {
    let max_descriptors = configured.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
    if max_descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::TooFewDescriptors { minimum: MIN_DESCRIPTORS });
    }
    Ok(max_descriptors.min(MAX_DESCRIPTORS))
}

/// Parses hexadecimal digits, the platform's format, as a number; any other text is hashed.
fn seed_from_text(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| balancer_settings::fnv1a(text))
}

#[cfg(test)]
mod tests;
