//! Which server a request is sent to: the lightest of the remembered servers and of fresh uniform draws.
//!
//! The remembered server is the lightest one of the last selection (Mitzenmacher, Prabhakar and Shah, "Load Balancing
//! with Memory", FOCS 2002). Own requests in flight are the load; with sparse traffic these are nearly all alike, so
//! reported loads and a weighted random choice decide instead.

mod load_query;
#[cfg(test)]
mod tests;
mod weights;

pub(crate) use load_query::{LoadQueries, LoadQuery};

use crate::endpoints::DrawPool;
use crate::fleet::Fleet;
use crate::retries::RetryScope;
use crate::{AffinityKey, ReportSource, RequestId, ServerId, Settings, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Remembered servers and fresh draws of a selection; the paper asks for no fewer draws than remembered servers.
const REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Both where traffic is sparse and new connections have a price: the requests in flight are each at another server, and
/// the next one should find a remembered server with an idle connection.
const REMEMBERED_SPARSE: usize = 12;
/// Further draws from the own zone, and as many from the rest of the own region where regions are known. In an overload,
/// below this admission level, any capacity will do.
const NEAR_DRAWS: usize = 3;
const MIN_NEAR_LEVEL: f64 = 0.8;
/// Servers that are drawn at most for each candidate: those that are not ready are rejected.
const DRAWS_PER_CANDIDATE: usize = 4;
/// Servers that are looked at, from a random place on, if all draws fail: all of a fleet that is no larger. In a larger
/// one where one server in fifty is ready, 199 of 200 selections find some; the others wait for the next tick.
const MAX_SCANNED: usize = 256;
/// The most affinity keys that are remembered; beyond that all are forgotten, which costs each key one run without.
const MAX_AFFINITY_KEYS: usize = 10_000;
/// Servers are asked for their load if the health checks for one selection have this price at most.
const MAX_QUERY_PRICE: f64 = 0.01;

/// What a selection must know of its request.
pub(crate) struct SelectionRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    /// Where it may be sent.
    pub(crate) scope: RetryScope,
    /// Its expected work in milliseconds, on the scale of its class's cost hints.
    pub(crate) work: f64,
    /// The mean work of the requests of its class, on the same scale.
    pub(crate) mean_work: f64,
    /// How much the slowness of a server weighs for this work.
    pub(crate) slowdown_weight: f64,
    pub(crate) is_idempotent: bool,
    pub(crate) key: Option<AffinityKey>,
    /// The server that was sent its affinity key last.
    pub(crate) affinity_server: Option<usize>,
    /// The servers that it has been sent to already.
    pub(crate) tried: Vec<usize>,
}

/// What selections remember.
pub(crate) struct Selection {
    settings: Arc<Settings>,
    /// The servers that were selected last, the latest first.
    remembered: Vec<usize>,
    /// The server that each affinity key was last sent to.
    affinity: BTreeMap<AffinityKey, ServerId>,
}

impl Selection {
    /// Nothing is remembered.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        Selection { settings, remembered: Vec::new(), affinity: BTreeMap::new() }
    }

    /// Forgets the servers that are not to be remembered.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(usize) -> bool) {
        self.remembered.retain(|&slot| is_kept(slot));
    }

    /// Whether a server is remembered.
    pub(crate) fn is_remembered(&self, slot: usize) -> bool {
        self.remembered.contains(&slot)
    }

    /// The remembered servers.
    #[cfg(test)]
    pub(crate) fn remembered(&self) -> &[usize] {
        &self.remembered
    }

    /// The server that was sent an affinity key last.
    pub(crate) fn affinity_server(&self, key: AffinityKey) -> Option<ServerId> {
        self.affinity.get(&key).copied()
    }

    /// Whether connections are kept with sparse traffic, as new ones have a price.
    pub(crate) fn keeps_connections(&self, fleet: &Fleet) -> bool {
        fleet.is_sparse() && self.settings.prices.handshake > 0.0
    }

    fn max_remembered(&self, fleet: &Fleet) -> usize {
        if self.keeps_connections(fleet) {
            REMEMBERED_SPARSE
        } else {
            REMEMBERED
        }
    }

    fn draws(&self, fleet: &Fleet) -> usize {
        DRAWS.max(self.max_remembered(fleet))
    }

    /// The candidates of a selection at most.
    fn max_candidates(&self, fleet: &Fleet) -> usize {
        self.max_remembered(fleet) + self.draws(fleet)
    }

    /// Whether the candidates are asked for their load first: where own counts say little, reports come with health
    /// checks only and say how many requests a server has, and those of one selection cost next to nothing.
    pub(crate) fn queries_load(&self, fleet: &Fleet) -> bool {
        let price = self.settings.prices.health_check * self.max_candidates(fleet) as f64;
        self.settings.health_checks
            && self.settings.report_source == ReportSource::HealthChecks
            && fleet.load_reports.have_request_counts()
            && price <= MAX_QUERY_PRICE
            && fleet.is_sparse()
    }

    /// The candidates for a request: fresh uniform draws from the servers that are ready for it, and the remembered ones
    /// that are. Where crossing zones has a price, as many draws are from the own zone, which three draws often miss;
    /// which candidate is lightest does not depend on where it was drawn. Only if all draws fail are all servers looked
    /// at, and those that were tried before come last.
    pub(crate) fn candidates(
        &self,
        now: Time,
        fleet: &Fleet,
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let draws = self.draws(fleet);
        let mut found: Vec<usize> = Vec::with_capacity(draws + self.remembered.len() + 1);
        let has_price = self.settings.prices.cross_zone > 0.0 || fleet.endpoints.has_regions();
        let is_near_preferred =
            has_price && fleet.admission_level.value() >= MIN_NEAR_LEVEL && !fleet.is_sparse();
        let near_draws = if is_near_preferred { NEAR_DRAWS } else { 0 };
        let rounds = [
            (DrawPool::OwnZone, near_draws, near_draws),
            (DrawPool::OwnRegion, near_draws, near_draws),
            (DrawPool::All, draws, DRAWS_PER_CANDIDATE * draws),
        ];
        for (pool, wanted, max_draws) in rounds {
            let slots = fleet.endpoints.draw_pool(pool, request.scope);
            let max_found = found.len() + wanted;
            for _ in 0..max_draws {
                if found.len() >= max_found || slots.is_empty() {
                    break;
                }
                let slot = slots[rng.usize(0..slots.len())];
                if self.is_candidate(now, fleet, slot, request, rng) {
                    found.push(slot);
                }
            }
        }
        for slot in self.remembered.iter().copied().chain(request.affinity_server) {
            if self.is_candidate(now, fleet, slot, request, rng) {
                found.push(slot);
            }
        }
        if found.is_empty() {
            found = self.scan(now, fleet, request, rng);
        }
        found
    }

    fn is_candidate(
        &self,
        now: Time,
        fleet: &Fleet,
        slot: usize,
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> bool {
        !request.tried.contains(&slot)
            && fleet.is_ready(now, slot, request)
            && self.passes_draw(now, fleet, slot, request, rng)
    }

    /// Whether a ready server stays a candidate. One of a zone that is not wholly in use does as often as the zone's share
    /// says. With sparse traffic slow start limits how often one does that is warming up. Where an idle server wins the
    /// selection, a candidate stays once for all those that it wins over.
    fn passes_draw(
        &self,
        now: Time,
        fleet: &Fleet,
        slot: usize,
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let server = fleet.server(slot);
        let is_sparse = fleet.is_sparse();
        let share = fleet.zones.share(server.endpoint.zone, request.class);
        let wins_over = if is_sparse { 1 } else { 1 + DRAWS } as f64;
        if share < 1.0 && rng.f64() * (share + (1.0 - share) * wins_over) >= share {
            return false;
        }
        let wins_over = if self.queries_load(fleet) { self.max_candidates(fleet) } else { 1 };
        let factor = fleet.slow_start_factor(now, server);
        !is_sparse || fleet.slow_start.accepts_candidate(factor, wins_over, rng)
    }

    /// Candidates from all servers, if no draw has found one.
    fn scan(
        &self,
        now: Time,
        fleet: &Fleet,
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let slots = fleet.endpoints.draw_pool(DrawPool::All, request.scope);
        let first = if slots.len() > MAX_SCANNED { rng.usize(0..slots.len()) } else { 0 };
        let (before, after) = slots.split_at(first);
        let mut zones = fleet.endpoints.open_by_zone().groups();
        let any_takes_overflow = zones.any(|zone| fleet.zones.takes_overflow(zone));
        let takes_overflow =
            |slot: usize| !any_takes_overflow || fleet.zones.takes_overflow(fleet.server(slot).endpoint.zone);
        let is_fit = |slot: &usize| fleet.is_ready(now, *slot, request) && takes_overflow(*slot);
        let ready = after.iter().chain(before).take(MAX_SCANNED).copied().filter(is_fit);
        let (tried, fresh): (Vec<_>, Vec<_>) = ready.partition(|slot| request.tried.contains(slot));
        let ready = if fresh.is_empty() { tried } else { fresh };
        (0..self.draws(fleet).min(ready.len())).map(|_| ready[rng.usize(0..ready.len())]).collect()
    }

    /// The candidate with the least load, which is remembered; none without candidates.
    pub(crate) fn select(
        &mut self,
        now: Time,
        fleet: &Fleet,
        candidates: &[usize],
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let slot = self.lightest(now, fleet, candidates, request, rng)?;
        if let Some(key) = request.key {
            if self.affinity.len() >= MAX_AFFINITY_KEYS {
                self.affinity.clear();
            }
            self.affinity.insert(key, fleet.server(slot).endpoint.server);
        }
        self.remembered.retain(|&remembered| remembered != slot);
        self.remembered.insert(0, slot);
        self.remembered.truncate(self.max_remembered(fleet));
        Some(slot)
    }
}
