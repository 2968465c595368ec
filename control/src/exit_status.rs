//! The documented exit codes.

use std::process::ExitCode;

/// How a run ended. The discriminants are the exit codes of the process; operators' scripts depend on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// All agents accepted the call.
    Success = 0,
    /// Some agents rejected the call or do not accept clients.
    Rejected = 1,
    /// The command line or the agent file is not valid, or the output could not be written.
    UsageError = 2,
    /// Some agents gave no answer in time or a malformed one. Takes precedence over [`ExitStatus::Rejected`], as the
    /// state of these agents is unknown.
    NoAnswer = 3,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status.code())
    }
}
