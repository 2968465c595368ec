//! The server list as discovery words it: what it tells of each server, and reading it as it comes.

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Deserializer, Value};
use std::borrow::Cow;
use std::net::SocketAddr;

/// The longest entry, and the longest of the envelope's other values, in bytes: as long as a body may be (the protocol
/// page).
const VALUE_MOST: usize = 64 << 10;
/// An entry takes some 150 bytes; an answer with more than this for each that may be taken is no list. Lists may come
/// indented, and with fields that nobody here knows.
const ENTRY_BYTES: usize = 1 << 10;

/// A server list or a change of one, as discovery words it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// It is the whole list, not only what has changed.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<Host>,
    /// Entries that make no sense.
    pub unread: Vec<Unread>,
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

/// An entry that makes no sense.
#[derive(Debug, Clone, PartialEq)]
pub struct Unread {
    /// The name of its server, if that can be read.
    pub name: Option<String>,
    /// What is wrong with it, for a person.
    pub why: String,
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

/// What an answer is besides its entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// Its version.
    pub seq: u64,
    /// It is the whole list, not only what has changed.
    pub whole: bool,
}

/// Where a reader stands in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Start,
    /// Before a key; after a comma there has to be one.
    Key {
        first: bool,
    },
    Colon(Key),
    Value(Key),
    AfterValue,
    Entry {
        first: bool,
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

/// Reads an answer as it comes, and in steps: what it holds of the text is what has not been read, and a step reads no
/// more entries than it is asked for. Values are read by `serde_json`; what stands between them is passed here. An error
/// is for a person.
#[derive(Debug)]
pub struct Reader {
    /// Entries that an answer may hold.
    most: usize,
    text: Vec<u8>,
    /// What of the text has been read.
    from: usize,
    /// Bytes of the answer that came before the text.
    before: usize,
    at: At,
    entries: usize,
    seq: Option<u64>,
    whole: bool,
    hosts: bool,
}

impl Reader {
    /// Nothing has come yet; an answer of more entries than `most` is no list.
    pub fn new(most: usize) -> Self {
        let (text, at) = (Vec::new(), At::Start);
        Reader { most, text, from: 0, before: 0, at, entries: 0, seq: None, whole: false, hosts: false }
    }

    /// Bytes that have come.
    pub fn bytes(&self) -> usize {
        self.before + self.text.len()
    }

    /// Entries that were read.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// More of the text has come.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.before += self.from;
        self.text.drain(..self.from);
        self.from = 0;
        self.text.extend_from_slice(bytes);
        let most = self.most.saturating_mul(ENTRY_BYTES).max(VALUE_MOST);
        if self.bytes() > most {
            return Err(format!("it has over {most} bytes, {} entries at most were expected", self.most));
        }
        Ok(())
    }

    /// Reads on, up to `most` entries; whether there may be more in what has come.
    pub fn read(&mut self, most: usize, take: &mut Vec<Result<Host, Unread>>) -> Result<bool, String> {
        let until = self.entries + most;
        while let Some(next) = self.next_byte() {
            let odd = |expected: &str| {
                let at = self.before + self.from;
                Err(format!("byte {at} is {:?}, {expected} was expected", char::from(next)))
            };
            self.at = match (self.at, next) {
                (At::Start, b'{') => self.pass(At::Key { first: true }),
                (At::Start, _) => return odd("an object"),
                (At::Key { first: true }, b'}') => self.pass(At::End),
                (At::Key { .. }, b'"') => {
                    let Some(key) = self.value::<Cow<str>, _>(|key| match key.as_ref() {
                        "seq" => Key::Seq,
                        "whole" => Key::Whole,
                        "hosts" => Key::Hosts,
                        _ => Key::Other,
                    })?
                    else {
                        return Ok(false);
                    };
                    At::Colon(key)
                }
                (At::Key { .. }, _) => return odd("a key"),
                (At::Colon(key), b':') => self.pass(At::Value(key)),
                (At::Colon(_), _) => return odd("a colon"),
                (At::Value(Key::Hosts), b'[') => {
                    self.hosts = true;
                    self.pass(At::Entry { first: true })
                }
                (At::Value(key), _) => {
                    let Some(value) = self.value::<Value, _>(|value| value)? else { return Ok(false) };
                    match key {
                        Key::Seq => self.seq = value.as_u64(),
                        Key::Whole => self.whole = value.as_bool().unwrap_or(false),
                        Key::Hosts => self.hosts = false,
                        Key::Other => {}
                    }
                    At::AfterValue
                }
                (At::AfterValue, b',') => self.pass(At::Key { first: false }),
                (At::AfterValue, b'}') => self.pass(At::End),
                (At::AfterValue, _) => return odd("a comma or the end of the object"),
                (At::Entry { first: true } | At::AfterEntry, b']') => self.pass(At::AfterValue),
                (At::Entry { .. }, _) if self.entries >= until => return Ok(true),
                (At::Entry { .. }, _) => {
                    let place = self.entries;
                    if place >= self.most {
                        return Err(format!("it has over {place} entries, {place} at most were expected"));
                    }
                    let entry = self.value::<&RawValue, _>(|raw| read_host(place, raw.get()))?;
                    let Some(entry) = entry else { return Ok(false) };
                    take.push(entry);
                    self.entries += 1;
                    At::AfterEntry
                }
                (At::AfterEntry, b',') => self.pass(At::Entry { first: false }),
                (At::AfterEntry, _) => return odd("a comma or the end of the array"),
                (At::End, _) => return odd("the end"),
            };
        }
        Ok(false)
    }

    /// Nothing but white space may come any more.
    pub fn is_whole(&self) -> bool {
        self.at == At::End
    }

    /// The text has ended.
    pub fn end(self) -> Result<Envelope, String> {
        if !self.is_whole() {
            return Err(format!("it ends after {} bytes, before its object does", self.bytes()));
        }
        let missing = |key: &str, what: &str| format!("it has no {key}, {what} was expected");
        if !self.hosts {
            return Err(missing("hosts", "an array"));
        }
        let seq = self.seq.ok_or_else(|| missing("seq", "a whole number"))?;
        Ok(Envelope { seq, whole: self.whole })
    }

    /// The next byte that is no white space, if it has come.
    fn next_byte(&mut self) -> Option<u8> {
        let rest = &self.text[self.from..];
        let blank = rest.iter().take_while(|byte| matches!(byte, b' ' | b'\t' | b'\n' | b'\r')).count();
        self.from += blank;
        rest.get(blank).copied()
    }

    fn pass(&mut self, to: At) -> At {
        self.from += 1;
        to
    }

    /// Reads the value that begins here; none while it has not come whole.
    fn value<'a, T: Deserialize<'a>, U>(
        &'a mut self,
        take: impl FnOnce(T) -> U,
    ) -> Result<Option<U>, String> {
        let rest = &self.text[self.from..];
        let mut values = Deserializer::from_slice(rest).into_iter::<T>();
        let value = match values.next() {
            Some(Ok(value)) => value,
            Some(Err(why)) if !is_torn(rest, &why) => {
                return Err(format!("{why}, from byte {} on", self.before + self.from));
            }
            _ if rest.len() > VALUE_MOST => {
                let at = self.before + self.from;
                return Err(format!("the value at byte {at} has over {VALUE_MOST} bytes"));
            }
            _ => return Ok(None),
        };
        let end = values.byte_offset();
        // A number may go on in what has not come yet.
        if end == rest.len() && !matches!(rest.last(), Some(b'"' | b'}' | b']')) {
            return Ok(None);
        }
        let value = take(value);
        self.from += end;
        Ok(Some(value))
    }
}

/// Whether a text that makes no sense so far may make some once more of it has come: what is odd stands at its end.
fn is_torn(text: &[u8], why: &serde_json::Error) -> bool {
    let lines = text.iter().filter(|byte| **byte == b'\n').count();
    let last = text.iter().rev().take_while(|byte| **byte != b'\n').count();
    why.is_eof() || (why.line() > lines && why.column() >= last)
}

/// Reads a list that is there whole. An entry that makes no sense is named apart: one bad line must not cost the others.
pub fn read_list(text: &[u8], most: usize) -> Result<List, String> {
    let (mut reader, mut entries) = (Reader::new(most), Vec::new());
    reader.push(text)?;
    reader.read(usize::MAX, &mut entries)?;
    let Envelope { seq, whole } = reader.end()?;
    let mut list = List { seq, whole, ..List::default() };
    for entry in entries {
        match entry {
            Ok(host) => list.hosts.push(host),
            Err(unread) => list.unread.push(unread),
        }
    }
    Ok(list)
}

/// An entry in which everything is as it should be; any other is read value by value, which says what is wrong.
#[derive(Deserialize)]
struct Line<'a> {
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

fn health(word: &str) -> Option<Health> {
    match word {
        "up" => Some(Health::Up),
        "draining" => Some(Health::Draining),
        "removed" => Some(Health::Removed),
        _ => None,
    }
}

impl Line<'_> {
    fn host(self) -> Option<Host> {
        let health = health(&self.health)?;
        let sound = !self.host.is_empty() && (self.dial.is_some() || health != Health::Up);
        sound.then(|| Host {
            name: self.host.into_owned(),
            dial: self.dial,
            site: self.site.into_owned(),
            kind: self.class.into_owned(),
            block: self.block.unwrap_or(0),
            health,
            share: self.share.unwrap_or(1.0),
            born_ms: self.born_ms.unwrap_or(0.0),
        })
    }
}

fn read_host(place: usize, text: &str) -> Result<Host, Unread> {
    if let Some(host) = serde_json::from_str::<Line>(text).ok().and_then(Line::host) {
        return Ok(host);
    }
    let value: Value = serde_json::from_str(text)
        .map_err(|why| Unread { name: None, why: format!("entry {place}: {why}") })?;
    parse_host(&value).map_err(|why| {
        let name = value.get("host").and_then(Value::as_str).filter(|name| !name.is_empty());
        Unread { name: name.map(str::to_owned), why: format!("entry {place}: {why}") }
    })
}

fn parse_host(value: &Value) -> Result<Host, String> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let odd = |key: &str, what: &str| {
        let is = value.get(key).map_or("missing".to_owned(), |value| format!("{:.80}", value.to_string()));
        format!("{key} is {is}, {what} was expected")
    };
    let name = text("host").filter(|name| !name.is_empty()).ok_or_else(|| odd("host", "a name"))?;
    let health = text("health").and_then(health).ok_or_else(|| odd("health", "up, draining or removed"))?;
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
