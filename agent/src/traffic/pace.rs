//! How long a client may take: for a head, for a body, and between two requests. A slow client is not a mute one, so
//! nothing here goes by the total: a head counts from its first byte, and a body has to keep up a least rate.

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
const IDLE_MOST: Duration = Duration::from_millis(2200);
/// A head may take this long from its first byte on, and the first one of a connection from the connect: the terms
/// give it 2 s, and want a peer that sends none gone within 3 s.
const HEAD_MOST: Duration = Duration::from_millis(2800);
/// A body gets as long, and after that must have kept up this rate, in bytes a second: a little under what the terms
/// ask of a client.
const LEAST_RATE: f64 = 60_000.0;
/// And must not have stopped for this long, however much of it came before.
const GAP_MOST: Duration = Duration::from_millis(1500);
/// A client that takes nothing of its answer for this long will take no more.
const STUCK_MOST: Duration = Duration::from_secs(60);
/// How often a connection in work is looked after.
const LOOK: Duration = Duration::from_secs(10);

/// Lets what is ready by now be handled first: an answer that has come by a time-out needs some turns of the runtime, from
/// the socket to the one who waits for it, and no time.
pub async fn turns(turns: u32) {
    for _ in 0..turns {
        yield_now().await;
    }
}

/// Where a client's connection stands.
pub struct Pace {
    opened: Instant,
    /// Its first head has not come whole yet.
    fresh: Cell<bool>,
    /// Requests in work, one at most.
    busy: Cell<bool>,
    /// Since when it has had nothing to do.
    idle: Cell<Instant>,
    /// When the first byte of a head came.
    begun: Cell<Option<Instant>>,
    /// Since when nothing can be written.
    stuck: Cell<Option<Instant>>,
    changed: Notify,
}

impl Pace {
    /// A connection has just been accepted.
    pub fn new() -> Rc<Self> {
        let opened = Instant::now();
        Rc::new(Pace {
            opened,
            fresh: Cell::new(true),
            busy: Cell::new(false),
            idle: Cell::new(opened),
            begun: Cell::new(None),
            stuck: Cell::new(None),
            changed: Notify::new(),
        })
    }

    /// A head is there whole; the patience that its body may ask for, and what tells when its answer is out.
    pub fn head(self: &Rc<Self>) -> (Patience, Asked) {
        self.busy.set(true);
        let since = if self.fresh.replace(false) { self.opened } else { Instant::now() };
        (Patience::new(since + HEAD_MOST), Asked(self.clone()))
    }

    /// Whether a request is in work.
    pub fn busy(&self) -> bool {
        self.busy.get()
    }

    /// Whether nothing is in work, nothing of a head has come, and all is written out.
    pub fn rests(&self) -> bool {
        !self.busy.get() && self.begun.get().is_none() && self.stuck.get().is_none()
    }

    /// Whether the client does not take what is written to it.
    pub fn stuck(&self) -> bool {
        self.stuck.get().is_some()
    }

    /// Whether no request has come yet.
    pub fn fresh(&self) -> bool {
        self.fresh.get()
    }

    fn due(&self) -> Option<Instant> {
        let waits = match self.begun.get() {
            None => self.idle.get() + IDLE_MOST,
            Some(_) if self.fresh.get() => self.opened + HEAD_MOST,
            Some(begun) => begun + HEAD_MOST,
        };
        match self.stuck.get() {
            Some(stuck) => Some(stuck + STUCK_MOST),
            None => (!self.busy.get()).then_some(waits),
        }
    }

    /// Ends when the client has taken too long.
    pub async fn overdue(&self) {
        loop {
            let now = Instant::now();
            let due = self.due();
            if due.is_some_and(|due| due <= now) {
                return;
            }
            tokio::select! {
                () = sleep_until(due.unwrap_or(now + LOOK)) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

/// A request that has not been answered whole.
pub struct Asked(Rc<Pace>);

impl Drop for Asked {
    fn drop(&mut self) {
        let Asked(pace) = self;
        pace.busy.set(false);
        pace.idle.set(Instant::now());
        pace.begun.set(None);
        pace.changed.notify_one();
    }
}

/// What a body has left of its time.
pub struct Patience {
    /// It may take until then whatever its rate.
    free: Instant,
    /// The time that it has earned by its bytes.
    earned: Duration,
    last: Instant,
}

impl Patience {
    fn new(free: Instant) -> Self {
        Patience { free, earned: Duration::ZERO, last: Instant::now() }
    }

    /// When it has to go on at the latest.
    pub fn due(&self) -> Instant {
        (self.free + self.earned).min(self.last + GAP_MOST).max(self.free)
    }

    /// When the last of it came, or its head if nothing has.
    pub fn last(&self) -> Instant {
        self.last
    }

    /// Nobody has asked for it for this long.
    pub fn paused(&mut self, span: Duration) {
        self.free += span;
        self.last += span;
    }

    /// Some of it has come.
    pub fn came(&mut self, bytes: usize) {
        self.earned += Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
        self.last = Instant::now();
    }
}

/// A client's socket, whose progress is noted.
pub struct Timed {
    io: TokioIo<Socket>,
    pace: Rc<Pace>,
}

impl Timed {
    /// Notes what passes over this socket.
    pub fn new(socket: Socket, pace: Rc<Pace>) -> Self {
        Timed { io: TokioIo::new(socket), pace }
    }

    fn wrote<T>(&self, poll: &Poll<T>) {
        match poll {
            Poll::Pending if self.pace.stuck.get().is_none() => self.pace.stuck.set(Some(Instant::now())),
            Poll::Pending => {}
            // What is still being written out is no idle time.
            Poll::Ready(_) => {
                if self.pace.stuck.take().is_some() && !self.pace.busy.get() {
                    self.pace.idle.set(Instant::now());
                }
            }
        }
    }
}

impl Read for Timed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.io).poll_read(cx, buf);
        if poll.is_ready() && !self.pace.busy.get() && self.pace.begun.get().is_none() {
            self.pace.begun.set(Some(Instant::now()));
        }
        poll
    }
}

impl Write for Timed {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.io).poll_write(cx, buf);
        self.wrote(&poll);
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
        self.wrote(&poll);
        poll
    }
}

#[cfg(test)]
mod tests;
