//! The stream of a long request body: the client sends it, and the attempt in flight takes it chunk by chunk, the next
//! when the last has been taken.

mod reader;

pub use reader::{BodyError, MAX_REQUEST_BODY_BYTES};

use crate::traffic::body_deadline::{BodyDeadline, STALL_TIMEOUT};
use crate::traffic::memory_budget::MemoryReservation;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use reader::{BodyReader, Chunk};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How far a long request body has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Receiving,
    Complete(Instant),
    Failed(BodyError),
}

/// What the decisions have to know of a long body.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyEvent {
    /// A part of it has been forwarded and is not buffered.
    Consumed,
    /// Its last byte has come.
    Complete,
}

type BodyListener = Box<dyn Fn(BodyEvent)>;

/// A body that has turned out to be long.
pub struct LongBody {
    /// What came while it might still have been a short one.
    pub beginning: Bytes,
    /// The rest.
    pub remainder: Incoming,
    /// When the rest has to come.
    pub deadline: BodyDeadline,
    /// Whether the client waits for `100 Continue` before it sends anything.
    pub expects_continue: bool,
    /// Its part of the memory budget.
    pub reservation: MemoryReservation,
    /// What has come since then, and lies in the system's buffers, may be all of it.
    pub received_since: Instant,
}

/// A long request body on its way from the client.
pub struct RequestBodyStream {
    /// Its length in bytes, if the client has declared it.
    length: Option<u64>,
    state: watch::Sender<BodyState>,
    reader: RefCell<BodyReader>,
    listener: RefCell<Option<BodyListener>>,
    is_consumed: Cell<bool>,
    expects_continue: bool,
    _reservation: MemoryReservation,
}

impl RequestBodyStream {
    /// A stream of which nothing has been taken yet.
    pub fn new(body: LongBody) -> Rc<Self> {
        let LongBody { beginning, remainder, deadline, expects_continue, reservation, received_since } = body;
        let length = remainder.size_hint().exact().map(|bytes| beginning.len() as u64 + bytes);
        let mut reader = BodyReader::new(beginning, remainder, deadline, received_since);
        if expects_continue {
            reader.expect_no_early_bytes();
        }
        Rc::new(RequestBodyStream {
            length,
            state: watch::Sender::new(BodyState::Receiving),
            reader: RefCell::new(reader),
            listener: RefCell::new(None),
            is_consumed: Cell::new(false),
            expects_continue,
            _reservation: reservation,
        })
    }

    /// Notifies `listener` of all events from now on.
    pub fn set_listener(&self, listener: impl Fn(BodyEvent) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Its length in bytes, if the client has declared it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// What came while it might still have been a short one; it is buffered for each attempt.
    pub fn beginning(&self) -> Bytes {
        self.reader.borrow().beginning()
    }

    /// Waits for its last byte; when that has come.
    pub async fn wait_until_complete(&self) -> Instant {
        loop {
            let state = self.wait_for(|state| matches!(state, BodyState::Complete(_))).await;
            if let BodyState::Complete(at) = state {
                return at;
            }
        }
    }

    /// Waits until an attempt that starts now has had its time: `wait` after the last byte, or when its server has taken
    /// nothing for so long that it never will.
    pub async fn wait_for_attempt_timeout(&self, wait: Duration) {
        tokio::select! {
            complete_at = self.wait_until_complete() => sleep_until(complete_at + wait).await,
            () = self.wait_until_stalled() => {}
        }
    }

    /// Waits until nobody has polled for [`STALL_TIMEOUT`].
    async fn wait_until_stalled(&self) {
        let started = Instant::now();
        loop {
            let now = Instant::now();
            let since = self.reader.borrow().paused_since().map_or(now, |paused| paused.max(started));
            if now >= since + STALL_TIMEOUT {
                return;
            }
            sleep_until(since + STALL_TIMEOUT).await;
        }
    }

    /// Waits until it has failed.
    pub async fn wait_for_error(&self) -> BodyError {
        loop {
            let state = self.wait_for(|state| matches!(state, BodyState::Failed(_))).await;
            if let BodyState::Failed(error) = state {
                return error;
            }
        }
    }

    async fn wait_for(&self, is_awaited: impl Fn(&BodyState) -> bool) -> BodyState {
        // The sender is this stream's own, so it is there for as long as anybody waits.
        match self.state.subscribe().wait_for(|state| is_awaited(state)).await {
            Ok(state) => *state,
            Err(_) => std::future::pending().await,
        }
    }

    /// For how long it may have lain unread while its client had sent all of it and waited for the response.
    pub fn unread_time(&self) -> Duration {
        self.reader.borrow().unread_time()
    }

    /// When it was complete, if it is.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.state.borrow() {
            BodyState::Complete(at) => Some(at),
            BodyState::Receiving | BodyState::Failed(_) => None,
        }
    }

    /// Whether it will never be complete.
    pub fn has_failed(&self) -> bool {
        matches!(*self.state.borrow(), BodyState::Failed(_))
    }

    /// Reads what the client still sends after its response, so that the response is not lost in a connection that ends
    /// with bytes unread. A client that waits for `100 Continue` does not get it.
    pub async fn discard(self: Rc<Self>) {
        let has_begun = self.reader.borrow().has_read();
        if has_begun || !self.expects_continue {
            while let Some(Ok(_)) = poll_fn(|cx| self.poll_chunk(cx)).await {}
        }
    }

    /// Polls for the chunk after [`RequestBodyStream::beginning`] and those that have been taken.
    pub fn poll_chunk(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
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
