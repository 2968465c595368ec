//! What the agent is told at its start: the `PROXY_*` variables and the file that `PROXY_CONFIG` names.

pub mod fleet;

use crate::endpoint_list::{self, List};
use balancer::Settings;
use balancer_settings::{Names, Params};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors and memory are for small machines; a configuration that is silent about them means these.
const SOCKETS: usize = 1024;
const MEMORY_MB: f64 = 192.0;
/// Fewer leave no room to serve; more than this no process may hold.
const SOCKETS_LEAST: usize = 80;
const SOCKETS_MOST: usize = 1 << 20;

/// What a server that is known takes, with all that is learned of it, in bytes (`testbed scale list` measures 1.2 to 1.6 KB),
/// and the part of the memory that all of them may take.
const SERVER_BYTES: u64 = 2 << 10;
const SERVERS_SHARE: u64 = 2;

/// The part of the descriptors that clients may use for their requests, by the terms.
const CLIENTS_SHARE: usize = 3;

/// Everything that one start of the agent goes by.
#[derive(Debug)]
pub struct Config {
    /// The agent's name, for its log.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the operators' staff call, if they do.
    pub operator: Option<SocketAddr>,
    /// The seed for random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in MB, together with another one if it may run beside one.
    pub memory_mb: u64,
    /// Whether it may.
    pub shared: bool,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names in the settings and the limits of sockets.
    pub names: Names,
    /// Servers that may be known at once; a list of more is not taken.
    pub servers_most: usize,
    /// The server list as the agent last had it.
    pub known: List,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    operator: Option<String>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    known: Option<Box<RawValue>>,
    settings: Params,
}

/// What of the file counts after the start.
#[derive(Deserialize)]
struct Later {
    discovery: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

fn read<T: DeserializeOwned>(var: &impl Fn(&str) -> Option<String>) -> Result<T, String> {
    let path = PathBuf::from(var("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{} is no configuration: {e}", path.display()))
}

impl Config {
    /// Reads the configuration of this process; the error is one line for a person.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        Self::from_file(read(&var)?, var)
    }

    /// Where discovery answers by the file as it is now. The variables tell what was so at the start, and the
    /// file has been replaced since: here it alone counts.
    pub fn discovery_now(var: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, String> {
        let address = read::<Later>(&var)?.discovery.ok_or("the file names no discovery")?;
        address.parse().map_err(|_| format!("discovery is {address:?}; an address was expected"))
    }

    fn from_file(file: File, var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let parse = |name: &str, text: String| {
            text.parse::<SocketAddr>().map_err(|_| format!("{name} is {text:?}; an address was expected"))
        };
        let address = |name: &str, own: Option<String>| {
            parse(name, var(name).or(own).ok_or_else(|| format!("{name} is not set"))?)
        };
        let listen = address("PROXY_LISTEN", file.listen)?;
        let discovery = address("PROXY_DISCOVERY", file.discovery)?;
        let operator = var("PROXY_OPERATOR").or(file.operator).filter(|text| !text.is_empty());
        let operator = operator.map(|text| parse("PROXY_OPERATOR", text)).transpose()?;
        let mut settings = balancer_settings::settings(&file.settings);
        settings.check().map_err(|e| e.to_string())?;
        let names = balancer_settings::names(&file.settings);
        if let Some(place) = names.classes.iter().position(String::is_empty) {
            return Err(format!("settings give class {place} no name"));
        }
        if file.limits.sockets.is_some_and(|sockets| sockets < SOCKETS_LEAST) {
            return Err(format!("limits.sockets is below {SOCKETS_LEAST}; that leaves no room to serve"));
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS_MOST);
        settings.max_concurrent_requests = Some((sockets / CLIENTS_SHARE) as u32);
        let seed = file.seed.unwrap_or_default();
        let memory_mb = file.limits.memory_mb.unwrap_or(MEMORY_MB) as u64;
        let servers_most = ((memory_mb << 20) / SERVERS_SHARE / SERVER_BYTES) as usize;
        let known = match file.known {
            None => List::default(),
            Some(text) => endpoint_list::read_list(text.get().as_bytes(), servers_most)
                .map_err(|why| format!("known is no server list: {why}"))?,
        };
        Ok(Config {
            name: var("PROXY_NAME").or(file.name).unwrap_or_else(|| "agent".into()),
            listen,
            discovery,
            operator,
            // Any text makes a seed; only the form of the deployment's own is read as a number.
            seed: u64::from_str_radix(&seed, 16).unwrap_or_else(|_| balancer_settings::fnv1a(&seed)),
            sockets,
            memory_mb,
            servers_most,
            shared: var("PROXY_LISTEN_FD").is_some_and(|fd| !fd.is_empty()),
            settings,
            names,
            known,
        })
    }
}

#[cfg(test)]
mod tests;
