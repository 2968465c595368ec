//! Timeouts of client connections: while a head is read, while a response is written and between two requests. A slow
//! client is not an unresponsive one, so no timeout bounds a whole request: a head is timed from its first byte, and a
//! body has its [`BodyDeadline`].

use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::head_memory::HeadGate;
use crate::traffic::socket::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// An idle connection is closed after this time. The service terms allow it after 2 s without a request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A head times out this long after its first byte; the first head of a connection, this long after the connection was
/// established. The service terms grant a head 2 s and require that a peer that sends none is disconnected within 3 s.
/// Also the grace period of a body, during which its rate does not matter.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that reads nothing of its response for this long is not expected to continue.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the deadline is computed again while a request is active: a write that becomes blocked sets one, but does
/// not notify the task that waits.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Yields to the runtime `turns` times, so that events that are ready by now are handled first: an answer that arrived
/// before a timeout takes no time but some turns to get from the socket to the task that waits for it.
pub async fn yield_turns(turns: u32) {
    for _ in 0..turns {
        yield_now().await;
    }
}

/// The state of a client connection as far as its timeouts depend on it.
pub struct ConnectionTimer {
    opened_at: Instant,
    /// Whether the first head is not complete yet.
    awaits_first_request: Cell<bool>,
    has_active_request: Cell<bool>,
    idle_since: Cell<Instant>,
    /// When the first byte of the current head arrived; `None` if none has.
    head_started_at: Cell<Option<Instant>>,
    /// Since when a write has been blocked; `None` if none is.
    write_blocked_since: Cell<Option<Instant>>,
    /// Whether a response has broken off.
    has_broken_response: Cell<bool>,
    /// Notified when a request ends, as that changes the deadline.
    changed: Notify,
}

/// The timing of a request whose head is complete.
pub struct StartedRequest {
    /// When its body times out.
    pub body_deadline: BodyDeadline,
    /// Keeps it active until the end of its response.
    pub active: ActiveRequest,
}

impl ConnectionTimer {
    /// The timer of a connection that was established at `opened_at`.
    pub fn new(opened_at: Instant) -> Rc<Self> {
        Rc::new(ConnectionTimer {
            opened_at,
            awaits_first_request: Cell::new(true),
            has_active_request: Cell::new(false),
            idle_since: Cell::new(opened_at),
            head_started_at: Cell::new(None),
            write_blocked_since: Cell::new(None),
            has_broken_response: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Starts a request when its head is complete.
    pub fn start_request(self: &Rc<Self>) -> StartedRequest {
        self.has_active_request.set(true);
        let is_first = self.awaits_first_request.replace(false);
        let since = if is_first { self.opened_at } else { Instant::now() };
        StartedRequest {
            body_deadline: BodyDeadline::new(since + HEAD_TIMEOUT),
            active: ActiveRequest(self.clone()),
        }
    }

    /// Whether there is a request that has not been answered completely.
    pub fn has_active_request(&self) -> bool {
        self.has_active_request.get()
    }

    /// Whether no request is active, no byte of a head has arrived and no write is blocked.
    pub fn is_idle(&self) -> bool {
        !self.has_active_request.get()
            && self.head_started_at.get().is_none()
            && self.write_blocked_since.get().is_none()
    }

    /// Whether a write is blocked, as the client does not read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// Whether a response has broken off, so that the end of the connection must not look like the end of a response.
    pub fn has_broken_response(&self) -> bool {
        self.has_broken_response.get()
    }

    /// Records that the connection ends as its client has timed out. What has not been written of a response breaks off.
    pub fn record_timed_out(&self) {
        if self.has_active_request() || self.is_write_blocked() {
            self.has_broken_response.set(true);
        }
    }

    /// Whether the first head of the connection is not complete yet.
    pub fn awaits_first_request(&self) -> bool {
        self.awaits_first_request.get()
    }

    /// When the client times out in the current state; `None` while a request is active and no write is blocked.
    fn deadline(&self) -> Option<Instant> {
        if let Some(blocked_since) = self.write_blocked_since.get() {
            return Some(blocked_since + WRITE_TIMEOUT);
        }
        if self.has_active_request.get() {
            return None;
        }
        Some(match self.head_started_at.get() {
            None => self.idle_since.get() + IDLE_TIMEOUT,
            Some(_) if self.awaits_first_request.get() => self.opened_at + HEAD_TIMEOUT,
            Some(started_at) => started_at + HEAD_TIMEOUT,
        })
    }

    /// Waits until the client has timed out.
    pub async fn wait_until_overdue(&self) {
        loop {
            let now = Instant::now();
            let deadline = self.deadline();
            if deadline.is_some_and(|deadline| deadline <= now) {
                return;
            }
            tokio::select! {
                () = sleep_until(deadline.unwrap_or(now + CHECK_INTERVAL)) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A request that has not been answered completely. When it is dropped, its connection becomes idle.
pub struct ActiveRequest(Rc<ConnectionTimer>);

impl ActiveRequest {
    /// Records that the response has broken off.
    pub fn record_broken_response(&self) {
        let ActiveRequest(timer) = self;
        timer.has_broken_response.set(true);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let ActiveRequest(timer) = self;
        timer.has_active_request.set(false);
        timer.idle_since.set(Instant::now());
        timer.head_started_at.set(None);
        timer.changed.notify_one();
    }
}

/// A client's socket whose reads and writes are recorded in the timer of its connection, and whose reads are limited by
/// its gate.
pub struct TimedSocket {
    io: TokioIo<Socket>,
    timer: Rc<ConnectionTimer>,
    gate: Rc<HeadGate>,
}

impl TimedSocket {
    /// Records the reads and writes of `socket` in `timer`, and limits the reads by `gate`.
    pub fn new(socket: Socket, timer: Rc<ConnectionTimer>, gate: Rc<HeadGate>) -> Self {
        TimedSocket { io: TokioIo::new(socket), timer, gate }
    }

    /// Waits until bytes may be read. Returns how many.
    fn poll_read_limit(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        match self.timer.has_active_request() {
            true => Poll::Ready(Ok(self.gate.max_read_bytes())),
            false => self.gate.poll_head_bytes(cx).map_err(io::Error::other),
        }
    }

    fn poll_read_up_to(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() <= limit {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        }
        let mut scratch = self.gate.scratch();
        let mut limited = ReadBuf::new(&mut scratch[..limit]);
        ready!(Pin::new(self.io.inner_mut()).poll_read(cx, &mut limited))?;
        buf.put_slice(limited.filled());
        Poll::Ready(Ok(()))
    }

    fn record_read(&self, poll: &Poll<io::Result<()>>) {
        let timer = &self.timer;
        if poll.is_ready() && !timer.has_active_request.get() && timer.head_started_at.get().is_none() {
            timer.head_started_at.set(Some(Instant::now()));
        }
    }

    fn record_write(&self, poll: &Poll<io::Result<usize>>) {
        let timer = &self.timer;
        match poll {
            Poll::Pending if timer.write_blocked_since.get().is_none() => {
                timer.write_blocked_since.set(Some(Instant::now()));
            }
            Poll::Pending => {}
            // The time in which a response is still being written does not count as idle time.
            Poll::Ready(_) => {
                if timer.write_blocked_since.take().is_some() && !timer.has_active_request.get() {
                    timer.idle_since.set(Instant::now());
                }
            }
        }
    }
}

impl Read for TimedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = ready!(self.poll_read_limit(cx))?;
        let bytes_before = self.io.inner().bytes_read();
        let poll = self.poll_read_up_to(cx, buf, limit);
        if !self.timer.has_active_request() {
            self.gate.record_head_bytes((self.io.inner().bytes_read() - bytes_before) as usize);
        }
        self.record_read(&poll);
        poll
    }
}

impl Write for TimedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(&poll);
        poll
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
        let poll = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(&poll);
        poll
    }
}

#[cfg(test)]
mod tests;
