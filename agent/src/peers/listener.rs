//! The clients' listening socket, which the platform hands from a process to the one that replaces it.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use thiserror::Error;

/// The environment variable that holds the descriptor of the socket.
const LISTENER_FD_VARIABLE: &str = "PROXY_LISTEN_FD";
/// Lower descriptors are standard input, output and error.
const FIRST_NON_STANDARD_DESCRIPTOR: RawFd = 3;

/// The inherited listening socket cannot be used.
#[derive(Debug, Error)]
#[error("{LISTENER_FD_VARIABLE} is {value:?}: {reason}")]
pub struct InheritedListenerError {
    /// The value of the environment variable.
    value: String,
    #[source]
    reason: DescriptorError,
}

#[derive(Debug, Error)]
enum DescriptorError {
    #[error("expected a descriptor number")]
    InvalidNumber(#[source] std::num::ParseIntError),
    #[error("no such descriptor is open")]
    NotOpen(#[source] io::Error),
    #[error("it is not a socket")]
    NotASocket,
    #[error("cannot make it non-blocking: {0}")]
    NonBlockingFailed(#[source] io::Error),
}

/// Adopts the clients' listening socket if the platform passes one; `None` if the environment variable is unset or
/// empty. `env_var` looks up an environment variable. Must be called only once, before the process opens any other
/// descriptor.
///
/// # Errors
///
/// If the variable does not hold the descriptor of an open socket, or the socket cannot be made non-blocking.
pub fn inherited_listener(
    env_var: impl Fn(&str) -> Option<String>,
) -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(value) = env_var(LISTENER_FD_VARIABLE).filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    parse_and_adopt(&value).map(Some).map_err(|reason| InheritedListenerError { value, reason })
}

fn parse_and_adopt(value: &str) -> Result<TcpListener, DescriptorError> {
    let descriptor: RawFd = value.parse().map_err(DescriptorError::InvalidNumber)?;
    let link_target =
        fs::read_link(format!("/proc/self/fd/{descriptor}")).map_err(DescriptorError::NotOpen)?;
    let is_socket = link_target.as_os_str().as_encoded_bytes().starts_with(b"socket:");
    if descriptor < FIRST_NON_STANDARD_DESCRIPTOR || !is_socket {
        return Err(DescriptorError::NotASocket);
    }
    let listener = adopt(descriptor);
    listener.set_nonblocking(true).map_err(DescriptorError::NonBlockingFailed)?;
    Ok(listener)
}

#[allow(unsafe_code)]
fn adopt(descriptor: RawFd) -> TcpListener {
    // SAFETY: the caller has just found the descriptor open, and neither the runtime nor anything else in this process
    // has opened one yet, so it is the inherited one. The platform gives this process ownership of it, and it is
    // adopted only here, once.
    unsafe { TcpListener::from_raw_fd(descriptor) }
}

#[cfg(test)]
mod tests;
