//! An incremental parser for the endpoint lists that discovery sends.

use super::entry::{read_entry, InvalidEntry, ServerEntry};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Deserializer, Value};
use std::borrow::Cow;
use thiserror::Error;

/// Maximum length of an entry, and of every other value of the envelope; the protocol page sets the same limit for a
/// body.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// An answer that is longer than this for each allowed entry is rejected. An entry takes some 150 bytes; the rest is
/// for indentation and unknown fields.
const MAX_BYTES_PER_ENTRY: usize = 1 << 10;

/// The fields of an answer other than its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// Version of the list.
    pub seq: u64,
    /// Whether the answer is the complete list; otherwise it has only the entries that have changed.
    pub is_complete: bool,
}

/// Why a text is not a valid endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// The text is longer than the allowed number of entries can be.
    #[error("it has over {max_bytes} bytes, {max_entries} entries at most were expected")]
    TooLong {
        /// Maximum length of the text.
        max_bytes: usize,
        /// Maximum number of entries.
        max_entries: usize,
    },
    /// The list has too many entries.
    #[error("it has over {max} entries, {max} at most were expected")]
    TooManyEntries {
        /// Maximum number of entries.
        max: usize,
    },
    /// A value is longer than `MAX_VALUE_BYTES`.
    #[error("the value at byte {at} has over {MAX_VALUE_BYTES} bytes")]
    ValueTooLong {
        /// Offset of the value in the answer.
        at: usize,
    },
    /// A value is not valid JSON.
    #[error("{source}, from byte {at} on")]
    InvalidValue {
        /// Offset of the value in the answer.
        at: usize,
        /// The parser's error; its line and column are counted from the value's first byte.
        source: serde_json::Error,
    },
    /// A byte between two values is not the expected punctuation.
    #[error("byte {at} is {found:?}, {expected} was expected")]
    UnexpectedByte {
        /// Offset of the byte in the answer.
        at: usize,
        /// The byte that was found.
        found: char,
        /// Description of what is allowed there.
        expected: &'static str,
    },
    /// The text ends before its object does.
    #[error("it ends after {bytes} bytes, before its object does")]
    Incomplete {
        /// Length of the text.
        bytes: usize,
    },
    /// A required value is missing or has another type.
    #[error("it has no {key}, {expected} was expected")]
    MissingValue {
        /// Key of the value.
        key: &'static str,
        /// Description of what is allowed there.
        expected: &'static str,
    },
}

/// Position of a reader in an answer, by what comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Start,
    /// Before a key. Only before the first one may the object end; after a comma a key has to follow.
    Key {
        is_first: bool,
    },
    Colon(Key),
    Value(Key),
    AfterValue,
    Entry {
        is_first: bool,
    },
    AfterEntry,
    End,
}

/// A key of the envelope.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Key {
    Seq,
    Whole,
    Hosts,
    Other,
}

impl Key {
    fn parse(text: &str) -> Self {
        match text {
            "seq" => Key::Seq,
            "whole" => Key::Whole,
            "hosts" => Key::Hosts,
            _ => Key::Other,
        }
    }
}

/// Parses an answer as it arrives, in steps. It buffers only the text that is not parsed yet, and a step parses no more
/// entries than the caller asks for. `serde_json` parses the values; the punctuation between them is parsed here.
#[derive(Debug)]
pub struct Reader {
    max_entries: usize,
    /// The text that has arrived, without the parsed part that was dropped.
    buffer: Vec<u8>,
    /// Length of the parsed part of `buffer`, in bytes.
    offset: usize,
    /// Number of bytes dropped from the front of `buffer`.
    dropped_bytes: usize,
    position: Position,
    entries: usize,
    seq: Option<u64>,
    is_complete_list: bool,
    has_hosts: bool,
}

/// Result of parsing one value or one byte of punctuation.
enum Progress {
    /// It was parsed, and the position has moved past it.
    Read,
    /// The value at the current offset has not arrived completely.
    NeedsMore,
}

impl Reader {
    /// Creates a reader for an answer of which nothing has arrived. One with over `max_entries` entries is rejected.
    pub fn new(max_entries: usize) -> Self {
        Reader {
            max_entries,
            buffer: Vec::new(),
            offset: 0,
            dropped_bytes: 0,
            position: Position::Start,
            entries: 0,
            seq: None,
            is_complete_list: false,
            has_hosts: false,
        }
    }

    /// Number of bytes that have arrived.
    pub fn bytes(&self) -> usize {
        self.dropped_bytes + self.buffer.len()
    }

    /// Number of entries parsed so far, valid or not.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Appends bytes of the answer that have arrived.
    ///
    /// # Errors
    ///
    /// If the answer is longer than a list of `max_entries` entries may be.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        self.dropped_bytes += self.offset;
        self.buffer.drain(..self.offset);
        self.offset = 0;
        self.buffer.extend_from_slice(bytes);
        let max_bytes = self.max_entries.saturating_mul(MAX_BYTES_PER_ENTRY).max(MAX_VALUE_BYTES);
        if self.bytes() > max_bytes {
            return Err(ListError::TooLong { max_bytes, max_entries: self.max_entries });
        }
        Ok(())
    }

    /// Parses up to `max` entries of what has arrived and appends them to `entries`. Returns whether it stopped at that
    /// limit, so that the text which has arrived may have more entries.
    ///
    /// # Errors
    ///
    /// If what has arrived cannot be the beginning of a valid list.
    pub fn read(
        &mut self,
        max: usize,
        entries: &mut Vec<Result<ServerEntry, InvalidEntry>>,
    ) -> Result<bool, ListError> {
        let until = self.entries + max;
        while let Some(next) = self.peek_byte() {
            let progress = match (self.position, next) {
                (Position::Entry { is_first: true }, b']') => self.skip_byte(Position::AfterValue),
                (Position::Entry { .. }, _) if self.entries >= until => return Ok(true),
                (Position::Entry { .. }, _) => self.read_next_entry(entries)?,
                (Position::Value(key), next) if (key, next) != (Key::Hosts, b'[') => self.read_value(key)?,
                (Position::Key { .. }, b'"') => self.read_key()?,
                (_, next) => self.read_punctuation(next)?,
            };
            if matches!(progress, Progress::NeedsMore) {
                return Ok(false);
            }
        }
        Ok(false)
    }

    /// Whether the object has ended, so that only white space may follow.
    pub fn is_complete(&self) -> bool {
        self.position == Position::End
    }

    /// Ends the reading after the last byte of the answer.
    ///
    /// # Errors
    ///
    /// If the object has not ended, or its entries or its version are missing.
    pub fn end(self) -> Result<Envelope, ListError> {
        if !self.is_complete() {
            return Err(ListError::Incomplete { bytes: self.bytes() });
        }
        if !self.has_hosts {
            return Err(ListError::MissingValue { key: "hosts", expected: "an array" });
        }
        let missing_seq = ListError::MissingValue { key: "seq", expected: "a whole number" };
        Ok(Envelope { seq: self.seq.ok_or(missing_seq)?, is_complete: self.is_complete_list })
    }

    /// Parses one byte of the punctuation between values.
    fn read_punctuation(&mut self, next: u8) -> Result<Progress, ListError> {
        let following = match (self.position, next) {
            (Position::Start, b'{') => Position::Key { is_first: true },
            (Position::Start, _) => return Err(self.unexpected(next, "an object")),
            (Position::Key { is_first: true }, b'}') => Position::End,
            (Position::Key { .. }, _) => return Err(self.unexpected(next, "a key")),
            (Position::Colon(key), b':') => Position::Value(key),
            (Position::Colon(_), _) => return Err(self.unexpected(next, "a colon")),
            (Position::Value(_), _) => {
                self.has_hosts = true;
                Position::Entry { is_first: true }
            }
            (Position::AfterValue, b',') => Position::Key { is_first: false },
            (Position::AfterValue, b'}') => Position::End,
            (Position::AfterValue, _) => {
                return Err(self.unexpected(next, "a comma or the end of the object"));
            }
            (Position::Entry { .. } | Position::AfterEntry, b']') => Position::AfterValue,
            (Position::AfterEntry, b',') => Position::Entry { is_first: false },
            (Position::Entry { .. } | Position::AfterEntry, _) => {
                return Err(self.unexpected(next, "a comma or the end of the array"));
            }
            (Position::End, _) => return Err(self.unexpected(next, "the end")),
        };
        Ok(self.skip_byte(following))
    }

    fn read_key(&mut self) -> Result<Progress, ListError> {
        let key = self.parse_value::<Cow<str>, _>(|key| Key::parse(&key))?;
        Ok(self.advance(key.map(Position::Colon)))
    }

    /// Parses the value of a key of the envelope.
    fn read_value(&mut self, key: Key) -> Result<Progress, ListError> {
        let Some(value) = self.parse_value::<Value, _>(|value| value)? else {
            return Ok(Progress::NeedsMore);
        };
        match key {
            Key::Seq => self.seq = value.as_u64(),
            Key::Whole => self.is_complete_list = value.as_bool().unwrap_or(false),
            Key::Hosts => self.has_hosts = false,
            Key::Other => {}
        }
        Ok(self.advance(Some(Position::AfterValue)))
    }

    fn read_next_entry(
        &mut self,
        entries: &mut Vec<Result<ServerEntry, InvalidEntry>>,
    ) -> Result<Progress, ListError> {
        let index = self.entries;
        if index >= self.max_entries {
            return Err(ListError::TooManyEntries { max: index });
        }
        let entry = self.parse_value::<&RawValue, _>(|raw| read_entry(index, raw.get()))?;
        let Some(entry) = entry else { return Ok(Progress::NeedsMore) };
        entries.push(entry);
        self.entries += 1;
        Ok(self.advance(Some(Position::AfterEntry)))
    }

    /// Skips white space and returns the byte after it without consuming that; `None` if it has not arrived.
    fn peek_byte(&mut self) -> Option<u8> {
        let rest = &self.buffer[self.offset..];
        let whitespace = rest.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).count();
        self.offset += whitespace;
        rest.get(whitespace).copied()
    }

    fn skip_byte(&mut self, following: Position) -> Progress {
        self.offset += 1;
        self.advance(Some(following))
    }

    /// Moves to the position after a value; `None` means that the value has not arrived completely.
    fn advance(&mut self, following: Option<Position>) -> Progress {
        let Some(following) = following else { return Progress::NeedsMore };
        self.position = following;
        Progress::Read
    }

    fn unexpected(&self, found: u8, expected: &'static str) -> ListError {
        ListError::UnexpectedByte { at: self.dropped_bytes + self.offset, found: char::from(found), expected }
    }

    /// Parses the value at the current offset and moves past it; `None` if it has not arrived completely.
    fn parse_value<'a, T: Deserialize<'a>, U>(
        &'a mut self,
        convert: impl FnOnce(T) -> U,
    ) -> Result<Option<U>, ListError> {
        let rest = &self.buffer[self.offset..];
        let at = self.dropped_bytes + self.offset;
        let mut values = Deserializer::from_slice(rest).into_iter::<T>();
        let value = match values.next() {
            Some(Ok(value)) => value,
            Some(Err(source)) if !is_incomplete(rest, &source) => {
                return Err(ListError::InvalidValue { at, source });
            }
            _ if rest.len() > MAX_VALUE_BYTES => return Err(ListError::ValueTooLong { at }),
            _ => return Ok(None),
        };
        let end = values.byte_offset();
        // A number may continue in bytes that have not arrived yet.
        if end == rest.len() && !matches!(rest.last(), Some(b'"' | b'}' | b']')) {
            return Ok(None);
        }
        let value = convert(value);
        self.offset += end;
        Ok(Some(value))
    }
}

/// Whether `error` is at the end of `text`, so that the text may become valid once more of it has arrived.
fn is_incomplete(text: &[u8], error: &serde_json::Error) -> bool {
    let complete_lines = text.iter().filter(|byte| **byte == b'\n').count();
    let last_line_bytes = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    error.is_eof() || (error.line() > complete_lines && error.column() >= last_line_bytes)
}

#[cfg(test)]
mod tests;
