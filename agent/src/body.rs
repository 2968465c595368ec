//! Bodies on their way through the agent. A small one is kept whole; a longer one is passed on piece by piece, the
//! next when the last has been taken, and what is held of all of them together stays within one budget.

use crate::figures::{End, Taken};
use crate::pace::Asked;
use crate::upstream::Lease;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant, Sleep};

/// The longest body that is kept whole.
pub const KEPT_MOST: usize = 64 << 10;
/// What hyper may buffer of a connection in each direction.
pub const BUFFER: usize = 32 << 10;
/// What a body that is passed on takes of the budget: a piece that is read, one on its way and one being written.
const PASSED: usize = 3 * BUFFER;
/// Of the memory limit, what the processes need beside bodies (two during an upgrade), and what part of the rest is
/// the bodies': buffers of idle connections and what the allocator does not give back take the other.
const APART_MB: u64 = 16;
const BODIES_SHARE: u64 = 2;
const BUDGET_LEAST: u64 = 2 << 20;
const UNIT: usize = 1 << 10;
/// A backend that says nothing for so long in the middle of an answer will not go on.
const STALL: Duration = Duration::from_secs(30);

/// Bytes of bodies that the process may hold, for each direction a half: requests that are kept must not keep answers
/// from being read, which is what they wait for.
pub struct Budget {
    answers: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    half: usize,
}

/// A part of the budget, for as long as it lasts.
pub type Hold = OwnedSemaphorePermit;

impl Budget {
    /// The budget of a process under this limit of memory; of one of two, if it may share it with another.
    pub fn of(memory_mb: u64, shared: bool) -> Self {
        let bytes = (memory_mb.saturating_sub(APART_MB) << 20) / BODIES_SHARE / if shared { 2 } else { 1 };
        Self::new(bytes.max(BUDGET_LEAST) as usize)
    }

    fn new(bytes: usize) -> Self {
        let half = (bytes / 2 / UNIT).min(Semaphore::MAX_PERMITS);
        Budget { answers: Arc::new(Semaphore::new(half)), requests: Arc::new(Semaphore::new(half)), half }
    }

    /// Room for this many bytes of an answer, as soon as there is some.
    pub async fn answer(&self, bytes: usize) -> io::Result<Hold> {
        self.room(&self.answers, bytes).await
    }

    /// Room for this many bytes of a request, as soon as there is some.
    pub async fn request(&self, bytes: usize) -> io::Result<Hold> {
        self.room(&self.requests, bytes).await
    }

    async fn room(&self, of: &Arc<Semaphore>, bytes: usize) -> io::Result<Hold> {
        let units = bytes.div_ceil(UNIT).min(self.half) as u32;
        of.clone().acquire_many_owned(units).await.map_err(io::Error::other)
    }

    /// Room for an answer that is passed on.
    pub async fn passing(&self) -> io::Result<Hold> {
        self.answer(PASSED).await
    }
}

/// An answer as the client gets it.
pub struct Reply {
    first: VecDeque<Bytes>,
    flow: Option<Flow>,
    _hold: Option<Hold>,
    /// The client waits for it until it is dropped.
    asked: Option<Asked>,
}

/// The part of an answer that its backend has still to send.
struct Flow {
    body: Incoming,
    /// Its connection, which is used again after a whole answer and ends with a broken one.
    lease: Lease,
    /// Its request, which ends with it.
    taken: Option<Taken>,
    /// Who is told if it breaks off.
    broke: Option<Box<dyn FnOnce()>>,
    stall: Pin<Box<Sleep>>,
}

impl Reply {
    /// An answer that is there whole.
    pub fn whole(body: Bytes, hold: Option<Hold>) -> Self {
        let first = if body.is_empty() { VecDeque::new() } else { VecDeque::from([body]) };
        Reply { first, flow: None, _hold: hold, asked: None }
    }

    /// An answer that has begun.
    pub fn begun(first: VecDeque<Bytes>, body: Incoming, lease: Lease, hold: Hold) -> Self {
        let stall = Box::pin(sleep(STALL));
        let flow = Flow { body, lease, taken: None, broke: None, stall };
        Reply { first, flow: Some(flow), _hold: Some(hold), asked: None }
    }

    /// The body, if it is there whole.
    pub fn as_whole(&self) -> Option<&[u8]> {
        match &self.flow {
            None => Some(self.first.front().map_or(&[], |bytes| bytes)),
            Some(_) => None,
        }
    }

    /// Says whose answer it is.
    pub fn answers(&mut self, asked: Asked) {
        self.asked = Some(asked);
    }

    /// Ends the request with the answer; somebody is told if that breaks off.
    pub fn ends(&mut self, taken: Taken, broke: impl FnOnce() + 'static) {
        match &mut self.flow {
            None => taken.end(End::Served),
            Some(flow) => {
                flow.taken = Some(taken);
                flow.broke = Some(Box::new(broke));
            }
        }
    }

    fn finish(&mut self, end: End) {
        let Some(flow) = self.flow.take() else { return };
        if let Some(taken) = flow.taken {
            taken.end(end);
        }
        match end {
            End::Served => flow.lease.give_back(),
            _ => flow.broke.into_iter().for_each(|broke| broke()),
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(bytes) = this.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(flow) = &mut this.flow else { return Poll::Ready(None) };
        match Pin::new(&mut flow.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                flow.stall.as_mut().reset(Instant::now() + STALL);
                // Past the last byte of a known length, or past trailers, nobody asks for more.
                if flow.body.is_end_stream() || frame.is_trailers() {
                    this.finish(End::Served);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(why))) => {
                this.finish(End::Failed);
                Poll::Ready(Some(Err(io::Error::other(why))))
            }
            Poll::Ready(None) => {
                this.finish(End::Served);
                Poll::Ready(None)
            }
            Poll::Pending if flow.stall.as_mut().poll(cx).is_ready() => {
                this.finish(End::Failed);
                Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.flow.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().map(|bytes| bytes.len() as u64).sum();
        let mut hint = SizeHint::with_exact(first);
        if let Some(flow) = &self.flow {
            let rest = flow.body.size_hint();
            hint = SizeHint::new();
            hint.set_lower(first + rest.lower());
            if let Some(upper) = rest.upper() {
                hint.set_upper(first + upper);
            }
        }
        hint
    }
}
