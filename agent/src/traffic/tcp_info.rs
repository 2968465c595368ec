//! What the kernel tells about the times of a TCP connection, by the socket option `TCP_INFO` (tcp(7)).

use std::mem::{size_of, MaybeUninit};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

/// The states of a connection, as in the kernel's `tcp_states.h`, in which the times are valid.
const ESTABLISHED: u8 = 1;
const CLOSE_WAIT: u8 = 8;

/// How long ago a connection was last used in each direction, to a few milliseconds. A direction that has not been used
/// counts from the moment at which the connection was established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAges {
    /// Since this side last sent bytes.
    pub since_send: Duration,
    /// Since bytes of the peer last arrived, read or not.
    pub since_receive: Duration,
}

/// The ages of a connection; `None` if the system does not tell, or the connection is not open. A system that does not
/// know the option, or fills in nothing, is recognized by the state of the connection, which is never 0.
pub fn connection_ages(socket: BorrowedFd<'_>) -> Option<ConnectionAges> {
    let info = read_tcp_info(socket)?;
    matches!(info.tcpi_state, ESTABLISHED | CLOSE_WAIT).then(|| ConnectionAges {
        since_send: Duration::from_millis(info.tcpi_last_data_sent.into()),
        since_receive: Duration::from_millis(info.tcpi_last_data_recv.into()),
    })
}

#[allow(unsafe_code)]
fn read_tcp_info(socket: BorrowedFd<'_>) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: `info` is valid for writes of `length` bytes, and the kernel writes no more than that.
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        )
    };
    // SAFETY: all fields are integers, for which zeros and whatever the kernel wrote are valid.
    (result == 0).then(|| unsafe { info.assume_init() })
}

#[cfg(test)]
mod tests;
