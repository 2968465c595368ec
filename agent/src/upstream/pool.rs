//! The connections to all servers: those that are idle, how many there may be, and which are evicted.
//!
//! A connection carries one exchange at a time and is used again only after a complete response. Whatever else ends an
//! exchange (a timeout, a cancellation, an error) ends its connection with it.

use crate::endpoint_list::{Health, ServerEntry};
use crate::upstream::connection::HttpConnection;
use crate::upstream::errors::ConnectionError;
use balancer::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout, Instant};

/// An idle connection is closed after this share of the keep-alive time in the settings: one that the server closes
/// while a request is on its way to it costs that request a reset of which nobody knows whether it was executed.
const MAX_IDLE_SHARE: f64 = 0.7;
/// After a complete response a connection is ready again at once, or there is something wrong with it.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// One connection of the pool; dropping it closes it and frees its slot.
pub struct PooledConnection {
    /// The connection itself.
    pub http: HttpConnection,
    /// Since when it has had no exchange, or when it was opened.
    pub idle_since: Instant,
    server: ServerId,
    incarnation: u64,
    _slot: ConnectionSlot,
}

/// One of the connections that the process may have.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn take(used: &Rc<Cell<usize>>) -> Self {
        used.set(used.get() + 1);
        ConnectionSlot(used.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A server as the endpoint list last described it, and its idle connections, the least recently used first.
struct Server {
    address: Option<SocketAddr>,
    born_ms: f64,
    /// Counts its processes and addresses; connections of an earlier one are not used again.
    incarnation: u64,
    is_up: bool,
    idle: Vec<PooledConnection>,
}

/// What a new connection needs to know of its server.
struct Target {
    server: ServerId,
    address: SocketAddr,
    incarnation: u64,
}

/// All servers and the connections to them.
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerId, Server>>,
    /// Servers with idle connections, and perhaps some that had: evicting must not walk all the others.
    servers_with_idle: RefCell<HashSet<ServerId>>,
    used_slots: Rc<Cell<usize>>,
    max_connections: usize,
    connect_timeout: Duration,
    max_idle: Duration,
}

impl ConnectionPool {
    /// A pool that knows no server yet and has at most `max_connections`. `keepalive` is the time after which servers
    /// close idle connections.
    pub fn new(max_connections: usize, connect_timeout: Duration, keepalive: Duration) -> Self {
        ConnectionPool {
            servers: RefCell::default(),
            servers_with_idle: RefCell::default(),
            used_slots: Rc::default(),
            max_connections,
            connect_timeout,
            max_idle: keepalive.mul_f64(MAX_IDLE_SHARE),
        }
    }

    /// The connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.used_slots.get()
    }

    /// Applies an entry of the endpoint list. A new address or a new process means new connections; a server that drains
    /// or is removed keeps no idle ones.
    pub fn update_endpoint(&self, server: ServerId, host: &ServerEntry) {
        let mut servers = self.servers.borrow_mut();
        let known = servers.entry(server).or_insert_with(|| Server {
            address: host.dial,
            born_ms: host.born_ms,
            incarnation: 0,
            is_up: true,
            idle: Vec::new(),
        });
        let has_moved = host.dial.is_some() && host.dial != known.address;
        if has_moved || host.born_ms != known.born_ms {
            known.incarnation += 1;
            known.idle.clear();
            known.address = host.dial.or(known.address);
            known.born_ms = host.born_ms;
        }
        known.is_up = host.health == Health::Up;
        if !known.is_up {
            known.idle.clear();
        }
    }

    /// Forgets a server and its idle connections; what is in flight to it goes on.
    pub fn remove_endpoint(&self, server: ServerId) {
        self.servers.borrow_mut().remove(&server);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(known) = self.servers.borrow_mut().get_mut(&server) {
            known.idle.clear();
        }
    }

    /// Closes the connections that have been idle for too long.
    pub fn evict_idle(&self) {
        let mut servers = self.servers.borrow_mut();
        self.servers_with_idle.borrow_mut().retain(|server| {
            let Some(known) = servers.get_mut(server) else { return false };
            known.idle.retain(|c| c.idle_since.elapsed() < self.max_idle && !c.http.sender.is_closed());
            !known.idle.is_empty()
        });
    }

    /// The most recently used connection that is still usable, or a new one.
    pub async fn checkout(self: &Rc<Self>, server: ServerId) -> Result<PooledConnection, ConnectionError> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(connection);
        }
        let target = self.target(server).ok_or(ConnectionError::NoAddress)?;
        let slot = self.take_slot().ok_or(ConnectionError::NoSlot)?;
        // A task of its own: when its attempt is cancelled meanwhile, the connection, which has cost the server work by
        // then, serves the next one.
        let (sender, receiver) = oneshot::channel();
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let opened = pool.open(target, slot).await;
            if let Err(Ok(connection)) = sender.send(opened) {
                pool.check_in(connection);
            }
        });
        receiver.await.unwrap_or(Err(ConnectionError::TimedOut))
    }

    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        let mut servers = self.servers.borrow_mut();
        let known = servers.get_mut(&server)?;
        while let Some(connection) = known.idle.pop() {
            let is_ready =
                connection.idle_since.elapsed() < self.max_idle && connection.http.sender.is_ready();
            // Its end, or half a line, may have come without the connection's task having run since.
            if is_ready && !connection.http.socket.has_pending_input() {
                return Some(connection);
            }
        }
        None
    }

    fn target(&self, server: ServerId) -> Option<Target> {
        let servers = self.servers.borrow();
        let known = servers.get(&server)?;
        Some(Target { server, address: known.address?, incarnation: known.incarnation })
    }

    async fn open(&self, target: Target, slot: ConnectionSlot) -> Result<PooledConnection, ConnectionError> {
        let opened = timeout(self.connect_timeout, HttpConnection::open(target.address)).await;
        let http = opened.map_err(|_| ConnectionError::TimedOut)??;
        Ok(PooledConnection {
            http,
            idle_since: Instant::now(),
            server: target.server,
            incarnation: target.incarnation,
            _slot: slot,
        })
    }

    /// A slot for one more connection; if all are used, the least recently used idle connection is closed for it.
    fn take_slot(&self) -> Option<ConnectionSlot> {
        if self.open_connections() >= self.max_connections {
            let mut servers = self.servers.borrow_mut();
            let oldest_idle = |server: &ServerId| servers.get(server)?.idle.first().map(|c| c.idle_since);
            let candidates = self.servers_with_idle.borrow();
            let oldest = candidates.iter().filter_map(|server| Some((oldest_idle(server)?, *server))).min();
            let (_, server) = oldest?;
            servers.get_mut(&server)?.idle.remove(0);
        }
        Some(ConnectionSlot::take(&self.used_slots))
    }

    /// Whether a connection leads to the process and address that its server has now.
    pub fn is_current(&self, connection: &PooledConnection) -> bool {
        let servers = self.servers.borrow();
        servers.get(&connection.server).is_some_and(|known| known.incarnation == connection.incarnation)
    }

    /// Keeps an unused connection for another attempt, if its server still takes any there.
    pub fn check_in(&self, mut connection: PooledConnection) {
        let is_current = self.is_current(&connection);
        let mut servers = self.servers.borrow_mut();
        let Some(known) = servers.get_mut(&connection.server) else { return };
        if known.is_up && is_current && !connection.http.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.servers_with_idle.borrow_mut().insert(connection.server);
            known.idle.push(connection);
        }
    }

    /// Keeps a connection after a complete response, as soon as it is ready for another request.
    pub async fn check_in_when_ready(&self, mut connection: PooledConnection) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.http.sender.ready()).await {
            self.check_in(connection);
        }
    }
}

#[cfg(test)]
mod tests;
