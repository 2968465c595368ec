//! What is kept by increments is what a walk over all servers would find, whatever happens in whatever order.

use crate::endpoints::DrawPool;
use crate::retries::RetryScope;
use crate::server::Server;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u32 = 5;
const CELLS: u32 = 12;

fn settings(pick: u64) -> Settings {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        Idempotency::Deduplicated { scope: DeduplicationScope::Cell, window: Span::from_ms(600.0) },
        Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window: Span::from_ms(600.0) },
    ];
    let class =
        |idempotency| Class { idempotency, latency_objective: Span::from_ms(100.0), ..Class::default() };
    Settings {
        balancers: [1, 3, 9, 500][pick as usize % 4],
        zone: ZoneId(1),
        classes: idempotencies.into_iter().map(class).collect(),
        prices: Prices { cross_zone: [0.0, 0.05][pick as usize % 2], ..Prices::default() },
        key_affinity: pick % 2 == 0,
        health_checks: pick % 3 == 0,
        initial_capacity: [0.2, 1.0][usize::from(pick % 7 == 6)],
        warm_up_time: Span::from_ms([3000.0, 0.0][usize::from(pick % 11 == 10)]),
        ..Settings::default()
    }
}

fn sorted(mut slots: Vec<usize>) -> Vec<usize> {
    slots.sort_unstable();
    slots
}

/// Compares all that is kept over the servers with what a walk over them finds.
fn check(b: &mut Balancer, median: bool) {
    b.fleet.endpoints.assert_consistent();
    let used: BTreeSet<usize> = b.fleet.endpoints.used_slots().collect();
    let server = |slot: usize| b.fleet.endpoints.server(slot);
    let those = |so: &dyn Fn(usize) -> bool| used.iter().copied().filter(|&i| so(i)).collect::<Vec<_>>();
    let open = |i: usize| server(i).is_open;
    let ejected = |i: usize| open(i) && server(i).health.is_ejected();
    assert_eq!(b.fleet.outliers.ejected().iter().copied().collect::<Vec<_>>(), those(&ejected), "ejected");
    let warm =
        |i: usize| open(i) && b.fleet.slow_start_factor(b.fleet.slow_start.checked_at(), server(i)) >= 1.0;
    assert_eq!(b.fleet.slow_start.warm_count(b.fleet.endpoints.open().len()), those(&warm).len(), "warm");
    let first_try = |i: usize| open(i) && server(i).slow_start.has_first_try();
    assert_eq!(sorted(b.fleet.slow_start.all_first_tries()), those(&first_try), "first tries");
    assert!(b.selection.remembered().iter().all(|&m| open(m)), "a closed server is remembered");
    let mut out: BTreeMap<usize, u32> = BTreeMap::new();
    b.pending.attempts().for_each(|(_, attempt)| *out.entry(attempt.server).or_default() += 1);
    for (slot, s) in b.fleet.endpoints.servers().iter().enumerate() {
        let in_flight = out.get(&slot).copied().unwrap_or(0);
        assert_eq!(s.connections.in_flight(), in_flight, "in flight at slot {slot}");
    }
    assert!(out.keys().all(|i| used.contains(i)), "a slot was freed under an attempt");

    if median {
        let judged = |s: &&Server| s.endpoint.status == Status::Serving && s.latency.samples() > 0;
        let servers = b.fleet.endpoints.servers().iter().filter(judged);
        let mut latencies: Vec<f64> = servers.map(|s| s.latency.smoothed()).collect();
        latencies.sort_by(f64::total_cmp);
        let expected = latencies.get(latencies.len() / 2).map_or(b.fleet.latencies.median(), |m| m.max(0.01));
        b.fleet.update_median_latency();
        assert_eq!(b.fleet.latencies.median(), expected, "median of {latencies:?}");
    }
}

/// What a walk has met; a walk that meets little shows little.
#[derive(Default)]
struct Seen {
    reused: bool,
    ejected: bool,
    first_try: bool,
    warming: bool,
    region: bool,
}

/// A balancer on a random walk through events.
struct Walk {
    rng: fastrand::Rng,
    balancer: Balancer,
    now: Time,
    listed: BTreeMap<u32, Endpoint>,
    in_flight: Vec<(RequestId, AttemptNo, Time)>,
    attempts: BTreeMap<RequestId, u32>,
    next_server: u32,
    seen: Seen,
}

impl Walk {
    fn new(pick: u64) -> Self {
        let mut balancer = Balancer::new(settings(pick), pick).expect("usable settings");
        let now = Time::from_ms(10_000.0);
        balancer.start(now, &mut Vec::new());
        Walk {
            rng: fastrand::Rng::with_seed(pick),
            balancer,
            now,
            listed: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            next_server: 0,
            seen: Seen::default(),
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
        let region = fleet.endpoints.draw_pool(DrawPool::OwnRegion, RetryScope::Anywhere);
        self.seen.reused |= fleet.endpoints.free_slot_count() < free_slots;
        self.seen.ejected |= !fleet.outliers.ejected().is_empty();
        self.seen.first_try |= !fleet.slow_start.all_first_tries().is_empty();
        self.seen.warming |= fleet.slow_start.warming_count() > 0;
        self.seen.region |= !region.is_empty();
        check(&mut self.balancer, self.rng.u32(0..6) == 0);
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

    /// One of the servers that were new last.
    fn any_server(&mut self) -> ServerId {
        let end = self.next_server.max(60);
        ServerId(self.rng.u32(end - 60..end))
    }

    fn any_zone(&mut self) -> ZoneId {
        ZoneId(self.rng.u32(0..ZONES))
    }

    /// New servers, which get the slots of removed ones, and a few that change place.
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
            let at = self.rng.usize(0..self.listed.len());
            let Some(entry) = self.listed.values_mut().nth(at) else { continue };
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
        let at = self.rng.usize(0..self.in_flight.len());
        let (request, attempt, sent_at) = self.in_flight.swap_remove(at);
        let failures = [Outcome::ServerError, Outcome::TimedOut, Outcome::Rejected, Outcome::ConnectFailed];
        let is_failure = self.rng.u32(0..3) == 0;
        let outcome = if is_failure { failures[self.rng.usize(0..4)] } else { Outcome::Success };
        let (elapsed, request_finished) = (self.now.since(sent_at), outcome == Outcome::Success);
        Event::Outcome { request, attempt, outcome, elapsed, report: None, request_finished }
    }
}

fn walk(pick: u64, steps: u32) -> Seen {
    let mut walk = Walk::new(pick);
    (0..steps).for_each(|step| walk.step(step));
    walk.seen
}

#[test]
fn increments_equal_a_walk_over_all_servers() {
    let walks: Vec<Seen> = (0..16).map(|pick| walk(pick, 800)).collect();
    let count = |so: fn(&Seen) -> bool| walks.iter().filter(|seen| so(seen)).count();
    let counts = [
        ("reused", count(|s| s.reused)),
        ("ejected", count(|s| s.ejected)),
        ("first try", count(|s| s.first_try)),
        ("warming", count(|s| s.warming)),
        ("region", count(|s| s.region)),
    ];
    for (what, count) in counts {
        assert!(
            count > walks.len() / 3,
            "only {count} of {} walks have met {what}: they show little",
            walks.len()
        );
    }
}

/// A whole list that says what is known changes nothing, not even the order in which servers are drawn.
#[test]
fn a_list_that_changes_nothing_changes_nothing() {
    let mut b = Balancer::new(settings(1), 1).expect("usable settings");
    let now = Time::from_ms(1000.0);
    let line = |i: u32| Endpoint { zone: ZoneId(i % ZONES), ..Endpoint::serving(ServerId(i)) };
    let lines: Vec<Endpoint> = (0..200).map(line).collect();
    let mut out = Vec::new();
    b.handle(now, Event::Endpoints(EndpointUpdate::Complete(lines.clone())), &mut out);
    b.handle(
        now,
        Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint { status: Status::Gone, ..line(7) }])),
        &mut out,
    );
    b.handle(now, Event::Endpoints(EndpointUpdate::Changes(vec![line(7)])), &mut out);
    let order = |b: &Balancer| {
        (b.fleet.endpoints.open().to_vec(), b.fleet.endpoints.open_by_zone().members(ZoneId(1)).to_vec())
    };
    let before = order(&b);
    let shuffled: Vec<Endpoint> = lines.iter().rev().cloned().collect();
    b.handle(now, Event::Endpoints(EndpointUpdate::Complete(shuffled)), &mut out);
    b.handle(now, Event::Endpoints(EndpointUpdate::Changes(lines)), &mut out);
    assert_eq!(order(&b), before);
}
