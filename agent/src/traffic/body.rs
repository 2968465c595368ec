//! Bodies on their way through the agent. A small one is kept whole; a longer one is passed on piece by piece, the
//! next when the last has been taken, and what is held of all of them together stays within one budget.

use crate::metrics::{End, Taken};
use crate::traffic::pace::{Asked, Patience};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, Instant, Sleep};

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

    /// Room for a request that is passed on, beside what is kept of its beginning.
    pub async fn uploading(&self) -> io::Result<Hold> {
        self.request(PASSED + KEPT_MOST).await
    }
}

/// Gives the connection of an answer back after its last byte; dropped unused, it ends the connection.
pub type GiveBack = Box<dyn FnOnce()>;

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
    /// Its connection is used again after a whole answer and ends with a broken one.
    give_back: GiveBack,
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
    pub fn begun(first: VecDeque<Bytes>, body: Incoming, give_back: GiveBack, hold: Hold) -> Self {
        let stall = Box::pin(sleep(STALL));
        let flow = Flow { body, give_back, taken: None, broke: None, stall };
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
            End::Served => (flow.give_back)(),
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

/// The longest body of a request that is passed on: 32 MB, as the operators say, and what such figures round off.
pub const REQUEST_MOST: u64 = 33 << 20;

/// How a long body of a request is getting on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Coming {
    More,
    Whole(Instant),
    Broken(Unread),
}

/// Why a body is not there whole.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is longer than the agent takes.
    Long,
    /// Its client has stopped sending it, or is too slow.
    Late,
    /// It makes no sense, or its client has left.
    Broken,
}

/// What the decisions have to know of a long body.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A part of it has been passed on and is not kept.
    Spent,
    /// Its last byte has come.
    Whole,
}

/// A piece of it, if one is there.
type Next = Poll<Option<io::Result<Bytes>>>;
type Tell = Box<dyn Fn(Step)>;

/// A long body on its way from the client; the attempt that is under way takes it piece by piece.
pub struct Intake {
    /// Its length, if the client has told it.
    length: Option<u64>,
    coming: watch::Sender<Coming>,
    reading: RefCell<Reading>,
    tell: RefCell<Option<Tell>>,
    spent: Cell<bool>,
    /// The client waits for a word before it sends anything.
    expects: bool,
    _hold: Hold,
}

struct Reading {
    /// What came while it might still have been a small one.
    first: Bytes,
    body: Incoming,
    patience: Patience,
    read: u64,
    /// Since when nobody has asked for more.
    paused: Option<Instant>,
    late: Pin<Box<Sleep>>,
}

impl Intake {
    /// A body that has begun, and turned out to be long.
    pub fn new(first: Bytes, body: Incoming, patience: Patience, expects: bool, hold: Hold) -> Rc<Self> {
        let read = first.len() as u64;
        let length = body.size_hint().exact().map(|rest| read + rest);
        let late = Box::pin(sleep_until(patience.due()));
        let reading = Reading { first, body, patience, read, paused: None, late };
        Rc::new(Intake {
            length,
            coming: watch::Sender::new(Coming::More),
            reading: RefCell::new(reading),
            tell: RefCell::new(None),
            spent: Cell::new(false),
            expects,
            _hold: hold,
        })
    }

    /// Tells somebody of its steps from now on.
    pub fn tells(&self, tell: impl Fn(Step) + 'static) {
        *self.tell.borrow_mut() = Some(Box::new(tell));
    }

    /// When its last byte has come.
    pub async fn whole(&self) -> Instant {
        loop {
            let coming = self.reached(|coming| matches!(coming, Coming::Whole(_))).await;
            if let Coming::Whole(at) = coming {
                return at;
            }
        }
    }

    /// Why it will not come whole, as soon as that is known.
    pub async fn broken(&self) -> Unread {
        loop {
            let coming = self.reached(|coming| matches!(coming, Coming::Broken(_))).await;
            if let Coming::Broken(why) = coming {
                return why;
            }
        }
    }

    async fn reached(&self, there: impl Fn(&Coming) -> bool) -> Coming {
        // The sender is this one's own, so it is there for as long as anybody waits.
        match self.coming.subscribe().wait_for(|coming| there(coming)).await {
            Ok(coming) => *coming,
            Err(_) => std::future::pending().await,
        }
    }

    /// Since when it is whole.
    pub fn whole_at(&self) -> Option<Instant> {
        match *self.coming.borrow() {
            Coming::Whole(at) => Some(at),
            _ => None,
        }
    }

    /// Whether it will not come whole.
    pub fn is_broken(&self) -> bool {
        matches!(*self.coming.borrow(), Coming::Broken(_))
    }

    /// Reads what the client still sends after its answer, so that the answer is not lost in a connection that ends
    /// with bytes unread. A client that waits to be told to send is not told.
    pub async fn discard(self: Rc<Self>) {
        let begun = self.reading.borrow().read > 0;
        if begun || !self.expects {
            while let Some(Ok(_)) = poll_fn(|cx| self.poll_next(cx)).await {}
        }
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Next {
        let (next, step) = {
            let mut reading = self.reading.borrow_mut();
            match *self.coming.borrow() {
                Coming::More => {}
                Coming::Whole(_) => return Poll::Ready(None),
                Coming::Broken(_) => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            }
            reading.poll_next(cx)
        };
        let Poll::Ready(next) = next else { return Poll::Pending };
        if matches!(&next, Some(Ok(bytes)) if !bytes.is_empty()) && !self.spent.replace(true) {
            self.say(Step::Spent);
        }
        if let Some(coming) = step {
            self.coming.send_replace(coming);
            if matches!(coming, Coming::Whole(_)) {
                self.say(Step::Whole);
            }
        }
        Poll::Ready(next)
    }

    fn say(&self, step: Step) {
        if let Some(tell) = &*self.tell.borrow() {
            tell(step);
        }
    }
}

impl Reading {
    /// The next piece, and what becomes of the body with it.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> (Next, Option<Coming>) {
        if let Some(paused) = self.paused.take() {
            self.patience.paused(paused.elapsed());
        }
        let broken =
            |why| (Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))), Some(Coming::Broken(why)));
        let bytes = loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => break bytes,
                    Err(_trailers) => {}
                },
                Poll::Ready(Some(Err(_))) => return broken(Unread::Broken),
                Poll::Ready(None) => return (Poll::Ready(None), Some(Coming::Whole(Instant::now()))),
                Poll::Pending => {
                    self.late.as_mut().reset(self.patience.due());
                    if self.late.as_mut().poll(cx).is_ready() {
                        return broken(Unread::Late);
                    }
                    return (Poll::Pending, None);
                }
            }
        };
        self.read += bytes.len() as u64;
        if self.read > REQUEST_MOST {
            return broken(Unread::Long);
        }
        self.patience.came(bytes.len());
        self.paused = Some(Instant::now());
        let ended = self.body.is_end_stream().then(|| Coming::Whole(Instant::now()));
        (Poll::Ready(Some(Ok(bytes))), ended)
    }
}

/// The body of an attempt: one that is kept, or the client's own as it comes.
pub enum Outgoing {
    /// There whole.
    Kept(Full<Bytes>),
    /// Passed on; the beginning that is kept goes first.
    Passed(Upload),
}

/// One attempt's way through a long body.
pub struct Upload {
    intake: Rc<Intake>,
    /// The beginning has gone out.
    begun: bool,
    /// Where it is told that the last byte is on its way.
    ends: Option<Box<dyn FnOnce()>>,
}

impl Default for Outgoing {
    fn default() -> Self {
        Outgoing::Kept(Full::default())
    }
}

impl Outgoing {
    /// Another attempt with this body.
    pub fn of(intake: &Rc<Intake>) -> Self {
        Outgoing::Passed(Upload { intake: intake.clone(), begun: false, ends: None })
    }

    /// Tells when the last byte of a body without a known length is on its way.
    pub fn ends(&mut self, tell: impl FnOnce() + 'static) {
        if let Outgoing::Passed(upload) = self {
            upload.ends = Some(Box::new(tell));
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let upload = match &mut *self {
            Outgoing::Kept(body) => return Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Passed(upload) => upload,
        };
        if !std::mem::replace(&mut upload.begun, true) {
            let first = upload.intake.reading.borrow().first.clone();
            if !first.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(first))));
            }
        }
        let next = upload.intake.poll_next(cx);
        if matches!(next, Poll::Ready(None)) {
            upload.ends.take().into_iter().for_each(|ends| ends());
        }
        next.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Outgoing::Kept(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Kept(body) => body.size_hint(),
            Outgoing::Passed(upload) => upload.intake.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
