//! A TCP connection that the HTTP library reads and writes, and whose owner can peek at it meanwhile and close it without
//! losing bytes.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// A peer that has been sent the end of the stream has this long to end its own side. What it still sends until then is
/// read and discarded; later bytes reset the connection, by when no bytes that the peer waits for are on their way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// What is read and discarded at a time.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;

/// One connection; its clones are the same one, which closes with the last.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// A connection whose small writes go out at once. Delayed they would wait for acknowledgements, and be lost with a
    /// reset.
    pub fn new(stream: TcpStream) -> Self {
        // Some systems fail this once on a socket just accepted. It is no reason to drop a connection that is good.
        if stream.set_nodelay(true).is_err() {
            let _ = stream.set_nodelay(true);
        }
        Socket(Rc::new(stream))
    }

    /// Whether anything waits to be read at this very moment: bytes, the end or an error. It calls the system, as the
    /// runtime may not have been notified yet.
    pub fn has_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.0).peek(&mut byte);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has closed or reset its side, also where bytes that nobody reads yet come before that.
    pub async fn wait_for_peer_close(&self) {
        // Of what may wake this, nothing but the end ever comes: no peer sends urgent data, and bytes alone do not count.
        while self.0.ready(Interest::PRIORITY).await.is_ok_and(|seen| !seen.is_read_closed()) {
            yield_now().await;
        }
    }

    /// A lingering close: ends the own side, then reads on for [`LINGER_TIMEOUT`] at most. A close over unread bytes would
    /// reset the connection, and the last answer could be lost with it.
    pub async fn close_lingering(&self) {
        if SockRef::from(&*self.0).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut chunk = vec![0; DISCARD_CHUNK_BYTES];
            while self.0.readable().await.is_ok() {
                match self.0.try_read(&mut chunk) {
                    Ok(0) => return,
                    Ok(_) => yield_now().await,
                    Err(error) if is_retryable(&error) => {}
                    Err(_) => return,
                }
            }
        };
        // A peer that does not end its side gets no more time.
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if is_retryable(&error) => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl Socket {
    fn poll_transfer(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_retryable(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_transfer(cx, |stream| stream.try_write_vectored(bufs))
    }
}

/// Whether a transfer is to be retried: it would have blocked, or a signal interrupted it.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;
