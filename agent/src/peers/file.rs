//! Reading the files that the processes of one agent share. A file names the agent and the deployment that it was
//! written for, and no other reads its contents.

use super::owner::Owner;
use serde::de::DeserializeOwned;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The form number that all shared files carry. It is part of the stored form, which the earlier version reads too.
pub const STORED_FORM: u32 = 2;
/// A longer file was not written by this program.
const MAX_FILE_BYTES: u64 = 256 << 10;
/// The extension of files that are still being written.
const TEMPORARY_EXTENSION: &str = "new";

/// The contents of a shared file.
pub trait Contents: DeserializeOwned {
    /// The form number that the file carries.
    fn form(&self) -> u32;
    /// The agent and deployment that it was written for.
    fn owner(&self) -> &Owner;
}

/// Why the text of a shared file is not accepted.
#[derive(Debug, Error)]
pub enum ContentsError {
    /// The text is longer than this program writes.
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The text is not JSON of the expected shape.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
    /// The file carries another form number.
    #[error("its form is {found}, not {STORED_FORM}")]
    OtherForm {
        /// The number that the file carries.
        found: u32,
    },
    /// The file was written for another agent or deployment.
    #[error("it was written for {found}, not for {expected}")]
    OtherOwner {
        /// The owner that the file names.
        found: Box<Owner>,
        /// The owner that reads it.
        expected: Box<Owner>,
    },
}

/// The path at which this process writes a new version of a file, before it replaces the file.
pub fn temporary_path(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.{TEMPORARY_EXTENSION}", std::process::id()))
}

/// Removes the owner's temporary files whose processes have ended. To be called before this process writes its first.
/// A file that cannot be removed stays.
pub fn remove_abandoned(folder: &Path, owner: &Owner) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    let stem = owner.file_name_stem();
    for entry in entries.flatten() {
        let name = entry.file_name();
        if name.to_str().and_then(|name| temporary_file_writer(name, &stem)).is_some_and(has_ended) {
            let _ = fs::remove_file(entry.path());
        }
    }
}

/// The id of the process that wrote a temporary file; `None` if this is not the name of one with this stem.
fn temporary_file_writer(name: &str, stem: &str) -> Option<u32> {
    let (_, process) =
        name.strip_prefix(stem)?.strip_suffix(TEMPORARY_EXTENSION)?.strip_suffix('.')?.split_once('.')?;
    process.parse().ok()
}

/// Whether a process has ended. This process has written nothing yet, so a file with its id is of an earlier process.
fn has_ended(process: u32) -> bool {
    process == std::process::id() || !Path::new("/proc").join(process.to_string()).exists()
}

/// Reads a file up to one byte over the longest that [`parse`] accepts; `None` if there is no file.
pub fn read(file: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match fs::File::open(file) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut text = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text)?;
    Ok(Some(text))
}

/// Parses the text of a shared file for `reader`.
///
/// # Errors
///
/// If the text is too long or malformed, carries another form number, or names an owner that is not `accepted`.
pub fn parse<T: Contents>(
    text: &[u8],
    reader: &Owner,
    accepted: impl Fn(&Owner) -> bool,
) -> Result<T, ContentsError> {
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(ContentsError::TooLong);
    }
    let contents: T = serde_json::from_slice(text)?;
    if contents.form() != STORED_FORM {
        return Err(ContentsError::OtherForm { found: contents.form() });
    }
    if !accepted(contents.owner()) {
        let found = Box::new(contents.owner().clone());
        return Err(ContentsError::OtherOwner { found, expected: Box::new(reader.clone()) });
    }
    Ok(contents)
}

#[cfg(test)]
pub mod tests;
