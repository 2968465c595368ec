//! Counts the bytes of a connection that the kernel has accepted. Only this count decides whether a failed attempt may
//! have been executed.

use crate::metrics::Metrics;
use crate::traffic::socket::Socket;
use balancer::ServerId;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Counts the bytes written to a connection, and blocks further writes on request. Shared by the connection's task and
/// the attempt that uses the connection.
#[derive(Default)]
pub struct WriteCounter {
    written: Cell<u64>,
    writes_forbidden: Cell<bool>,
    unsent_request: RefCell<Option<UnsentRequest>>,
}

/// The request that is being written, and what is recorded when its last byte has been written.
struct UnsentRequest {
    end_offset: RequestEndOffset,
    server: ServerId,
    metrics: Rc<Metrics>,
}

/// The count of written bytes at which a request is completely sent; `None` while its length is unknown.
type RequestEndOffset = Rc<Cell<Option<u64>>>;

impl WriteCounter {
    /// The number of bytes that the kernel has accepted since the connection was opened.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Tracks a request of `length` bytes (`None` if unknown) that is written from here on. When its last byte has been
    /// written, a send to `server` is recorded in `metrics`.
    pub fn track_request(
        self: &Rc<Self>,
        length: Option<u64>,
        server: ServerId,
        metrics: Rc<Metrics>,
    ) -> RequestOnWire {
        let end_offset = RequestEndOffset::new(Cell::new(length.map(|length| self.written.get() + length)));
        *self.unsent_request.borrow_mut() =
            Some(UnsentRequest { end_offset: end_offset.clone(), server, metrics });
        RequestOnWire { counter: self.clone(), end_offset }
    }

    fn record(&self, bytes: usize) {
        let written = self.written.get() + bytes as u64;
        self.written.set(written);
        let sent =
            self.unsent_request.borrow_mut().take_if(|request| is_reached(&request.end_offset, written));
        if let Some(UnsentRequest { server, metrics, .. }) = sent {
            metrics.record_send(server);
        }
    }

    /// Fails once writes are forbidden, so that not even data that is already queued is sent.
    fn check_writes_allowed(&self) -> io::Result<()> {
        if self.writes_forbidden.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

fn is_reached(end_offset: &RequestEndOffset, written: u64) -> bool {
    end_offset.get().is_some_and(|end_offset| written >= end_offset)
}

/// A request that is being sent over a connection.
#[derive(Clone)]
pub struct RequestOnWire {
    counter: Rc<WriteCounter>,
    end_offset: RequestEndOffset,
}

impl RequestOnWire {
    /// Whether the last byte has been written.
    pub fn is_sent(&self) -> bool {
        is_reached(&self.end_offset, self.counter.written())
    }

    /// Blocks all further writes to the connection.
    pub fn forbid_writes(&self) {
        self.counter.writes_forbidden.set(true);
    }

    /// Sets the end of a request whose body had an unknown length: the next byte belongs to the end marker of the body.
    pub fn end_with_next_byte(&self) {
        self.end_offset.set(Some(self.counter.written() + 1));
    }
}

/// A socket that counts the bytes written to it.
pub struct CountingSocket {
    io: TokioIo<Socket>,
    counter: Rc<WriteCounter>,
}

impl CountingSocket {
    /// Wraps `socket`; `counter` counts the bytes written to it.
    pub fn new(socket: Socket, counter: Rc<WriteCounter>) -> Self {
        CountingSocket { io: TokioIo::new(socket), counter }
    }

    fn poll_counted_write(
        &mut self,
        write: impl FnOnce(Pin<&mut TokioIo<Socket>>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.counter.check_writes_allowed()?;
        let bytes = ready!(write(Pin::new(&mut self.io)))?;
        self.counter.record(bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl Read for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for CountingSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted_write(|io| io.poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted_write(|io| io.poll_write_vectored(cx, bufs))
    }
}
