//! The clients' listening socket, which passes from a process to the one that takes over from it.

use std::fs;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};

/// The clients' listening socket that the platform holds, if it holds one; the error is for a person.
pub fn inherited(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, String> {
    let Some(text) = var("PROXY_LISTEN_FD").filter(|text| !text.is_empty()) else { return Ok(None) };
    let bad = |why: &str| format!("PROXY_LISTEN_FD is {text:?}: {why}");
    let fd: RawFd = text.parse().map_err(|_| bad("a descriptor was expected"))?;
    let open = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| bad("no such descriptor is open"))?;
    if fd < 3 || !open.as_os_str().as_encoded_bytes().starts_with(b"socket:") {
        return Err(bad("it is no socket"));
    }
    let listener = adopt(fd);
    listener.set_nonblocking(true).map_err(|e| bad(&e.to_string()))?;
    Ok(Some(listener))
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: the descriptor was found open just above, before the runtime or anything else of this process has
    // opened one of its own, so it is the inherited one; the platform hands it over for this process to own, and it is
    // adopted only here, once.
    unsafe { TcpListener::from_raw_fd(fd) }
}

#[cfg(test)]
mod tests;
