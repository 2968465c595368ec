//! Failures found at full size, where balancers outnumber servers and own counts are nearly all zero.

mod common;

use balancer::*;
use common::{class, fleet, rejected, Rig};

const OBJECTIVE_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancers: 1000, classes: vec![class(Idempotency::Idempotent)], ..Settings::default() }
}

/// One request after another, each answered in `ms` by the servers that `works`; how often each was sent to.
fn serve(rig: &mut Rig, n: usize, count: u32, ms: f64, ending: impl Fn(ServerId) -> Outcome) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = rig.request(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            rig.wait(Span::from_ms(ms));
            rig.respond(id, attempt, ending(server), ms);
            attempt += 1;
            to = rig.sent_to(id);
        }
        rig.wait(Span::from_ms(50.0));
    }
    sent
}

fn all_well(_: ServerId) -> Outcome {
    Outcome::Success
}

/// A fair draw sent machines of half the size as much as the others, and they were overloaded first.
#[test]
fn load_goes_by_listed_size() {
    let mut rig = Rig::new(Settings { weights: Weights::Capacity, ..settings() }, 1);
    let sized = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    rig.set_endpoints(fleet(20, 1, 1).into_iter().map(sized).collect());
    let sent = serve(&mut rig, 20, 3000, 20.0, all_well);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as much");
}

/// Machines of one listed size and different speed: the machine type's responses tell them apart before single servers can.
#[test]
fn load_goes_by_the_latency_of_a_machine_type() {
    let mut rig = Rig::new(settings(), 2);
    let lines = fleet(100, 1, 1).into_iter().map(|l| Endpoint { kind: KindId(l.server.0 % 2), ..l });
    rig.set_endpoints(lines.collect());
    let mut sent = [0, 0];
    for _ in 0..600 {
        let (id, to) = rig.request(0);
        let kind = (to.expect("sent").0 % 2) as usize;
        sent[kind] += 1;
        let ms = [30.0, 90.0][kind];
        rig.wait(Span::from_ms(ms));
        rig.respond(id, 0, Outcome::Success, ms);
    }
    assert!(sent[0] > 2 * sent[1], "the kind that is three times as fast was sent {sent:?}");
    assert!(sent[1] > 5, "the slow kind is not shut out: {sent:?}");
}

/// Kept connections grew to balancers times servers, over the servers' caps.
#[test]
fn only_the_remembered_server_keeps_its_connections() {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(20, 1, 1));
    let mut kept = std::collections::BTreeSet::new();
    let mut last = None;
    for _ in 0..200 {
        let (id, to) = rig.request(0);
        let to = to.expect("sent");
        kept.insert(to);
        rig.wait(Span::from_ms(20.0));
        let actions = rig.respond(id, 0, Outcome::Success, 20.0).to_vec();
        // What was remembered before is let go of with its next answer, so at most a few are open.
        for action in actions {
            if let Action::CloseIdleConnections { server } = action {
                kept.remove(&server);
            }
        }
        last = Some(to);
    }
    assert!(kept.contains(&last.unwrap()), "the remembered server's connection is kept");
}

/// Of `rounds` of three requests that overlap, those for which no idle connection was left from an earlier
/// answer, and those that stayed in zone 0.
fn fresh_and_near(rig: &mut Rig, rounds: u32) -> (u32, u32) {
    let mut idle = std::collections::BTreeMap::new();
    let (mut fresh, mut near) = (0, 0);
    for _ in 0..rounds {
        let sent: Vec<_> = (0..3).map(|_| rig.request(0)).collect();
        for (_, to) in &sent {
            let to = to.expect("sent");
            let since = idle.remove(&to).filter(|at| rig.now.since(*at) < Span::from_ms(5000.0));
            fresh += u32::from(since.is_none());
            near += u32::from(to.0 % 4 == 0);
        }
        for (id, to) in sent {
            rig.wait(Span::from_ms(20.0));
            idle.insert(to.expect("sent"), rig.now);
            for action in rig.respond(id, 0, Outcome::Success, 20.0) {
                if let Action::CloseIdleConnections { server } = action {
                    idle.remove(server);
                }
            }
        }
        rig.wait(Span::from_ms(100.0));
    }
    (fresh, near)
}

/// Each attempt had a fresh connection: a tenth of the servers' work, and round trips before the first byte.
#[test]
fn connections_are_reused_where_handshakes_have_a_price() {
    let prices = Prices { handshake: 0.08, ..Prices::default() };
    let mut rig = Rig::new(Settings { prices, ..settings() }, 5);
    rig.set_endpoints(fleet(60, 4, 1));
    let (fresh, _) = fresh_and_near(&mut rig, 200);
    assert!(fresh < 240, "{fresh} of 600 needed a fresh connection");
}

/// Three of four attempts crossed zones, for a price and round trips; yet a zone must not be all that is used.
#[test]
fn the_own_zone_is_preferred_where_crossing_has_a_price() {
    let prices = Prices { handshake: 0.08, cross_zone: 0.12, ..Prices::default() };
    let mut rig = Rig::new(Settings { prices, ..settings() }, 5);
    rig.set_endpoints(fleet(60, 4, 1));
    let (_, near) = fresh_and_near(&mut rig, 200);
    assert!((300..=540).contains(&near), "{near} of 600 stayed in the zone");
}

/// An overload of the whole fleet never ended: limits per server bind nothing at one visit in many seconds.
#[test]
fn an_overloaded_fleet_is_sent_little_and_the_end_of_the_overload_is_noticed() {
    let mut rig = Rig::new(settings(), 4);
    rig.set_endpoints(fleet(50, 1, 1));
    serve(&mut rig, 50, 60, 2.0 * OBJECTIVE_MS, |_| Outcome::TimedOut);
    let sent = (0..200).filter(|_| rig.request(0).1.is_some()).count();
    assert!((1..40).contains(&sent), "{sent} of 200 sent into an overload");
    rig.wait(Span::from_ms(1000.0));
    for _ in 0..1000 {
        let (id, to) = rig.request(0);
        if to.is_some() {
            rig.wait(Span::from_ms(20.0));
            rig.respond(id, 0, Outcome::Success, 20.0);
        }
    }
    let refusals = (0..50).filter(|_| {
        let (id, _) = rig.request(0);
        rejected(&rig.actions, id)
    });
    assert!(refusals.count() < 10, "it opens again");
}

/// Of 400 requests, each `nth` that is sent is answered late; how many of the last 200 were let in.
fn let_in(nth: u32) -> u32 {
    let mut rig = Rig::new(settings(), 9);
    rig.set_endpoints(fleet(50, 1, 1));
    let (mut sent, mut last) = (0, 0);
    for i in 0..400 {
        let (id, to) = rig.request(0);
        if to.is_some() {
            sent += 1;
            last += u32::from(i >= 200);
            rig.wait(Span::from_ms(20.0));
            rig.respond(
                id,
                0,
                Outcome::Success,
                if sent % nth == 0 { 1.2 * OBJECTIVE_MS } else { 0.2 * OBJECTIVE_MS },
            );
        }
    }
    last
}

/// A fifth of late responses left all balancers as they were: crowded servers turned slow, and the overload stayed to
/// the end of the day. A few that are late by chance or by a bad server are no overload.
#[test]
fn with_sparse_traffic_many_late_responses_lower_admission_and_a_few_do_not() {
    let (many, few) = (let_in(5), let_in(30));
    assert!((20..140).contains(&many), "{many} of 200 let in while a fifth are late");
    assert!(few >= 190, "{few} of 200 let in while one in thirty is late");
}

/// A request turned away by a short queue is no sign of an overload: it goes elsewhere at once.
#[test]
fn single_rejections_lower_no_admission() {
    let mut rig = Rig::new(settings(), 5);
    rig.set_endpoints(fleet(50, 1, 1));
    serve(&mut rig, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| rig.request(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Each of many balancers lost a request to each unresponsive server; now a few bytes tell the others.
#[test]
fn gossip_about_an_outlier_is_sent_followed_and_forgotten() {
    let settings = Settings { gossip: true, ..settings() };
    let mut teller = Rig::new(settings.clone(), 6);
    teller.set_endpoints(fleet(10, 1, 1));
    let (id, to) = teller.request(0);
    teller.wait(Span::from_ms(790.0));
    let told = teller.respond(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let tell = |a: &Action| match a {
        Action::Gossip { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let all: Vec<_> = told.iter().filter_map(tell).collect();
    assert!(!all.is_empty() && all.len() <= 128, "{} peers notified", all.len());
    let server = to.expect("sent").0 as usize;

    // A good answer of its own ends the suspicion, so each of many fresh balancers shows its first few picks only.
    let first_picks = |wait_ms: f64| -> u32 {
        let picks = (0..60).map(|seed| {
            let mut rig = Rig::new(settings.clone(), seed);
            rig.set_endpoints(fleet(10, 1, 1));
            rig.notify(Event::Gossip { from: PeerId(1), payload: all[0].clone() });
            rig.wait(Span::from_ms(wait_ms));
            serve(&mut rig, 10, 3, 20.0, all_well)[server]
        });
        picks.sum()
    };
    let (fresh, old) = (first_picks(0.0), first_picks(10_000.0));
    assert!(fresh <= 4, "{fresh} of 180 to a server that was spoken of");
    assert!(old >= 10, "{old} of 180 once the gossip is old");
}

#[test]
fn gossip_that_makes_no_sense_changes_nothing() {
    let settings = Settings { gossip: true, ..settings() };
    let (mut plain, mut told) = (Rig::new(settings.clone(), 8), Rig::new(settings, 8));
    plain.set_endpoints(fleet(10, 1, 1));
    told.set_endpoints(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        told.notify(Event::Gossip { from: PeerId(9), payload });
    }
    assert_eq!(serve(&mut plain, 10, 50, 20.0, all_well), serve(&mut told, 10, 50, 20.0, all_well));
}

/// Behind a cut link every server fails to connect, one after another; two failures tell of the zone.
#[test]
fn a_cut_zone_is_left_after_two_failed_connects() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 9);
    rig.set_endpoints(fleet(60, 2, 1));
    let cut = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut rig, 60, 60, 20.0, cut);
    let far: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(far <= 10, "{far} of 60 sent over the cut link");
}

/// Every server of a zone that has no place for one more connection, and responses on those it has, is full: the
/// zone is no more left for it than a server is taken for dead.
#[test]
fn a_server_that_refuses_a_connection_and_responds_on_others_is_full() {
    let mut rig = Rig::new(settings(), 14);
    rig.set_endpoints(fleet(5, 1, 1));
    // Requests that overlap, so that each server holds a few.
    let sent: Vec<_> = (0..40).map(|_| rig.request(0)).collect();
    let to = |server: u32| sent.iter().filter(move |(_, s)| *s == Some(ServerId(server))).map(|(id, _)| *id);
    for server in 0..2 {
        let mut ids = to(server);
        rig.respond(ids.next().expect("sent"), 0, Outcome::Success, 20.0);
        rig.respond(ids.next().expect("sent"), 0, Outcome::ConnectFailed, 1.0);
    }
    let rests = (0..20).filter(|_| rig.request(0).1.is_some_and(|s| s.0 < 2)).count();
    assert_eq!(rests, 0, "a full server rests first");
    rig.wait(Span::from_ms(OBJECTIVE_MS + 50.0));
    let sent: Vec<_> = (0..100).filter_map(|_| rig.request(0).1).collect();
    let back = sent.iter().filter(|s| s.0 < 2).count();
    assert!(back * 4 >= sent.len(), "{back} of {} to the two that were full, after their rest", sent.len());
}

fn asking() -> Settings {
    Settings {
        health_checks: true,
        report_source: ReportSource::HealthChecks,
        report_fields: vec![ReportField::Utilisation, ReportField::InFlight],
        ..settings()
    }
}

fn probed(rig: &Rig) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    rig.actions.iter().filter_map(server).collect()
}

fn report(rig: &mut Rig, server: ServerId, held: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, held]);
    let elapsed = Span::from_ms(1.0);
    let actions = rig.notify(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// A third of the responses were late by chance alone, own counts being all zero.
#[test]
fn cheap_health_checks_find_the_lightest_candidate() {
    let mut rig = Rig::new(asking(), 10);
    rig.set_endpoints(fleet(20, 1, 1));
    let (_, sent) = rig.request(0);
    assert_eq!(sent, None, "it waits for its candidates");
    let candidates = probed(&rig);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report(&mut rig, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent with the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    rig.assert_invariants();
}

#[test]
fn a_candidate_that_does_not_report_is_not_waited_for_and_not_selected() {
    let mut rig = Rig::new(asking(), 11);
    rig.set_endpoints(fleet(20, 1, 1));
    let (id, _) = rig.request(0);
    let candidates = probed(&rig);
    report(&mut rig, candidates[0], 3.0);
    let actions = rig.wait(Span::from_ms(0.06 * OBJECTIVE_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = rig.request(0);
    let actions = rig.wait(Span::from_ms(0.06 * OBJECTIVE_MS));
    assert!(common::sent_in(&actions, id).is_some(), "with no report at all it is sent all the same");
}

#[test]
fn expensive_or_useless_health_checks_are_not_sent() {
    let dear = Prices { health_check: 0.01, ..Prices::default() };
    for settings in [
        Settings { prices: dear, ..asking() },
        Settings { report_fields: vec![ReportField::Utilisation], ..asking() },
        Settings { health_checks: false, ..asking() },
        Settings { balancers: 10, ..asking() },
    ] {
        let mut rig = Rig::new(settings, 12);
        rig.set_endpoints(fleet(20, 1, 1));
        assert!(rig.request(0).1.is_some());
        assert!(probed(&rig).is_empty());
    }
}

/// An empty warming server would win every pick it is asked in, at all balancers at once.
#[test]
fn an_idle_warming_server_does_not_attract_all_requests() {
    for settings in [settings(), asking()] {
        let mut rig = Rig::new(settings, 13);
        let mut lines = fleet(10, 1, 1);
        lines[9].started = Some(rig.now);
        rig.set_endpoints(lines);
        let (mut cold, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = rig.request(0);
            for server in probed(&rig) {
                to = to.or(report(&mut rig, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            cold += u32::from(to.0 == 9);
            all += 1;
            rig.respond(id, 0, Outcome::Success, 20.0);
            rig.wait(Span::from_ms(2.0));
        }
        assert!(cold <= all / 20, "{cold} of {all} to one warming server of ten");
    }
}

/// Where the site's servers take an overload of four, a release left the few warm ones in an overload while the cold
/// ones idled: these have more than is sure, and far less than would push them over is sent to them.
#[test]
fn a_warming_server_is_sent_part_of_the_overload_that_it_takes() {
    let (mut cold, mut all) = (0, 0);
    for seed in 0..20 {
        let mut rig = Rig::new(Settings { overload_factor: 4.0, initial_capacity: 0.13, ..settings() }, seed);
        let mut lines = fleet(10, 1, 1);
        lines[9].started = Some(rig.now);
        rig.set_endpoints(lines);
        for _ in 0..100 {
            let (id, to) = rig.request(0);
            cold += u32::from(to == Some(ServerId(9)));
            all += 1;
            rig.respond(id, 0, Outcome::Success, 20.0);
            rig.wait(Span::from_ms(2.0));
        }
    }
    let share = f64::from(cold) / (f64::from(all - cold) / 9.0);
    assert!((0.18..0.4).contains(&share), "a warming server was sent {share:.2} of a warm one's share");
}
