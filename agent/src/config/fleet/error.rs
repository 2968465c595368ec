//! Errors in the fleet file, and changes to it that a running process cannot make.

use std::io;
use std::path::PathBuf;
use std::string::FromUtf8Error;
use thiserror::Error;

/// The path of a fleet file and why it is rejected.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FleetFileError {
    /// The file.
    pub path: PathBuf,
    /// Why it is rejected.
    pub source: FleetError,
}

/// Why a fleet file is rejected.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is too long.
    #[error("the file has {length} bytes; the maximum is {maximum}")]
    TooLong {
        /// Its length in bytes.
        length: u64,
        /// The maximum length in bytes.
        maximum: u64,
    },
    /// The file is not UTF-8.
    #[error("the file is not UTF-8 text: {0}")]
    InvalidUtf8(#[from] FromUtf8Error),
    /// The last line does not end in a newline, as in a file that is still being written.
    #[error("the last line does not end in a newline; the file may be incomplete")]
    Unterminated,
    /// The file is not valid TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// The number of the line, from 1.
        line: usize,
        /// The parser's message, without line breaks.
        message: String,
    },
    /// A required key is missing.
    #[error("{key} is missing: {purpose}")]
    Missing {
        /// The key with its section.
        key: String,
        /// What the key is for.
        purpose: &'static str,
    },
    /// The value of a key is invalid.
    #[error("{key} is {value}; {expected} was expected")]
    InvalidValue {
        /// The key with its section.
        key: String,
        /// Its value, shortened.
        value: String,
        /// A description of the valid values.
        expected: String,
    },
    /// A section has an unknown key.
    #[error("unknown key {key} = {value}; known keys: {known_keys}")]
    UnknownKey {
        /// The key with its section.
        key: String,
        /// Its value, shortened.
        value: String,
        /// The valid keys of the section.
        known_keys: String,
    },
    /// The section `[regions]` has too many regions.
    #[error("regions has {count} keys; the maximum is {maximum}")]
    TooManyRegions {
        /// The number of regions.
        count: usize,
        /// The maximum number of regions.
        maximum: usize,
    },
    /// The name of a region is empty or too long.
    #[error("regions.{region:.80}: the name of a region must have 1 to {maximum} bytes")]
    InvalidRegionName {
        /// The name.
        region: String,
        /// The maximum length of a name in bytes.
        maximum: usize,
    },
    /// A zone is listed twice, in one region or in two.
    #[error("regions.{region} has {zone:?}, which is already in regions.{other}")]
    RepeatedZone {
        /// The region that repeats the zone.
        region: String,
        /// The zone.
        zone: String,
        /// The region that lists the zone first.
        other: String,
    },
    /// A limit is for a class or tenant that the settings do not have.
    #[error("{key} is unknown; the settings have {known_names}")]
    UnknownName {
        /// The key with its section.
        key: String,
        /// The names in the settings.
        known_names: String,
    },
}

/// A change that a running process cannot make; it requires a new process.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// A key of `[fleet]` that is fixed while a process runs has changed.
    #[error("fleet.{key} changes from {from} to {to}, which requires a new process")]
    FixedKey {
        /// The key.
        key: &'static str,
        /// Its current value.
        from: String,
        /// Its new value.
        to: String,
    },
    /// The section `[fleet]` was added.
    #[error("[fleet] was added, which requires a new process")]
    MembershipAdded,
    /// The section `[fleet]` was removed.
    #[error("[fleet] was removed, which requires a new process")]
    MembershipRemoved,
}

/// Why a reloaded fleet file does not take effect.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file is rejected.
    #[error(transparent)]
    File(#[from] FleetFileError),
    /// The file is valid, but the running process cannot make one of the changes.
    #[error(transparent)]
    Change(#[from] ChangeError),
}
