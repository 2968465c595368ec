//! The connection pool of all servers: idle connections, the connection limit and eviction.
//!
//! A connection carries one exchange at a time and is reused only after a complete response. An exchange that ends in
//! any other way (a timeout, a cancellation, an error) closes its connection.

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

/// An idle connection is closed after this share of the keep-alive time in the settings. If the server closed it first,
/// while a request is on its way, the request would be reset and it would be unknown whether it was executed.
const MAX_IDLE_SHARE: f64 = 0.7;
/// After a complete response a connection normally is ready again at once; one that is not within this time is closed.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Bytes that follow a response, for instance a second one, would be taken for the response to the next request. A connection that
/// has rested for this long after a response is used before others.
const SHORT_REST: Duration = Duration::from_millis(2);
/// Once a server has sent bytes over an idle connection, all connections rest for this long after a response, and others are
/// opened meanwhile.
const LONG_REST: Duration = Duration::from_millis(20);
/// How long connections have the long rest.
const LONG_REST_PERIOD: Duration = Duration::from_secs(60);
/// While a server has this many resting connections, no further one is opened for a request: the one that has rested longest is used.
const MAX_RESTING_CONNECTIONS: usize = 4;

/// A connection of the pool; dropping it closes it and releases its slot.
pub struct PooledConnection {
    /// The HTTP connection.
    pub http: HttpConnection,
    /// When it was opened or last returned to the pool.
    pub idle_since: Instant,
    /// Whether the buffer from which heads are written has grown: it keeps its size, so the connection is not reused.
    pub has_grown: bool,
    server: ServerId,
    incarnation: u64,
    _slot: ConnectionSlot,
}

impl PooledConnection {
    /// Whether no response has come over it within `rest`.
    fn has_rested(&self, rest: Duration) -> bool {
        self.http.counter.written() == 0 || self.idle_since.elapsed() >= rest
    }
}

/// A unit of the connection limit, released on drop. Holds the number of units in use.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn acquire(used: &Rc<Cell<usize>>) -> Self {
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
struct PooledServer {
    address: Option<SocketAddr>,
    born_ms: f64,
    /// Incremented when the server has a new process or address; connections of an earlier incarnation are not reused.
    incarnation: u64,
    is_up: bool,
    idle: Vec<PooledConnection>,
}

/// The server and address that a new connection is opened to.
struct ConnectTarget {
    server: ServerId,
    address: SocketAddr,
    incarnation: u64,
}

/// The known servers and the connections to them.
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    /// All servers with idle connections, and possibly some that no longer have any. Saves eviction from iterating over
    /// all servers.
    servers_with_idle: RefCell<HashSet<ServerId>>,
    used_slots: Rc<Cell<usize>>,
    max_connections: usize,
    connect_timeout: Duration,
    max_idle: Duration,
    buffer_bytes: usize,
    /// Until when connections have the long rest.
    long_rest_until: Cell<Option<Instant>>,
}

impl ConnectionPool {
    /// Creates a pool that knows no servers yet and opens at most `max_connections`. `keepalive` is the time after
    /// which servers close idle connections, `buffer_bytes` the limit of a connection's buffer for each direction.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        keepalive: Duration,
        buffer_bytes: usize,
    ) -> Self {
        ConnectionPool {
            servers: RefCell::default(),
            servers_with_idle: RefCell::default(),
            used_slots: Rc::default(),
            max_connections,
            connect_timeout,
            max_idle: keepalive.mul_f64(MAX_IDLE_SHARE),
            buffer_bytes,
            long_rest_until: Cell::new(None),
        }
    }

    /// The number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.used_slots.get()
    }

    /// Adds or updates a server from its entry in the endpoint list. The idle connections are closed if the server has
    /// a new address or process, or is draining or removed.
    pub fn update_endpoint(&self, server: ServerId, host: &ServerEntry) {
        let mut servers = self.servers.borrow_mut();
        let pooled_server = servers.entry(server).or_insert_with(|| PooledServer {
            address: host.dial,
            born_ms: host.born_ms,
            incarnation: 0,
            is_up: true,
            idle: Vec::new(),
        });
        let has_new_address = host.dial.is_some() && host.dial != pooled_server.address;
        if has_new_address || host.born_ms != pooled_server.born_ms {
            pooled_server.incarnation += 1;
            pooled_server.idle.clear();
            pooled_server.address = host.dial.or(pooled_server.address);
            pooled_server.born_ms = host.born_ms;
        }
        pooled_server.is_up = host.health == Health::Up;
        if !pooled_server.is_up {
            pooled_server.idle.clear();
        }
    }

    /// Removes a server and closes its idle connections; exchanges in flight to it continue.
    pub fn remove_endpoint(&self, server: ServerId) {
        self.servers.borrow_mut().remove(&server);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pooled_server) = self.servers.borrow_mut().get_mut(&server) {
            pooled_server.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn evict_idle(&self) {
        let mut servers = self.servers.borrow_mut();
        self.servers_with_idle.borrow_mut().retain(|server| {
            let Some(pooled_server) = servers.get_mut(server) else { return false };
            pooled_server
                .idle
                .retain(|c| c.idle_since.elapsed() < self.max_idle && !c.http.sender.is_closed());
            !pooled_server.idle.is_empty()
        });
    }

    /// Returns an idle connection that is still usable, or opens a new one.
    pub async fn checkout(self: &Rc<Self>, server: ServerId) -> Result<PooledConnection, ConnectionError> {
        if let Some(connection) = self.take_idle(server) {
            return Ok(connection);
        }
        let target = self.connect_target(server).ok_or(ConnectionError::NoAddress)?;
        let slot = self.acquire_slot().ok_or(ConnectionError::NoSlot)?;
        // A separate task, so that the connection, which has already cost the server work, is kept for another attempt
        // if this one is cancelled in the meantime.
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

    /// The most recently used connection that has rested, or the one that has rested longest if no other should be opened.
    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        let has_long_rest = self.has_long_rest();
        let rest = if has_long_rest { LONG_REST } else { SHORT_REST };
        let may_open_others = has_long_rest && self.open_connections() < self.max_connections;
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        loop {
            let rested = idle.iter().rposition(|connection| connection.has_rested(rest));
            let place = match rested {
                None if idle.is_empty() => return None,
                None if may_open_others && idle.len() < MAX_RESTING_CONNECTIONS => return None,
                None => 0,
                Some(place) => place,
            };
            let connection = idle.remove(place);
            if self.is_usable(&connection) {
                connection.http.set_idle(false);
                return Some(connection);
            }
        }
    }

    /// Whether an idle connection can be used. The server may have closed it or sent bytes that the connection's task has not read
    /// yet.
    fn is_usable(&self, connection: &PooledConnection) -> bool {
        let PooledConnection { http, idle_since, .. } = connection;
        if http.socket.has_pending_input() {
            if http.socket.unread_bytes().is_some_and(|bytes| bytes > 0) {
                self.record_unsolicited_bytes();
            }
            return false;
        }
        idle_since.elapsed() < self.max_idle && http.sender.is_ready()
    }

    /// Whether connections have the long rest after a response.
    fn has_long_rest(&self) -> bool {
        self.long_rest_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Records that a server has sent bytes over an idle connection.
    fn record_unsolicited_bytes(&self) {
        if !self.has_long_rest() {
            tracing::warn!(
                target: "request",
                "a server has sent bytes over an idle connection: connections rest longer after a response"
            );
        }
        self.long_rest_until.set(Some(Instant::now() + LONG_REST_PERIOD));
    }

    fn connect_target(&self, server: ServerId) -> Option<ConnectTarget> {
        let servers = self.servers.borrow();
        let pooled_server = servers.get(&server)?;
        Some(ConnectTarget {
            server,
            address: pooled_server.address?,
            incarnation: pooled_server.incarnation,
        })
    }

    async fn open(
        self: &Rc<Self>,
        target: ConnectTarget,
        slot: ConnectionSlot,
    ) -> Result<PooledConnection, ConnectionError> {
        let pool = Rc::downgrade(self);
        let on_unsolicited_bytes =
            move || pool.upgrade().iter().for_each(|pool| pool.record_unsolicited_bytes());
        let opening = HttpConnection::open(target.address, self.buffer_bytes, on_unsolicited_bytes);
        let opened = timeout(self.connect_timeout, opening).await;
        let http = opened.map_err(|_| ConnectionError::TimedOut)??;
        Ok(PooledConnection {
            http,
            idle_since: Instant::now(),
            has_grown: false,
            server: target.server,
            incarnation: target.incarnation,
            _slot: slot,
        })
    }

    /// Acquires a slot for a new connection. If all are in use, closes the least recently used idle connection first;
    /// `None` if there is none.
    fn acquire_slot(&self) -> Option<ConnectionSlot> {
        if self.open_connections() >= self.max_connections {
            let mut servers = self.servers.borrow_mut();
            let oldest_idle = |server: &ServerId| servers.get(server)?.idle.first().map(|c| c.idle_since);
            let candidates = self.servers_with_idle.borrow();
            let oldest = candidates.iter().filter_map(|server| Some((oldest_idle(server)?, *server))).min();
            let (_, server) = oldest?;
            servers.get_mut(&server)?.idle.remove(0);
        }
        Some(ConnectionSlot::acquire(&self.used_slots))
    }

    /// Whether a connection belongs to the current process and address of its server.
    pub fn is_current(&self, connection: &PooledConnection) -> bool {
        let servers = self.servers.borrow();
        servers
            .get(&connection.server)
            .is_some_and(|pooled_server| pooled_server.incarnation == connection.incarnation)
    }

    /// Returns a connection to the pool for another exchange, or closes it if the server is not up, or if it is closed,
    /// of an earlier incarnation or has grown.
    pub fn check_in(&self, mut connection: PooledConnection) {
        let is_current = self.is_current(&connection);
        let mut servers = self.servers.borrow_mut();
        let Some(pooled_server) = servers.get_mut(&connection.server) else { return };
        let is_reusable = is_current && !connection.has_grown && !connection.http.sender.is_closed();
        if pooled_server.is_up && is_reusable {
            connection.idle_since = Instant::now();
            connection.http.set_idle(true);
            self.servers_with_idle.borrow_mut().insert(connection.server);
            pooled_server.idle.push(connection);
        }
    }

    /// Returns a connection to the pool after a complete response, once it is ready for another request.
    pub async fn check_in_when_ready(&self, mut connection: PooledConnection) {
        if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.http.sender.ready()).await {
            self.check_in(connection);
        }
    }
}

#[cfg(test)]
mod tests;
