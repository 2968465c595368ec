//! What may be wrong with the fleet file, and what a running process cannot change.

use std::io;
use std::path::PathBuf;
use std::string::FromUtf8Error;
use thiserror::Error;

/// Why a fleet file is rejected, with the file's path.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FleetFileError {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with it.
    pub source: FleetError,
}

/// What is wrong with a fleet file.
#[derive(Debug, Error)]
pub enum FleetError {
    /// It cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// It is longer than such a file is.
    #[error("{length} bytes; a fleet file has at most {maximum}")]
    TooLong {
        /// Its length, in bytes.
        length: u64,
        /// The longest length that is read.
        maximum: u64,
    },
    /// It is not UTF-8.
    #[error("no text: {0}")]
    NotText(#[from] FromUtf8Error),
    /// Its last line does not end, as in a file that is still being written.
    #[error("the last line has no end: it may not be written whole")]
    Unterminated,
    /// It is not TOML.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser said, in one line.
        message: String,
    },
    /// A key that is needed is not there.
    #[error("{key} is missing: {purpose}")]
    Missing {
        /// The key with its section.
        key: String,
        /// What it is needed for.
        purpose: &'static str,
    },
    /// A key has another value than it may have.
    #[error("{key} is {value}; {expected} was expected")]
    InvalidValue {
        /// The key with its section.
        key: String,
        /// Its value, shortened.
        value: String,
        /// What it may be.
        expected: String,
    },
    /// A key is not one of its section's.
    #[error("{key} = {value} has no meaning; known here: {known_keys}")]
    UnknownKey {
        /// The key with its section.
        key: String,
        /// Its value, shortened.
        value: String,
        /// The section's keys.
        known_keys: String,
    },
    /// There are too many regions.
    #[error("regions has {count} keys; at most {maximum} are taken")]
    TooManyRegions {
        /// Their number.
        count: usize,
        /// How many there may be.
        maximum: usize,
    },
    /// A region's name is empty or too long.
    #[error("regions.{region:.80} has no name of 1 to {maximum} bytes")]
    InvalidRegionName {
        /// The name.
        region: String,
        /// The longest name, in bytes.
        maximum: usize,
    },
    /// A zone is in a region twice, or in two.
    #[error("regions.{region} has {zone:?}, which is in regions.{other} already")]
    RepeatedZone {
        /// The region that repeats the zone.
        region: String,
        /// The zone.
        zone: String,
        /// The region that had it first.
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

/// What a running process cannot change; it takes a new one.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// A key of `[fleet]` has another value.
    #[error("fleet.{key} changes from {from} to {to}; that takes a new process")]
    FixedKey {
        /// The key.
        key: &'static str,
        /// Its value now.
        from: String,
        /// Its new value.
        to: String,
    },
    /// There is a section `[fleet]` now.
    #[error("[fleet] comes; that takes a new process")]
    MembershipAdded,
    /// There is no section `[fleet]` any more.
    #[error("[fleet] goes; that takes a new process")]
    MembershipRemoved,
}

/// Why a fleet file that was read again is not in force.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file is rejected.
    #[error(transparent)]
    File(#[from] FleetFileError),
    /// The running process cannot change to it.
    #[error(transparent)]
    Change(#[from] ChangeError),
}
