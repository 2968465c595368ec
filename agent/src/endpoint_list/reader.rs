//! Reads an answer of discovery as it arrives, entry by entry.

use super::entry::{read_entry, Host, InvalidEntry};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Deserializer, Value};
use std::borrow::Cow;
use thiserror::Error;

/// The longest entry, and the longest of the envelope's other values, in bytes: as long as a body may be (the protocol
/// page).
const MAX_VALUE_BYTES: usize = 64 << 10;
/// An entry takes some 150 bytes; an answer with more than this for each that is allowed is no list. Lists may be
/// indented, and have fields that nobody here knows.
const ENTRY_BYTES: usize = 1 << 10;

/// What an answer says of itself beside its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// The version of the list.
    pub seq: u64,
    /// The answer is the complete list, not only what has changed.
    pub is_complete: bool,
}

/// Why a text is no endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is longer than so many entries can be.
    #[error("it has over {max_bytes} bytes, {max_entries} entries at most were expected")]
    TooLong {
        /// Bytes that are allowed.
        max_bytes: usize,
        /// Entries that are allowed.
        max_entries: usize,
    },
    /// It has too many entries.
    #[error("it has over {max} entries, {max} at most were expected")]
    TooManyEntries {
        /// Entries that are allowed.
        max: usize,
    },
    /// One value is too long.
    #[error("the value at byte {at} has over {MAX_VALUE_BYTES} bytes")]
    ValueTooLong {
        /// Where the value begins.
        at: usize,
    },
    /// A value is no JSON.
    #[error("{source}, from byte {at} on")]
    InvalidValue {
        /// Where the value begins.
        at: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// Something else stands between two values.
    #[error("byte {at} is {found:?}, {expected} was expected")]
    UnexpectedByte {
        /// Where it is.
        at: usize,
        /// The byte.
        found: char,
        /// What is allowed there.
        expected: &'static str,
    },
    /// It ends too early.
    #[error("it ends after {bytes} bytes, before its object does")]
    Incomplete {
        /// Its length.
        bytes: usize,
    },
    /// A value that every list has is missing, or of another type.
    #[error("it has no {key}, {expected} was expected")]
    MissingValue {
        /// The value's key.
        key: &'static str,
        /// What is allowed there.
        expected: &'static str,
    },
}

/// Where a reader is in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    Start,
    /// Before a key; after a comma there has to be one.
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

/// Reads an answer as it arrives, and in steps: it keeps no more of the text than what has not been read, and a step
/// reads no more entries than it is asked for. Values are read by `serde_json`; what stands between them is read here.
#[derive(Debug)]
pub struct Reader {
    max_entries: usize,
    /// The text that has arrived, without what was dropped.
    buffer: Vec<u8>,
    /// Up to here the buffer is read.
    offset: usize,
    /// Bytes that were dropped from the front of the buffer.
    dropped: usize,
    position: Position,
    entries: usize,
    seq: Option<u64>,
    is_complete_list: bool,
    has_hosts: bool,
}

/// What a step of reading came to.
enum Progress {
    /// It read on.
    Read,
    /// The value that begins here has not arrived completely.
    NeedsMore,
}

impl Reader {
    /// Nothing has arrived yet; an answer of more than `max_entries` entries is no list.
    pub fn new(max_entries: usize) -> Self {
        Reader {
            max_entries,
            buffer: Vec::new(),
            offset: 0,
            dropped: 0,
            position: Position::Start,
            entries: 0,
            seq: None,
            is_complete_list: false,
            has_hosts: false,
        }
    }

    /// Bytes that have arrived.
    pub fn bytes(&self) -> usize {
        self.dropped + self.buffer.len()
    }

    /// Entries that were read.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Appends text that has arrived.
    ///
    /// # Errors
    ///
    /// The text is longer than any list of `max_entries` entries.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        self.dropped += self.offset;
        self.buffer.drain(..self.offset);
        self.offset = 0;
        self.buffer.extend_from_slice(bytes);
        let max_bytes = self.max_entries.saturating_mul(ENTRY_BYTES).max(MAX_VALUE_BYTES);
        if self.bytes() > max_bytes {
            return Err(ListError::TooLong { max_bytes, max_entries: self.max_entries });
        }
        Ok(())
    }

    /// Reads on, up to `max` entries, which are appended to `entries`; whether there may be more in what has arrived.
    ///
    /// # Errors
    ///
    /// What has arrived is not the beginning of a list.
    pub fn read(
        &mut self,
        max: usize,
        entries: &mut Vec<Result<Host, InvalidEntry>>,
    ) -> Result<bool, ListError> {
        let until = self.entries + max;
        while let Some(next) = self.next_byte() {
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

    /// Nothing but white space may follow.
    pub fn is_complete(&self) -> bool {
        self.position == Position::End
    }

    /// The text has ended.
    ///
    /// # Errors
    ///
    /// The object has not ended, or lacks its entries or its version.
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

    /// Reads a byte between two values.
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
        Ok(self.pass_value(key.map(Position::Colon)))
    }

    /// Reads the value of a key of the envelope.
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
        Ok(self.pass_value(Some(Position::AfterValue)))
    }

    fn read_next_entry(
        &mut self,
        entries: &mut Vec<Result<Host, InvalidEntry>>,
    ) -> Result<Progress, ListError> {
        let index = self.entries;
        if index >= self.max_entries {
            return Err(ListError::TooManyEntries { max: index });
        }
        let entry = self.parse_value::<&RawValue, _>(|raw| read_entry(index, raw.get()))?;
        let Some(entry) = entry else { return Ok(Progress::NeedsMore) };
        entries.push(entry);
        self.entries += 1;
        Ok(self.pass_value(Some(Position::AfterEntry)))
    }

    /// The next byte that is no white space, if it has arrived.
    fn next_byte(&mut self) -> Option<u8> {
        let rest = &self.buffer[self.offset..];
        let blank = rest.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).count();
        self.offset += blank;
        rest.get(blank).copied()
    }

    fn skip_byte(&mut self, following: Position) -> Progress {
        self.offset += 1;
        self.pass_value(Some(following))
    }

    /// Goes on at the position that follows a value; none while that has not arrived completely.
    fn pass_value(&mut self, following: Option<Position>) -> Progress {
        let Some(following) = following else { return Progress::NeedsMore };
        self.position = following;
        Progress::Read
    }

    fn unexpected(&self, found: u8, expected: &'static str) -> ListError {
        ListError::UnexpectedByte { at: self.dropped + self.offset, found: char::from(found), expected }
    }

    /// Parses the value that begins here and moves past it; none while it has not arrived completely.
    fn parse_value<'a, T: Deserialize<'a>, U>(
        &'a mut self,
        convert: impl FnOnce(T) -> U,
    ) -> Result<Option<U>, ListError> {
        let rest = &self.buffer[self.offset..];
        let at = self.dropped + self.offset;
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
        // A number may continue in what has not arrived yet.
        if end == rest.len() && !matches!(rest.last(), Some(b'"' | b'}' | b']')) {
            return Ok(None);
        }
        let value = convert(value);
        self.offset += end;
        Ok(Some(value))
    }
}

/// Whether a text that is invalid so far may be valid once more of it has arrived: the error is at its end.
fn is_incomplete(text: &[u8], error: &serde_json::Error) -> bool {
    let lines = text.iter().filter(|byte| **byte == b'\n').count();
    let last = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    error.is_eof() || (error.line() > lines && error.column() >= last)
}

#[cfg(test)]
mod tests;
