//! How far a streamed request body has come, for the log.

use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

/// How much of a streamed request body has been read at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// The bytes that have been read from the client.
    pub bytes_read: u64,
    /// The length in bytes, if the client has declared it.
    pub length: Option<u64>,
    /// How long no attempt has asked for more of the body; `None` while an attempt waits for the client to send.
    pub unpolled_time: Option<Duration>,
    /// Whether the last byte has been read.
    pub is_complete: bool,
}

impl Display for BodyProgress {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.bytes_read)?;
        if let Some(length) = self.length {
            write!(f, " of {length}")?;
        }
        write!(f, " bytes read")?;
        match self.unpolled_time {
            _ if self.is_complete => write!(f, ", complete"),
            Some(time) => write!(f, ", no server took more for {} ms", time.as_millis()),
            None => write!(f, ", the client is sending"),
        }
    }
}

#[cfg(test)]
mod tests;
