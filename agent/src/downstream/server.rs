//! The listening side: accepts connections, each with a slot, and closes them as the process shuts down.

use crate::downstream::connection::serve_connection;
use crate::downstream::handler::RequestHandler;
use crate::downstream::lifecycle::Phase;
use crate::driver::Driver;
use crate::traffic::errors::{concerns_one_connection, is_shortage};
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

/// Pause after an accept that failed for more than one connection, or descriptors that have run out would make the loop
/// spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// After SIGTERM new connections go on coming for a while; each is still accepted.
pub const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(650);

/// Accepts connections and serves them.
pub struct Server {
    driver: Rc<Driver>,
    handler: Rc<RequestHandler>,
    open_connections: Cell<usize>,
    connection_slots: Arc<Semaphore>,
    lingering: LingeringCloses,
}

/// One of the connections that the server may have.
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
    /// Serves at most `max_connections` at a time.
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

    /// Accepts connections until it is dropped, or until the process enters [`Phase::Closing`].
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
                Err(error) if concerns_one_connection(&error) => {}
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Accepts what waits in the system's queue, which would be reset with the listener. It calls the system, as the
    /// runtime may not have been notified of all yet. How long a shortage is waited out is up to the caller.
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
                Err(error) if concerns_one_connection(&error) => {}
                Err(error) if is_shortage(&error) => sleep(ACCEPT_RETRY_INTERVAL).await,
                // The queue is empty, or there is none any more.
                Err(_) => return,
            }
        }
    }

    /// Waits for a slot for one more connection. While all are used, lingering closes are aborted, one after the other.
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

    /// Says `Connection: close` from now on and closes idle connections. All is answered by `answer_by`.
    pub fn drain(&self, answer_by: Instant) {
        self.handler.lifecycle().set_answer_by(answer_by);
        self.leave_running(Phase::Draining);
    }

    /// Accepts no more connections, and closes those from which nothing has come.
    pub fn close(&self) {
        self.leave_running(Phase::Closing);
    }

    /// Answers what is open and the next request of each connection, as another process accepts the new ones. All is
    /// answered by `answer_by`.
    pub fn hand_over(&self, answer_by: Instant) {
        self.handler.lifecycle().set_answer_by(answer_by);
        self.leave_running(Phase::HandedOver);
    }

    fn leave_running(&self, phase: Phase) {
        self.driver.is_accepting.set(false);
        self.handler.lifecycle().enter(phase);
    }

    /// Whether any connection is open.
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
