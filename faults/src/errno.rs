//! The names of the errors that a schedule may use.

use libc::c_int;

/// Writes a table of names and numbers from the names alone.
macro_rules! named {
    ($($name:ident)*) => { &[$((stringify!($name), libc::$name)),*] };
}

/// All names, each with its number on this system.
pub const NAMES: &[(&str, c_int)] = named! {
    EACCES EADDRINUSE EADDRNOTAVAIL EAGAIN EBADF ECONNABORTED ECONNREFUSED ECONNRESET EDQUOT EEXIST EHOSTDOWN
    EHOSTUNREACH EINTR EINVAL EIO EMFILE ENETDOWN ENETUNREACH ENFILE ENOBUFS ENOENT ENOMEM ENONET ENOPROTOOPT ENOSPC
    ENOTCONN EOPNOTSUPP EPERM EPIPE EPROTO EROFS ETIMEDOUT
};

/// The number of an error, or `None` for a name that is not in [`NAMES`].
pub fn number(name: &str) -> Option<c_int> {
    NAMES.iter().find(|(known, _)| *known == name).map(|(_, number)| *number)
}
