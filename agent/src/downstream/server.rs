//! Accepts client connections, as many as there are slots, and closes them when the process shuts down. One descriptor
//! more is for a connection that waits for a slot.

use crate::downstream::accept_queue::AcceptQueue;
use crate::downstream::connection::{serve_connection, ConnectionEnd};
use crate::downstream::handler::RequestHandler;
use crate::downstream::lifecycle::Phase;
use crate::downstream::unread_head::unread_timeout;
use crate::driver::Driver;
use crate::metrics::UnreadClose;
use crate::traffic::abort_queue::AbortQueue;
use crate::traffic::errors::{is_connection_error, is_resource_exhaustion};
use crate::traffic::head_memory::HeadMemory;
use crate::traffic::lingering::LingeringCloses;
use crate::traffic::socket::Socket;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

/// The pause after an `accept` that failed for another reason than the connection itself: without it the accept loop
/// would busy-wait while there are no free descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// New connections keep arriving for a while after SIGTERM. They are accepted for this long.
pub const SIGTERM_ACCEPT_PERIOD: Duration = Duration::from_millis(650);
/// A response is lost if it comes later than this after its client's timeout (the standing test).
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// How long the process may be held up between a read and the write of a response (the standing test).
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// A request is not read later than this after its client's timeout: a rejection that follows the read at once still
/// comes in time.
const MAX_REJECTION_DELAY: Duration = LATE_RESPONSE_GRACE.saturating_sub(MAX_SCHEDULING_DELAY);
/// While all connection slots are used, a connection on which nothing has been sent is closed this long after it was
/// established. The application sends a request as soon as it has connected, and may be held up in between.
const MIN_UNUSED_TIME: Duration = Duration::from_millis(250);

/// Accepts connections and serves them.
pub struct Server {
    driver: Rc<Driver>,
    handler: Rc<RequestHandler>,
    open_connections: Cell<usize>,
    /// One permit for each connection that may still be accepted.
    connection_slots: Arc<Semaphore>,
    lingering: LingeringCloses,
    /// The open connections, of which those that have sent nothing are closed when their slots are needed.
    unused: AbortQueue,
}

/// A permit for one of the connections that the server may have open.
type ConnectionSlot = OwnedSemaphorePermit;

/// Counts a connection as open until it is dropped.
struct OpenConnection<'a>(&'a Cell<usize>);

impl<'a> OpenConnection<'a> {
    fn new(open_connections: &'a Cell<usize>) -> Self {
        open_connections.set(open_connections.get() + 1);
        OpenConnection(open_connections)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    /// A server with at most `max_connections` open connections, fewer if the memory limit does not allow so many.
    pub fn new(driver: Rc<Driver>, max_connections: usize) -> Rc<Self> {
        let budget = &driver.memory_budget;
        let head_memory =
            HeadMemory::new(budget.client_connection_bytes(), max_connections, budget.stream_buffer_bytes());
        let connection_slots = Arc::new(Semaphore::new(head_memory.max_connections()));
        Rc::new(Server {
            handler: Rc::new(RequestHandler::new(driver.clone(), connection_slots.clone(), head_memory)),
            driver,
            open_connections: Cell::new(0),
            connection_slots,
            lingering: LingeringCloses::default(),
            unused: AbortQueue::new(MIN_UNUSED_TIME),
        })
    }

    /// Accepts connections until the process closes or hands over. If it closes, it then accepts those that still wait in
    /// the accept queue. Dropping the future stops it at any time.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let queue = AcceptQueue::new(listener);
        self.driver.is_accepting.set(self.handler.lifecycle().is_running());
        self.accept_until_closing(&queue).await;
        if self.handler.lifecycle().is_closing() {
            self.accept_backlog(&queue).await;
        }
    }

    async fn accept_until_closing(self: &Rc<Self>, queue: &AcceptQueue) {
        let mut phases = self.handler.lifecycle().subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = phases.wait_for(|phase| phase.stops_accepting()) => return,
                accepted = queue.next() => accepted,
            };
            match accepted {
                Ok(socket) => self.admit(socket).await,
                Err(error) if is_connection_error(&error) => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Accepts the connections in the kernel's accept queue, which would be reset when the listener is closed. A lack of
    /// descriptors or memory is retried without a limit, so the caller sets the timeout.
    async fn accept_backlog(self: &Rc<Self>, queue: &AcceptQueue) {
        loop {
            match queue.try_next() {
                Ok(socket) => self.admit(socket).await,
                Err(error) if is_connection_error(&error) => {}
                Err(error) if is_resource_exhaustion(&error) => sleep(ACCEPT_RETRY_INTERVAL).await,
                // The queue is empty, or the listener cannot be used any more.
                Err(_) => return,
            }
            yield_now().await;
        }
    }

    /// Serves a connection, or closes it unread if it gets no slot in time.
    async fn admit(self: &Rc<Self>, socket: Socket) {
        match self.wait_for_slot(&socket).await {
            Ok(slot) => self.serve(socket, slot),
            Err(reason) => self.driver.record_connection_close(reason),
        }
    }

    /// Waits for a slot for a connection, for as long as its request can still be answered in time. While all slots are
    /// used, lingering closes are aborted and connections closed on which nothing has been sent, one by one and the
    /// oldest first.
    async fn wait_for_slot(&self, socket: &Socket) -> Result<ConnectionSlot, UnreadClose> {
        if is_too_late_to_read(socket) {
            return Err(UnreadClose::WaitedTooLong);
        }
        let mut slot = pin!(self.connection_slots.clone().acquire_owned());
        loop {
            let has_input = socket.has_pending_input();
            let max_wait = match has_input {
                true => unread_timeout(socket).unwrap_or_default() + MAX_REJECTION_DELAY,
                false => MIN_UNUSED_TIME,
            };
            tokio::select! {
                biased;
                Ok(slot) = slot.as_mut() => return Ok(slot),
                () = self.lingering.abort_oldest() => {}
                () = self.unused.abort_oldest() => {}
                () = sleep_until(socket.opened_at() + max_wait) => {
                    if has_input {
                        return Err(UnreadClose::WaitedTooLong);
                    }
                    if !socket.has_pending_input() {
                        return Err(UnreadClose::Unused);
                    }
                }
            }
        }
    }

    fn serve(self: &Rc<Self>, socket: Socket, slot: ConnectionSlot) {
        tokio::task::spawn_local(self.clone().serve_until_closed(socket, slot));
    }

    /// Closes idle connections. The others are closed after a response with `Connection: close`, which every response
    /// carries from now on. Every request is answered by `answer_by`.
    pub fn drain(&self, answer_by: Instant) {
        self.handler.lifecycle().set_answer_by(answer_by);
        self.enter_phase(Phase::Draining);
    }

    /// Stops accepting connections and closes those that have not sent anything.
    pub fn close(&self) {
        self.enter_phase(Phase::Closing);
    }

    /// Closes each connection after its next response, while another process accepts new connections. Every request is
    /// answered by `answer_by`.
    pub fn hand_over(&self, answer_by: Instant) {
        self.handler.lifecycle().set_answer_by(answer_by);
        self.enter_phase(Phase::HandedOver);
    }

    fn enter_phase(&self, phase: Phase) {
        self.driver.is_accepting.set(false);
        self.handler.lifecycle().enter(phase);
    }

    /// How many connections are open, including lingering ones.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// The memory of client connections.
    pub fn head_memory(&self) -> Rc<HeadMemory> {
        self.handler.head_memory()
    }

    /// Whether any connection is open, including lingering ones.
    pub fn has_open_connections(&self) -> bool {
        self.open_connections() > 0
    }

    async fn serve_until_closed(self: Rc<Self>, socket: Socket, _slot: ConnectionSlot) {
        let _open = OpenConnection::new(&self.open_connections);
        let watched = socket.clone();
        let is_unused = move || watched.bytes_read() == 0 && !watched.has_pending_input();
        let serving = serve_connection(self.handler.clone(), &socket);
        match self.unused.run(socket.opened_at(), is_unused, serving).await {
            Some(ConnectionEnd::Close) => {
                socket.set_reset_on_close(false);
                self.lingering.close(socket).await;
            }
            Some(ConnectionEnd::Reset) => socket.set_reset_on_close(true),
            // Nothing was sent in either direction, so no lingering close is needed.
            None => self.driver.record_connection_close(UnreadClose::Unused),
        }
    }
}

/// Whether a request that lies unread on a connection has waited for so long that even a rejection could come too late.
fn is_too_late_to_read(socket: &Socket) -> bool {
    let waited = socket.opened_at().elapsed();
    waited >= MAX_REJECTION_DELAY
        && unread_timeout(socket).is_some_and(|timeout| waited >= timeout + MAX_REJECTION_DELAY)
}

#[cfg(test)]
mod tests;
