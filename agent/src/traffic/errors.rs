//! Classifies the errors of system calls on sockets: those of one connection, and the agent's own shortages.

use std::io;

/// Whether `accept` failed for the connection that it would have taken (accept(2)), and the next one may be good.
pub fn concerns_one_connection(error: &io::Error) -> bool {
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

/// Whether a call failed as the agent or its system has run out of descriptors or memory for now.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}
