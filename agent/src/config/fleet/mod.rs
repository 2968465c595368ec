//! The fleet file, which `PROXY_FLEET` names: TOML, read strictly. Without one an agent is alone.
//!
//! Each error is one line that names file, key and value. A file is in force as a whole or not at all.

mod changes;
pub mod contents;
pub mod error;
mod parse;
mod section;

use self::contents::Contents;
use self::error::{FleetError, FleetFileError, ReloadError};
use balancer_settings::Names;
use std::path::{Path, PathBuf};

/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// A fleet file and its contents in force.
#[derive(Debug)]
pub struct Fleet {
    /// Where it was read.
    pub path: PathBuf,
    /// What is in force of it.
    pub contents: Contents,
}

impl Fleet {
    /// Reads a file; classes and tenants are those of `names`.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or its text has anything that is not understood.
    pub fn read(path: &Path, names: &Names) -> Result<Self, FleetFileError> {
        let path = path.to_owned();
        match read_contents(&path, names) {
            Ok(contents) => Ok(Fleet { path, contents }),
            Err(source) => Err(FleetFileError { path, source }),
        }
    }

    /// Reads the file again and returns what changed, a few words for each change. After an error the contents are as
    /// before.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or a running process cannot change to its contents.
    pub fn reload(&mut self, names: &Names) -> Result<Vec<String>, ReloadError> {
        let new = Fleet::read(&self.path, names)?.contents;
        let changes = changes::changes(&self.contents, &new)?;
        self.contents = new;
        Ok(changes)
    }
}

fn read_contents(path: &Path, names: &Names) -> Result<Contents, FleetError> {
    let length = std::fs::metadata(path)?.len();
    if length > MAX_FILE_BYTES {
        return Err(FleetError::TooLong { length, maximum: MAX_FILE_BYTES });
    }
    let text = String::from_utf8(std::fs::read(path)?)?;
    parse::parse(&text, names)
}

#[cfg(test)]
mod tests;
