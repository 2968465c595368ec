//! The known servers by name and number, and the endpoint list in the balancer's terms.
//!
//! An answer of discovery is applied as it arrives, in steps, so that its length delays no request: what it says of
//! known servers holds at once, those that it adds wait for its end, and those that a complete list does not name are
//! removed then. An answer that breaks off adds nothing and removes nothing.

use super::clock::WallClock;
use super::known_server::{endpoint, unix_time, KnownServer, ListedServer};
use crate::endpoint_list::{Envelope, Health, Host, InvalidEntry, List};
use crate::metrics::AttemptCounts;
use balancer::{Endpoint, ServerId, Status, Time, ZoneId};
use balancer_settings::{fnv1a, Names};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Zones past this many are counted as one without a name.
const MAX_ZONES: usize = 256;
/// Servers removed from the endpoint list that are remembered: more than a zone of the planned size (830) has.
const MAX_REMOVED: usize = 1024;
/// Invalid entries of one answer that are logged one by one.
const MAX_LOGGED_INVALID_ENTRIES: usize = 8;

/// An answer of discovery that is being applied.
#[derive(Default)]
struct PendingAnswer {
    /// Its number among all answers.
    number: u64,
    /// Servers that it adds.
    added: VecDeque<Host>,
    /// How many more it adds than there is capacity for.
    over_capacity: usize,
    invalid_entries: usize,
    /// Its version and whether it is complete, once it has ended.
    envelope: Option<Envelope>,
    /// Servers that it removes.
    removed: Vec<ServerId>,
}

/// A part of an answer in the balancer's terms.
pub struct Step {
    /// What has changed.
    pub endpoints: Vec<Endpoint>,
    /// The answer is applied completely.
    pub is_last: bool,
}

/// A server that has just been forgotten.
pub struct ForgottenServer {
    /// The number that it had.
    pub server: ServerId,
    /// The name of its zone.
    pub zone: String,
}

/// What is known of the servers by the endpoint list.
pub struct Servers {
    ids: HashMap<String, ServerId>,
    known: HashMap<ServerId, KnownServer>,
    /// Servers that accept requests by the list.
    serving: HashSet<ServerId>,
    /// The names of the zones in which servers are or were.
    zones: BTreeMap<ZoneId, String>,
    /// The attempts at forgotten servers, by zone.
    forgotten_attempts: BTreeMap<String, AttemptCounts>,
    /// Removed servers, the first removed first: attempts may still be in flight there, and logs name them.
    removed: VecDeque<ServerId>,
    /// Servers that an operator has named: their numbers stand for the operator's commands.
    named_by_operator: HashSet<ServerId>,
    max_servers: usize,
    answer: PendingAnswer,
    /// Converts the start times of the list.
    wall_clock: Rc<WallClock>,
    /// The version of the list, as the present discovery counts; none before its first list.
    pub version: Option<u64>,
}

impl Servers {
    /// Knows none; at most `max_servers` will be known at once.
    pub fn new(max_servers: usize, wall_clock: Rc<WallClock>) -> Self {
        Servers {
            ids: HashMap::new(),
            known: HashMap::new(),
            serving: HashSet::new(),
            zones: BTreeMap::new(),
            forgotten_attempts: BTreeMap::new(),
            removed: VecDeque::new(),
            named_by_operator: HashSet::new(),
            max_servers,
            answer: PendingAnswer::default(),
            wall_clock,
            version: None,
        }
    }

    /// Whether there is a server to send to.
    pub fn has_serving(&self) -> bool {
        !self.serving.is_empty()
    }

    /// The number of a server that has had this name.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// A server's name; empty if it is not known.
    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |known| &known.name)
    }

    /// The name of a server's zone; empty if it is not known.
    pub fn zone(&self, server: ServerId) -> &str {
        self.listed(server).map_or("", |listed| self.zone_name(listed.endpoint.zone))
    }

    /// A zone's name as the list has it; empty if it is not known.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(&zone).map_or("", String::as_str)
    }

    /// Whether a server is or was in a zone of this name.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.values().any(|known| known == zone)
    }

    /// Logs a decision of the balancer with the names of what it is about.
    pub fn log_decision(&self, server: Option<ServerId>, zone: Option<ZoneId>, text: &str) {
        let zone = match zone {
            Some(zone) => self.zone_name(zone),
            None => server.map_or("", |server| self.zone(server)),
        };
        let server = server.map_or("", |server| self.name(server));
        tracing::warn!(target: "decisions", server, zone, "{text}");
    }

    /// When a server has started, as Unix time by the list.
    pub fn listed_start(&self, server: ServerId) -> Option<Time> {
        unix_time(self.listed(server)?.born_ms)
    }

    /// When a server has started, in the balancer's time.
    pub fn start(&self, server: ServerId) -> Option<Time> {
        self.listed(server)?.endpoint.started
    }

    fn listed(&self, server: ServerId) -> Option<&ListedServer> {
        self.known.get(&server)?.listed.as_ref()
    }

    /// When the server of an entry has started, in the balancer's time. What is known of the same start stays as it is,
    /// whatever the wall clock has been set to since.
    fn start_of_entry(&self, server: ServerId, host: &Host) -> Option<Time> {
        let listed_start = unix_time(host.born_ms)?;
        let is_same = self.listed_start(server) == Some(listed_start);
        self.start(server).filter(|_| is_same).or_else(|| Some(self.wall_clock.time(listed_start)))
    }

    /// Adds the attempts at a forgotten server to those of its zone.
    pub fn add_removed_attempts(&mut self, zone: &str, attempts: &AttemptCounts) {
        let has_capacity =
            self.forgotten_attempts.len() < MAX_ZONES || self.forgotten_attempts.contains_key(zone);
        let zone = if has_capacity { zone.to_owned() } else { String::new() };
        self.forgotten_attempts.entry(zone).or_default().add(attempts);
    }

    /// The attempts at servers that were removed from the list, by zone. Those at servers that are not forgotten yet
    /// are in `attempts`.
    pub fn removed_attempts_by_zone(
        &self,
        attempts: &HashMap<ServerId, AttemptCounts>,
    ) -> BTreeMap<String, AttemptCounts> {
        let mut by_zone = self.forgotten_attempts.clone();
        let is_removed = |server| self.known.get(server).is_some_and(KnownServer::is_removed);
        for (server, attempts) in attempts.iter().filter(|(server, _)| is_removed(*server)) {
            by_zone.entry(self.zone(*server).to_owned()).or_default().add(attempts);
        }
        by_zone
    }

    /// Discovery is being called; of an answer that was being applied nothing more comes.
    pub fn begin_answer(&mut self) {
        self.answer = PendingAnswer { number: self.answer.number + 1, ..PendingAnswer::default() };
    }

    /// Applies entries of an answer: what they change of known servers, in the balancer's terms. `describe` gets the
    /// entries that change something, with their servers' numbers.
    pub fn apply_entries(
        &mut self,
        entries: Vec<Result<Host, InvalidEntry>>,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            match entry {
                Ok(host) => match self.ids.get(&host.name) {
                    Some(&server) => {
                        endpoints.extend(self.apply_entry(server, &host, names, &mut describe));
                    }
                    None => self.add(host),
                },
                Err(entry) => self.record_invalid_entry(entry),
            }
        }
        endpoints
    }

    /// Adds a server that is not known to those that wait for the answer's end.
    fn add(&mut self, host: Host) {
        // The removal of one that was never known changes nothing.
        if host.health == Health::Removed {
            return;
        }
        if self.known.len() + self.answer.added.len() >= self.max_servers {
            self.answer.over_capacity += 1;
        } else {
            self.answer.added.push_back(host);
        }
    }

    /// An entry is invalid: what was known of its server stands.
    fn record_invalid_entry(&mut self, entry: InvalidEntry) {
        let server = entry.name.as_deref().and_then(|name| self.ids.get(name));
        if let Some(known) = server.and_then(|server| self.known.get_mut(server)) {
            known.last_answer = self.answer.number;
        }
        self.answer.invalid_entries += 1;
        if self.answer.invalid_entries <= MAX_LOGGED_INVALID_ENTRIES {
            let server = entry.name.as_deref().unwrap_or("");
            tracing::warn!(target: "discovery", server, "a line of the list is not taken: {entry}");
        }
    }

    /// The answer has ended as it should; [`Servers::apply_step`] applies the rest of it.
    pub fn end_answer(&mut self, envelope: Envelope) {
        let PendingAnswer { number, over_capacity, invalid_entries, .. } = self.answer;
        let version = envelope.seq;
        if invalid_entries > MAX_LOGGED_INVALID_ENTRIES {
            let more = invalid_entries - MAX_LOGGED_INVALID_ENTRIES;
            tracing::warn!(target: "discovery", "{more} more lines of list {version} are not taken");
        }
        if over_capacity > 0 {
            let max = self.max_servers;
            tracing::warn!(target: "discovery", "list {version}: {over_capacity} servers are not taken, the capacity is {max}");
        }
        if envelope.is_complete {
            let is_missing = |known: &KnownServer| known.last_answer != number && known.is_present();
            let missing = self.known.iter().filter(|(_, known)| is_missing(known));
            self.answer.removed = missing.map(|(server, _)| *server).collect();
            // The balancer's decisions must not depend on the order of a hash table.
            self.answer.removed.sort_unstable();
        }
        self.answer.envelope = Some(envelope);
    }

    /// Applies up to `max` of the servers that the answer adds, and then of those that it removes. Added ones are first:
    /// in between there must be some to send to.
    pub fn apply_step(
        &mut self,
        max: usize,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Step {
        let mut endpoints = Vec::new();
        while endpoints.len() < max {
            if let Some(host) = self.answer.added.pop_front() {
                let server = self.intern(&host.name);
                endpoints.extend(self.apply_entry(server, &host, names, &mut describe));
            } else if let Some(server) = self.answer.removed.pop() {
                endpoints.extend(self.remove(server, &mut describe));
            } else {
                break;
            }
        }
        let is_last = self.answer.added.is_empty() && self.answer.removed.is_empty();
        if let Some(envelope) = self.answer.envelope.filter(|_| is_last) {
            self.version = Some(envelope.seq);
        }
        Step { endpoints, is_last }
    }

    /// Applies a list that is there completely, as at the start.
    pub fn apply_list(
        &mut self,
        list: List,
        names: &Names,
        mut describe: impl FnMut(ServerId, &Host),
    ) -> Vec<Endpoint> {
        self.begin_answer();
        let invalid = list.invalid_entries.into_iter().map(Err);
        let entries = list.hosts.into_iter().map(Ok).chain(invalid).collect();
        let mut endpoints = self.apply_entries(entries, names, &mut describe);
        self.end_answer(Envelope { seq: list.seq, is_complete: list.is_complete });
        endpoints.extend(self.apply_step(usize::MAX, names, describe).endpoints);
        endpoints
    }

    /// Applies an entry to its server; none if it changes nothing.
    fn apply_entry(
        &mut self,
        server: ServerId,
        host: &Host,
        names: &Names,
        describe: &mut impl FnMut(ServerId, &Host),
    ) -> Option<Endpoint> {
        let endpoint = endpoint(server, host, names, self.start_of_entry(server, host));
        self.record_zone_name(endpoint.zone, &host.zone);
        let known = self.known.get_mut(&server)?;
        known.last_answer = self.answer.number;
        let listed = ListedServer { endpoint: endpoint.clone(), address: host.dial, born_ms: host.born_ms };
        if known.listed.as_ref() == Some(&listed) {
            return None;
        }
        known.listed = Some(listed);
        describe(server, host);
        match endpoint.status {
            Status::Serving => self.serving.insert(server),
            _ => self.serving.remove(&server),
        };
        if endpoint.status == Status::Gone {
            self.removed.push_back(server);
        }
        Some(endpoint)
    }

    fn record_zone_name(&mut self, zone: ZoneId, name: &str) {
        let is_new = self.zones.get(&zone).is_none_or(|known| known != name);
        if is_new && self.zones.len() < MAX_ZONES {
            self.zones.insert(zone, name.to_owned());
        }
    }

    /// Removes a server that a complete list does not name, whatever else was known of it.
    fn remove(&mut self, server: ServerId, describe: &mut impl FnMut(ServerId, &Host)) -> Option<Endpoint> {
        let known = self.known.get_mut(&server)?;
        let host = known.remove()?;
        let endpoint = known.listed.as_ref()?.endpoint.clone();
        describe(server, &host);
        self.serving.remove(&server);
        self.removed.push_back(server);
        Some(endpoint)
    }

    /// Forgets the server that was removed first, if more than [`MAX_REMOVED`] are remembered.
    pub fn forget_oldest_removed(&mut self) -> Option<ForgottenServer> {
        while self.removed.len() > MAX_REMOVED {
            let server = self.removed.pop_front()?;
            // It may have been added again since, or be named by an operator.
            let is_removed = self.known.get(&server).is_some_and(KnownServer::is_removed);
            if !is_removed || self.named_by_operator.contains(&server) {
                continue;
            }
            let zone = self.zone(server).to_owned();
            if let Some(known) = self.known.remove(&server) {
                self.ids.remove(&known.name);
                return Some(ForgottenServer { server, zone });
            }
        }
        None
    }

    /// The number of a server that an operator has named, which it keeps from now on.
    pub fn intern_for_operator(&mut self, name: &str) -> ServerId {
        let server = self.intern(name);
        self.named_by_operator.insert(server);
        server
    }

    /// A server's number is a hash of its name, the same at every agent. Should two names have the same hash, the later
    /// one gets the next free number.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.known.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        tracing::debug!(target: "discovery", "server {id} is {name}");
        let known = KnownServer { name: name.to_owned(), listed: None, last_answer: self.answer.number };
        self.known.insert(ServerId(id), known);
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }
}

#[cfg(test)]
mod tests;
