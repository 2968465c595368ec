//! One entry of the endpoint list: a server, and what may be wrong with how it is written.

use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;
use thiserror::Error;

/// The weight of a server whose entry gives none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One server.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    /// Its name, the same at every agent.
    pub name: String,
    /// Where this agent connects to it; the entry of a removed server may lack it.
    pub dial: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Whether it accepts requests.
    pub health: Health,
    /// Its weight against servers of its kind; 1 unless the entry says otherwise.
    pub weight: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It finishes the requests that it has.
    Draining,
    /// It is no longer a part of the service.
    Removed,
}

impl Health {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "up" => Some(Health::Up),
            "draining" => Some(Health::Draining),
            "removed" => Some(Health::Removed),
            _ => None,
        }
    }
}

/// An entry that is ignored.
#[derive(Debug, Error)]
#[error("entry {index}: {source}")]
pub struct InvalidEntry {
    /// Its place in the answer, from 0.
    pub index: usize,
    /// The name of its server, if that can be read.
    pub name: Option<String>,
    /// What is wrong with it.
    pub source: EntryError,
}

/// What is wrong with an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// It is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A value is missing or of no use.
    #[error("{key} is {found}, {expected} was expected")]
    Value {
        /// Its key.
        key: &'static str,
        /// The value as JSON, shortened; or that it is missing.
        found: String,
        /// What is allowed there.
        expected: &'static str,
    },
}

impl EntryError {
    fn value(entry: &Value, key: &'static str, expected: &'static str) -> Self {
        let found = entry.get(key).map(|value| format!("{:.80}", value.to_string()));
        EntryError::Value { key, found: found.unwrap_or_else(|| "missing".to_owned()), expected }
    }
}

/// An entry in which everything is valid; any other is read value by value, which tells what is wrong.
#[derive(Deserialize)]
struct ValidEntry<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    dial: Option<SocketAddr>,
    #[serde(borrow, default)]
    site: Cow<'a, str>,
    #[serde(borrow, default)]
    class: Cow<'a, str>,
    block: Option<u32>,
    #[serde(borrow)]
    health: Cow<'a, str>,
    share: Option<f64>,
    born_ms: Option<f64>,
}

impl ValidEntry<'_> {
    fn into_host(self) -> Option<Host> {
        let health = Health::parse(&self.health)?;
        let is_valid = !self.host.is_empty() && (self.dial.is_some() || health != Health::Up);
        is_valid.then(|| Host {
            name: self.host.into_owned(),
            dial: self.dial,
            zone: self.site.into_owned(),
            kind: self.class.into_owned(),
            cell: self.block.unwrap_or(0),
            health,
            weight: self.share.unwrap_or(DEFAULT_WEIGHT),
            born_ms: self.born_ms.unwrap_or(0.0),
        })
    }
}

/// Reads the entry at `index` of an answer from its JSON text.
///
/// # Errors
///
/// It is no JSON, has no name, no known health, or no address though it accepts requests.
pub fn read_entry(index: usize, text: &str) -> Result<Host, InvalidEntry> {
    if let Some(host) = serde_json::from_str::<ValidEntry>(text).ok().and_then(ValidEntry::into_host) {
        return Ok(host);
    }
    let entry: Value = serde_json::from_str(text).map_err(|error| InvalidEntry {
        index,
        name: None,
        source: EntryError::Json(error),
    })?;
    host_from_values(&entry).map_err(|source| {
        let name = entry.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
        InvalidEntry { index, name: name.map(str::to_owned), source }
    })
}

fn host_from_values(entry: &Value) -> Result<Host, EntryError> {
    let text = |key: &str| entry.get(key).and_then(Value::as_str);
    let number = |key: &str| entry.get(key).and_then(Value::as_f64);
    let invalid = |key, expected| EntryError::value(entry, key, expected);
    let name = text("host").filter(|name| !name.is_empty()).ok_or_else(|| invalid("host", "a name"))?;
    let health =
        text("health").and_then(Health::parse).ok_or_else(|| invalid("health", "up, draining or removed"))?;
    let dial = text("dial").and_then(|address| address.parse().ok());
    if dial.is_none() && health == Health::Up {
        return Err(invalid("dial", "an address"));
    }
    let cell = entry.get("block").and_then(Value::as_u64).and_then(|cell| u32::try_from(cell).ok());
    Ok(Host {
        name: name.to_owned(),
        dial,
        zone: text("site").unwrap_or_default().to_owned(),
        kind: text("class").unwrap_or_default().to_owned(),
        cell: cell.unwrap_or(0),
        health,
        weight: number("share").unwrap_or(DEFAULT_WEIGHT),
        born_ms: number("born_ms").unwrap_or(0.0),
    })
}
