//! The endpoint list that discovery sends: its entries and its parser.

mod entry;
mod reader;

pub use entry::{Health, InvalidEntry, ServerEntry};
pub use reader::{Envelope, ListError, Reader};

/// A complete endpoint list, or the entries that have changed since an earlier version.
#[derive(Debug, Default)]
pub struct List {
    /// Version of the list.
    pub seq: u64,
    /// Whether this is the complete list; otherwise it has only the entries that have changed.
    pub is_complete: bool,
    /// The valid entries, in the order of the list.
    pub hosts: Vec<ServerEntry>,
    /// Entries that are invalid and therefore ignored.
    pub invalid_entries: Vec<InvalidEntry>,
}

/// Parses a list that has arrived completely. Invalid entries are returned separately: one of them must not make the
/// others unusable.
///
/// # Errors
///
/// If the text is not an endpoint list, or has more than `max_entries` entries.
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
