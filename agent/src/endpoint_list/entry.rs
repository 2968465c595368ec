//! One entry of the endpoint list: parsing and validation of the description of a server.

use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;
use thiserror::Error;

/// Weight of a server whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A server as its entry describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server's name, which is the same for every agent.
    pub name: String,
    /// Address that this agent connects to; it may be missing unless the server is up.
    pub dial: Option<SocketAddr>,
    /// Name of its zone; empty if the entry has none.
    pub zone: String,
    /// Its kind of machine; empty if the entry has none.
    pub kind: String,
    /// Number of its cell; 0 if the entry has none.
    pub cell: u32,
    /// Whether it accepts requests.
    pub health: Health,
    /// Weight relative to other servers of its kind; 1 if the entry has none.
    pub weight: f64,
    /// Time of its last start, in Unix milliseconds; 0, also if the entry has none, means long ago.
    pub born_ms: f64,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    Up,
    /// It completes the requests that it has and accepts no others.
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

/// An entry that is ignored because it is invalid.
#[derive(Debug, Error)]
#[error("entry {index}: {source}")]
pub struct InvalidEntry {
    /// Index of the entry in the answer, from 0.
    pub index: usize,
    /// Name of its server, if the entry has a valid one.
    pub name: Option<String>,
    /// Why it is invalid.
    pub source: EntryError,
}

/// Why an entry is invalid.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The entry is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A required value is missing or invalid.
    #[error("{key} is {found}, {expected} was expected")]
    Value {
        /// Key of the value.
        key: &'static str,
        /// The value as JSON, cut to 80 characters, or `missing`.
        found: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
}

impl EntryError {
    fn invalid_value(entry: &Value, key: &'static str, expected: &'static str) -> Self {
        let found = entry.get(key).map(|value| format!("{:.80}", value.to_string()));
        EntryError::Value { key, found: found.unwrap_or_else(|| "missing".to_owned()), expected }
    }
}

/// An entry whose values all have the expected types. Any other is read value by value by [`server_entry_from_values`], which
/// replaces invalid optional values by their defaults and names the required value that is invalid.
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
    fn into_server_entry(self) -> Option<ServerEntry> {
        let health = Health::parse(&self.health)?;
        let is_valid = !self.host.is_empty() && (self.dial.is_some() || health != Health::Up);
        is_valid.then(|| ServerEntry {
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

/// Parses the entry at `index` of an answer from its JSON text.
///
/// # Errors
///
/// If the text is not JSON, the name is missing, the health is missing or unknown, or the server is up and has no valid
/// address.
pub fn read_entry(index: usize, text: &str) -> Result<ServerEntry, InvalidEntry> {
    if let Some(host) = serde_json::from_str::<ValidEntry>(text).ok().and_then(ValidEntry::into_server_entry)
    {
        return Ok(host);
    }
    let entry: Value = serde_json::from_str(text).map_err(|error| InvalidEntry {
        index,
        name: None,
        source: EntryError::Json(error),
    })?;
    server_entry_from_values(&entry).map_err(|source| {
        let name = entry.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
        InvalidEntry { index, name: name.map(str::to_owned), source }
    })
}

fn server_entry_from_values(entry: &Value) -> Result<ServerEntry, EntryError> {
    let text = |key: &str| entry.get(key).and_then(Value::as_str);
    let number = |key: &str| entry.get(key).and_then(Value::as_f64);
    let invalid = |key, expected| EntryError::invalid_value(entry, key, expected);
    let name = text("host").filter(|name| !name.is_empty()).ok_or_else(|| invalid("host", "a name"))?;
    let health =
        text("health").and_then(Health::parse).ok_or_else(|| invalid("health", "up, draining or removed"))?;
    let dial = text("dial").and_then(|address| address.parse().ok());
    if dial.is_none() && health == Health::Up {
        return Err(invalid("dial", "an address"));
    }
    let cell = entry.get("block").and_then(Value::as_u64).and_then(|cell| u32::try_from(cell).ok());
    Ok(ServerEntry {
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
