//! Guards what one balancer learns from another: it goes on where that one was, and takes no nonsense.
mod common;
use balancer::*;
use common::*;
use std::collections::BTreeSet;

fn rig(seed: u64) -> Rig {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, seed);
    rig.set_endpoints(fleet(4, 1, 1));
    rig
}

/// Requests that are sent at once and stay out, of a hundred.
fn burst(rig: &mut Rig) -> usize {
    (0..100).filter(|_| rig.request(0).1.is_some()).count()
}

fn learned_snapshot() -> Snapshot {
    let mut rig = rig(3);
    for _ in 0..60 {
        let ids: Vec<_> =
            (0..12).filter_map(|_| Some(rig.request(0)).filter(|(_, sent)| sent.is_some())).collect();
        rig.wait(Span::from_ms(20.0));
        for (id, _) in ids {
            rig.respond(id, 0, Outcome::Success, 20.0);
        }
    }
    rig.balancer.snapshot(rig.now)
}

#[test]
fn a_balancer_continues_from_a_snapshot_of_another() {
    let fresh = burst(&mut rig(4));
    let mut next = rig(4);
    next.notify(Event::Restore(learned_snapshot()));
    let restored = burst(&mut next);
    assert!(restored > fresh + 4, "{restored} at once, {fresh} without a snapshot");
    next.assert_invariants();
}

#[test]
fn a_restarted_and_an_ejected_server_are_restored_differently() {
    let mut snapshot = learned_snapshot();
    let limit = |rig: &Rig| rig.balancer.snapshot(rig.now).servers[1].limit;
    let mut next = rig(4);
    let before = limit(&next);
    snapshot.servers[1].started = Some(Time(5));
    snapshot.servers[2].is_ejected = true;
    next.notify(Event::Restore(snapshot));
    assert_eq!(limit(&next), before, "it was another process");
    assert_eq!(next.balancer.endpoint_counts(next.now).avoided, 1);
}

#[test]
fn implausible_values_are_not_restored() {
    for odd in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        let mut snapshot = learned_snapshot();
        (snapshot.admission_level, snapshot.median_latency, snapshot.warm_sent) = (odd, odd, odd);
        snapshot.class_latencies = vec![odd; 3];
        for server in &mut snapshot.servers {
            (server.limit, server.slowdown, server.latency, server.warming_sent) = (odd, odd, odd, odd);
        }
        snapshot.servers[0].server = ServerId(99);
        let mut next = rig(4);
        next.notify(Event::Restore(snapshot));
        for _ in 0..50 {
            assert!(next.request_and_respond(20.0).is_some(), "{odd}");
        }
        next.assert_invariants();
    }
}

/// What is left for the next one is bounded however many servers there are, and it is of those that were met last.
#[test]
fn a_snapshot_has_the_servers_that_responded_last() {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 5);
    rig.set_endpoints(fleet(5000, 5, 5));
    let mut met = Vec::new();
    while met.len() < 2000 {
        let (id, sent) = rig.request(0);
        met.extend(sent);
        rig.wait(Span::from_ms(1.0));
        rig.respond(id, 0, Outcome::Success, 1.0);
    }
    let servers = rig.balancer.snapshot(rig.now).servers;
    assert_eq!(servers.len(), 1024);
    // A thousand sends meet at most so many: all of them must be there.
    let servers: BTreeSet<ServerId> = servers.iter().map(|server| server.server).collect();
    assert!(met[1000..].iter().all(|server| servers.contains(server)));
}
