//! Random sequences of events check that the state that is updated incrementally equals what is computed from all
//! servers.

use crate::endpoints::DrawPool;
use crate::retries::RetryScope;
use crate::server::Server;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u32 = 5;
const CELLS: u32 = 12;

fn settings(variant: u64) -> Settings {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: Span::from_ms(600.0) },
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: Span::from_ms(600.0) },
    ];
    let class =
        |idempotency| Class { idempotency, latency_objective: Span::from_ms(100.0), ..Class::default() };
    Settings {
        balancers: [1, 3, 9, 500][variant as usize % 4],
        zone: ZoneId(1),
        classes: idempotencies.into_iter().map(class).collect(),
        prices: Prices { cross_zone: [0.0, 0.05][variant as usize % 2], ..Prices::default() },
        key_affinity: variant % 2 == 0,
        health_checks: variant % 3 == 0,
        initial_capacity: [0.2, 1.0][usize::from(variant % 7 == 6)],
        warm_up_time: Span::from_ms([3000.0, 0.0][usize::from(variant % 11 == 10)]),
        ..Settings::default()
    }
}

fn sorted(mut slots: Vec<usize>) -> Vec<usize> {
    slots.sort_unstable();
    slots
}

/// Compares the incrementally updated state with what is computed from all servers; the median latency only if
/// `check_median` is set.
fn check_state(balancer: &mut Balancer, check_median: bool) {
    balancer.fleet.endpoints.assert_consistent();
    let used: BTreeSet<usize> = balancer.fleet.endpoints.used_slots().collect();
    let server = |slot: usize| balancer.fleet.endpoints.server(slot);
    let slots_where = |predicate: &dyn Fn(usize) -> bool| {
        used.iter().copied().filter(|&slot| predicate(slot)).collect::<Vec<_>>()
    };
    let open = |slot: usize| server(slot).is_open;
    let ejected = |slot: usize| open(slot) && server(slot).health.is_ejected();
    assert_eq!(
        balancer.fleet.outliers.ejected().iter().copied().collect::<Vec<_>>(),
        slots_where(&ejected),
        "ejected"
    );
    let warmed_up = |slot: usize| {
        open(slot)
            && balancer.fleet.slow_start_factor(balancer.fleet.slow_start.checked_at(), server(slot)) >= 1.0
    };
    assert_eq!(
        balancer.fleet.slow_start.warmed_up_count(balancer.fleet.endpoints.open().len()),
        slots_where(&warmed_up).len(),
        "warmed up"
    );
    let first_try = |slot: usize| open(slot) && server(slot).slow_start.has_first_try();
    assert_eq!(sorted(balancer.fleet.slow_start.all_first_tries()), slots_where(&first_try), "first tries");
    assert!(
        balancer.selection.remembered().iter().all(|&slot| open(slot)),
        "a remembered server is not open"
    );
    let mut in_flight_by_slot: BTreeMap<usize, u32> = BTreeMap::new();
    balancer
        .pending
        .attempts()
        .for_each(|(_, attempt)| *in_flight_by_slot.entry(attempt.server).or_default() += 1);
    for (slot, server) in balancer.fleet.endpoints.servers().iter().enumerate() {
        let in_flight = in_flight_by_slot.get(&slot).copied().unwrap_or(0);
        assert_eq!(server.connections.in_flight(), in_flight, "in flight at slot {slot}");
    }
    assert!(
        in_flight_by_slot.keys().all(|slot| used.contains(slot)),
        "a slot with an attempt in flight was freed"
    );

    if check_median {
        let has_latency =
            |server: &&Server| server.endpoint.status == Status::Serving && server.latency.samples() > 0;
        let servers = balancer.fleet.endpoints.servers().iter().filter(has_latency);
        let mut latencies: Vec<f64> = servers.map(|server| server.latency.smoothed()).collect();
        latencies.sort_by(f64::total_cmp);
        let expected = latencies
            .get(latencies.len() / 2)
            .map_or(balancer.fleet.latencies.median(), |median| median.max(0.01));
        balancer.fleet.update_median_latency();
        assert_eq!(balancer.fleet.latencies.median(), expected, "median of {latencies:?}");
    }
}

/// The states that a walk has reached. The test requires a minimum of each, as it would otherwise check little.
#[derive(Default)]
struct Coverage {
    slot_reused: bool,
    ejected: bool,
    first_try: bool,
    warming: bool,
    own_region: bool,
}

/// A balancer that is passed random events.
struct Walk {
    rng: fastrand::Rng,
    balancer: Balancer,
    now: Time,
    listed: BTreeMap<u32, Endpoint>,
    in_flight: Vec<(RequestId, AttemptNo, Time)>,
    attempts: BTreeMap<RequestId, u32>,
    next_server: u32,
    coverage: Coverage,
}

impl Walk {
    fn new(variant: u64) -> Self {
        let mut balancer = Balancer::new(settings(variant), variant).expect("valid settings");
        let now = Time::from_ms(10_000.0);
        balancer.start(now, &mut Vec::new());
        Walk {
            rng: fastrand::Rng::with_seed(variant),
            balancer,
            now,
            listed: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            next_server: 0,
            coverage: Coverage::default(),
        }
    }

    fn step(&mut self, step: u32) {
        let pause = Span(self.rng.u64(0..40_000));
        let long_pause = Span::from_ms(if self.rng.u32(0..200) == 0 { 4000.0 } else { 0.0 });
        self.now = self.now + pause + long_pause;
        let free_slots = self.balancer.fleet.endpoints.free_slot_count();
        let event = self.event(step);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { request, .. } = action {
                let number = self.attempts.entry(*request).or_insert(0);
                self.in_flight.push((*request, AttemptNo(*number), self.now));
                *number += 1;
            }
        }
        let fleet = &self.balancer.fleet;
        let own_region = fleet.endpoints.draw_pool(DrawPool::OwnRegion, RetryScope::Anywhere);
        self.coverage.slot_reused |= fleet.endpoints.free_slot_count() < free_slots;
        self.coverage.ejected |= !fleet.outliers.ejected().is_empty();
        self.coverage.first_try |= !fleet.slow_start.all_first_tries().is_empty();
        self.coverage.warming |= fleet.slow_start.warming_count() > 0;
        self.coverage.own_region |= !own_region.is_empty();
        check_state(&mut self.balancer, self.rng.u32(0..6) == 0);
    }

    fn event(&mut self, step: u32) -> Event {
        match self.rng.u32(0..100) {
            0..=7 => Event::Endpoints(EndpointUpdate::Changes(self.new_endpoints())),
            8..=17 if !self.listed.is_empty() => {
                Event::Endpoints(EndpointUpdate::Changes(self.changed_endpoints()))
            }
            18..=19 => {
                let rng = &mut self.rng;
                self.listed.retain(|_, _| rng.u32(0..9) > 0);
                Event::Endpoints(EndpointUpdate::Complete(self.listed.values().cloned().collect()))
            }
            20 => {
                let failures = [EndpointUpdate::Failed, EndpointUpdate::Unusable];
                Event::Endpoints(failures[self.rng.usize(0..2)].clone())
            }
            21..=23 => Event::Cordon { server: self.any_server() },
            24..=27 => {
                let cordoned = self.balancer.fleet.endpoints.any_cordoned();
                let server = cordoned.unwrap_or_else(|| self.any_server());
                Event::Uncordon { server, at: self.now }
            }
            28 => Event::EvacuateZone { zone: self.any_zone() },
            29..=30 => Event::RestoreZone { zone: self.any_zone(), at: self.now },
            31 => {
                let zones = self.rng.u32(0..ZONES);
                Event::Regions((0..zones).map(|zone| (ZoneId(zone), self.rng.u32(0..2))).collect())
            }
            32 => {
                let mut snapshot = self.balancer.snapshot(self.now);
                for server in &mut snapshot.servers {
                    (server.samples, server.is_ejected) = (3, self.rng.u32(0..9) == 0);
                }
                Event::Restore(snapshot)
            }
            33..=34 => Event::ResponseAborted { server: self.any_server() },
            35 => Event::HealthChecked {
                server: self.any_server(),
                outcome: [Outcome::Success, Outcome::TimedOut][self.rng.usize(0..2)],
                elapsed: Span::from_ms(3.0),
                report: None,
            },
            36..=63 => self.request(step),
            64..=92 if !self.in_flight.is_empty() => self.outcome(),
            _ => Event::Timer(TimerId(0)),
        }
    }

    /// One of the 60 servers that were added last; until there are as many, also one that does not exist yet.
    fn any_server(&mut self) -> ServerId {
        let end = self.next_server.max(60);
        ServerId(self.rng.u32(end - 60..end))
    }

    fn any_zone(&mut self) -> ZoneId {
        ZoneId(self.rng.u32(0..ZONES))
    }

    /// New servers, which reuse the slots of removed ones, and a few known servers that change their zone and cell.
    fn new_endpoints(&mut self) -> Vec<Endpoint> {
        let mut entries = Vec::new();
        for _ in 0..self.rng.u32(1..9) {
            let is_known = self.rng.u32(0..8) == 0;
            let server = if is_known { self.any_server().0 } else { self.next_server };
            self.next_server = self.next_server.max(server + 1);
            let started = self.rng.bool().then_some(self.now);
            let (zone, cell) = (self.any_zone(), CellId(self.rng.u32(0..CELLS)));
            let entry = Endpoint { zone, cell, started, ..Endpoint::serving(ServerId(server)) };
            self.listed.insert(server, entry.clone());
            entries.push(entry);
        }
        entries
    }

    fn changed_endpoints(&mut self) -> Vec<Endpoint> {
        let mut entries = Vec::new();
        for _ in 0..self.rng.usize(1..6) {
            let index = self.rng.usize(0..self.listed.len());
            let Some(entry) = self.listed.values_mut().nth(index) else { continue };
            entry.status = [Status::Serving, Status::Draining, Status::Gone][self.rng.usize(0..3)];
            entry.started = if self.rng.u32(0..4) == 0 { Some(self.now) } else { entry.started };
            entries.push(entry.clone());
        }
        self.listed.retain(|_, entry| entry.status != Status::Gone);
        entries
    }

    fn request(&mut self, step: u32) -> Event {
        let class = ClassId(self.rng.usize(0..4));
        let mut request = Request::new(RequestId(u64::from(step)), class, Span::from_ms(400.0));
        request.affinity_key = self.rng.bool().then(|| AffinityKey(self.rng.u64(0..9)));
        Event::Request(request)
    }

    fn outcome(&mut self) -> Event {
        let index = self.rng.usize(0..self.in_flight.len());
        let (request, attempt, sent_at) = self.in_flight.swap_remove(index);
        let failures = [Outcome::ServerError, Outcome::TimedOut, Outcome::Rejected, Outcome::ConnectFailed];
        let is_failure = self.rng.u32(0..3) == 0;
        let outcome = if is_failure { failures[self.rng.usize(0..4)] } else { Outcome::Success };
        let (elapsed, request_finished) = (self.now.since(sent_at), outcome == Outcome::Success);
        Event::Outcome { request, attempt, outcome, elapsed, report: None, request_finished }
    }
}

fn random_walk(variant: u64, steps: u32) -> Coverage {
    let mut walk = Walk::new(variant);
    (0..steps).for_each(|step| walk.step(step));
    walk.coverage
}

#[test]
fn incremental_state_equals_what_is_computed_from_all_servers() {
    let walks: Vec<Coverage> = (0..16).map(|variant| random_walk(variant, 800)).collect();
    let count = |reached: fn(&Coverage) -> bool| walks.iter().filter(|coverage| reached(coverage)).count();
    let counts = [
        ("a reused slot", count(|coverage| coverage.slot_reused)),
        ("an ejected server", count(|coverage| coverage.ejected)),
        ("a scheduled first try", count(|coverage| coverage.first_try)),
        ("a server that is warming up", count(|coverage| coverage.warming)),
        ("a server of the own region", count(|coverage| coverage.own_region)),
    ];
    for (what, count) in counts {
        assert!(
            count > walks.len() / 3,
            "only {count} of {} walks have reached {what}: too few for this test",
            walks.len()
        );
    }
}

/// An endpoint list without changes changes no state, including the order of the servers that random draws depend on.
#[test]
fn an_endpoint_list_without_changes_keeps_the_order_of_the_servers() {
    let mut balancer = Balancer::new(settings(1), 1).expect("valid settings");
    let now = Time::from_ms(1000.0);
    let entry =
        |server: u32| Endpoint { zone: ZoneId(server % ZONES), ..Endpoint::serving(ServerId(server)) };
    let entries: Vec<Endpoint> = (0..200).map(entry).collect();
    let mut actions = Vec::new();
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(entries.clone())), &mut actions);
    balancer.handle(
        now,
        Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint { status: Status::Gone, ..entry(7) }])),
        &mut actions,
    );
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Changes(vec![entry(7)])), &mut actions);
    let order = |balancer: &Balancer| {
        (
            balancer.fleet.endpoints.open().to_vec(),
            balancer.fleet.endpoints.open_by_zone().members(ZoneId(1)).to_vec(),
        )
    };
    let before = order(&balancer);
    let reversed: Vec<Endpoint> = entries.iter().rev().cloned().collect();
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Complete(reversed)), &mut actions);
    balancer.handle(now, Event::Endpoints(EndpointUpdate::Changes(entries)), &mut actions);
    assert_eq!(order(&balancer), before);
}
