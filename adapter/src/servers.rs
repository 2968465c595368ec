//! Maps the simulator's names of an instance's servers to the balancer's ids and back.

use crate::wire::{Entry, EntryStatus};
use balancer::{CellId, Endpoint, KindId, ServerId, Status, Time, ZoneId};
use balancer_settings::fnv1a;
use std::collections::HashMap;
use std::rc::Rc;

/// The weight of a server whose catalogue entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A server in a catalogue; the string of its name is shared between the instances.
#[derive(Debug, Clone)]
pub struct CatalogueServer {
    name: Rc<str>,
    /// Everything but the server id, which is a placeholder here; each instance assigns its own.
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

/// All servers that any endpoint list of an instance has named; none is ever removed.
#[derive(Debug, Default)]
pub struct Servers {
    ids: HashMap<Rc<str>, ServerId>,
    names: HashMap<ServerId, Rc<str>>,
}

impl Servers {
    /// Converts a catalogue to endpoints with server ids. An id is a hash of the server's name, so that balancers
    /// use the same id for a server when they gossip. If two names have the same hash, the later one gets the next
    /// free id.
    pub fn endpoints(&mut self, catalogue: &[CatalogueServer]) -> Vec<Endpoint> {
        catalogue
            .iter()
            .map(|entry| Endpoint { server: self.intern(&entry.name), ..entry.endpoint.clone() })
            .collect()
    }

    /// Returns the id of a name, and assigns one to a new name.
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

    /// The id of a server; `None` if no endpoint list has named it.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The name of a server; `None` if no endpoint list has named it.
    pub fn name(&self, server: ServerId) -> Option<String> {
        self.names.get(&server).map(|name| name.to_string())
    }
}

#[cfg(test)]
mod tests;
