//! Classifies the errors of socket calls: those of a single connection, and exhausted descriptors or memory. Describes
//! errors for the log.

use std::error::Error;
use std::io;

/// Longer descriptions of errors are cut off in the log.
const MAX_DESCRIPTION_CHARS: usize = 80;

/// An error and its source, cut off after [`MAX_DESCRIPTION_CHARS`].
pub fn with_source(error: &dyn Error) -> String {
    let source = error.source().map(|source| format!(": {source}")).unwrap_or_default();
    format!("{error}{source}").chars().take(MAX_DESCRIPTION_CHARS).collect()
}

/// Whether `accept` failed because of the connection that it would have returned (accept(2)). The next call may
/// succeed.
pub fn is_connection_error(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::ECONNABORTED
                | libc::EINTR
                | libc::EPERM
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::ENETDOWN
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
        )
    )
}

/// Whether a call failed because the process or the system is out of descriptors or memory for now.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}
