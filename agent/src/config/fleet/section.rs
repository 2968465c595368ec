//! A section of the fleet file whose keys are removed as they are read, so that unknown keys are found.

use super::error::FleetError;
use toml::{Table, Value};

/// The most characters of a key or a value that an error message contains.
const MAX_SHOWN_CHARS: usize = 80;
/// The end of a shortened value in an error message.
const ELLIPSIS: &str = "...";

/// A table of the file, without the keys that were taken, and its dotted path; the path of the root is empty.
pub struct Section {
    path: String,
    table: Table,
}

impl Section {
    /// The root table of the file.
    pub fn root(table: Table) -> Self {
        Section { path: String::new(), table }
    }

    /// The keys that have not been taken yet.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The dotted path of a key, as error messages show it. A long key is cut off.
    pub fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            format!("{key:.MAX_SHOWN_CHARS$}")
        } else {
            format!("{}.{key:.MAX_SHOWN_CHARS$}", self.path)
        }
    }

    /// Removes a key and returns its value, if it is there.
    pub fn take(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    /// Removes a required key and returns its value; `purpose` explains the key if it is missing.
    pub fn take_required(&mut self, key: &str, purpose: &'static str) -> Result<Value, FleetError> {
        self.take(key).ok_or_else(|| FleetError::Missing { key: self.full_key(key), purpose })
    }

    /// Removes a subsection and returns it, if it is there; an error if the key is not a table.
    pub fn take_section(&mut self, key: &str) -> Result<Option<Section>, FleetError> {
        match self.take(key) {
            None => Ok(None),
            Some(Value::Table(table)) => Ok(Some(Section { path: self.full_key(key), table })),
            Some(other) => {
                Err(self.invalid_value(key, &other, format!("a section [{}]", self.full_key(key))))
            }
        }
    }

    /// Fails if a key is left after all `known_keys` were taken.
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

    /// Returns the error for a key with an invalid value.
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
