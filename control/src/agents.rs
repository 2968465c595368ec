//! The agents that are asked: a name and the second address of each.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// More agents are in no fleet.
const AGENTS_MOST: usize = 10_000;

/// One agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// How it is called; its address if it has no other name.
    pub name: String,
    /// Its second address.
    pub address: SocketAddr,
}

impl Agent {
    /// An agent without another name.
    pub fn at(address: SocketAddr) -> Self {
        Agent { name: address.to_string(), address }
    }
}

/// Reads agents from a file: one a line, `ADDRESS` or `NAME ADDRESS`, with `#` before remarks; or TOML, `NAME =
/// "ADDRESS"` under `[agents]`.
pub fn read(file: &Path) -> Result<Vec<Agent>, String> {
    let at = |why: String| format!("{}: {why}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| at(e.to_string()))?;
    let toml = text.lines().map(str::trim).find(|line| !line.is_empty() && !line.starts_with('#'));
    let toml = toml.is_some_and(|line| line.starts_with('[') || line.contains('='));
    let agents = if toml { of_toml(&text) } else { of_lines(&text) };
    agents.and_then(checked).map_err(at)
}

fn checked(agents: Vec<Agent>) -> Result<Vec<Agent>, String> {
    if agents.is_empty() {
        return Err("it names no agent".into());
    }
    if agents.len() > AGENTS_MOST {
        return Err(format!("{} agents; at most {AGENTS_MOST} are asked", agents.len()));
    }
    let (mut names, mut addresses) = (HashSet::new(), HashSet::new());
    for agent in &agents {
        if !names.insert(&agent.name) {
            return Err(format!("two agents are called {}", agent.name));
        }
        if !addresses.insert(agent.address) {
            return Err(format!("two agents are at {}", agent.address));
        }
    }
    Ok(agents)
}

fn of_lines(text: &str) -> Result<Vec<Agent>, String> {
    let mut agents = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
        let (name, address) = match words[..] {
            [] => continue,
            [address] => (address, address),
            [name, address] => (name, address),
            _ => return Err(format!("line {}: {line:.80?}; NAME ADDRESS was expected", n + 1)),
        };
        let parsed = address.parse();
        let address = parsed
            .map_err(|_| format!("line {}: {address:.80?} is no address such as 127.0.0.1:19000", n + 1))?;
        agents.push(Agent { name: name.to_owned(), address });
    }
    Ok(agents)
}

fn of_toml(text: &str) -> Result<Vec<Agent>, String> {
    let table: toml::Table = text.parse().map_err(|e: toml::de::Error| e.message().replace('\n', " "))?;
    if let Some(other) = table.keys().find(|key| *key != "agents") {
        return Err(format!("{other} has no meaning; a section [agents] was expected"));
    }
    let agents = table.get("agents").and_then(toml::Value::as_table);
    let agents = agents.ok_or("a section [agents] was expected")?;
    let agent = |(name, value): (&String, &toml::Value)| {
        let address = value.as_str().and_then(|text| text.parse().ok());
        let address = address.ok_or_else(|| {
            format!("agents.{name} is {value:.80}; an address such as \"127.0.0.1:19000\" was expected")
        })?;
        Ok(Agent { name: name.clone(), address })
    };
    agents.iter().map(agent).collect()
}

#[cfg(test)]
mod tests;
