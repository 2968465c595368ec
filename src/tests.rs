//! What is kept by increments is what a walk over all servers would find, whatever happens in whatever order.

use crate::endpoints::DrawPool;
use crate::retries::RetryScope;
use crate::server::Server;
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u32 = 5;
const CELLS: u32 = 12;

fn settings(pick: u64) -> Settings {
    let effects = [
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
        classes: effects.into_iter().map(class).collect(),
        prices: Prices { cross_zone: [0.0, 0.05][pick as usize % 2], ..Prices::default() },
        key_affinity: pick % 2 == 0,
        probes: pick % 3 == 0,
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

struct Seen {
    reused: bool,
    ejected: bool,
    first_try: bool,
    warming: bool,
    region: bool,
}

fn walk(pick: u64, steps: u32) -> Seen {
    let mut rng = fastrand::Rng::with_seed(pick);
    let mut b = Balancer::new(settings(pick), pick).expect("usable settings");
    let mut now = Time::from_ms(10_000.0);
    let mut out = Vec::new();
    b.start(now, &mut out);
    let mut lines: BTreeMap<u32, Endpoint> = BTreeMap::new();
    let mut flights: Vec<(RequestId, u32, Time)> = Vec::new();
    let mut sent: BTreeMap<RequestId, u32> = BTreeMap::new();
    let mut next = 0;
    let mut seen = Seen { reused: false, ejected: false, first_try: false, warming: false, region: false };
    for step in 0..steps {
        now = now + Span(rng.u64(0..40_000)) + Span::from_ms(if rng.u32(0..200) == 0 { 4000.0 } else { 0.0 });
        let free = b.fleet.endpoints.free_slot_count();
        let known = next.max(60) - 60..next.max(60);
        let any = |rng: &mut fastrand::Rng| ServerId(rng.u32(known.clone()));
        let event = match rng.u32(0..100) {
            // New ones, that get the slots of those that have gone; a few that change place.
            0..=7 => {
                let mut news = Vec::new();
                for _ in 0..rng.u32(1..9) {
                    let server = if rng.u32(0..8) == 0 { any(&mut rng).0 } else { next };
                    next = next.max(server + 1);
                    let started = rng.bool().then_some(now);
                    let (zone, cell) = (ZoneId(rng.u32(0..ZONES)), CellId(rng.u32(0..CELLS)));
                    let line = Endpoint { zone, cell, started, ..Endpoint::serving(ServerId(server)) };
                    lines.insert(server, line.clone());
                    news.push(line);
                }
                Event::Endpoints(EndpointUpdate::Changes(news))
            }
            8..=17 if !lines.is_empty() => {
                let mut news = Vec::new();
                for _ in 0..rng.usize(1..6) {
                    let at = rng.usize(0..lines.len());
                    let Some(line) = lines.values_mut().nth(at) else { continue };
                    line.status = [Status::Serving, Status::Draining, Status::Gone][rng.usize(0..3)];
                    line.started = if rng.u32(0..4) == 0 { Some(now) } else { line.started };
                    news.push(line.clone());
                }
                lines.retain(|_, line| line.status != Status::Gone);
                Event::Endpoints(EndpointUpdate::Changes(news))
            }
            18..=19 => {
                lines.retain(|_, _| rng.u32(0..9) > 0);
                Event::Endpoints(EndpointUpdate::Complete(lines.values().cloned().collect()))
            }
            20 => {
                Event::Endpoints([EndpointUpdate::Failed, EndpointUpdate::Unusable][rng.usize(0..2)].clone())
            }
            21..=23 => Event::Cordon { server: any(&mut rng) },
            24..=27 => Event::Uncordon {
                server: b.fleet.endpoints.any_cordoned().unwrap_or_else(|| any(&mut rng)),
                at: now,
            },
            28 => Event::EvacuateZone { zone: ZoneId(rng.u32(0..ZONES)) },
            29..=30 => Event::RestoreZone { zone: ZoneId(rng.u32(0..ZONES)), at: now },
            31 => Event::Regions((0..rng.u32(0..ZONES)).map(|z| (ZoneId(z), rng.u32(0..2))).collect()),
            32 => {
                let mut snapshot = b.snapshot(now);
                snapshot.servers.iter_mut().for_each(|s| (s.samples, s.suspect) = (3, rng.u32(0..9) == 0));
                Event::Restore(snapshot)
            }
            33..=34 => Event::ResponseAborted { server: any(&mut rng) },
            35 => Event::HealthChecked {
                server: any(&mut rng),
                outcome: [Outcome::Success, Outcome::TimedOut][rng.usize(0..2)],
                elapsed: Span::from_ms(3.0),
                report: None,
            },
            36..=63 => {
                let mut request =
                    Request::new(RequestId(u64::from(step)), ClassId(rng.usize(0..4)), Span::from_ms(400.0));
                request.key = rng.bool().then(|| KeyId(rng.u64(0..9)));
                Event::Request(request)
            }
            64..=92 if !flights.is_empty() => {
                let (request, attempt, at) = flights.swap_remove(rng.usize(0..flights.len()));
                let bad =
                    [Outcome::ServerError, Outcome::TimedOut, Outcome::Rejected, Outcome::ConnectFailed];
                let outcome = if rng.u32(0..3) == 0 { bad[rng.usize(0..4)] } else { Outcome::Success };
                let (elapsed, closed) = (now.since(at), outcome == Outcome::Success);
                let attempt = AttemptNo(attempt);
                Event::Outcome { request, attempt, outcome, elapsed, report: None, closed }
            }
            _ => Event::Timer(TimerId(0)),
        };
        out.clear();
        b.handle(now, event, &mut out);
        for action in &out {
            if let Action::Send { request, .. } = action {
                let number = sent.entry(*request).or_insert(0);
                flights.push((*request, *number, now));
                *number += 1;
            }
        }
        seen.reused |= b.fleet.endpoints.free_slot_count() < free;
        seen.ejected |= !b.fleet.outliers.ejected().is_empty();
        seen.first_try |= !b.fleet.slow_start.all_first_tries().is_empty();
        seen.warming |= b.fleet.slow_start.warming_count() > 0;
        seen.region |= !b.fleet.endpoints.draw_pool(DrawPool::OwnRegion, RetryScope::Anywhere).is_empty();
        check(&mut b, rng.u32(0..6) == 0);
    }
    seen
}

#[test]
fn increments_equal_a_walk_over_all_servers() {
    let walks: Vec<Seen> = (0..16).map(|pick| walk(pick, 800)).collect();
    let most = |so: fn(&Seen) -> bool| walks.iter().filter(|seen| so(seen)).count();
    let counts = [
        ("reused", most(|s| s.reused)),
        ("ejected", most(|s| s.ejected)),
        ("first try", most(|s| s.first_try)),
        ("warming", most(|s| s.warming)),
        ("region", most(|s| s.region)),
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
