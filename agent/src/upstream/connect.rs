//! Opens a connection, and tells a failure of the agent's own system from one of the server or the way to it.

use crate::traffic::errors::is_shortage;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The agent's own system did not begin: it has no port, no route, no descriptor or no memory for it.
    Local(io::Error),
    /// The server, or the network on the way to it, has refused.
    Remote(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Local(why) => write!(f, "not begun: {why}"),
            ConnectError::Remote(why) => write!(f, "{why}"),
        }
    }
}

/// Opens a connection. Only errors of the calls that begin it can be local: what comes later has come from the network, also
/// where it bears the same number.
pub async fn connect(dial: SocketAddr) -> Result<TcpStream, ConnectError> {
    let socket = begin(dial).map_err(|why| match is_local(&why) {
        true => ConnectError::Local(why),
        false => ConnectError::Remote(why),
    })?;
    let stream = TcpStream::from_std(socket.into()).map_err(ConnectError::Local)?;
    stream.writable().await.map_err(ConnectError::Local)?;
    match stream.take_error() {
        Ok(None) => Ok(stream),
        Ok(Some(why)) | Err(why) => Err(ConnectError::Remote(why)),
    }
}

fn begin(dial: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(dial), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    match socket.connect(&SockAddr::from(dial)) {
        Err(why) if why.raw_os_error() != Some(libc::EINPROGRESS) => Err(why),
        _ => Ok(socket),
    }
}

/// Whether `socket` or `connect` failed before anything went out (connect(2)).
fn is_local(error: &io::Error) -> bool {
    let unbegun = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR];
    is_shortage(error) || error.raw_os_error().is_some_and(|number| unbegun.contains(&number))
}
