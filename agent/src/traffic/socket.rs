//! A TCP connection that the HTTP library reads and writes. Meanwhile its owner can peek at the input, watch for the
//! peer's close and close the connection without losing bytes.

use socket2::SockRef;
use std::cell::Cell;
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

/// After the agent has shut down its side, the peer has this long to close its own. Bytes that arrive until then are
/// read and discarded. Later ones reset the connection, but by then none of the bytes that the peer waits for are in
/// flight.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The size of the buffer into which discarded bytes are read.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;

/// A connection, shared by its clones and closed when the last of them is dropped.
#[derive(Clone)]
pub struct Socket(Rc<Connection>);

struct Connection {
    stream: TcpStream,
    /// How many bytes have been read from it.
    bytes_read: Cell<u64>,
}

impl Socket {
    /// Wraps a stream and sets `TCP_NODELAY`, so that small writes go out at once. Delayed ones would wait for
    /// acknowledgements, and a reset would lose them.
    pub fn new(stream: TcpStream) -> Self {
        // On some systems this fails once for a socket that was just accepted, so it is tried again. The connection
        // works without it, too.
        if stream.set_nodelay(true).is_err() {
            let _ = stream.set_nodelay(true);
        }
        Socket(Rc::new(Connection { stream, bytes_read: Cell::new(0) }))
    }

    /// Whether bytes, the end of the stream or an error can be read now. Asks the kernel, as the runtime may not have
    /// been notified yet.
    pub fn has_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.0.stream).peek(&mut byte);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// How many bytes have arrived on this machine and have not been read; `None` if the system does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        rustix::io::ioctl_fionread(&self.0.stream).ok()
    }

    /// How many bytes have been read.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Waits until the peer has closed or reset the connection, even if unread bytes precede the end of the stream.
    pub async fn wait_for_peer_close(&self) {
        // `PRIORITY` is also ready for urgent data, which no peer sends, but not for ordinary bytes.
        while self.0.stream.ready(Interest::PRIORITY).await.is_ok_and(|seen| !seen.is_read_closed()) {
            yield_now().await;
        }
    }

    /// A lingering close: shuts down the agent's side, then reads and discards input for [`LINGER_TIMEOUT`] at most.
    /// Closing with unread bytes would reset the connection, and the last response could be lost.
    pub async fn close_lingering(&self) {
        if SockRef::from(&self.0.stream).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut chunk = vec![0; DISCARD_CHUNK_BYTES];
            while self.0.stream.readable().await.is_ok() {
                match self.0.stream.try_read(&mut chunk) {
                    Ok(0) => return,
                    Ok(_) => yield_now().await,
                    Err(error) if is_retryable(&error) => {}
                    Err(_) => return,
                }
            }
        };
        // On a timeout the connection is closed although the peer has not closed its side.
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read_buf(buf) {
                Err(error) if is_retryable(&error) => {}
                result => {
                    let bytes = *result.as_ref().unwrap_or(&0) as u64;
                    self.0.bytes_read.set(self.0.bytes_read.get() + bytes);
                    return Poll::Ready(result.map(drop));
                }
            }
        }
    }
}

impl Socket {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if is_retryable(&error) => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }
}

/// Whether a read or write is to be retried: it would have blocked, or a signal interrupted it.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;
