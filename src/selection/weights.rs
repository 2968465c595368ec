//! How candidates are compared: by their load and, with sparse traffic, by the relative capacity of servers.

use super::{Selection, SelectionRequest};
use crate::fleet::Fleet;
use crate::server::Server;
use crate::{Time, Weights};

/// With sparse traffic, the weight of a server grows by this fraction for each 1% of a request that a new connection is
/// priced at if the server has an idle connection, and for each 1% that crossing zones is priced at if it is in the own
/// zone.
const IDLE_CONNECTION_PREFERENCE_PER_PERCENT: f64 = 0.5;
const OWN_ZONE_PREFERENCE_PER_PERCENT: f64 = 0.2;
/// The load of a server in another zone grows by this fraction for each 1% of a request that crossing zones is priced
/// at. The maximum factor is less than that of one more request at an idle server (2), so that the price alone does not
/// fill a zone.
const OTHER_ZONE_LOAD_PER_PERCENT: f64 = 0.25;
const MAX_OTHER_ZONE_FACTOR: f64 = 1.8;
/// The load of a server in another region, where regions are known, is multiplied by this as well.
const OTHER_REGION_FACTOR: f64 = 1.2;
/// The slowdown of the last server of an affinity key is multiplied by this, so that it is selected unless it has
/// clearly more requests.
const AFFINITY_FACTOR: f64 = 0.7;
/// Natural logarithms of loads are rounded to multiples of this before loads are compared: a difference of a quarter is
/// well within chance.
const LOAD_LOG_RESOLUTION: f64 = 0.25;
/// The minimum slow-start factor that the requests of a server are divided by.
const MIN_SLOW_START_FACTOR: f64 = 0.01;
/// The minimum latency, as a fraction of the latency objective, that the weight of a server is computed with.
const MIN_LATENCY_FRACTION: f64 = 0.01;
/// The weight of a server falls with the cube of its latency. With an exponent of 1, slow machines time out while fast
/// ones are idle.
const LATENCY_EXPONENT: i32 = 3;
/// Converts prices, which are fractions of the result of a request, to percent.
const PERCENT: f64 = 100.0;

/// The order of candidates: by load, then by reported load, then by a random number.
type LoadKey = (i64, i64, u64);

impl Selection {
    /// The slot of the candidate with the least load; `None` without candidates. Ties are broken by a random number for
    /// each candidate. With sparse traffic this number is weighted, so that the selections of all balancers together
    /// are distributed in proportion to the capacity of the servers.
    pub(super) fn least_loaded(
        &self,
        now: Time,
        fleet: &Fleet,
        candidates: &[usize],
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let (is_sparse, queries_load) = (fleet.is_sparse(), self.queries_load(fleet));
        let mut least_loaded: Option<(LoadKey, usize)> = None;
        for &slot in candidates {
            let random = rng.f64();
            let key = if is_sparse {
                self.sparse_load_key(now, fleet, slot, queries_load, random)
            } else {
                self.load_key(fleet, slot, request, random)
            };
            if least_loaded.is_none_or(|(lowest_key, _)| key < lowest_key) {
                least_loaded = Some((key, slot));
            }
        }
        least_loaded.map(|(_, slot)| slot)
    }

    /// The own requests in flight, including this one, scaled by the price of crossing zones and by the server's
    /// slowdown, which counts less for the last server of the affinity key.
    fn load_key(&self, fleet: &Fleet, slot: usize, request: &SelectionRequest, random: f64) -> LoadKey {
        let server = fleet.server(slot);
        let distance = self.distance_factor(fleet, server);
        let affinity_factor = if request.affinity_server == Some(slot) { AFFINITY_FACTOR } else { 1.0 };
        // An ejected server that was drawn for a probation request comes first: by its own record it would never be
        // tried.
        let requests = match server.health.is_ejected() {
            true => 0.0,
            false => f64::from(server.connections.in_flight()) + 1.0,
        };
        let slowdown_factor =
            (server.latency.slowdown() * affinity_factor).powf(0.5 * request.slowdown_weight);
        let load = (requests * distance * slowdown_factor).ln();
        let reported = server.report.requests().round() as i64;
        ((load / LOAD_LOG_RESOLUTION).round() as i64, reported, random.to_bits())
    }

    fn distance_factor(&self, fleet: &Fleet, server: &Server) -> f64 {
        let price = self.settings.prices.cross_zone;
        let other_zone_factor =
            (1.0 + PERCENT * OTHER_ZONE_LOAD_PER_PERCENT * price).clamp(1.0, MAX_OTHER_ZONE_FACTOR);
        match server.endpoint.zone {
            zone if zone == self.settings.zone => 1.0,
            zone if fleet.endpoints.is_other_region(zone) => other_zone_factor * OTHER_REGION_FACTOR,
            _ => other_zone_factor,
        }
    }

    /// The own requests in flight relative to the server's capacity, and a random number weighted by that capacity (an
    /// exponential race: Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006).
    fn sparse_load_key(
        &self,
        now: Time,
        fleet: &Fleet,
        slot: usize,
        queries_load: bool,
        random: f64,
    ) -> LoadKey {
        let server = fleet.server(slot);
        let reported = if queries_load { server.report.requests().round() as i64 } else { 0 };
        let race_time = -(1.0 - random).ln() / self.weight(now, fleet, server);
        let factor = fleet.slow_start_factor(now, server);
        let requests = effective_requests(server.connections.in_flight(), factor);
        (requests.round() as i64, reported, race_time.to_bits())
    }

    /// The relative capacity of a server: its listed capacity, divided by the requests that it has according to its report
    /// and by the cube of its expected latency. Suspected servers weigh less, and those with an idle connection or in
    /// the own zone more.
    fn weight(&self, now: Time, fleet: &Fleet, server: &Server) -> f64 {
        let listed_weight =
            if self.settings.weights == Weights::Capacity { server.endpoint.weight } else { 1.0 };
        let capacity = if listed_weight.is_finite() && listed_weight > 0.0 { listed_weight } else { 1.0 };
        let requests = server.report.estimated_requests(now, fleet.load_reports.mean());
        let latency = fleet.latencies.expected(server.endpoint.kind, &server.latency);
        let prices = &self.settings.prices;
        let has_idle = server.connections.has_reusable_connection(now, self.settings.keepalive);
        let idle_preference =
            if has_idle { PERCENT * IDLE_CONNECTION_PREFERENCE_PER_PERCENT * prices.handshake } else { 0.0 };
        let is_own_zone = server.endpoint.zone == self.settings.zone;
        let zone_preference =
            if is_own_zone { PERCENT * OWN_ZONE_PREFERENCE_PER_PERCENT * prices.cross_zone } else { 0.0 };
        let health = server.health.weight(now);
        (1.0 + idle_preference) * (1.0 + zone_preference) * health * capacity
            / (1.0 + requests)
            / latency.max(MIN_LATENCY_FRACTION).powi(LATENCY_EXPONENT)
    }
}

/// The own requests in flight to a server with this slow-start factor, comparable with those to other servers. The
/// first request counts as one at any server, since slow start limits how often a server that is warming up is drawn.
/// Further ones are divided by `factor`, the fraction of its capacity that the server is certain to have; otherwise
/// many own requests would fill a server that is warming up like any other.
fn effective_requests(in_flight: u32, factor: f64) -> f64 {
    let requests = f64::from(in_flight);
    let beyond_first = (requests - 1.0).max(0.0);
    requests - beyond_first + beyond_first / factor.max(MIN_SLOW_START_FACTOR)
}
