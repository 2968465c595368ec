//! Records of attempts that may be made only once, which the two processes of an agent exchange while both run: a request
//! whose client has left one of them must not be executed again when it comes to the other.
//!
//! Each process appends to a file of its own before an attempt begins, and reads the other's before it accepts a request
//! of such a class. The folder is expected to be in memory, as both wait for the file system; nothing is recorded while one
//! process runs.

use balancer::{ClientRequestKey, OtherProcessEvent};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A record is a tag and the key of a request.
const RECORD_BYTES: usize = 9;
const BEGAN: u8 = b'+';
const ENDED: u8 = b'-';
const ABANDONED: u8 = b'!';
/// A longer log is not continued. Two processes run side by side for a minute at most, so this is enough for 7,000 records a second.
const MAX_LOG_BYTES: u64 = 4 << 20;

/// Appends the records of this process.
pub struct AttemptLogWriter {
    path: PathBuf,
    file: File,
    length: u64,
}

impl AttemptLogWriter {
    /// Creates the file, or empties it.
    pub fn create(path: PathBuf) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(&path)?;
        Ok(AttemptLogWriter { path, file, length: 0 })
    }

    /// Appends records, all in one write.
    ///
    /// # Errors
    ///
    /// If they cannot be written, or the log is too long. It must not be continued after that.
    pub fn append(&mut self, records: &[OtherProcessEvent]) -> io::Result<()> {
        let bytes: Vec<u8> = records.iter().filter_map(encode).flatten().collect();
        self.length += bytes.len() as u64;
        if self.length > MAX_LOG_BYTES {
            return Err(io::Error::other(format!("it is longer than {MAX_LOG_BYTES} bytes")));
        }
        self.file.write_all(&bytes)
    }

    /// Removes the file.
    pub fn remove(self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Reads the records of the other process.
pub struct AttemptLogReader {
    path: PathBuf,
    file: File,
    /// The begin of a record that has not been written completely.
    rest: Vec<u8>,
}

impl AttemptLogReader {
    /// Opens the other process's file.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(AttemptLogReader { path: path.to_owned(), file: File::open(path)?, rest: Vec::new() })
    }

    /// The records that were appended since the last call. Unknown ones are left out.
    pub fn read(&mut self) -> io::Result<Vec<OtherProcessEvent>> {
        let limit = MAX_LOG_BYTES - self.rest.len() as u64;
        (&self.file).take(limit).read_to_end(&mut self.rest)?;
        let complete = self.rest.len() - self.rest.len() % RECORD_BYTES;
        let records = self.rest[..complete].chunks_exact(RECORD_BYTES).filter_map(decode).collect();
        self.rest.drain(..complete);
        Ok(records)
    }

    /// Removes the file.
    pub fn remove(self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn encode(record: &OtherProcessEvent) -> Option<Vec<u8>> {
    let (tag, key) = match record {
        OtherProcessEvent::AttemptBegan(key) => (BEGAN, key),
        OtherProcessEvent::AttemptEnded(key) => (ENDED, key),
        OtherProcessEvent::RequestAbandoned(key) => (ABANDONED, key),
        OtherProcessEvent::ProcessEnded => return None,
    };
    Some([&[tag], key.0.to_le_bytes().as_slice()].concat())
}

fn decode(record: &[u8]) -> Option<OtherProcessEvent> {
    let (tag, key) = record.split_first()?;
    let key = ClientRequestKey(u64::from_le_bytes(key.try_into().ok()?));
    match *tag {
        BEGAN => Some(OtherProcessEvent::AttemptBegan(key)),
        ENDED => Some(OtherProcessEvent::AttemptEnded(key)),
        ABANDONED => Some(OtherProcessEvent::RequestAbandoned(key)),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
