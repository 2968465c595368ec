//! A known server: its name, and its last entry of the endpoint list in the balancer's terms.

use crate::endpoint_list::{Health, Host};
use balancer::{CellId, Endpoint, KindId, ServerId, Status, Time, ZoneId};
use balancer_settings::{fnv1a, Names};
use std::net::SocketAddr;

/// An entry of the endpoint list that could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedServer {
    /// What the balancer is notified of.
    pub endpoint: Endpoint,
    /// Where this agent connects to it.
    pub address: Option<SocketAddr>,
    /// When the server process has started by the list, in Unix milliseconds; 0 for long ago.
    pub born_ms: f64,
}

impl ListedServer {
    /// Whether it is no longer a part of the service.
    fn is_removed(&self) -> bool {
        self.endpoint.status == Status::Gone
    }
}

/// A server that has a number.
pub struct KnownServer {
    /// Its name, the same at every agent.
    pub name: String,
    /// Its last entry that could be read.
    pub listed: Option<ListedServer>,
    /// The number of the last answer that named it.
    pub last_answer: u64,
}

impl KnownServer {
    /// Whether its last entry has removed it.
    pub fn is_removed(&self) -> bool {
        self.listed.as_ref().is_some_and(ListedServer::is_removed)
    }

    /// Whether its last entry says that it serves or drains.
    pub fn is_present(&self) -> bool {
        self.listed.as_ref().is_some_and(|listed| !listed.is_removed())
    }

    /// Removes the server; the entry that says so, none if it has never been listed.
    pub fn remove(&mut self) -> Option<Host> {
        let listed = self.listed.as_mut()?;
        listed.endpoint.status = Status::Gone;
        Some(Host {
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

/// An entry in the balancer's terms; `started` is when its server has started, in the balancer's time.
pub fn endpoint(server: ServerId, host: &Host, names: &Names, started: Option<Time>) -> Endpoint {
    Endpoint {
        server,
        zone: ZoneId(number_of(&host.zone, &names.zones)),
        kind: KindId(number_of(&host.kind, &names.kinds)),
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

/// A start time of the list; none for 0, which is long ago.
pub fn unix_time(born_ms: f64) -> Option<Time> {
    (born_ms > 0.0).then(|| Time::from_ms(born_ms))
}

/// A name's index in the settings. One that they lack gets a number past them, so that no two zones pass for one.
pub fn number_of(name: &str, names: &[String]) -> u32 {
    let index = names.iter().position(|known| known == name);
    index.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}
