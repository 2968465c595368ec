//! The stream of a request body that is too long to be buffered: its chunks pass from the client to the attempt in
//! flight. The next chunk is read when the last one has been taken. A chunk goes to one reader only, the latest one.

mod last_byte;
mod progress;
mod reader;

pub use progress::BodyProgress;
pub use reader::{BodyError, MAX_REQUEST_BODY_BYTES};

use crate::traffic::body_deadline::BodyDeadline;
use crate::traffic::connection_timer::yield_turns;
use crate::traffic::memory_budget::MemoryReservation;
use crate::traffic::socket::Socket;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use last_byte::LastByteEstimate;
use reader::{BodyReader, Chunk};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

/// How often a task whose time is over yields to the runtime, so that bytes which have arrived are read first.
const ARRIVAL_TURNS: u32 = 8;
/// A complete body is not observed; its state is looked at after this time.
const COMPLETE_BODY_INTERVAL: Duration = Duration::from_secs(1);

/// The state of a streamed request body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Receiving,
    /// The client had sent the last byte at this time.
    Complete(Instant),
    Failed(BodyError),
}

/// Progress of a streamed body that the balancer is notified of.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyEvent {
    /// Bytes past the buffered prefix have been forwarded, so the body cannot be sent again.
    Consumed,
    /// The last byte has arrived.
    Complete,
}

type BodyListener = Box<dyn Fn(BodyEvent)>;

/// What a [`RequestBodyStream`] is made of.
pub struct RequestBodyParts {
    /// The bytes that were read before the body proved too long to be buffered.
    pub prefix: Bytes,
    /// The rest of the body, not read yet.
    pub remainder: Incoming,
    /// When the rest of the body times out.
    pub deadline: BodyDeadline,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The memory reserved for the body.
    pub reservation: MemoryReservation,
    /// The client's connection.
    pub connection: Socket,
    /// The earliest time at which the client may have sent the last byte: the body has not been read since, and the
    /// rest of it may be in the kernel's socket buffer.
    pub last_byte_not_before: Instant,
}

/// A request body that is forwarded while the client sends it.
pub struct RequestBodyStream {
    /// Its length in bytes, if the client has declared it.
    length: Option<u64>,
    state: watch::Sender<BodyState>,
    reader: RefCell<BodyReader>,
    listener: RefCell<Option<BodyListener>>,
    is_consumed: Cell<bool>,
    /// Whether the client gets a response that began before the body was complete.
    is_answered: Cell<bool>,
    /// The number of the latest reader, counted from 1.
    latest_reader: Cell<u64>,
    open_readers: Cell<usize>,
    reader_closed: Notify,
    expects_continue: bool,
    _reservation: MemoryReservation,
}

/// The right to take chunks of a body, until another reader is opened.
pub struct ChunkReader {
    body: Rc<RequestBodyStream>,
    number: u64,
}

impl ChunkReader {
    /// The body that it reads.
    pub fn body(&self) -> &RequestBodyStream {
        &self.body
    }

    /// Polls for the next chunk. The first one follows [`RequestBodyStream::prefix`]. After a failure of the body, a reader whose
    /// server has begun its response waits for ever: what ends its exchange is the response.
    ///
    /// # Errors
    ///
    /// If the body has failed, or another reader has been opened.
    pub fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.number != self.body.latest_reader.get() {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        match self.body.poll_chunk(cx) {
            Poll::Ready(Some(Err(_))) if self.body.is_answered.get() => Poll::Pending,
            polled => polled,
        }
    }
}

impl Drop for ChunkReader {
    fn drop(&mut self) {
        self.body.open_readers.set(self.body.open_readers.get() - 1);
        self.body.reader_closed.notify_one();
    }
}

impl RequestBodyStream {
    /// A stream of which no chunk has been taken yet.
    pub fn new(body: RequestBodyParts) -> Rc<Self> {
        let RequestBodyParts { prefix, remainder, deadline, expects_continue, reservation, .. } = body;
        let length = remainder.size_hint().exact().map(|bytes| prefix.len() as u64 + bytes);
        let last_byte = LastByteEstimate::new(body.connection, body.last_byte_not_before);
        let reader = BodyReader::new(prefix, remainder, deadline, last_byte);
        Rc::new(RequestBodyStream {
            length,
            state: watch::Sender::new(BodyState::Receiving),
            reader: RefCell::new(reader),
            listener: RefCell::new(None),
            is_consumed: Cell::new(false),
            is_answered: Cell::new(false),
            latest_reader: Cell::new(0),
            open_readers: Cell::new(0),
            reader_closed: Notify::new(),
            expects_continue,
            _reservation: reservation,
        })
    }

    /// Opens a reader. The earlier ones get no more chunks.
    pub fn open_reader(self: &Rc<Self>) -> ChunkReader {
        self.latest_reader.set(self.latest_reader.get() + 1);
        self.open_readers.set(self.open_readers.get() + 1);
        ChunkReader { body: self.clone(), number: self.latest_reader.get() }
    }

    /// Records that the client gets a response that has begun. The rest of the body belongs to the server that sends it, and the
    /// response does not end if the body fails.
    pub fn record_answered(&self) {
        self.is_answered.set(true);
    }

    /// Notifies `listener` of all further events.
    pub fn set_listener(&self, listener: impl Fn(BodyEvent) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Its length in bytes, if the client has declared it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The bytes that were read before the body proved too long to be buffered. Every attempt gets them.
    pub fn prefix(&self) -> Bytes {
        self.reader.borrow().prefix()
    }

    /// Waits until the client must have its response: `timeout` after it may have sent the last byte, whether or not the
    /// agent has read that byte. While the client is held back, as its server takes nothing, its time runs too.
    pub async fn wait_until_answer_due(&self, timeout: Duration) {
        loop {
            let next_observation = self.observe_arrivals();
            let due = self.last_byte_not_before() + timeout;
            if due > Instant::now() {
                sleep_until(due.min(next_observation)).await;
                continue;
            }
            // What has arrived in the meantime is read first, and may show that the client is still sending.
            yield_turns(ARRIVAL_TURNS).await;
            self.observe_arrivals();
            if self.last_byte_not_before() + timeout <= Instant::now() {
                return;
            }
        }
    }

    /// How much of `timeout`, which counts from the last byte, is left for the response by what is known so far.
    pub fn time_left(&self, timeout: Duration) -> Duration {
        timeout.saturating_sub(self.last_byte_not_before().elapsed())
    }

    /// The last byte was not sent before this time, by what is known so far.
    fn last_byte_not_before(&self) -> Instant {
        self.completed_at().unwrap_or_else(|| self.reader.borrow().last_byte_not_before())
    }

    /// Observes how much of the body has arrived, unless it has been read completely. Returns when to do so again.
    fn observe_arrivals(&self) -> Instant {
        match self.completed_at() {
            Some(_) => Instant::now() + COMPLETE_BODY_INTERVAL,
            None => self.reader.borrow_mut().observe_arrivals(),
        }
    }

    /// Whether the complete body has arrived, read or not.
    pub fn has_arrived(&self) -> bool {
        self.completed_at().is_some() || self.reader.borrow().has_arrived()
    }

    /// Records that an attempt is about to be written. A client that waits for `100 Continue` gets it now, and has not
    /// sent anything before.
    pub fn record_attempt(&self) {
        let mut reader = self.reader.borrow_mut();
        if self.expects_continue && !reader.has_read() {
            reader.record_incomplete();
        }
    }

    /// Waits until the body has failed.
    pub async fn wait_for_error(&self) -> BodyError {
        loop {
            let state = self.wait_for(|state| matches!(state, BodyState::Failed(_))).await;
            if let BodyState::Failed(error) = state {
                return error;
            }
        }
    }

    async fn wait_for(&self, matches_state: impl Fn(&BodyState) -> bool) -> BodyState {
        // `self` owns the sender, so it is not dropped while a task is waiting.
        match self.state.subscribe().wait_for(|state| matches_state(state)).await {
            Ok(state) => *state,
            Err(_) => std::future::pending().await,
        }
    }

    /// How much of the body has been read, for the log.
    pub fn progress(&self) -> BodyProgress {
        let reader = self.reader.borrow();
        BodyProgress {
            bytes_read: reader.bytes_read(),
            length: self.length,
            unpolled_time: reader.paused_since().map(|since| since.elapsed()),
            is_complete: self.completed_at().is_some(),
        }
    }

    /// When the client had sent the last byte; `None` if the body is not complete.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            BodyState::Complete(at) => Some(at),
            BodyState::Receiving | BodyState::Failed(_) => None,
        }
    }

    /// Whether the body has failed and will never be complete.
    pub fn has_failed(&self) -> bool {
        matches!(*self.state.borrow(), BodyState::Failed(_))
    }

    /// Reads and discards what the client still sends after its response, once no server is sent the body any more: closing a
    /// connection with unread bytes could lose the response. A client that waits for `100 Continue` does not get it, so nothing
    /// is read from it.
    pub async fn discard(self: Rc<Self>) {
        while self.open_readers.get() > 0 {
            self.reader_closed.notified().await;
        }
        let is_started = self.reader.borrow().has_read();
        if is_started || !self.expects_continue {
            while let Some(Ok(_)) = poll_fn(|cx| self.poll_chunk(cx)).await {}
        }
    }

    fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match *self.state.borrow() {
            BodyState::Receiving => {}
            BodyState::Complete(_) => return Poll::Ready(None),
            BodyState::Failed(_) => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
        }
        let polled = self.reader.borrow_mut().poll_chunk(cx);
        let Poll::Ready(chunk) = polled else { return Poll::Pending };
        Poll::Ready(match chunk {
            Chunk::Data { bytes, complete_at } => {
                if !bytes.is_empty() && !self.is_consumed.replace(true) {
                    self.notify(BodyEvent::Consumed);
                }
                complete_at.into_iter().for_each(|at| self.complete(at));
                Some(Ok(bytes))
            }
            Chunk::End { complete_at } => {
                self.complete(complete_at);
                None
            }
            Chunk::Failed(error) => {
                self.state.send_replace(BodyState::Failed(error));
                Some(Err(io::ErrorKind::UnexpectedEof.into()))
            }
        })
    }

    fn complete(&self, at: Instant) {
        self.state.send_replace(BodyState::Complete(at));
        self.notify(BodyEvent::Complete);
    }

    fn notify(&self, event: BodyEvent) {
        if let Some(listener) = &*self.listener.borrow() {
            listener(event);
        }
    }
}
