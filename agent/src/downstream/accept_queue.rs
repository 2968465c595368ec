//! The clients' listener, and how long its connections have waited to be accepted.

use crate::traffic::arrival_watch::ArrivalWatch;
use crate::traffic::socket::Socket;
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::task::{ready, Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The kernel's queue of connections that are established and not accepted yet.
pub struct AcceptQueue {
    listener: TcpListener,
    watch: ArrivalWatch,
}

impl AcceptQueue {
    /// The queue of `listener`. Where the kernel does not tell when a connection was established, none is taken to have
    /// waited for longer than this process has had the queue; what waited before in the queue of an inherited listener is
    /// unknown then.
    pub fn new(listener: TcpListener) -> Self {
        AcceptQueue { listener, watch: ArrivalWatch::new(Instant::now()) }
    }

    /// Waits for a connection and accepts it.
    ///
    /// # Errors
    ///
    /// As of accept(2).
    pub async fn next(&self) -> io::Result<Socket> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<io::Result<Socket>> {
        let accepted = self.listener.poll_accept(cx);
        if accepted.is_pending() {
            self.watch.record_waiting();
        }
        let (stream, _) = ready!(accepted)?;
        Poll::Ready(Ok(self.accepted(stream)))
    }

    /// Accepts a connection that waits already. Calls accept(2) directly, as the runtime may not have been notified of it.
    ///
    /// # Errors
    ///
    /// As of accept(2): [`io::ErrorKind::WouldBlock`] if none waits.
    pub fn try_next(&self) -> io::Result<Socket> {
        let (socket, _) = SockRef::from(&self.listener).accept()?;
        socket.set_nonblocking(true)?;
        Ok(self.accepted(TcpStream::from_std(socket.into())?))
    }

    fn accepted(&self, stream: TcpStream) -> Socket {
        Socket::accepted(stream, self.watch.record_taken(Instant::now(), false))
    }
}
