//! Classifies the errors of socket calls: those of a single connection, and exhausted descriptors or memory.

use std::io;

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
