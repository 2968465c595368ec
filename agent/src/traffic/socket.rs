//! A TCP connection that the HTTP library reads and writes. Meanwhile its owner can peek at the input, watch for the
//! peer's close, ask when its bytes arrived and close the connection without losing bytes.

use crate::traffic::arrival_watch::ArrivalWatch;
use crate::traffic::peer_writes::written_by_peer;
use crate::traffic::presence::PeerPresence;
use crate::traffic::tcp_info::connection_ages;
use rustix::event::{PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

/// After the agent has shut down its side, the peer has this long to close its own. Bytes that arrive until then are
/// read and discarded. Later ones reset the connection, but by then none of the bytes that the peer waits for are in
/// flight.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The size of the buffer into which discarded bytes are read.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;

/// A connection, shared by its clones and closed when the last of them is dropped.
#[derive(Clone)]
pub struct Socket(Rc<Connection>);

/// A reference to a connection that does not keep it open.
pub struct WeakSocket(Weak<Connection>);

impl WeakSocket {
    /// As [`Socket::peer_may_have_left`], and true if the connection is closed.
    pub fn peer_may_have_left(&self, now: Instant) -> bool {
        self.upgrade().is_none_or(|socket| socket.peer_may_have_left(now))
    }

    /// The connection, unless it is closed.
    fn upgrade(&self) -> Option<Socket> {
        let WeakSocket(connection) = self;
        connection.upgrade().map(Socket)
    }
}

struct Connection {
    stream: TcpStream,
    established_at: Instant,
    /// How many bytes have been read from it.
    bytes_read: Cell<u64>,
    arrivals: ArrivalWatch,
    presence: PeerPresence,
    /// The bytes that were read last had not arrived before this time.
    last_read_not_before: Cell<Instant>,
    /// Whether a task was waiting for the bytes that were read last.
    was_last_read_awaited: Cell<bool>,
    is_reset_on_close: Cell<bool>,
}

impl Socket {
    /// Wraps a stream and sets `TCP_NODELAY`, so that small writes go out at once. Delayed ones would wait for
    /// acknowledgements, and a reset would lose them.
    pub fn new(stream: TcpStream) -> Self {
        Self::established_at(stream, Instant::now())
    }

    /// Wraps a stream that was accepted, and was not established before `not_before`. The kernel tells when it was; if it
    /// does not, `not_before` is assumed.
    pub fn accepted(stream: TcpStream, not_before: Instant) -> Self {
        let now = Instant::now();
        let established_at =
            connection_ages(stream.as_fd()).and_then(|ages| now.checked_sub(ages.since_send));
        Self::established_at(stream, established_at.unwrap_or(not_before))
    }

    fn established_at(stream: TcpStream, established_at: Instant) -> Self {
        // On some systems this fails once for a socket that was just accepted, so it is tried again. The connection
        // works without it, too.
        if stream.set_nodelay(true).is_err() {
            let _ = stream.set_nodelay(true);
        }
        Socket(Rc::new(Connection {
            stream,
            established_at,
            bytes_read: Cell::new(0),
            arrivals: ArrivalWatch::new(established_at),
            presence: PeerPresence::new(established_at),
            last_read_not_before: Cell::new(established_at),
            was_last_read_awaited: Cell::new(false),
            is_reset_on_close: Cell::new(false),
        }))
    }

    /// Whether the peer may have closed the connection too long ago for anything to begin for it at `now`, although its close
    /// has not arrived.
    pub fn peer_may_have_left(&self, now: Instant) -> bool {
        self.0.presence.may_have_left(now, self.unread_bytes(), self.0.arrivals.waiting_since())
    }

    /// The last time, by what is known at `now`, at which all that the peer had written had arrived. Since then some of it may
    /// be held back by the peer's kernel.
    pub fn all_arrived_at(&self, now: Instant) -> Instant {
        self.0.presence.observe(now, self.unread_bytes(), self.0.arrivals.waiting_since())
    }

    /// How many bytes the peer has written, wherever they are now, give or take one that is the same at each call; `None` if
    /// the system does not tell.
    pub fn written_by_peer(&self) -> Option<u64> {
        written_by_peer(&self.0.stream)
    }

    /// A reference that does not keep the connection open.
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// When the connection was established, which may be long before it was accepted.
    pub fn opened_at(&self) -> Instant {
        self.0.established_at
    }

    /// The earliest time at which the last of the bytes that have been read can have arrived. If the agent was waiting for
    /// them, it is when they did. If they lay unread, it is when the connection was last known to have no unread bytes:
    /// the kernel tells the age of the newest bytes alone, and others may lie before them.
    pub fn last_read_arrival(&self) -> Instant {
        let not_before = self.0.last_read_not_before.get();
        let ages = connection_ages(self.0.stream.as_fd());
        // The agent was held up between the arrival and its read, although it was waiting.
        let newest_at = ages.and_then(|ages| Instant::now().checked_sub(ages.since_receive));
        newest_at.map_or(not_before, |newest_at| newest_at.min(not_before))
    }

    /// Whether bytes, the end of the stream or an error can be read now. Asks the kernel, as the runtime may not have
    /// been notified yet, and leaves all three to the next read: the kernel reports an error once, and the read after it
    /// would find the end of the stream.
    pub fn has_pending_input(&self) -> bool {
        let mut sockets = [PollFd::new(&self.0.stream, PollFlags::IN)];
        !matches!(rustix::event::poll(&mut sockets, Some(&Timespec::default())), Ok(0))
    }

    /// Copies bytes that can be read now to `buffer`, and leaves them unread. Returns how many. For connections of which
    /// nothing has been read: it takes an error from the socket.
    ///
    /// # Errors
    ///
    /// As of recv(2): [`io::ErrorKind::WouldBlock`] if no bytes can be read.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        rustix::net::recv(&self.0.stream, buffer, rustix::net::RecvFlags::PEEK)
            .map(|(length, _)| length)
            .map_err(io::Error::from)
    }

    /// How many bytes have arrived on this machine and have not been read; `None` if the system does not tell.
    pub fn unread_bytes(&self) -> Option<u64> {
        rustix::io::ioctl_fionread(&self.0.stream).ok()
    }

    /// Whether the agent was waiting for the bytes that were read last.
    pub fn was_last_read_awaited(&self) -> bool {
        self.0.was_last_read_awaited.get()
    }

    /// Writes as many of these bytes as the kernel takes at once. Errors are not reported.
    pub fn write_now(&self, bytes: &[u8]) {
        let _ = self.0.stream.try_write(bytes);
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

    /// Whether the connection is reset when it is closed, also if the process is killed. Else its end is that of the stream,
    /// which a peer may take for the end of a response.
    pub fn set_reset_on_close(&self, is_reset: bool) {
        if self.0.is_reset_on_close.replace(is_reset) != is_reset {
            let linger_time = is_reset.then_some(Duration::ZERO);
            // If the system refuses it, the connection ends as any other.
            let _ = SockRef::from(&self.0.stream).set_linger(linger_time);
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
        let Socket(connection) = &*self;
        loop {
            let Poll::Ready(ready) = connection.stream.poll_read_ready(cx) else {
                // The runtime may not have been notified of bytes that have arrived.
                if connection.arrivals.waiting_since().is_none() && !self.has_pending_input() {
                    connection.arrivals.record_waiting();
                }
                return Poll::Pending;
            };
            ready?;
            let capacity = buf.remaining();
            match connection.stream.try_read_buf(buf) {
                Err(error) if is_retryable(&error) => {}
                result => {
                    let bytes = *result.as_ref().unwrap_or(&0);
                    connection.record_read(bytes, capacity);
                    return Poll::Ready(result.map(drop));
                }
            }
        }
    }
}

impl Connection {
    /// Records that `bytes` bytes were read into a buffer that had space for `capacity`.
    fn record_read(&self, bytes: usize, capacity: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
        let waiting_since = self.arrivals.waiting_since();
        self.was_last_read_awaited.set(waiting_since.is_some());
        self.presence.record_read(Instant::now(), waiting_since);
        let not_before = self.arrivals.record_taken(Instant::now(), bytes < capacity);
        self.last_read_not_before.set(not_before);
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
