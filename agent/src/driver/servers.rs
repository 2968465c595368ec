//! The known servers by name and id, and the conversion of the endpoint list to the balancer's types.
//!
//! A discovery response is applied in steps while it is being received, so that a long list does not delay requests.
//! Entries of known servers take effect at once. New servers are added only after the end of the response, and then,
//! if the list is complete, known servers that it does not name are removed. A response that is cut off adds and
//! removes no servers.
//!
//! Several calls to discovery may be open at the same time, and their responses may arrive side by side. Of two entries
//! on a server, the one of the call that began later holds. The first response that is complete ends the others.

mod confirmation;
mod pending_response;
mod takeover;

use super::clock::WallClock;
use super::known_server::{start_unix_time, to_endpoint, KnownServer, ListedServer};
use crate::endpoint_list::{Envelope, Health, InvalidEntry, List, ServerEntry};
use crate::metrics::AttemptCounts;
use crate::upstream::discovery::CallNumber;
use balancer::{Endpoint, ServerId, Status, Time, ZoneId};
use balancer_settings::{fnv1a, Names};
use confirmation::Confirmation;
use pending_response::{ListChange, PendingResponse};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Bounds the zones whose names are remembered. Attempts to servers of further zones are counted under an empty name.
const MAX_ZONES: usize = 256;
/// Bounds the remembered servers that were removed from the endpoint list; more than the 830 servers of a zone of the
/// planned size.
const MAX_REMOVED_SERVERS: usize = 1024;
/// Bounds the invalid entries of one response that are logged individually; the rest are only counted.
const MAX_LOGGED_INVALID_ENTRIES: usize = 8;

/// The result of applying a part of a response.
pub struct AppliedStep {
    /// The changed servers.
    pub endpoints: Vec<Endpoint>,
    /// Whether the response is now applied completely.
    pub is_last: bool,
}

/// A removed server that is no longer remembered.
pub struct ForgottenServer {
    /// The server's former id.
    pub server: ServerId,
    /// The name of the zone that the server was in.
    pub zone: String,
}

/// The known servers, as the endpoint list describes them.
pub struct Servers {
    ids: HashMap<String, ServerId>,
    known: HashMap<ServerId, KnownServer>,
    /// Servers that accept requests according to the list.
    serving: HashSet<ServerId>,
    /// The names of all zones that have or had servers, up to [`MAX_ZONES`].
    zones: BTreeMap<ZoneId, String>,
    /// Attempt counts of forgotten servers, by zone name.
    forgotten_attempts: BTreeMap<String, AttemptCounts>,
    /// Removed servers in the order of removal, kept because attempts to them may still be in flight and logs name
    /// them.
    removed: VecDeque<ServerId>,
    /// Servers that an operator command has named. They are never forgotten, because their ids identify the target.
    named_by_operator: HashSet<ServerId>,
    max_servers: usize,
    /// By the call's number; servers that a response names get it as their [`KnownServer::last_call`].
    pending_responses: BTreeMap<CallNumber, PendingResponse>,
    /// Converts the list's start times to the balancer's time.
    wall_clock: Rc<WallClock>,
    /// The version of the list, as counted by the current discovery address; `None` before its first list.
    pub version: Option<u64>,
    confirmation: Confirmation,
    /// The number of changes of the list.
    revision: u64,
}

impl Servers {
    /// Creates an empty registry that holds at most `max_servers` servers.
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
            pending_responses: BTreeMap::new(),
            wall_clock,
            version: None,
            confirmation: Confirmation::default(),
            revision: 0,
        }
    }

    /// Whether any server accepts requests.
    pub fn has_serving(&self) -> bool {
        !self.serving.is_empty()
    }

    /// The id of the server with this name, if it is known.
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

    /// A zone's name in the list; empty if it is not known.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(&zone).map_or("", String::as_str)
    }

    /// Whether a zone of this name has or had servers.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.values().any(|known| known == zone)
    }

    /// Logs a decision of the balancer with the names of the server and the zone that it concerns.
    pub fn log_decision(&self, server: Option<ServerId>, zone: Option<ZoneId>, text: &str) {
        let zone = match zone {
            Some(zone) => self.zone_name(zone),
            None => server.map_or("", |server| self.zone(server)),
        };
        let server = server.map_or("", |server| self.name(server));
        tracing::warn!(target: "decisions", server, zone, "{text}");
    }

    /// When a server process started according to the list, as a wall-clock reading; `None` if unknown or long ago.
    pub fn listed_start_time(&self, server: ServerId) -> Option<Time> {
        start_unix_time(self.listed(server)?.born_ms)
    }

    /// When a server process started, in the balancer's time; `None` if unknown or long ago.
    pub fn start_time(&self, server: ServerId) -> Option<Time> {
        self.listed(server)?.endpoint.started
    }

    fn listed(&self, server: ServerId) -> Option<&ListedServer> {
        self.known.get(&server)?.listed.as_ref()
    }

    /// When the server process of an entry started, in the balancer's time. If the entry has the known start time,
    /// the known conversion is kept, so that a later step of the wall clock does not move it.
    fn start_time_of_entry(&self, call: CallNumber, server: ServerId, host: &ServerEntry) -> Option<Time> {
        let listed_start_time = start_unix_time(host.born_ms)?;
        if let Some(start_time) = self.confirmation.start_time(call, &host.name) {
            return Some(start_time);
        }
        let is_unchanged = self.listed_start_time(server) == Some(listed_start_time);
        self.start_time(server)
            .filter(|_| is_unchanged)
            .or_else(|| Some(self.wall_clock.convert(listed_start_time)))
    }

    /// Adds the attempt counts of a forgotten server to those of its zone.
    pub fn add_removed_attempts(&mut self, zone: &str, attempts: &AttemptCounts) {
        let has_capacity =
            self.forgotten_attempts.len() < MAX_ZONES || self.forgotten_attempts.contains_key(zone);
        let zone = if has_capacity { zone.to_owned() } else { String::new() };
        self.forgotten_attempts.entry(zone).or_default().add(attempts);
    }

    /// Attempt counts of servers that were removed from the list, by zone name. `attempts` has the counts of servers
    /// that are still remembered.
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

    /// Begins the response to a call.
    pub fn begin_response(&mut self, call: CallNumber) {
        self.pending_responses.insert(call, PendingResponse::default());
    }

    /// Discards what was not applied of the response to a call that has failed or was abandoned.
    pub fn discard_response(&mut self, call: CallNumber) {
        self.pending_responses.remove(&call);
    }

    /// Prepares for another discovery address, which need not share one sequence of versions with the earlier one.
    pub fn change_discovery(&mut self) {
        self.version = None;
        self.pending_responses.clear();
    }

    /// Applies entries of a response and returns the known servers that changed. `on_change` is called with each
    /// entry that changes something and the id of its server.
    pub fn apply_entries(
        &mut self,
        call: CallNumber,
        entries: Vec<Result<ServerEntry, InvalidEntry>>,
        names: &Names,
        mut on_change: impl FnMut(ServerId, &ServerEntry),
    ) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for entry in entries {
            match entry {
                Ok(host) => match self.ids.get(&host.name) {
                    Some(&server) => {
                        endpoints.extend(self.apply_entry(call, server, &host, names, &mut on_change));
                    }
                    None => self.add(call, host),
                },
                Err(entry) => self.record_invalid_entry(call, entry),
            }
        }
        endpoints
    }

    /// Queues an unknown server to be added when the response has ended.
    fn add(&mut self, call: CallNumber, host: ServerEntry) {
        // Removing an unknown server changes nothing.
        if host.health == Health::Removed {
            return;
        }
        let Some(pending) = self.pending_responses.get_mut(&call) else { return };
        if self.known.len() + pending.added.len() >= self.max_servers {
            pending.over_capacity += 1;
        } else {
            pending.added.push_back(host);
        }
    }

    /// Counts and logs an invalid entry. Its server, if it is known, keeps its last valid entry and
    /// counts as named by the response.
    fn record_invalid_entry(&mut self, call: CallNumber, entry: InvalidEntry) {
        let server = entry.name.as_deref().and_then(|name| self.ids.get(name));
        if let Some(known) = server.and_then(|server| self.known.get_mut(server)) {
            known.last_call = known.last_call.max(call);
        }
        let Some(pending) = self.pending_responses.get_mut(&call) else { return };
        pending.invalid_entries += 1;
        if pending.invalid_entries <= MAX_LOGGED_INVALID_ENTRIES {
            let server = entry.name.as_deref().unwrap_or("");
            tracing::warn!(target: "discovery", server, "a line of the list is not taken: {entry}");
        }
    }

    /// Records that the response to a call has been received completely, which ends those to all other calls;
    /// [`Servers::apply_step`] applies the rest of it.
    pub fn end_response(&mut self, call: CallNumber, envelope: Envelope) {
        self.pending_responses.retain(|number, _| *number == call);
        self.end_entries(call, envelope);
    }

    fn end_entries(&mut self, call: CallNumber, envelope: Envelope) {
        let Some(pending) = self.pending_responses.get_mut(&call) else { return };
        let version = envelope.seq;
        if pending.invalid_entries > MAX_LOGGED_INVALID_ENTRIES {
            let more = pending.invalid_entries - MAX_LOGGED_INVALID_ENTRIES;
            tracing::warn!(target: "discovery", "{more} more lines of list {version} are not taken");
        }
        if pending.over_capacity > 0 {
            let (ignored, max) = (pending.over_capacity, self.max_servers);
            tracing::warn!(target: "discovery", "list {version}: {ignored} servers are ignored, the limit is {max}");
        }
        if envelope.is_complete {
            let is_missing = |known: &KnownServer| known.last_call < call && known.is_present();
            let missing = self.known.iter().filter(|(_, known)| is_missing(known));
            pending.removed = missing.map(|(server, _)| *server).collect();
            // The balancer's decisions must not depend on the iteration order of a hash map.
            pending.removed.sort_unstable();
        }
        pending.envelope = Some(envelope);
    }

    /// Applies up to `max` additions and then removals of a response that has ended. Additions come first, because the
    /// balancer needs servers to send to between two steps.
    pub fn apply_step(
        &mut self,
        call: CallNumber,
        max: usize,
        names: &Names,
        mut on_change: impl FnMut(ServerId, &ServerEntry),
    ) -> AppliedStep {
        let mut endpoints = Vec::new();
        let mut is_last = false;
        while endpoints.len() < max && !is_last {
            match self.pending_responses.get_mut(&call).and_then(PendingResponse::next_change) {
                Some(ListChange::Add(host)) => {
                    let server = self.intern(&host.name, call);
                    endpoints.extend(self.apply_entry(call, server, &host, names, &mut on_change));
                }
                Some(ListChange::Remove(server)) => endpoints.extend(self.remove(server, &mut on_change)),
                None => is_last = true,
            }
        }
        if is_last {
            let ended = self.pending_responses.remove(&call).and_then(|pending| pending.envelope);
            let version = ended.filter(|_| self.confirmation.is_version_valid(call));
            self.version = version.map(|envelope| envelope.seq).or(self.version);
            if ended.is_some() {
                self.confirmation.record_applied(call, self.wall_clock.now());
            }
        }
        AppliedStep { endpoints, is_last }
    }

    /// Applies a list that is already in memory, such as the configured one at process start.
    pub fn apply_list(
        &mut self,
        list: List,
        names: &Names,
        mut on_change: impl FnMut(ServerId, &ServerEntry),
    ) -> Vec<Endpoint> {
        let call = CallNumber::NONE;
        self.begin_response(call);
        let invalid = list.invalid_entries.into_iter().map(Err);
        let entries = list.hosts.into_iter().map(Ok).chain(invalid).collect();
        let mut endpoints = self.apply_entries(call, entries, names, &mut on_change);
        self.end_response(call, Envelope { seq: list.seq, is_complete: list.is_complete });
        endpoints.extend(self.apply_step(call, usize::MAX, names, on_change).endpoints);
        endpoints
    }

    /// Applies an entry to its server; `None` if nothing changes.
    fn apply_entry(
        &mut self,
        call: CallNumber,
        server: ServerId,
        host: &ServerEntry,
        names: &Names,
        on_change: &mut impl FnMut(ServerId, &ServerEntry),
    ) -> Option<Endpoint> {
        if self.known.get(&server)?.last_call > call {
            return None;
        }
        let endpoint = to_endpoint(server, host, names, self.start_time_of_entry(call, server, host));
        self.record_zone_name(endpoint.zone, &host.zone);
        let known = self.known.get_mut(&server)?;
        known.last_call = call;
        let listed = ListedServer { endpoint: endpoint.clone(), address: host.dial, born_ms: host.born_ms };
        if known.listed.as_ref() == Some(&listed) {
            return None;
        }
        known.listed = Some(listed);
        self.revision += 1;
        on_change(server, host);
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

    /// Removes a server that a complete list does not name. Its last entry is kept, marked as removed.
    fn remove(
        &mut self,
        server: ServerId,
        on_change: &mut impl FnMut(ServerId, &ServerEntry),
    ) -> Option<Endpoint> {
        let known = self.known.get_mut(&server)?;
        let host = known.remove()?;
        let endpoint = known.listed.as_ref()?.endpoint.clone();
        on_change(server, &host);
        self.serving.remove(&server);
        self.removed.push_back(server);
        self.revision += 1;
        Some(endpoint)
    }

    /// Forgets the server that was removed first if more than [`MAX_REMOVED_SERVERS`] are remembered.
    pub fn forget_oldest_removed(&mut self) -> Option<ForgottenServer> {
        while self.removed.len() > MAX_REMOVED_SERVERS {
            let server = self.removed.pop_front()?;
            // It may have been listed again, or an operator may have named it.
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

    /// The id of a server that an operator has named; the server keeps it from now on.
    pub fn intern_for_operator(&mut self, name: &str) -> ServerId {
        let server = self.intern(name, CallNumber::NONE);
        self.named_by_operator.insert(server);
        server
    }

    /// The id of the server with this name, assigned if it has none. The id is a hash of the name, so that all agents
    /// use the same one. On a collision the later name gets the next free id.
    fn intern(&mut self, name: &str, last_call: CallNumber) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = fnv1a(name) as u32;
        while self.known.contains_key(&ServerId(id)) {
            id = id.wrapping_add(1);
        }
        tracing::debug!(target: "discovery", "server {name} has the id {id}");
        let known = KnownServer { name: name.to_owned(), listed: None, last_call };
        self.known.insert(ServerId(id), known);
        self.ids.insert(name.to_owned(), ServerId(id));
        ServerId(id)
    }
}

#[cfg(test)]
mod tests;
