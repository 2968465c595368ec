//! Accepts client connections, as many as there are slots, and closes them when the process shuts down.

use crate::downstream::connection::serve_connection;
use crate::downstream::handler::RequestHandler;
use crate::downstream::lifecycle::Phase;
use crate::driver::Driver;
use crate::traffic::errors::{is_connection_error, is_resource_exhaustion};
use crate::traffic::lingering::LingeringCloses;
use crate::traffic::socket::Socket;
use socket2::SockRef;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant};

/// The pause after an `accept` that failed for another reason than the connection itself: without it the accept loop
/// would busy-wait while there are no free descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// New connections keep arriving for a while after SIGTERM. They are accepted for this long.
pub const SIGTERM_ACCEPT_PERIOD: Duration = Duration::from_millis(650);

/// Accepts connections and serves them.
pub struct Server {
    driver: Rc<Driver>,
    handler: Rc<RequestHandler>,
    open_connections: Cell<usize>,
    /// One permit for each connection that may still be accepted.
    connection_slots: Arc<Semaphore>,
    lingering: LingeringCloses,
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
    /// A server with at most `max_connections` open connections.
    pub fn new(driver: Rc<Driver>, max_connections: usize) -> Rc<Self> {
        let connection_slots = Arc::new(Semaphore::new(max_connections));
        Rc::new(Server {
            handler: Rc::new(RequestHandler::new(driver.clone(), connection_slots.clone())),
            driver,
            open_connections: Cell::new(0),
            connection_slots,
            lingering: LingeringCloses::default(),
        })
    }

    /// Accepts connections until the process enters [`Phase::Closing`], then those that still wait in the accept queue.
    /// Dropping the future stops it at any time.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        self.driver.is_accepting.set(true);
        let mut phases = self.handler.lifecycle().subscribe();
        tokio::select! {
            () = self.accept_all(&listener) => return,
            _ = phases.wait_for(|phase| *phase == Phase::Closing) => {}
        }
        self.accept_backlog(&listener).await;
    }

    async fn accept_all(self: &Rc<Self>, listener: &TcpListener) {
        while let Some(slot) = self.acquire_slot().await {
            match listener.accept().await {
                Ok((stream, _)) => self.serve(stream, slot),
                Err(error) if is_connection_error(&error) => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Accepts the connections in the kernel's accept queue, which would be reset when the listener is closed. It calls
    /// accept(2) directly, as the runtime may not have been notified of all of them yet. A lack of descriptors or
    /// memory is retried without a limit, so the caller sets the timeout.
    async fn accept_backlog(self: &Rc<Self>, listener: &TcpListener) {
        while let Some(slot) = self.acquire_slot().await {
            match SockRef::from(listener).accept() {
                Ok((socket, _)) => {
                    let stream =
                        socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket.into()));
                    if let Ok(stream) = stream {
                        self.serve(stream, slot);
                    }
                }
                Err(error) if is_connection_error(&error) => {}
                Err(error) if is_resource_exhaustion(&error) => sleep(ACCEPT_RETRY_INTERVAL).await,
                // The queue is empty, or the listener cannot be used any more.
                Err(_) => return,
            }
        }
    }

    /// Waits for a slot for one more connection. While all slots are used, lingering closes are aborted one by one, the
    /// oldest first.
    async fn acquire_slot(&self) -> Option<ConnectionSlot> {
        let mut slot = pin!(self.connection_slots.clone().acquire_owned());
        loop {
            tokio::select! {
                biased;
                slot = slot.as_mut() => return slot.ok(),
                () = self.lingering.abort_oldest() => {}
            }
        }
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        tokio::task::spawn_local(self.clone().serve_until_closed(stream, slot));
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

    /// Whether any connection is open, including lingering ones.
    pub fn has_open_connections(&self) -> bool {
        self.open_connections.get() > 0
    }

    async fn serve_until_closed(self: Rc<Self>, stream: TcpStream, _slot: ConnectionSlot) {
        let _open = OpenConnection::new(&self.open_connections);
        let socket = Socket::new(stream);
        serve_connection(self.handler.clone(), &socket).await;
        self.lingering.close(socket).await;
    }
}

#[cfg(test)]
mod tests;
