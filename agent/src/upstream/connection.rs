//! An HTTP/1.1 connection to a server.

use crate::traffic::attempt_body::AttemptBody;
use crate::traffic::socket::Socket;
use crate::upstream::connect::{connect, ConnectError};
use crate::upstream::write_counter::{CountingSocket, WriteCounter};
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// An open connection; dropping it closes it.
pub struct HttpConnection {
    /// Sends requests over the connection.
    pub sender: SendRequest<AttemptBody>,
    /// The socket, also used by the connection's task.
    pub socket: Socket,
    /// Counts the bytes written to the socket.
    pub counter: Rc<WriteCounter>,
    /// How many bytes had been read when the connection became idle; `None` while it is in use.
    read_when_idle: Rc<Cell<Option<u64>>>,
    task: JoinHandle<()>,
}

impl HttpConnection {
    /// Opens a connection to `address`, with at most `buffer_bytes` bytes in a buffer of each direction. `on_unsolicited_bytes` is
    /// called if the server sends anything while the connection is idle.
    pub async fn open(
        address: SocketAddr,
        buffer_bytes: usize,
        on_unsolicited_bytes: impl FnOnce() + 'static,
    ) -> Result<Self, ConnectError> {
        let socket = Socket::new(connect(address).await?);
        let counter = Rc::<WriteCounter>::default();
        let io = CountingSocket::new(socket.clone(), counter.clone());
        let handshake = Builder::new().max_buf_size(buffer_bytes).handshake(io).await;
        let (sender, driver) = handshake.map_err(|error| ConnectError::Remote(io::Error::other(error)))?;
        let read_when_idle = Rc::<Cell<Option<u64>>>::default();
        let (watched_socket, watched_bytes) = (socket.clone(), read_when_idle.clone());
        let task = tokio::task::spawn_local(async move {
            // The sender reports errors, and the write counter tells how much was sent. An idle connection ends here as soon
            // as it reads anything.
            let _ = driver.await;
            if watched_bytes.get().is_some_and(|bytes| watched_socket.bytes_read() > bytes) {
                on_unsolicited_bytes();
            }
        });
        Ok(HttpConnection { sender, socket, counter, read_when_idle, task })
    }

    /// Records whether the connection is idle.
    pub fn set_idle(&self, is_idle: bool) {
        self.read_when_idle.set(is_idle.then(|| self.socket.bytes_read()));
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
