//! Selects the server for a request: the least loaded of the remembered servers and of fresh uniform draws.
//!
//! The remembered server is the least loaded one of the last selection (Mitzenmacher, Prabhakar and Shah, "Load
//! Balancing with Memory", FOCS 2002). The load of a server is the number of this balancer's requests in flight to it.
//! With sparse traffic these numbers are nearly all equal, so reported loads and a weighted random choice decide
//! instead.

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

/// The number of remembered servers, and of uniform draws per selection. The paper requires at least as many draws as
/// remembered servers.
const MAX_REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Both numbers with sparse traffic where new connections have a price. The requests in flight are then each at a
/// different server, and the next request should find a remembered server with an idle connection.
const MAX_REMEMBERED_SPARSE: usize = 12;
/// Additional draws from the own zone, and as many from the rest of the own region where regions are known. There are
/// none below this admission level, that is in an overload, when capacity in any zone is needed.
const LOCAL_DRAWS: usize = 3;
const MIN_LEVEL_FOR_LOCAL_DRAWS: f64 = 0.8;
/// The maximum number of draws for each wanted candidate. Drawn servers that are not ready are discarded.
const MAX_DRAWS_PER_CANDIDATE: usize = 4;
/// The maximum number of servers that are scanned, from a random position on, if all draws fail. Smaller fleets are
/// scanned completely. In a larger one where one server in fifty is ready, 199 of 200 selections find a server; the
/// other requests wait for the next tick.
const MAX_SCANNED: usize = 256;
/// The maximum number of affinity keys that are remembered. Beyond it all are forgotten, which costs each key one
/// selection without affinity.
const MAX_AFFINITY_KEYS: usize = 10_000;
/// Candidates are asked for their load only if the health checks for one selection together cost at most this fraction
/// of the result of a request.
const MAX_QUERY_PRICE: f64 = 0.01;

/// The properties of a request that its selection depends on.
pub(crate) struct SelectionRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    /// The servers that it may be sent to.
    pub(crate) scope: RetryScope,
    /// Its expected work in milliseconds, on the scale of its class's cost hints.
    pub(crate) work: f64,
    /// The mean work of the requests of its class, on the same scale.
    pub(crate) mean_work: f64,
    /// How strongly a server's slowdown counts for a request with this much work.
    pub(crate) slowdown_weight: f64,
    pub(crate) is_idempotent: bool,
    pub(crate) key: Option<AffinityKey>,
    /// The slot of the server to which its affinity key was last sent.
    pub(crate) affinity_server: Option<usize>,
    /// The slots of the servers that it has already been sent to.
    pub(crate) tried: Vec<usize>,
}

/// The servers that selections remember, and how candidates are drawn and compared.
pub(crate) struct Selection {
    settings: Arc<Settings>,
    /// The slots of the most recently selected servers, the latest first.
    remembered: Vec<usize>,
    /// The server that each affinity key was last sent to.
    affinity: BTreeMap<AffinityKey, ServerId>,
}

impl Selection {
    /// Creates a selection that remembers no servers or affinity keys.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        Selection { settings, remembered: Vec::new(), affinity: BTreeMap::new() }
    }

    /// Forgets the remembered servers for which `is_kept` is false.
    pub(crate) fn retain(&mut self, mut is_kept: impl FnMut(usize) -> bool) {
        self.remembered.retain(|&slot| is_kept(slot));
    }

    /// Whether a server is remembered.
    pub(crate) fn is_remembered(&self, slot: usize) -> bool {
        self.remembered.contains(&slot)
    }

    #[cfg(test)]
    pub(crate) fn remembered(&self) -> &[usize] {
        &self.remembered
    }

    /// The server to which an affinity key was last sent.
    pub(crate) fn affinity_server(&self, key: AffinityKey) -> Option<ServerId> {
        self.affinity.get(&key).copied()
    }

    /// Whether idle connections are kept although traffic is sparse, because new ones have a price.
    pub(crate) fn keeps_connections(&self, fleet: &Fleet) -> bool {
        fleet.is_sparse() && self.settings.prices.handshake > 0.0
    }

    fn max_remembered(&self, fleet: &Fleet) -> usize {
        if self.keeps_connections(fleet) {
            MAX_REMEMBERED_SPARSE
        } else {
            MAX_REMEMBERED
        }
    }

    fn draws(&self, fleet: &Fleet) -> usize {
        DRAWS.max(self.max_remembered(fleet))
    }

    /// The maximum number of candidates of a selection without local draws.
    fn max_candidates(&self, fleet: &Fleet) -> usize {
        self.max_remembered(fleet) + self.draws(fleet)
    }

    /// Whether the candidates are asked for their load before the selection. They are if traffic is sparse, so that own
    /// counts say little, if only health checks return load reports and these include the number of requests, and if
    /// the health checks for one selection cost nearly nothing.
    pub(crate) fn queries_load(&self, fleet: &Fleet) -> bool {
        let price = self.settings.prices.health_check * self.max_candidates(fleet) as f64;
        self.settings.health_checks
            && self.settings.report_source == ReportSource::HealthChecks
            && fleet.load_reports.have_request_counts()
            && price <= MAX_QUERY_PRICE
            && fleet.is_sparse()
    }

    /// The candidates for a request: uniform draws from the servers that are ready for it, and those of the remembered
    /// servers that are ready. Where crossing zones has a price or regions are known, as many draws are also made from
    /// the own zone, which three uniform draws often miss; how a candidate was drawn does not affect its load. Only if
    /// no candidate is found are the servers scanned, and then servers that were already tried are used if no other is
    /// ready.
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
        let prefers_local =
            has_price && fleet.admission_level.value() >= MIN_LEVEL_FOR_LOCAL_DRAWS && !fleet.is_sparse();
        let local_draws = if prefers_local { LOCAL_DRAWS } else { 0 };
        let rounds = [
            (DrawPool::OwnZone, local_draws, local_draws),
            (DrawPool::OwnRegion, local_draws, local_draws),
            (DrawPool::All, draws, MAX_DRAWS_PER_CANDIDATE * draws),
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

    /// Whether a ready server that was drawn becomes a candidate. In a zone whose share is below 1, a random part of
    /// them does, so that the zone has that share of its draws. With sparse traffic, slow start also limits how often a
    /// server that is warming up becomes one. Such servers are mostly idle and win the selection, so the probability is
    /// reduced by the number of candidates that they win over.
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
        let competitors = if is_sparse { 1 } else { 1 + DRAWS } as f64;
        if share < 1.0 && rng.f64() * (share + (1.0 - share) * competitors) >= share {
            return false;
        }
        let competitors = if self.queries_load(fleet) { self.max_candidates(fleet) } else { 1 };
        let factor = fleet.slow_start_factor(now, server);
        !is_sparse || fleet.slow_start.accepts_candidate(factor, competitors, rng)
    }

    /// Candidates from a scan of the servers, for when no draw has found one.
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
        let is_eligible = |slot: &usize| fleet.is_ready(now, *slot, request) && takes_overflow(*slot);
        let ready = after.iter().chain(before).take(MAX_SCANNED).copied().filter(is_eligible);
        let (tried, untried): (Vec<_>, Vec<_>) = ready.partition(|slot| request.tried.contains(slot));
        let ready = if untried.is_empty() { tried } else { untried };
        (0..self.draws(fleet).min(ready.len())).map(|_| ready[rng.usize(0..ready.len())]).collect()
    }

    /// Selects the least loaded candidate and remembers it. `None` if there are no candidates.
    pub(crate) fn select(
        &mut self,
        now: Time,
        fleet: &Fleet,
        candidates: &[usize],
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let slot = self.least_loaded(now, fleet, candidates, request, rng)?;
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
