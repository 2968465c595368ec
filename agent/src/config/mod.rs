//! What the agent goes by from its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names.

pub mod error;
mod file;
pub mod fleet;

use self::error::ConfigError;
use self::file::{ConfigFile, ReloadedFile};
use crate::endpoint_list::{self, List};
use balancer::Settings;
use balancer_settings::Names;
use std::net::SocketAddr;

/// Descriptors and memory are for small machines; a configuration that is silent about them means these.
const DEFAULT_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Fewer are too few to serve.
const MIN_DESCRIPTORS: usize = 80;
/// No process may have more open.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// What a known server takes, with all that is recorded of it, in bytes (`testbed scale list` measures 1.2 to 1.6 KB),
/// and the part of the memory that all of them may take.
const SERVER_BYTES: u64 = 2 << 10;
const SERVERS_SHARE: u64 = 2;

/// The part of the descriptors that clients may use for their requests, by the terms of the deployment.
const CLIENTS_SHARE: usize = 3;
/// The agent's name where neither the variable nor the file has one.
const DEFAULT_NAME: &str = "agent";

/// Everything that one start of the agent goes by.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The admin address; without one there is no admin API.
    pub admin_address: Option<SocketAddr>,
    /// The seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MB; a second process beside it uses it too if it is shared.
    pub memory_mb: u64,
    /// Whether another process may run beside this one and share its memory limit.
    pub is_memory_shared: bool,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names in the settings and the limits of sockets.
    pub names: Names,
    /// Servers that may be known at once; a longer endpoint list is rejected.
    pub max_servers: usize,
    /// The endpoint list as the agent last had it.
    pub endpoint_list: List,
}

impl Config {
    /// Reads the configuration of this process. Variables take precedence over the file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a value is missing or cannot be worked with.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        Self::from_file(file::read(&variable)?, variable)
    }

    /// Reads the discovery address from the file as it is now. The variables were set at the start and the file has
    /// been replaced since, so the file alone counts here.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or has no address of discovery.
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
        settings.max_concurrent_requests = Some((max_descriptors / CLIENTS_SHARE) as u32);
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as u64;
        let max_servers = ((memory_mb << 20) / SERVERS_SHARE / SERVER_BYTES) as usize;
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
    let max_descriptors = configured.unwrap_or(DEFAULT_DESCRIPTORS);
    if max_descriptors < MIN_DESCRIPTORS {
        return Err(ConfigError::TooFewDescriptors { minimum: MIN_DESCRIPTORS });
    }
    Ok(max_descriptors.min(MAX_DESCRIPTORS))
}

/// Hexadecimal digits are read as a number, as the platform writes them; any other text is hashed.
fn seed_from_text(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| balancer_settings::fnv1a(text))
}

#[cfg(test)]
mod tests;
