//! How long a client may take for a head, for an answer and between two requests. A slow client is not a silent one, so
//! nothing here goes by the total: a head counts from its first byte, and a body has its [`BodyDeadline`].

use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::socket::Socket;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// A connection over which nothing comes for this long is closed: the terms allow it from 2 s without a request on.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// A head may take this long from its first byte on, and the first one of a connection from the connect: the terms
/// give it 2 s, and want a peer that sends none gone within 3 s. A body gets as long, whatever its rate.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2800);
/// A client that takes nothing of its answer for this long will take no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a connection with an active request is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Lets what is ready by now be handled first: an answer that has come by a timeout needs some turns of the runtime, from
/// the socket to the one who waits for it, and no time.
pub async fn yield_turns(turns: u32) {
    for _ in 0..turns {
        yield_now().await;
    }
}

/// Where a client's connection stands, and since when.
pub struct ConnectionTimer {
    opened_at: Instant,
    /// Its first head is not complete yet.
    awaits_first_request: Cell<bool>,
    has_active_request: Cell<bool>,
    idle_since: Cell<Instant>,
    /// When the first byte of a head came.
    head_started_at: Cell<Option<Instant>>,
    /// Since when nothing can be written.
    write_blocked_since: Cell<Option<Instant>>,
    changed: Notify,
}

/// What a request gets of its connection when its head is complete.
pub struct StartedRequest {
    /// When its body has to come.
    pub body_deadline: BodyDeadline,
    /// Ends with its answer.
    pub active: ActiveRequest,
}

impl ConnectionTimer {
    /// Times a connection that has just been accepted.
    pub fn new() -> Rc<Self> {
        let opened_at = Instant::now();
        Rc::new(ConnectionTimer {
            opened_at,
            awaits_first_request: Cell::new(true),
            has_active_request: Cell::new(false),
            idle_since: Cell::new(opened_at),
            head_started_at: Cell::new(None),
            write_blocked_since: Cell::new(None),
            changed: Notify::new(),
        })
    }

    /// Starts a request, whose head is complete.
    pub fn start_request(self: &Rc<Self>) -> StartedRequest {
        self.has_active_request.set(true);
        let is_first = self.awaits_first_request.replace(false);
        let since = if is_first { self.opened_at } else { Instant::now() };
        StartedRequest {
            body_deadline: BodyDeadline::new(since + HEAD_TIMEOUT),
            active: ActiveRequest(self.clone()),
        }
    }

    /// Whether a request has not been answered completely.
    pub fn has_active_request(&self) -> bool {
        self.has_active_request.get()
    }

    /// Whether no request is active, nothing of a head has come, and all is written out.
    pub fn is_idle(&self) -> bool {
        !self.has_active_request.get()
            && self.head_started_at.get().is_none()
            && self.write_blocked_since.get().is_none()
    }

    /// Whether the client does not take what is written to it.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// Whether no request has come yet.
    pub fn awaits_first_request(&self) -> bool {
        self.awaits_first_request.get()
    }

    /// When the client has taken too long, as things stand; `None` while an active request is at work.
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

    /// Waits until the client has taken too long.
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

/// A request that has not been answered completely; its connection is idle once this is dropped.
pub struct ActiveRequest(Rc<ConnectionTimer>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let ActiveRequest(timer) = self;
        timer.has_active_request.set(false);
        timer.idle_since.set(Instant::now());
        timer.head_started_at.set(None);
        timer.changed.notify_one();
    }
}

/// A client's socket, whose reads and writes are timed.
pub struct TimedSocket {
    io: TokioIo<Socket>,
    timer: Rc<ConnectionTimer>,
}

impl TimedSocket {
    /// Records in `timer` what passes over `socket`.
    pub fn new(socket: Socket, timer: Rc<ConnectionTimer>) -> Self {
        TimedSocket { io: TokioIo::new(socket), timer }
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
            // What is still being written out is no idle time.
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
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
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
