//! Opens TCP connections and distinguishes local failures from those of the server or the network.

use crate::traffic::errors::is_resource_exhaustion;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The local system could not start it, for lack of a port, a route, a descriptor or memory.
    #[error("not started: {0}")]
    Local(#[source] io::Error),
    /// The server or the network refused it.
    #[error("{0}")]
    Remote(#[source] io::Error),
}

/// Opens a connection to `address`, without a timeout. Only errors of the calls that start the connection are local.
/// Later ones come from the network, even if they have the same error number.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let socket = start_connect(address).map_err(|error| match is_local(&error) {
        true => ConnectError::Local(error),
        false => ConnectError::Remote(error),
    })?;
    let stream = TcpStream::from_std(socket.into()).map_err(ConnectError::Local)?;
    stream.writable().await.map_err(ConnectError::Local)?;
    match stream.take_error() {
        Ok(None) => Ok(stream),
        Ok(Some(error)) | Err(error) => Err(ConnectError::Remote(error)),
    }
}

fn start_connect(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    match socket.connect(&SockAddr::from(address)) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket),
    }
}

/// Whether `socket` or `connect` failed before any packet was sent; see connect(2).
fn is_local(error: &io::Error) -> bool {
    let local_errors = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR];
    is_resource_exhaustion(error) || error.raw_os_error().is_some_and(|errno| local_errors.contains(&errno))
}
