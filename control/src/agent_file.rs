//! The agents to call, and the agent file that lists them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Upper bound on the agents in one file; `docs/CAPACITY.md` plans for fewer.
const MAX_AGENTS: usize = 10_000;

/// An agent as the command line or the agent file lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// The name shown in the output; the address if no name was given.
    pub name: String,
    /// The address of the agent's admin API.
    pub address: SocketAddr,
}

impl Agent {
    /// An agent that is shown by its address.
    pub fn unnamed(address: SocketAddr) -> Self {
        Agent { name: address.to_string(), address }
    }
}

/// An agent file that cannot be read or is not valid, with the problem.
#[derive(Debug, Error)]
#[error("{}: {problem}", file.display())]
pub struct AgentFileError {
    file: PathBuf,
    #[source]
    problem: AgentFileProblem,
}

/// What is wrong with an agent file.
#[derive(Debug, Error)]
enum AgentFileProblem {
    #[error("{0}")]
    Read(#[from] std::io::Error),
    #[error("the file names no agents")]
    Empty,
    #[error("{0} agents: at most {MAX_AGENTS} are allowed")]
    TooMany(usize),
    #[error("two agents have the name {0}")]
    DuplicateName(String),
    #[error("two agents have the address {0}")]
    DuplicateAddress(SocketAddr),
    #[error("line {number}: {line:.80?}: expected ADDRESS or NAME ADDRESS")]
    MalformedLine { number: usize, line: String },
    #[error("line {number}: {address:.80?} is not an address such as 127.0.0.1:19000")]
    MalformedAddress { number: usize, address: String },
    #[error("{}", .0.message().replace('\n', " "))]
    Toml(#[from] toml::de::Error),
    #[error("unknown key {0}: expected a section [agents]")]
    UnknownKey(String),
    #[error("expected a section [agents]")]
    NoSection,
    #[error("agents.{name} is {value:.80}: expected an address such as \"127.0.0.1:19000\"")]
    MalformedValue { name: String, value: toml::Value },
}

/// Reads agents from a file in one of two formats: one agent per line, `ADDRESS` or `NAME ADDRESS`, where `#` begins a
/// comment; or TOML, `NAME = "ADDRESS"` under `[agents]`. The first line that is neither blank nor a comment decides
/// which format is used.
///
/// # Errors
///
/// The file cannot be read, is in neither format, names no agents or more than [`MAX_AGENTS`], or contains a name or an
/// address twice.
pub fn read(file: &Path) -> Result<Vec<Agent>, AgentFileError> {
    read_agents(file).map_err(|problem| AgentFileError { file: file.to_owned(), problem })
}

fn read_agents(file: &Path) -> Result<Vec<Agent>, AgentFileProblem> {
    let text = std::fs::read_to_string(file)?;
    let agents = if is_toml(&text) { parse_toml(&text)? } else { parse_lines(&text)? };
    check_agents(&agents)?;
    Ok(agents)
}

fn is_toml(text: &str) -> bool {
    let mut lines = text.lines().map(str::trim);
    let first = lines.find(|line| !line.is_empty() && !line.starts_with('#'));
    first.is_some_and(|line| line.starts_with('[') || line.contains('='))
}

fn check_agents(agents: &[Agent]) -> Result<(), AgentFileProblem> {
    if agents.is_empty() {
        return Err(AgentFileProblem::Empty);
    }
    if agents.len() > MAX_AGENTS {
        return Err(AgentFileProblem::TooMany(agents.len()));
    }
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for agent in agents {
        if !names.insert(&agent.name) {
            return Err(AgentFileProblem::DuplicateName(agent.name.clone()));
        }
        if !addresses.insert(agent.address) {
            return Err(AgentFileProblem::DuplicateAddress(agent.address));
        }
    }
    Ok(())
}

fn parse_lines(text: &str) -> Result<Vec<Agent>, AgentFileProblem> {
    let mut agents = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        let (name, address) = match words[..] {
            [] => continue,
            [address] => (address, address),
            [name, address] => (name, address),
            _ => return Err(AgentFileProblem::MalformedLine { number, line: line.to_owned() }),
        };
        let Ok(socket_address) = address.parse() else {
            return Err(AgentFileProblem::MalformedAddress { number, address: address.to_owned() });
        };
        agents.push(Agent { name: name.to_owned(), address: socket_address });
    }
    Ok(agents)
}

fn parse_toml(text: &str) -> Result<Vec<Agent>, AgentFileProblem> {
    let table: toml::Table = text.parse()?;
    if let Some(key) = table.keys().find(|key| *key != "agents") {
        return Err(AgentFileProblem::UnknownKey(key.clone()));
    }
    let agents = table.get("agents").and_then(toml::Value::as_table).ok_or(AgentFileProblem::NoSection)?;
    agents.iter().map(|(name, value)| parse_entry(name, value)).collect()
}

fn parse_entry(name: &str, value: &toml::Value) -> Result<Agent, AgentFileProblem> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    let address = address
        .ok_or_else(|| AgentFileProblem::MalformedValue { name: name.to_owned(), value: value.clone() })?;
    Ok(Agent { name: name.to_owned(), address })
}

#[cfg(test)]
mod tests;
