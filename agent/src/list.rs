//! The server list as discovery words it: what it tells of each server, and reading it.

use serde_json::Value;
use std::net::SocketAddr;

/// A server list or a change of one, as discovery words it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// It is the whole list, not only what has changed.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<Host>,
    /// Entries that make no sense: the name of the server, if that can be read, and what is wrong.
    pub unread: Vec<(Option<String>, String)>,
}

/// One server.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Its name, the same at every agent.
    pub name: String,
    /// Where this agent reaches it; an entry of a removed server may lack it.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    pub site: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub block: u32,
    /// What it says of its health.
    pub health: Health,
    /// Its weight.
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// Whether a server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

/// Reads a list; the error is for a person. An entry that makes no sense is named apart: one bad line must not cost the
/// others.
pub fn parse_list(value: &Value) -> Result<List, String> {
    let missing = |key: &str, what: &str| format!("it has no {key}, {what} was expected");
    let entries = value.get("hosts").and_then(Value::as_array).ok_or_else(|| missing("hosts", "an array"))?;
    let seq = value.get("seq").and_then(Value::as_u64).ok_or_else(|| missing("seq", "a whole number"))?;
    let whole = value.get("whole").and_then(Value::as_bool).unwrap_or(false);
    let (mut hosts, mut unread) = (Vec::with_capacity(entries.len()), Vec::new());
    for (place, entry) in entries.iter().enumerate() {
        match parse_host(entry) {
            Ok(host) => hosts.push(host),
            Err(why) => {
                let name = entry.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
                unread.push((name.map(str::to_owned), format!("entry {place}: {why}")));
            }
        }
    }
    Ok(List { seq, whole, hosts, unread })
}

fn parse_host(value: &Value) -> Result<Host, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let odd = |key: &str, what: &str| {
        let is = value.get(key).map_or("missing".to_owned(), |value| format!("{:.80}", value.to_string()));
        format!("{key} is {is}, {what} was expected")
    };
    let name = text("host").filter(|name| !name.is_empty()).ok_or_else(|| odd("host", "a name"))?;
    let health = match text("health") {
        Some("up") => Health::Up,
        Some("draining") => Health::Draining,
        Some("removed") => Health::Removed,
        _ => return Err(odd("health", "up, draining or removed")),
    };
    let dial = text("dial").and_then(|d| d.parse().ok());
    if dial.is_none() && health == Health::Up {
        return Err(odd("dial", "an address"));
    }
    Ok(Host {
        name: name.to_owned(),
        dial,
        site: text("site").unwrap_or_default().to_owned(),
        kind: text("class").unwrap_or_default().to_owned(),
        block: value.get("block").and_then(Value::as_u64).and_then(|b| u32::try_from(b).ok()).unwrap_or(0),
        health,
        share: value.get("share").and_then(Value::as_f64).unwrap_or(1.0),
        born_ms: value.get("born_ms").and_then(Value::as_f64).unwrap_or(0.0),
    })
}

#[cfg(test)]
mod tests;
