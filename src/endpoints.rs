//! The endpoint list, cordons and evacuated zones, and which servers may be sent requests.
//!
//! Each server has a slot, an index by which the other modules refer to it. The slot of a removed server is freed after
//! a retention time, so that memory use depends on the current list and not on all servers that were ever listed.
//!
//! A server is open if it is listed as serving, is not cordoned and its zone is not evacuated. A server that is listed
//! as serving and is not open is disabled.

mod discovery_calls;
mod polling;
#[cfg(test)]
mod tests;

pub use discovery_calls::CallTimes;
pub(crate) use polling::Polling;

use crate::due_times::DueTimes;
use crate::retries::RetryScope;
use crate::server::Server;
use crate::slot_sets::{SlotGroups, SlotSet};
use crate::{
    CellId, DeduplicationScope, Endpoint, Idempotency, ServerId, Settings, Span, Status, Time, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of slots that one call of [`Endpoints::free_slots`] frees.
const MAX_FREED_SLOTS: usize = 100;

/// The open servers that candidates are drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrawPool {
    /// Those in the balancer's own zone.
    OwnZone,
    /// Those in the other zones of the balancer's region; none if regions are not known.
    OwnRegion,
    /// All that the retry scope of the request permits.
    All,
}

/// All servers by slot, with indexes of the open ones.
pub(crate) struct Endpoints {
    /// By slot; a free slot keeps the record of its last server until it is reused.
    servers: Vec<Server>,
    /// The slots of the listed servers, and of removed ones until their slot is freed.
    slots: BTreeMap<ServerId, usize>,
    free_slots: Vec<usize>,
    /// When the slots of removed servers are due to be freed.
    slot_expiry: DueTimes,
    /// How long a removed server keeps its slot: the warm-up time of a new process.
    slot_retention: Span,
    open: SlotSet,
    /// Servers that are listed as serving, but cordoned or in an evacuated zone.
    disabled: SlotSet,
    open_by_zone: SlotGroups<ZoneId>,
    open_by_cell: SlotGroups<CellId>,
    /// The open servers in the other zones of the own region.
    open_in_region: SlotSet,
    /// All servers with a slot.
    by_zone: SlotGroups<ZoneId>,
    own_zone: ZoneId,
    /// Some class may be retried only within its cell, so that open servers are also indexed by cell.
    has_cell_scope: bool,
    regions: BTreeMap<ZoneId, u32>,
    /// Kept separately from the endpoint list, since an update of the list must not end a cordon.
    cordoned: BTreeSet<ServerId>,
    evacuated: BTreeSet<ZoneId>,
    balancers: usize,
    /// The highest number of servers that have been open at the same time.
    max_open_seen: usize,
    is_sparse: bool,
    are_all_disabled: bool,
}

impl Endpoints {
    /// Creates an empty list.
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

    /// The slot of a server, unless it has none: it was never listed, or its slot has been freed.
    pub(crate) fn slot(&self, server: ServerId) -> Option<usize> {
        self.slots.get(&server).copied()
    }

    /// The server in a slot.
    pub(crate) fn server(&self, slot: usize) -> &Server {
        &self.servers[slot]
    }

    /// The server in a slot. A change of its endpoint must be followed by [`Self::reindex`].
    pub(crate) fn server_mut(&mut self, slot: usize) -> &mut Server {
        &mut self.servers[slot]
    }

    /// All servers by slot, including those whose slots have been freed.
    pub(crate) fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The servers in the endpoint list, including draining ones.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.is_listed())
    }

    /// The slots of the open servers.
    pub(crate) fn open(&self) -> &[usize] {
        self.open.members()
    }

    /// The slots of the open servers by zone.
    pub(crate) fn open_by_zone(&self) -> &SlotGroups<ZoneId> {
        &self.open_by_zone
    }

    /// The slots of all servers of a zone, open or not.
    pub(crate) fn in_zone(&self, zone: ZoneId) -> &[usize] {
        self.by_zone.members(zone)
    }

    /// Whether any server of a zone is in the endpoint list.
    pub(crate) fn has_listed_in(&self, zone: ZoneId) -> bool {
        self.in_zone(zone).iter().any(|&slot| self.servers[slot].is_listed())
    }

    /// The slots of the open servers that candidates for a request are drawn from.
    pub(crate) fn draw_pool(&self, pool: DrawPool, scope: RetryScope) -> &[usize] {
        match (pool, scope) {
            (DrawPool::OwnZone, _) => self.open_by_zone.members(self.own_zone),
            (DrawPool::OwnRegion, _) => self.open_in_region.members(),
            (DrawPool::All, RetryScope::Zone(zone)) => self.open_by_zone.members(zone),
            (DrawPool::All, RetryScope::Cell(cell)) => self.open_by_cell.members(cell),
            (DrawPool::All, _) => self.open.members(),
        }
    }

    /// Whether traffic is sparse: there are more balancers than there have ever been open servers at the same time.
    /// Most of a server's load then comes from other balancers, and this balancer's own request counts are nearly all
    /// equal. A temporary decrease in the number of open servers does not make traffic sparse.
    pub(crate) fn is_sparse(&self) -> bool {
        self.is_sparse
    }

    /// Whether servers are listed as serving and all of them are cordoned or in evacuated zones.
    pub(crate) fn are_all_disabled(&self) -> bool {
        self.are_all_disabled
    }

    /// Whether the regions of zones are known.
    pub(crate) fn has_regions(&self) -> bool {
        !self.regions.is_empty()
    }

    /// Whether a zone is in another region than this balancer.
    pub(crate) fn is_other_region(&self, zone: ZoneId) -> bool {
        self.regions.get(&zone) != self.regions.get(&self.own_zone)
    }

    /// Whether a zone is another zone of the own region; false if regions are not known.
    fn is_other_zone_of_region(&self, zone: ZoneId) -> bool {
        zone != self.own_zone && self.has_regions() && !self.is_other_region(zone)
    }

    /// Whether a server is listed as serving, is not cordoned and its zone is not evacuated.
    fn is_open(&self, endpoint: &Endpoint) -> bool {
        let is_disabled = self.cordoned.contains(&endpoint.server) || self.evacuated.contains(&endpoint.zone);
        endpoint.status == Status::Serving && !is_disabled
    }

    /// Applies entries of the endpoint list; if it is `complete`, servers without an entry count as removed. Returns
    /// the slots that may have changed, which the caller must reindex.
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

    /// Schedules a slot to be freed if its server has been removed, or cancels that if the server is listed again.
    pub(crate) fn schedule_removal(&mut self, now: Time, slot: usize) {
        let free_at = now + self.slot_retention;
        let is_removed = !self.servers[slot].is_listed();
        self.slot_expiry.set(slot, is_removed.then(|| self.slot_expiry.due_at(slot).unwrap_or(free_at)));
    }

    /// Updates the indexes after a change of a server's endpoint, its cordon, or the evacuation or region of its zone.
    /// If nothing has changed, the indexes stay as they are, including the order in which servers are drawn.
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

    /// Updates the values that depend on the number of open servers. Call this once all changed slots are reindexed.
    pub(crate) fn update_totals(&mut self) {
        let open = self.open.members().len();
        self.are_all_disabled = open == 0 && !self.disabled.members().is_empty();
        self.max_open_seen = self.max_open_seen.max(open);
        self.is_sparse = self.balancers > self.max_open_seen;
    }

    /// Cordons a server; false if it was already cordoned. The caller must reindex its slot.
    pub(crate) fn cordon(&mut self, server: ServerId) -> bool {
        self.cordoned.insert(server)
    }

    /// Ends the cordon of a server; false if there was none. The caller must reindex its slot.
    pub(crate) fn uncordon(&mut self, server: ServerId) -> bool {
        self.cordoned.remove(&server)
    }

    /// Whether a server is cordoned.
    pub(crate) fn is_cordoned(&self, server: ServerId) -> bool {
        self.cordoned.contains(&server)
    }

    /// Evacuates a zone; false if it was already evacuated. The caller must reindex its slots.
    pub(crate) fn evacuate(&mut self, zone: ZoneId) -> bool {
        self.evacuated.insert(zone)
    }

    /// Ends the evacuation of a zone; false if there was none. The caller must reindex its slots.
    pub(crate) fn restore_zone(&mut self, zone: ZoneId) -> bool {
        self.evacuated.remove(&zone)
    }

    /// Sets the region of each zone. Returns the zones that are now in the own region and were not, or the reverse; the
    /// caller must reindex their slots.
    pub(crate) fn set_regions(&mut self, regions: BTreeMap<ZoneId, u32>) -> Vec<ZoneId> {
        let zones = self.open_by_zone.groups();
        let before: Vec<_> = zones.map(|zone| (zone, self.is_other_zone_of_region(zone))).collect();
        self.regions = regions;
        let has_changed = |(zone, was): &(ZoneId, bool)| self.is_other_zone_of_region(*zone) != *was;
        before.into_iter().filter(has_changed).map(|(zone, _)| zone).collect()
    }

    /// Frees the slots of servers whose retention time has ended; a server that is listed again later counts as new.
    /// Requests, affinity keys and zones refer to servers by id, so they hold no outdated slots. A slot is kept for
    /// another retention time if it `is_in_use`, has attempts in flight, or its server is cordoned or was restored by
    /// operators less than a retention time ago.
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

    #[cfg(test)]
    pub(crate) fn free_slot_count(&self) -> usize {
        self.free_slots.len()
    }

    /// The cordoned server with the lowest id.
    #[cfg(test)]
    pub(crate) fn any_cordoned(&self) -> Option<ServerId> {
        self.cordoned.first().copied()
    }
}
