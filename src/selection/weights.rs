//! What a candidate weighs: its load, and what a server can take next to others.

use super::{Selection, SelectionRequest};
use crate::fleet::Fleet;
use crate::server::Server;
use crate::{Time, Weights};

/// With sparse traffic a server with an idle connection counts for this much more for each 1% of a request that a new
/// connection is priced at, and one of the own zone for each 1% that crossing zones is priced at.
const IDLE_CONNECTION_PREFERENCE: f64 = 0.5;
const OWN_ZONE_PREFERENCE: f64 = 0.2;
/// A server in another zone weighs this much more for each 1% of a request that crossing is priced at; never as much as
/// one request more at an idle server, so that the price alone does not fill a zone.
const OTHER_ZONE_WEIGHT: f64 = 0.25;
const MAX_OTHER_ZONE_WEIGHT: f64 = 1.8;
/// And one in another region, where regions are known, by this factor more.
const OTHER_REGION_WEIGHT: f64 = 1.2;
/// The last server of an affinity key weighs this much: it wins unless it has clearly more requests.
const AFFINITY_WEIGHT: f64 = 0.7;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const LOAD_RESOLUTION: f64 = 0.25;
/// The least capacity of a server that is warming up that counts.
const MIN_SLOW_START_FACTOR: f64 = 0.01;
/// The least latency, as a fraction of the objective, that counts.
const MIN_LATENCY: f64 = 0.01;
/// The latency counts in its cube: plainly counted, slow machines time out while fast ones are idle.
const LATENCY_EXPONENT: i32 = 3;
/// Prices are fractions of a request's result; preferences go by percents of it.
const PERCENT: f64 = 100.0;

/// What candidates are compared by: the load, then the reported load, then a random number.
type LoadKey = (i64, i64, u64);

impl Selection {
    /// The candidate with the least load, none without candidates. A random number for each decides between those that
    /// are alike; with sparse traffic it is weighted, so that the choices of all balancers together settle in proportion
    /// to what the servers can take.
    pub(super) fn lightest(
        &self,
        now: Time,
        fleet: &Fleet,
        candidates: &[usize],
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let (is_sparse, queries_load) = (fleet.is_sparse(), self.queries_load(fleet));
        let mut lightest: Option<(LoadKey, usize)> = None;
        for &slot in candidates {
            let random = rng.f64();
            let key = if is_sparse {
                self.sparse_load_key(now, fleet, slot, queries_load, random)
            } else {
                self.load_key(fleet, slot, request, random)
            };
            if lightest.is_none_or(|(least, _)| key < least) {
                lightest = Some((key, slot));
            }
        }
        lightest.map(|(_, slot)| slot)
    }

    /// Own requests in flight, scaled by what the server costs: how slow it is, a priced crossing, a known key.
    fn load_key(&self, fleet: &Fleet, slot: usize, request: &SelectionRequest, random: f64) -> LoadKey {
        let server = fleet.server(slot);
        let distance = self.distance_weight(fleet, server);
        let affinity = if request.affinity_server == Some(slot) { AFFINITY_WEIGHT } else { 1.0 };
        // An ejected server that was drawn for its probation goes first: by its own record it would never be tried.
        let requests = match server.health.is_ejected() {
            true => 0.0,
            false => f64::from(server.connections.in_flight()) + 1.0,
        };
        let slowness = (server.latency.slowdown() * affinity).powf(0.5 * request.slowdown_weight);
        let load = (requests * distance * slowness).ln();
        let reported = server.report.requests().round() as i64;
        ((load / LOAD_RESOLUTION).round() as i64, reported, random.to_bits())
    }

    fn distance_weight(&self, fleet: &Fleet, server: &Server) -> f64 {
        let price = self.settings.prices.cross_zone;
        let other_zone = (1.0 + PERCENT * OTHER_ZONE_WEIGHT * price).clamp(1.0, MAX_OTHER_ZONE_WEIGHT);
        match server.endpoint.zone {
            zone if zone == self.settings.zone => 1.0,
            zone if fleet.endpoints.is_other_region(zone) => other_zone * OTHER_REGION_WEIGHT,
            _ => other_zone,
        }
    }

    /// The own requests as they count next to the server's capacity, and a random number weighted by what the server can
    /// take (an exponential race: Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006).
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
        let race = -(1.0 - random).ln() / self.weight(now, fleet, server);
        let factor = fleet.slow_start_factor(now, server);
        let requests = sparse_requests(server.connections.in_flight(), factor);
        (requests.round() as i64, reported, race.to_bits())
    }

    /// What a server can take next to others: its listed size over the requests that it has by its report, and over its
    /// expected latency.
    fn weight(&self, now: Time, fleet: &Fleet, server: &Server) -> f64 {
        let listed = if self.settings.weights == Weights::Capacity { server.endpoint.weight } else { 1.0 };
        let size = if listed.is_finite() && listed > 0.0 { listed } else { 1.0 };
        let requests = server.report.estimated_requests(now, fleet.load_reports.mean());
        let latency = fleet.latencies.expected(server.endpoint.kind, &server.latency);
        let prices = &self.settings.prices;
        let has_idle = server.connections.has_reusable_connection(now, self.settings.keepalive);
        let idle = if has_idle { PERCENT * IDLE_CONNECTION_PREFERENCE * prices.handshake } else { 0.0 };
        let is_near = server.endpoint.zone == self.settings.zone;
        let near = if is_near { PERCENT * OWN_ZONE_PREFERENCE * prices.cross_zone } else { 0.0 };
        let health = server.health.weight(now);
        (1.0 + idle) * (1.0 + near) * health * size
            / (1.0 + requests)
            / latency.max(MIN_LATENCY).powi(LATENCY_EXPONENT)
    }
}

/// The own requests in flight at a server with this slow-start factor, as they count next to those at other servers. One
/// request counts as one anywhere, as slow start limits how often such a server is drawn; those beyond it count over the
/// capacity that the server has for certain, or many own requests would fill servers that are warming up like any other.
fn sparse_requests(in_flight: u32, factor: f64) -> f64 {
    let requests = f64::from(in_flight);
    let beyond_first = (requests - 1.0).max(0.0);
    requests - beyond_first + beyond_first / factor.max(MIN_SLOW_START_FACTOR)
}
