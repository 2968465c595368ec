//! The names of an instance's servers, and the numbers by which its balancer knows them.

use crate::wire::{Entry, EntryStatus};
use balancer::{CellId, Endpoint, KindId, ServerId, Status, Time, ZoneId};
use balancer_settings::fnv1a;
use std::collections::HashMap;
use std::rc::Rc;

/// The weight of a server whose entry names none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A server of a catalogue; all instances that know it share its name.
#[derive(Debug, Clone)]
pub struct CatalogueServer {
    name: Rc<str>,
    /// Its entry but for the number, which each instance gives it.
    endpoint: Endpoint,
}

impl From<Entry<'_>> for CatalogueServer {
    fn from(entry: Entry<'_>) -> Self {
        let endpoint = Endpoint {
            server: ServerId(0),
            zone: ZoneId(entry.zone),
            kind: KindId(entry.kind),
            cell: CellId(entry.cell),
            status: match entry.status {
                EntryStatus::Serving => Status::Serving,
                EntryStatus::Draining => Status::Draining,
                EntryStatus::Deleted => Status::Gone,
            },
            weight: entry.weight.unwrap_or(DEFAULT_WEIGHT),
            started: entry.started_ms.filter(|ms| *ms > 0.0).map(Time::from_ms),
        };
        CatalogueServer { name: Rc::from(&*entry.server), endpoint }
    }
}

/// All servers that an instance has known.
#[derive(Debug, Default)]
pub struct Servers {
    ids: HashMap<Rc<str>, ServerId>,
    names: HashMap<ServerId, Rc<str>>,
}

impl Servers {
    /// The endpoints of a catalogue, each with the server's number. A number is a hash of the name, so that balancers
    /// mean the same server by it when they gossip; should two names have the same hash, the later one gets the next
    /// free number.
    pub fn endpoints(&mut self, catalogue: &[CatalogueServer]) -> Vec<Endpoint> {
        catalogue
            .iter()
            .map(|known| Endpoint { server: self.intern(&known.name), ..known.endpoint.clone() })
            .collect()
    }

    fn intern(&mut self, name: &Rc<str>) -> ServerId {
        *self.ids.entry(name.clone()).or_insert_with(|| {
            let mut id = ServerId(fnv1a(name) as u32);
            while self.names.contains_key(&id) {
                id = ServerId(id.0.wrapping_add(1));
            }
            self.names.insert(id, name.clone());
            id
        })
    }

    /// The number of a server that a list has named.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The name of a server that a list has named.
    pub fn name(&self, server: ServerId) -> Option<String> {
        self.names.get(&server).map(|name| name.to_string())
    }
}

#[cfg(test)]
mod tests;
