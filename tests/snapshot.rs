//! Snapshots: a balancer continues with the state of an earlier one, and ignores implausible values.
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

/// Submits a hundred requests that are not answered. Returns how many were sent at once.
fn send_burst(rig: &mut Rig) -> usize {
    (0..100).filter(|_| rig.request(0).1.is_some()).count()
}

/// The snapshot of a balancer that has served up to 12 concurrent requests at a time, 60 times.
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
    let fresh = send_burst(&mut rig(4));
    let mut restored_rig = rig(4);
    restored_rig.notify(Event::Restore(learned_snapshot()));
    let restored = send_burst(&mut restored_rig);
    assert!(restored > fresh + 4, "{restored} at once, {fresh} without a snapshot");
    restored_rig.assert_invariants();
}

#[test]
fn a_restarted_and_an_ejected_server_are_restored_differently() {
    let mut snapshot = learned_snapshot();
    let limit = |rig: &Rig| rig.balancer.snapshot(rig.now).servers[1].limit;
    let mut restored_rig = rig(4);
    let before = limit(&restored_rig);
    snapshot.servers[1].started = Some(Time(5));
    snapshot.servers[2].is_ejected = true;
    restored_rig.notify(Event::Restore(snapshot));
    assert_eq!(limit(&restored_rig), before, "the limit was learned from an earlier process of the server");
    assert_eq!(restored_rig.balancer.endpoint_counts(restored_rig.now).avoided, 1);
}

#[test]
fn implausible_values_are_not_restored() {
    for value in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        let mut snapshot = learned_snapshot();
        (snapshot.admission_level, snapshot.median_latency, snapshot.warm_sent) = (value, value, value);
        snapshot.class_latencies = vec![value; 3];
        for server in &mut snapshot.servers {
            (server.limit, server.slowdown, server.latency, server.warming_sent) =
                (value, value, value, value);
        }
        snapshot.servers[0].server = ServerId(99);
        let mut restored_rig = rig(4);
        restored_rig.notify(Event::Restore(snapshot));
        for _ in 0..50 {
            assert!(restored_rig.request_and_respond(20.0).is_some(), "{value}");
        }
        restored_rig.assert_invariants();
    }
}

/// The size of a snapshot is bounded for any number of servers, and it contains those that responded last.
#[test]
fn a_snapshot_has_the_servers_that_responded_last() {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, 5);
    rig.set_endpoints(fleet(5000, 5, 5));
    let mut sent_servers = Vec::new();
    while sent_servers.len() < 2000 {
        let (id, sent) = rig.request(0);
        sent_servers.extend(sent);
        rig.wait(Span::from_ms(1.0));
        rig.respond(id, 0, Outcome::Success, 1.0);
    }
    let servers = rig.balancer.snapshot(rig.now).servers;
    assert_eq!(servers.len(), 1024);
    // The last 1000 sends reach at most 1000 servers, fewer than the snapshot has: all of them must be in it.
    let servers: BTreeSet<ServerId> = servers.iter().map(|server| server.server).collect();
    assert!(sent_servers[1000..].iter().all(|server| servers.contains(server)));
}
