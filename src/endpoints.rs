//! The servers: the endpoint list, cordons, evacuated zones, and which servers are open to requests.
//!
//! A server has a slot, and all other parts name it by that. The slot of a server that has been removed is freed a while
//! later, so that what is kept goes by the present list and not by all servers that ever were.

mod polling;
#[cfg(test)]
mod tests;

pub(crate) use polling::Polling;

use crate::due_times::DueTimes;
use crate::retries::RetryScope;
use crate::server::Server;
use crate::slot_sets::{SlotGroups, SlotSet};
use crate::{
    CellId, DeduplicationScope, Endpoint, Idempotency, ServerId, Settings, Span, Status, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The most slots that are freed at a time.
const MAX_FREED_SLOTS: usize = 100;

/// The servers that candidates are drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrawPool {
    /// The balancer's own zone.
    OwnZone,
    /// The other zones of its region, where regions are known.
    OwnRegion,
    /// All that the request may be sent to.
    All,
}

/// All servers.
pub(crate) struct Endpoints {
    /// By slot; a free slot holds the server that left it.
    servers: Vec<Server>,
    /// The slots of the servers that are listed, or were removed a short while ago and may be back.
    slots: BTreeMap<ServerId, usize>,
    free_slots: Vec<usize>,
    /// When the slots of removed servers are to be freed.
    slot_expiry: DueTimes,
    /// How long a removed server keeps its slot: a new process needs as long to warm up.
    slot_retention: Span,
    open: SlotSet,
    /// Servers that the endpoint list has as serving and that operators hold back.
    disabled: SlotSet,
    open_by_zone: SlotGroups<ZoneId>,
    open_by_cell: SlotGroups<CellId>,
    /// The open servers in other zones of the own region.
    open_in_region: SlotSet,
    /// All servers with a slot.
    by_zone: SlotGroups<ZoneId>,
    own_zone: ZoneId,
    /// The cells matter: some class may be retried in its cell only.
    has_cell_scope: bool,
    regions: BTreeMap<ZoneId, u32>,
    /// Kept apart from the endpoint list, which must not lift a cordon.
    cordoned: BTreeSet<ServerId>,
    evacuated: BTreeSet<ZoneId>,
    balancers: usize,
    /// The most servers that were open at a time.
    max_open_seen: usize,
    is_sparse: bool,
    are_all_disabled: bool,
}

impl Endpoints {
    /// No servers yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        let has_cell_scope = settings.classes.iter().any(|class| {
            matches!(class.idempotency, Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. })
        });
        Endpoints {
            servers: Vec::new(),
            slots: BTreeMap::new(),
            free_slots: Vec::new(),
            slot_expiry: DueTimes::default(),
            slot_retention: settings.warm_up_time,
            open: SlotSet::default(),
            disabled: SlotSet::default(),
            open_by_zone: SlotGroups::default(),
            open_by_cell: SlotGroups::default(),
            open_in_region: SlotSet::default(),
            by_zone: SlotGroups::default(),
            own_zone: settings.zone,
            has_cell_scope,
            regions: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            balancers: settings.balancers as usize,
            max_open_seen: 0,
            is_sparse: false,
            are_all_disabled: false,
        }
    }

    /// The slot of a server.
    pub(crate) fn slot(&self, server: ServerId) -> Option<usize> {
        self.slots.get(&server).copied()
    }

    /// The server in a slot.
    pub(crate) fn server(&self, slot: usize) -> &Server {
        &self.servers[slot]
    }

    /// The server in a slot; [`Self::reindex`] has to follow a change of its endpoint.
    pub(crate) fn server_mut(&mut self, slot: usize) -> &mut Server {
        &mut self.servers[slot]
    }

    /// All servers, by slot.
    pub(crate) fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The servers that the endpoint list has, draining ones included.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.is_listed())
    }

    /// The open servers.
    pub(crate) fn open(&self) -> &[usize] {
        self.open.members()
    }

    /// The open servers by zone.
    pub(crate) fn open_by_zone(&self) -> &SlotGroups<ZoneId> {
        &self.open_by_zone
    }

    /// All servers of a zone.
    pub(crate) fn in_zone(&self, zone: ZoneId) -> &[usize] {
        self.by_zone.members(zone)
    }

    /// Whether the endpoint list has a server in a zone.
    pub(crate) fn has_listed_in(&self, zone: ZoneId) -> bool {
        self.in_zone(zone).iter().any(|&slot| self.servers[slot].is_listed())
    }

    /// The open servers that candidates for a request are drawn from.
    pub(crate) fn draw_pool(&self, pool: DrawPool, scope: RetryScope) -> &[usize] {
        match (pool, scope) {
            (DrawPool::OwnZone, _) => self.open_by_zone.members(self.own_zone),
            (DrawPool::OwnRegion, _) => self.open_in_region.members(),
            (DrawPool::All, RetryScope::Zone(zone)) => self.open_by_zone.members(zone),
            (DrawPool::All, RetryScope::Cell(cell)) => self.open_by_cell.members(cell),
            (DrawPool::All, _) => self.open.members(),
        }
    }

    /// There are more balancers than servers: most of a server's load is other balancers', and own counts are nearly all
    /// alike. A fleet that shrinks for a while makes no traffic sparse.
    pub(crate) fn is_sparse(&self) -> bool {
        self.is_sparse
    }

    /// Operators hold back all servers that the endpoint list has as serving.
    pub(crate) fn are_all_disabled(&self) -> bool {
        self.are_all_disabled
    }

    /// Whether regions are known.
    pub(crate) fn has_regions(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether a zone is in another region than this balancer.
    pub(crate) fn is_other_region(&self, zone: ZoneId) -> bool {
        self.regions.get(&zone) != self.regions.get(&self.own_zone)
    }

    /// Whether a zone is another one of the own region, where regions are known.
    fn is_other_zone_of_region(&self, zone: ZoneId) -> bool {
        zone != self.own_zone && self.has_regions() && !self.is_other_region(zone)
    }

    /// Whether the endpoint list and the operators let a server be sent requests.
    fn is_open(&self, endpoint: &Endpoint) -> bool {
        let is_disabled = self.cordoned.contains(&endpoint.server) || self.evacuated.contains(&endpoint.zone);
        endpoint.status == Status::Serving && !is_disabled
    }

    /// Takes in entries of the endpoint list, all of them if it is `complete`. Returns the slots that have changed, which
    /// have to be indexed anew.
    pub(crate) fn update(&mut self, now: Time, entries: Vec<Endpoint>, complete: bool) -> Vec<usize> {
        let mut changed: Vec<usize> = Vec::with_capacity(entries.len());
        if complete {
            changed.extend(self.slots.values());
            changed.iter().for_each(|&slot| self.servers[slot].endpoint.status = Status::Gone);
        }
        for entry in entries {
            match self.slot(entry.server) {
                Some(slot) if self.servers[slot].endpoint == entry => {}
                Some(slot) => {
                    changed.push(slot);
                    self.update_server(now, slot, entry);
                }
                None if entry.status == Status::Gone => {}
                None => changed.push(self.insert(now, entry)),
            }
        }
        changed
    }

    fn update_server(&mut self, now: Time, slot: usize, entry: Endpoint) {
        let server = &mut self.servers[slot];
        if entry.started.is_some() && entry.started != server.endpoint.started {
            server.restart(entry, now);
        } else {
            server.endpoint = entry;
        }
    }

    fn insert(&mut self, now: Time, entry: Endpoint) -> usize {
        let (id, server) = (entry.server, Server::new(entry, now));
        let slot = self.free_slots.pop().unwrap_or(self.servers.len());
        match self.servers.get_mut(slot) {
            Some(previous) => *previous = server,
            None => self.servers.push(server),
        }
        self.slots.insert(id, slot);
        slot
    }

    /// Schedules the end of a slot whose server has been removed, or takes that back.
    pub(crate) fn schedule_removal(&mut self, now: Time, slot: usize) {
        let free_at = now + self.slot_retention;
        let is_removed = !self.servers[slot].is_listed();
        self.slot_expiry.set(slot, is_removed.then(|| self.slot_expiry.due_at(slot).unwrap_or(free_at)));
    }

    /// Updates the indexes after a change of a server, of its zone or of what operators say of them. Without a change
    /// this changes nothing, not even the order in which servers are drawn.
    pub(crate) fn reindex(&mut self, slot: usize) {
        let endpoint = &self.servers[slot].endpoint;
        let (zone, cell) = (endpoint.zone, endpoint.cell);
        let is_serving = endpoint.status == Status::Serving;
        let is_open = self.is_open(endpoint);
        self.servers[slot].is_open = is_open;
        self.open.set(slot, is_open);
        self.disabled.set(slot, is_serving && !is_open);
        self.open_by_zone.set(slot, is_open.then_some(zone));
        self.open_by_cell.set(slot, (is_open && self.has_cell_scope).then_some(cell));
        self.by_zone.set(slot, Some(zone));
        self.open_in_region.set(slot, is_open && self.is_other_zone_of_region(zone));
    }

    /// Updates what follows from the number of open servers, once all changed ones have been indexed.
    pub(crate) fn update_totals(&mut self) {
        let open = self.open.members().len();
        self.are_all_disabled = open == 0 && !self.disabled.members().is_empty();
        self.max_open_seen = self.max_open_seen.max(open);
        self.is_sparse = self.balancers > self.max_open_seen;
    }

    /// Cordons a server; false if it was cordoned already. Its slot has to be indexed anew.
    pub(crate) fn cordon(&mut self, server: ServerId) -> bool {
        self.cordoned.insert(server)
    }

    /// Ends the cordon of a server; false if there was none. Its slot has to be indexed anew.
    pub(crate) fn uncordon(&mut self, server: ServerId) -> bool {
        self.cordoned.remove(&server)
    }

    /// Whether a server is cordoned.
    pub(crate) fn is_cordoned(&self, server: ServerId) -> bool {
        self.cordoned.contains(&server)
    }

    /// Evacuates a zone; false if it was evacuated already. Its slots have to be indexed anew.
    pub(crate) fn evacuate(&mut self, zone: ZoneId) -> bool {
        self.evacuated.insert(zone)
    }

    /// Ends the evacuation of a zone; false if there was none. Its slots have to be indexed anew.
    pub(crate) fn restore_zone(&mut self, zone: ZoneId) -> bool {
        self.evacuated.remove(&zone)
    }

    /// Sets the regions. Returns the zones that have come into the own region or left it, whose slots have to be indexed
    /// anew.
    pub(crate) fn set_regions(&mut self, regions: BTreeMap<ZoneId, u32>) -> Vec<ZoneId> {
        let zones = self.open_by_zone.groups();
        let before: Vec<_> = zones.map(|zone| (zone, self.is_other_zone_of_region(zone))).collect();
        self.regions = regions;
        let has_changed = |(zone, was): &(ZoneId, bool)| self.is_other_zone_of_region(*zone) != *was;
        before.into_iter().filter(has_changed).map(|(zone, _)| zone).collect()
    }

    /// Frees the slots of servers that were removed a while ago; a server that is listed again later counts as new.
    /// Requests, affinity keys and zones name a server by its id. A slot that `is_in_use` is freed later, as is that of
    /// a server that operators hold back or have just restored.
    pub(crate) fn free_slots(&mut self, now: Time, is_in_use: impl Fn(usize) -> bool) {
        for slot in self.slot_expiry.due(now).take(MAX_FREED_SLOTS).collect::<Vec<_>>() {
            let server = &self.servers[slot];
            let id = server.endpoint.server;
            let restored_at = server.slow_start.restored_at();
            let is_just_restored = restored_at.is_some_and(|at| now < at + self.slot_retention);
            let has_requests = server.connections.in_flight() > 0;
            if has_requests || is_in_use(slot) || is_just_restored || self.is_cordoned(id) {
                self.slot_expiry.set(slot, Some(now + self.slot_retention));
                continue;
            }
            self.slots.remove(&id);
            self.by_zone.set(slot, None);
            self.slot_expiry.set(slot, None);
            self.free_slots.push(slot);
        }
    }

    /// The number of free slots.
    #[cfg(test)]
    pub(crate) fn free_slot_count(&self) -> usize {
        self.free_slots.len()
    }

    /// A cordoned server.
    #[cfg(test)]
    pub(crate) fn any_cordoned(&self) -> Option<ServerId> {
        self.cordoned.first().copied()
    }
}
