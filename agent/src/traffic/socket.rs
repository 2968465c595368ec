//! A TCP connection that the HTTP library reads and writes, and that its keeper can look at meanwhile and end politely.

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

/// A peer that is told of the end has this long to end its own side. What it still sends is read until then, and not
/// heard; later bytes reset the connection, which by then can take nothing along that the peer waits for.
const PART_MOST: Duration = Duration::from_millis(500);
/// What is read away at a time.
const PIECE: usize = 4 << 10;

/// One connection; its clones are the same one, which closes with the last.
#[derive(Clone)]
pub struct Socket(Rc<TcpStream>);

impl Socket {
    /// A connection whose small writes go out at once. Held back they would wait for acknowledgements, and be lost with a
    /// reset.
    pub fn new(stream: TcpStream) -> Self {
        // Some systems refuse it once on a socket just accepted. It is no reason to drop a connection that is good.
        if stream.set_nodelay(true).is_err() {
            let _ = stream.set_nodelay(true);
        }
        Socket(Rc::new(stream))
    }

    /// Whether nothing waits to be read at this very moment: no bytes, no end and no error. It asks the system, as
    /// the runtime may not have heard of them yet.
    pub fn quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.0).peek(&mut byte);
        peeked.is_err_and(|why| why.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends as soon as the peer has closed or reset its side, also where bytes that nobody reads yet stand before that.
    pub async fn left(&self) {
        // Of what may wake this, nothing but the end ever comes: no peer has anything urgent to say, and bytes alone do
        // not count.
        while self.0.ready(Interest::PRIORITY).await.is_ok_and(|seen| !seen.is_read_closed()) {
            yield_now().await;
        }
    }

    /// Ends the own side, then reads on for a while: a close over unread bytes would reset the connection, and the
    /// last answer could go with it.
    pub async fn part(&self) {
        if SockRef::from(&*self.0).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let unheard = async {
            let mut piece = vec![0; PIECE];
            while self.0.readable().await.is_ok() {
                match self.0.try_read(&mut piece) {
                    Ok(0) => return,
                    Ok(_) => yield_now().await,
                    Err(why) if comes_again(&why) => {}
                    Err(_) => return,
                }
            }
        };
        // A peer that does not end its side gets no more time.
        let _ = timeout(PART_MOST, unheard).await;
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(why) if comes_again(&why) => {}
                done => return Poll::Ready(done.map(drop)),
            }
        }
    }
}

impl Socket {
    fn poll_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(why) if comes_again(&why) => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(buf))
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
        self.poll_with(cx, |stream| stream.try_write_vectored(bufs))
    }
}

/// Whether a transfer is to be asked for again: it would have waited, or a signal came in between.
fn comes_again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

#[cfg(test)]
mod tests;
