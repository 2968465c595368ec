//! The servers by name and number, and the list in the balancer's terms.

use crate::figures::Attempts;
use crate::list::{Health, Host, List};
use micasail::{CellId, KindId, Listed, ServerId, Status, Time, ZoneId};
use micasail_settings::{fnv1a, Names};
use std::collections::{BTreeMap, HashMap, HashSet};

/// How a server is called, and where it stands by the list.
struct Known {
    name: String,
    zone: String,
    /// As the last list that could be read has it.
    listed: Option<Listed>,
}

/// What is known of the servers by the list.
#[derive(Default)]
pub struct Servers {
    ids: HashMap<String, ServerId>,
    known: HashMap<ServerId, Known>,
    /// Servers that the list says are up.
    up: HashSet<ServerId>,
    /// The attempts at servers that have left the list, by zone.
    left: BTreeMap<String, Attempts>,
    /// The version of the list, as the discovery that is called now counts; none before its first list.
    pub seq: Option<u64>,
}

/// Zones past this many are counted as one without a name.
const ZONES_MOST: usize = 256;

impl Servers {
    /// Whether there is one to send to.
    pub fn any_up(&self) -> bool {
        !self.up.is_empty()
    }

    /// The number of a server that has had this name.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// A server's name.
    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |known| &known.name)
    }

    /// A server's zone, as the list names it.
    pub fn zone(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |known| &known.zone)
    }

    /// The zones in which servers have stood; a name may come more than once.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.known.values().map(|known| known.zone.as_str())
    }

    /// Whether a server has stood in this zone.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.known.values().any(|known| known.zone == zone)
    }

    /// A server has left the list; what was counted of it stays its zone's.
    pub fn left(&mut self, server: ServerId, attempts: &Attempts) {
        let zone = self.known.get(&server).map_or("", |known| &known.zone);
        let room = self.left.len() < ZONES_MOST || self.left.contains_key(zone);
        self.left.entry(if room { zone.to_owned() } else { String::new() }).or_default().add(attempts);
    }

    /// The attempts at servers that have left the list, by zone.
    pub fn left_by_zone(&self) -> &BTreeMap<String, Attempts> {
        &self.left
    }

    /// Takes in a list: where its servers are reached is for `describe`, and the rest is put in the balancer's terms.
    pub fn take(
        &mut self,
        list: &List,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Vec<Listed> {
        self.seq = Some(list.seq);
        let mut lines = Vec::with_capacity(list.hosts.len());
        for (name, why) in &list.unread {
            tracing::warn!(target: "discovery", server = name.as_deref().unwrap_or(""), "a line of list {} is not taken: {why}", list.seq);
        }
        if list.whole {
            self.up.clear();
            // What was known of a server stands until a line on it can be read.
            let named = list.unread.iter().filter_map(|(name, _)| self.ids.get(name.as_deref()?));
            let stand = named.filter_map(|id| self.known.get(id)?.listed.clone());
            lines.extend(stand.filter(|line| line.status != Status::Gone));
            self.up
                .extend(lines.iter().filter(|line| line.status == Status::Serving).map(|line| line.server));
        }
        for host in &list.hosts {
            let server = self.intern(&host.name);
            if let Some(known) = self.known.get_mut(&server).filter(|known| known.zone != host.site) {
                known.zone.clone_from(&host.site);
            }
            describe(server, host);
            let status = match host.health {
                Health::Up => Status::Serving,
                Health::Draining => Status::Draining,
                Health::Removed => Status::Gone,
            };
            if status == Status::Serving {
                self.up.insert(server);
            } else {
                self.up.remove(&server);
            }
            let line = Listed {
                server,
                zone: ZoneId(place(&names.zones, &host.site)),
                kind: KindId(place(&names.kinds, &host.kind)),
                cell: CellId(host.block),
                status,
                weight: host.share,
                started: (host.born_ms > 0.0).then(|| Time::from_ms(host.born_ms)),
            };
            if let Some(known) = self.known.get_mut(&server) {
                known.listed = Some(line.clone());
            }
            lines.push(line);
        }
        lines
    }

    /// A server's number is a hash of its name, the same at every agent. Should two names meet in one number,
    /// the later one takes the next that is free.
    pub fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.known.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        tracing::debug!(target: "discovery", "server {id} is {name}");
        self.known.insert(ServerId(id), Known { name: name.to_owned(), zone: String::new(), listed: None });
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }
}

/// A name's place in the settings; one that they lack gets a number of its own past them, so that no two zones
/// pass for one.
pub fn place(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|n| n == name);
    known.unwrap_or_else(|| names.len() + (fnv1a(name) as u32 >> 1) as usize) as u32
}
