//! The endpoint list as discovery words it: what it says of each server, and reading it.

mod entry;
mod reader;

pub use entry::{Health, Host, InvalidEntry};
pub use reader::{Envelope, ListError, Reader};

/// An endpoint list or a change of one.
#[derive(Debug, Default)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// It is the complete list, not only what has changed.
    pub is_complete: bool,
    /// Its servers.
    pub hosts: Vec<Host>,
    /// Entries that are ignored.
    pub invalid_entries: Vec<InvalidEntry>,
}

/// Reads a list that is there completely. An invalid entry is named apart: it must not cost the others.
///
/// # Errors
///
/// The text is no list, or has more than `max_entries` entries.
pub fn read_list(text: &[u8], max_entries: usize) -> Result<List, ListError> {
    let (mut reader, mut entries) = (Reader::new(max_entries), Vec::new());
    reader.push(text)?;
    reader.read(usize::MAX, &mut entries)?;
    let Envelope { seq, is_complete } = reader.end()?;
    let mut list = List { seq, is_complete, ..List::default() };
    for entry in entries {
        match entry {
            Ok(host) => list.hosts.push(host),
            Err(invalid) => list.invalid_entries.push(invalid),
        }
    }
    Ok(list)
}

#[cfg(test)]
mod tests;
