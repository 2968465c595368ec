//! Reads the files that the processes of one agent share. Each file names the agent and the deployment that it was
//! written for, and other agents ignore it.

use super::owner::Owner;
use serde::de::DeserializeOwned;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The format version of all shared files. The previous version of the agent reads and writes the same one.
pub const FORMAT_VERSION: u32 = 2;
/// The longest file that is accepted. A longer one is assumed not to be written by the agent.
const MAX_FILE_BYTES: u64 = 256 << 10;
/// The extension of temporary files, which hold a new version until it replaces the file.
const TEMPORARY_EXTENSION: &str = "new";

/// The contents of a shared file.
pub trait Contents: DeserializeOwned {
    /// The format version of the file.
    fn format_version(&self) -> u32;
    /// The agent and deployment that the file was written for.
    fn owner(&self) -> &Owner;
}

/// Why the text of a shared file is not accepted.
#[derive(Debug, Error)]
pub enum ContentsError {
    /// The text is longer than `MAX_FILE_BYTES`.
    #[error("it is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
    /// The text is not JSON with the expected fields.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
    /// The file has another format version.
    #[error("its format version is {found}, not {FORMAT_VERSION}")]
    UnsupportedFormat {
        /// The format version of the file.
        found: u32,
    },
    /// The file was written for another agent or deployment.
    #[error("it was written for {found}, not for {expected}")]
    WrongOwner {
        /// The owner named in the file.
        found: Box<Owner>,
        /// The owner that this process has.
        expected: Box<Owner>,
    },
}

/// The path of the temporary file in which this process prepares a new version of a file.
pub fn temporary_path(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.{TEMPORARY_EXTENSION}", std::process::id()))
}

/// Removes the owner's temporary files that were left by processes that have ended. Must be called before this process
/// writes its first file. A file that cannot be removed stays.
pub fn remove_abandoned_temporary_files(folder: &Path, owner: &Owner) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    let stem = owner.file_name_stem();
    for entry in entries.flatten() {
        let name = entry.file_name();
        if name.to_str().and_then(|name| temporary_file_pid(name, &stem)).is_some_and(has_ended) {
            let _ = fs::remove_file(entry.path());
        }
    }
}

/// The id of the process that wrote a temporary file; `None` if `name` is not that of a temporary file with this stem.
fn temporary_file_pid(name: &str, stem: &str) -> Option<u32> {
    let (_, pid) =
        name.strip_prefix(stem)?.strip_suffix(TEMPORARY_EXTENSION)?.strip_suffix('.')?.split_once('.')?;
    pid.parse().ok()
}

/// Whether the process that wrote a temporary file has ended. If the id is this process's own, an earlier process had
/// the same id, as this one has written nothing yet.
fn has_ended(pid: u32) -> bool {
    pid == std::process::id() || !Path::new("/proc").join(pid.to_string()).exists()
}

/// Reads a file; `None` if there is none. Stops one byte past the longest text that [`parse`] accepts, which is enough
/// for it to see that the file is too long.
pub fn read(file: &Path) -> io::Result<Option<Vec<u8>>> {
    read_up_to(file, MAX_FILE_BYTES + 1)
}

/// Reads at most `max_bytes` of a file; `None` if there is none.
pub fn read_up_to(file: &Path, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
    let file = match fs::File::open(file) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut text = Vec::new();
    file.take(max_bytes).read_to_end(&mut text)?;
    Ok(Some(text))
}

/// Parses the text of a shared file on behalf of `reader`.
///
/// # Errors
///
/// If the text is too long or malformed, has another format version, or names an owner that `is_accepted` refuses.
pub fn parse<T: Contents>(
    text: &[u8],
    reader: &Owner,
    is_accepted: impl Fn(&Owner) -> bool,
) -> Result<T, ContentsError> {
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(ContentsError::TooLong);
    }
    let contents: T = serde_json::from_slice(text)?;
    if contents.format_version() != FORMAT_VERSION {
        return Err(ContentsError::UnsupportedFormat { found: contents.format_version() });
    }
    if !is_accepted(contents.owner()) {
        let found = Box::new(contents.owner().clone());
        return Err(ContentsError::WrongOwner { found, expected: Box::new(reader.clone()) });
    }
    Ok(contents)
}

#[cfg(test)]
pub mod tests;
