//! The `errno` names that a schedule may use.

use libc::c_int;

/// Expands a list of names to pairs of the name and its constant in `libc`.
macro_rules! name_table {
    ($($name:ident)*) => { &[$((stringify!($name), libc::$name)),*] };
}

/// The supported names, each with its value on this platform.
pub const NAMES: &[(&str, c_int)] = name_table! {
    EACCES EADDRINUSE EADDRNOTAVAIL EAGAIN EBADF ECONNABORTED ECONNREFUSED ECONNRESET EDQUOT EEXIST EHOSTDOWN
    EHOSTUNREACH EINTR EINVAL EIO EMFILE ENETDOWN ENETUNREACH ENFILE ENOBUFS ENOENT ENOMEM ENONET ENOPROTOOPT ENOSPC
    ENOTCONN EOPNOTSUPP EPERM EPIPE EPROTO EROFS ETIMEDOUT
};

/// The value of an `errno` name, or `None` if it is not in [`NAMES`].
pub fn from_name(name: &str) -> Option<c_int> {
    NAMES.iter().find(|(known, _)| *known == name).map(|(_, number)| *number)
}
