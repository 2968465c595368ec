//! A section of the fleet file, read strictly: each key once, and none that has no meaning.

use super::error::FleetError;
use toml::{Table, Value};

/// The longest value that an error shows, and the longest key, in characters.
const MAX_SHOWN_CHARS: usize = 80;
/// Ends a value that an error shows in part.
const ELLIPSIS: &str = "...";

/// A table of the file, and the path of keys at which it stands.
pub struct Section {
    path: String,
    table: Table,
}

impl Section {
    /// The whole file.
    pub fn root(table: Table) -> Self {
        Section { path: String::new(), table }
    }

    /// What of the section has not been taken yet.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// A key with the path of the section.
    pub fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            format!("{key:.MAX_SHOWN_CHARS$}")
        } else {
            format!("{}.{key:.MAX_SHOWN_CHARS$}", self.path)
        }
    }

    /// Takes a key's value out of the section.
    pub fn take(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    /// Takes a value that has to be there.
    pub fn take_required(&mut self, key: &str, purpose: &'static str) -> Result<Value, FleetError> {
        self.take(key).ok_or_else(|| FleetError::Missing { key: self.full_key(key), purpose })
    }

    /// Takes a section within this one.
    pub fn take_section(&mut self, key: &str) -> Result<Option<Section>, FleetError> {
        match self.take(key) {
            None => Ok(None),
            Some(Value::Table(table)) => Ok(Some(Section { path: self.full_key(key), table })),
            Some(other) => {
                Err(self.invalid_value(key, &other, format!("a section [{}]", self.full_key(key))))
            }
        }
    }

    /// Checks that no key is left, after all `known_keys` were taken.
    pub fn finish(&self, known_keys: &[&str]) -> Result<(), FleetError> {
        match self.table.iter().next() {
            None => Ok(()),
            Some((key, value)) => Err(FleetError::UnknownKey {
                key: self.full_key(key),
                value: shorten(value),
                known_keys: known_keys.join(", "),
            }),
        }
    }

    /// The error for a key whose value is not what was expected.
    pub fn invalid_value(&self, key: &str, value: &Value, expected: impl Into<String>) -> FleetError {
        let (key, value) = (self.full_key(key), shorten(value));
        FleetError::InvalidValue { key, value, expected: expected.into() }
    }
}

fn shorten(value: &Value) -> String {
    let text = value.to_string().replace('\n', " ");
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    text.chars().take(MAX_SHOWN_CHARS - ELLIPSIS.len()).chain(ELLIPSIS.chars()).collect()
}
