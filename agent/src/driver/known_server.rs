//! A known server: its name and its last valid entry of the endpoint list, converted to the balancer's types.

use crate::endpoint_list::{Health, ServerEntry};
use crate::upstream::discovery::CallNumber;
use balancer::{CellId, Endpoint, KindId, ServerId, Span, Status, Time, ZoneId};
use balancer_settings::{fnv1a, Names};
use std::net::SocketAddr;

/// A valid entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// The entry as the balancer gets it.
    pub endpoint: Endpoint,
    /// The address that this agent connects to; a removed server may have none.
    pub address: Option<SocketAddr>,
    /// When the server process started according to the list, in Unix milliseconds; 0 means long ago.
    pub born_ms: f64,
}

impl ListedServer {
    /// Whether the entry removes the server.
    fn is_removed(&self) -> bool {
        self.endpoint.status == Status::Gone
    }
}

/// A listed server for another process.
pub struct ListedEntry {
    /// Its entry in discovery's form.
    pub entry: ServerEntry,
    /// How long ago it started; `None` if unknown or long ago.
    pub started_ago: Option<Span>,
}

/// A server that has been assigned an id.
pub struct KnownServer {
    /// The server's name, the same at every agent.
    pub name: String,
    /// The last valid entry; `None` if the server has never been listed.
    pub listed: Option<ListedServer>,
    /// The last call to discovery whose response named the server.
    pub last_call: CallNumber,
}

impl KnownServer {
    /// Whether the last entry removes the server.
    pub fn is_removed(&self) -> bool {
        self.listed.as_ref().is_some_and(ListedServer::is_removed)
    }

    /// Whether the last entry lists the server as serving or draining.
    pub fn is_present(&self) -> bool {
        self.listed.as_ref().is_some_and(|listed| !listed.is_removed())
    }

    /// Marks the server as removed and returns an entry that says so, or `None` if it has never been listed.
    pub fn remove(&mut self) -> Option<ServerEntry> {
        let listed = self.listed.as_mut()?;
        listed.endpoint.status = Status::Gone;
        Some(ServerEntry {
            name: self.name.clone(),
            dial: listed.address,
            zone: String::new(),
            kind: String::new(),
            cell: listed.endpoint.cell.0,
            health: Health::Removed,
            weight: listed.endpoint.weight,
            born_ms: listed.born_ms,
        })
    }
}

/// Converts an entry to the balancer's type. `started` is the start of the server process in the balancer's time.
pub fn to_endpoint(server: ServerId, host: &ServerEntry, names: &Names, started: Option<Time>) -> Endpoint {
    Endpoint {
        server,
        zone: ZoneId(index_or_hash(&host.zone, &names.zones)),
        kind: KindId(index_or_hash(&host.kind, &names.kinds)),
        cell: CellId(host.cell),
        status: match host.health {
            Health::Up => Status::Serving,
            Health::Draining => Status::Draining,
            Health::Removed => Status::Gone,
        },
        weight: host.weight,
        started,
    }
}

/// Converts a start time of the list to Unix time; `None` for 0, which means long ago.
pub fn start_unix_time(born_ms: f64) -> Option<Time> {
    (born_ms > 0.0).then(|| Time::from_ms(born_ms))
}

/// The index of `name` in `names`, a list of the settings. A name that is not there gets an index past the end from its
/// hash, so that two zones that the settings lack are not taken for one.
pub fn index_or_hash(name: &str, names: &[String]) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}
