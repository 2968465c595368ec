//! The clients' listening socket, which the platform passes from a process to the one that takes over from it.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use thiserror::Error;

/// The environment variable with the descriptor of the socket.
const DESCRIPTOR_VARIABLE: &str = "PROXY_LISTEN_FD";
/// Standard input, output and error have the descriptors below this one.
const FIRST_INHERITED_DESCRIPTOR: RawFd = 3;

/// Why the inherited socket cannot be used.
#[derive(Debug, Error)]
#[error("{DESCRIPTOR_VARIABLE} is {value:?}: {reason}")]
pub struct InheritedListenerError {
    /// The value of the variable.
    value: String,
    #[source]
    reason: Reason,
}

#[derive(Debug, Error)]
enum Reason {
    #[error("a descriptor was expected")]
    InvalidNumber(#[source] std::num::ParseIntError),
    #[error("no such descriptor is open")]
    Closed(#[source] io::Error),
    #[error("it is no socket")]
    OtherFile,
    #[error("{0}")]
    NonBlockingFailed(#[source] io::Error),
}

/// The clients' listening socket that the platform passes on, if it does. To be called once, before anything else of
/// the process opens a descriptor.
///
/// # Errors
///
/// If the variable names no open socket, or the socket cannot be made non-blocking.
pub fn inherited_listener(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(value) = variable(DESCRIPTOR_VARIABLE).filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    adopt_from(&value).map(Some).map_err(|reason| InheritedListenerError { value, reason })
}

fn adopt_from(value: &str) -> Result<TcpListener, Reason> {
    let descriptor: RawFd = value.parse().map_err(Reason::InvalidNumber)?;
    let opened = fs::read_link(format!("/proc/self/fd/{descriptor}")).map_err(Reason::Closed)?;
    let is_socket = opened.as_os_str().as_encoded_bytes().starts_with(b"socket:");
    if descriptor < FIRST_INHERITED_DESCRIPTOR || !is_socket {
        return Err(Reason::OtherFile);
    }
    let listener = adopt(descriptor);
    listener.set_nonblocking(true).map_err(Reason::NonBlockingFailed)?;
    Ok(listener)
}

#[allow(unsafe_code)]
fn adopt(descriptor: RawFd) -> TcpListener {
    // SAFETY: the descriptor was found open just above, before the runtime or anything else of this process has
    // opened one of its own, so it is the inherited one; the platform hands it over for this process to own, and it is
    // adopted only here, once.
    unsafe { TcpListener::from_raw_fd(descriptor) }
}

#[cfg(test)]
mod tests;
