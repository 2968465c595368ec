//! The servers by name and number, and the list in the balancer's terms.
//!
//! An answer of discovery is taken in as it comes, a step at a time, so that its length costs no request its time: what
//! it says of servers that are known holds at once, those that it adds wait for its end, and those that a whole list
//! does not name are gone then. An answer that breaks off adds nothing and removes nothing.

use crate::endpoint_list::{Envelope, Health, Host, List, Unread};
use crate::metrics::Attempts;
use balancer::{CellId, Endpoint, KindId, ServerId, Status, Time, ZoneId};
use balancer_settings::{fnv1a, Names};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

/// How a server is called, and where it stands by the list.
struct Known {
    name: String,
    /// As the last entry that could be read has it, and what of that is not the balancer's.
    listed: Option<(Endpoint, Option<SocketAddr>, f64)>,
    /// The last answer that named it, by number.
    named_in: u64,
}

/// An answer that is being taken in.
#[derive(Default)]
struct Taking {
    /// Its number among all answers.
    number: u64,
    /// Servers that it adds, and how many more it named than there is room for.
    added: VecDeque<Host>,
    left_out: usize,
    /// Entries that made no sense.
    unread: usize,
    /// What it is, once it has ended.
    envelope: Option<Envelope>,
    /// Servers that are gone by it.
    gone: Vec<ServerId>,
}

/// What is known of the servers by the list.
pub struct Servers {
    ids: HashMap<String, ServerId>,
    known: HashMap<ServerId, Known>,
    /// Servers that the list says are up.
    up: HashSet<ServerId>,
    /// The zones in which servers stand or stood, by number.
    zones: BTreeMap<ZoneId, String>,
    /// The attempts at servers that have left the list, by zone.
    left: BTreeMap<String, Attempts>,
    /// Those that were last to leave it, in that order: attempts may still be out there, and logs name them.
    gone: VecDeque<ServerId>,
    /// Named by an operator; their numbers stand for what the operator said.
    kept: HashSet<ServerId>,
    /// How many may be known.
    most: usize,
    taking: Taking,
    /// The version of the list, as the discovery that is called now counts; none before its first list.
    pub seq: Option<u64>,
}

/// Zones past this many are counted as one without a name.
const ZONES_MOST: usize = 256;
/// Servers that have left the list and are remembered: more than a zone of the planned size (830) has.
const GONE_MOST: usize = 1024;
/// Entries without sense that are told a line each, for one answer.
const UNREAD_TOLD: usize = 8;

impl Servers {
    /// Knows none; at most so many will be known at once.
    pub fn new(most: usize) -> Self {
        let (ids, known, up, zones, left, gone, kept, taking) = Default::default();
        Servers { ids, known, up, zones, left, gone, kept, most, taking, seq: None }
    }

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
        let listed = self.known.get(&server).and_then(|known| known.listed.as_ref());
        listed.map_or("", |(listed, ..)| self.zone_name(listed.zone))
    }

    /// A zone's name, as the list has it.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(&zone).map_or("", String::as_str)
    }

    /// Whether a server has stood in this zone.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.zones.values().any(|known| known == zone)
    }

    /// A server has been forgotten; what was counted of it stays its zone's.
    pub fn left(&mut self, zone: &str, attempts: &Attempts) {
        let room = self.left.len() < ZONES_MOST || self.left.contains_key(zone);
        self.left.entry(if room { zone.to_owned() } else { String::new() }).or_default().add(attempts);
    }

    /// The attempts at servers that have left the list, by zone; of those that are not forgotten yet out of these.
    pub fn left_by_zone(&self, attempts: &HashMap<ServerId, Attempts>) -> BTreeMap<String, Attempts> {
        let mut left = self.left.clone();
        for (server, attempts) in attempts.iter().filter(|(server, _)| self.is_gone(**server)) {
            left.entry(self.zone(*server).to_owned()).or_default().add(attempts);
        }
        left
    }

    fn is_gone(&self, server: ServerId) -> bool {
        let listed = self.known.get(&server).and_then(|known| known.listed.as_ref());
        listed.is_some_and(|(listed, ..)| listed.status == Status::Gone)
    }

    /// Discovery is called; of an answer that was being taken in nothing more comes.
    pub fn called(&mut self) {
        self.taking = Taking { number: self.taking.number + 1, ..Taking::default() };
    }

    /// Entries of an answer have come. What they say of servers that are known is in the balancer's terms here; where
    /// those are reached is for `describe`.
    pub fn take(
        &mut self,
        entries: Vec<Result<Host, Unread>>,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Vec<Endpoint> {
        let mut lines = Vec::new();
        for entry in entries {
            match entry {
                Ok(host) => match self.ids.get(&host.name) {
                    Some(&server) => lines.extend(self.line(server, &host, names, &mut describe)),
                    // One that was never known has nothing to be told of its end.
                    None if host.health == Health::Removed => {}
                    None if self.known.len() + self.taking.added.len() >= self.most => {
                        self.taking.left_out += 1
                    }
                    None => self.taking.added.push_back(host),
                },
                Err(unread) => self.unread(unread),
            }
        }
        lines
    }

    /// An entry makes no sense: what was known of its server stands.
    fn unread(&mut self, Unread { name, why }: Unread) {
        let server = name.as_deref().and_then(|name| self.ids.get(name));
        if let Some(known) = server.and_then(|server| self.known.get_mut(server)) {
            known.named_in = self.taking.number;
        }
        self.taking.unread += 1;
        if self.taking.unread <= UNREAD_TOLD {
            tracing::warn!(target: "discovery", server = name.as_deref().unwrap_or(""), "a line of the list is not taken: {why}");
        }
    }

    /// The answer has ended as it should; [`Servers::step`] does what follows.
    pub fn ends(&mut self, envelope: Envelope) {
        let Taking { number, left_out, unread, .. } = self.taking;
        let most = self.most;
        if unread > UNREAD_TOLD {
            let more = unread - UNREAD_TOLD;
            tracing::warn!(target: "discovery", "{more} more lines of list {} are not taken", envelope.seq);
        }
        if left_out > 0 {
            tracing::warn!(target: "discovery", "list {}: {left_out} servers are not taken, there is room for {most}", envelope.seq);
        }
        if envelope.whole {
            let stands =
                |known: &Known| known.listed.as_ref().is_some_and(|(l, ..)| l.status != Status::Gone);
            let gone = self.known.iter().filter(|(_, known)| known.named_in != number && stands(known));
            self.taking.gone = gone.map(|(server, _)| *server).collect();
            // The balancer's decisions must not hang on the order of a hash table.
            self.taking.gone.sort_unstable();
        }
        self.taking.envelope = Some(envelope);
    }

    /// Up to `most` of the servers that the answer adds, and then of those that are gone by it, in the balancer's terms;
    /// and whether that is all. Those that come are first: between both there must be some to send to.
    pub fn step(
        &mut self,
        most: usize,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> (Vec<Endpoint>, bool) {
        let mut lines = Vec::new();
        while lines.len() < most {
            if let Some(host) = self.taking.added.pop_front() {
                let server = self.intern(&host.name);
                lines.extend(self.line(server, &host, names, &mut describe));
            } else if let Some(server) = self.taking.gone.pop() {
                lines.extend(self.gone(server, &mut describe));
            } else {
                break;
            }
        }
        let done = self.taking.added.is_empty() && self.taking.gone.is_empty();
        if let Some(envelope) = self.taking.envelope.filter(|_| done) {
            self.seq = Some(envelope.seq);
        }
        (lines, done)
    }

    /// Takes in the list that is there whole at the start.
    pub fn begin(
        &mut self,
        list: List,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Vec<Endpoint> {
        self.called();
        let unread = list.unread.into_iter().map(Err);
        let mut lines =
            self.take(list.hosts.into_iter().map(Ok).chain(unread).collect(), names, &mut describe);
        self.ends(Envelope { seq: list.seq, whole: list.whole });
        lines.extend(self.step(usize::MAX, names, describe).0);
        lines
    }

    /// An entry in the balancer's terms, unless it says what is known.
    fn line(
        &mut self,
        server: ServerId,
        host: &Host,
        names: &Names,
        describe: &mut impl FnMut(ServerId, &Host),
    ) -> Option<Endpoint> {
        let zone = ZoneId(place(&names.zones, &host.site));
        if self.zones.get(&zone).is_none_or(|name| *name != host.site) && self.zones.len() < ZONES_MOST {
            self.zones.insert(zone, host.site.clone());
        }
        let line = Endpoint {
            server,
            zone,
            kind: KindId(place(&names.kinds, &host.kind)),
            cell: CellId(host.block),
            status: match host.health {
                Health::Up => Status::Serving,
                Health::Draining => Status::Draining,
                Health::Removed => Status::Gone,
            },
            weight: host.share,
            started: (host.born_ms > 0.0).then(|| Time::from_ms(host.born_ms)),
        };
        let known = self.known.get_mut(&server)?;
        known.named_in = self.taking.number;
        let now = Some((line.clone(), host.dial, host.born_ms));
        if known.listed == now {
            return None;
        }
        known.listed = now;
        describe(server, host);
        if line.status == Status::Serving {
            self.up.insert(server);
        } else {
            self.up.remove(&server);
        }
        if line.status == Status::Gone {
            self.gone.push_back(server);
        }
        Some(line)
    }

    /// A server that a whole list does not name is gone, whatever else was known of it.
    fn gone(&mut self, server: ServerId, describe: &mut impl FnMut(ServerId, &Host)) -> Option<Endpoint> {
        let known = self.known.get_mut(&server)?;
        let (line, dial, born_ms) = known.listed.as_mut()?;
        line.status = Status::Gone;
        let (name, health, share) = (known.name.clone(), Health::Removed, line.weight);
        let (site, kind, block) = (String::new(), String::new(), line.cell.0);
        describe(server, &Host { name, dial: *dial, site, kind, block, health, share, born_ms: *born_ms });
        let line = line.clone();
        self.up.remove(&server);
        self.gone.push_back(server);
        Some(line)
    }

    /// Forgets a server that left the list long ago, if there is one: its number and its zone.
    pub fn forget(&mut self) -> Option<(ServerId, String)> {
        while self.gone.len() > GONE_MOST {
            let server = self.gone.pop_front()?;
            let is_gone =
                |known: &&Known| known.listed.as_ref().is_some_and(|(l, ..)| l.status == Status::Gone);
            let gone = self.known.get(&server).filter(is_gone);
            if let Some(name) = gone.filter(|_| !self.kept.contains(&server)).map(|known| known.name.clone())
            {
                let zone = self.zone(server).to_owned();
                self.ids.remove(&name);
                self.known.remove(&server);
                return Some((server, zone));
            }
        }
        None
    }

    /// The number of a server that staff have named, which it keeps from now on.
    pub fn keep(&mut self, name: &str) -> ServerId {
        let server = self.intern(name);
        self.kept.insert(server);
        server
    }

    /// A server's number is a hash of its name, the same at every agent. Should two names meet in one number,
    /// the later one takes the next that is free.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.known.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        tracing::debug!(target: "discovery", "server {id} is {name}");
        let known = Known { name: name.to_owned(), listed: None, named_in: self.taking.number };
        self.known.insert(ServerId(id), known);
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
