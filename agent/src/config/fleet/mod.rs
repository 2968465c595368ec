//! The fleet file named by `PROXY_FLEET`: TOML, without unknown keys. Without this file an agent does not communicate
//! with other agents.
//!
//! Each error is one line that names the file, the key and the value. A file takes effect as a whole or not at all.

mod changes;
pub mod contents;
pub mod error;
mod parse;
mod section;

use self::contents::Contents;
use self::error::{FleetError, FleetFileError, ReloadError};
use balancer_settings::Names;
use std::path::{Path, PathBuf};

/// A longer file is rejected before it is read.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// A fleet file and the contents that are in effect.
#[derive(Debug)]
pub struct Fleet {
    /// The path of the file, from which it is also reloaded.
    pub path: PathBuf,
    /// The contents of the last valid version of the file.
    pub contents: Contents,
}

impl Fleet {
    /// Reads and validates a file. Its limits may only be for classes and tenants in `names`.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not TOML, or has an unknown key or an invalid value.
    pub fn read(path: &Path, names: &Names) -> Result<Self, FleetFileError> {
        let path = path.to_owned();
        match read_contents(&path, names) {
            Ok(contents) => Ok(Fleet { path, contents }),
            Err(source) => Err(FleetFileError { path, source }),
        }
    }

    /// Reloads the file and returns a short description of each change. After an error the contents are unchanged.
    ///
    /// # Errors
    ///
    /// If the file is rejected, or has a change that requires a new process.
    pub fn reload(&mut self, names: &Names) -> Result<Vec<String>, ReloadError> {
        let new = Fleet::read(&self.path, names)?.contents;
        let changes = changes::find_changes(&self.contents, &new)?;
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
