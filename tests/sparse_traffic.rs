//! Failures found at full scale, where there are more balancers than servers, and almost all of a balancer's own
//! counts of requests in flight are zero.

mod common;

use balancer::*;
use common::{class, fleet, rejected, Rig};

const OBJECTIVE_MS: f64 = 200.0;

fn settings() -> Settings {
    Settings { balancers: 1000, classes: vec![class(Idempotency::Idempotent)], ..Settings::default() }
}

/// Submits requests one after another and reports for each attempt the outcome that `outcome` returns, after `ms`.
/// Returns the number of attempts sent to each of `n` servers.
fn serve(rig: &mut Rig, n: usize, count: u32, ms: f64, outcome: impl Fn(ServerId) -> Outcome) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut to) = rig.request(0);
        let mut attempt = 0;
        while let Some(server) = to {
            sent[server.0 as usize] += 1;
            rig.wait(Span::from_ms(ms));
            rig.respond(id, attempt, outcome(server), ms);
            attempt += 1;
            to = rig.sent_to(id);
        }
        rig.wait(Span::from_ms(50.0));
    }
    sent
}

fn always_succeed(_: ServerId) -> Outcome {
    Outcome::Success
}

/// A uniform random choice sent smaller machines as many requests as larger ones, and overloaded them first.
#[test]
fn load_is_proportional_to_listed_capacity() {
    let mut rig = Rig::new(Settings { weights: Weights::Capacity, ..settings() }, 1);
    let with_weight = |l: Endpoint| Endpoint { weight: if l.server.0 < 10 { 3.0 } else { 1.0 }, ..l };
    rig.set_endpoints(fleet(20, 1, 1).into_iter().map(with_weight).collect());
    let sent = serve(&mut rig, 20, 3000, 20.0, always_succeed);
    let (large, small) = (sent[..10].iter().sum::<u32>(), sent[10..].iter().sum::<u32>());
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.3..3.7).contains(&ratio), "large machines were sent {ratio:.2} times as much");
}

/// Machines of the same listed size may differ in speed. The latency of a machine type shows this earlier than the
/// latency of single servers.
#[test]
fn load_depends_on_the_latency_of_a_machine_type() {
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
    assert!(sent[1] > 5, "the slow kind still gets requests: {sent:?}");
}

/// Idle connections once grew to the number of balancers times the number of servers, beyond the servers' limits.
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
        // The connections of the previously remembered server are closed after its next response, so few stay open.
        for action in actions {
            if let Action::CloseIdleConnections { server } = action {
                kept.remove(&server);
            }
        }
        last = Some(to);
    }
    assert!(kept.contains(&last.unwrap()), "the remembered server's connection is kept");
}

/// Sends `rounds` of three concurrent requests. Returns how many of them found no idle connection of an earlier
/// response, and how many stayed in zone 0.
fn count_new_connections_and_same_zone(rig: &mut Rig, rounds: u32) -> (u32, u32) {
    let mut idle = std::collections::BTreeMap::new();
    let (mut new_connections, mut same_zone) = (0, 0);
    for _ in 0..rounds {
        let sent: Vec<_> = (0..3).map(|_| rig.request(0)).collect();
        for (_, to) in &sent {
            let to = to.expect("sent");
            let since = idle.remove(&to).filter(|at| rig.now.since(*at) < Span::from_ms(5000.0));
            new_connections += u32::from(since.is_none());
            same_zone += u32::from(to.0 % 4 == 0);
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
    (new_connections, same_zone)
}

/// Each attempt once opened a new connection, which took a tenth of the servers' work and added round trips before the
/// first byte.
#[test]
fn connections_are_reused_if_handshakes_have_a_price() {
    let prices = Prices { handshake: 0.08, ..Prices::default() };
    let mut rig = Rig::new(Settings { prices, ..settings() }, 5);
    rig.set_endpoints(fleet(60, 4, 1));
    let (new_connections, _) = count_new_connections_and_same_zone(&mut rig, 200);
    assert!(new_connections < 240, "{new_connections} of 600 needed a new connection");
}

/// Three of four attempts once crossed zones, which has a price and adds round trips. Other zones must still get some
/// requests.
#[test]
fn the_own_zone_is_preferred_if_crossing_zones_has_a_price() {
    let prices = Prices { handshake: 0.08, cross_zone: 0.12, ..Prices::default() };
    let mut rig = Rig::new(Settings { prices, ..settings() }, 5);
    rig.set_endpoints(fleet(60, 4, 1));
    let (_, same_zone) = count_new_connections_and_same_zone(&mut rig, 200);
    assert!((300..=540).contains(&same_zone), "{same_zone} of 600 stayed in the zone");
}

/// An overload of the whole fleet once never ended: limits per server have no effect if a balancer sends each server
/// one request in many seconds.
#[test]
fn an_overloaded_fleet_is_sent_few_requests_until_the_overload_ends() {
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
    assert!(refusals.count() < 10, "requests are admitted again");
}

/// Submits 400 requests, of which every `nth` that is sent is answered late. Returns how many of the last 200 were
/// sent.
fn count_admitted(nth: u32) -> u32 {
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

/// Balancers once did not react when a fifth of the responses were late: overloaded servers became slow, and the
/// overload lasted to the end of the day. A few responses that are late by chance or because of an outlier are no
/// overload.
#[test]
fn with_sparse_traffic_many_late_responses_lower_admission_and_a_few_do_not() {
    let (many, few) = (count_admitted(5), count_admitted(30));
    assert!((20..140).contains(&many), "{many} of 200 admitted while a fifth are late");
    assert!(few >= 190, "{few} of 200 admitted while one in thirty is late");
}

/// A rejection by a server with a short queue is no sign of overload: the request is sent to another server at once.
#[test]
fn single_rejections_do_not_lower_admission() {
    let mut rig = Rig::new(settings(), 5);
    rig.set_endpoints(fleet(50, 1, 1));
    serve(&mut rig, 50, 200, 20.0, |s| if s.0 < 10 { Outcome::Rejected } else { Outcome::Success });
    let sent = (0..100).filter(|_| rig.request(0).1.is_some()).count();
    assert!(sent > 90, "{sent} of 100 sent");
}

/// Without gossip, each of many balancers lost a request to each unresponsive server; a message of a few bytes now
/// informs the others.
#[test]
fn gossip_about_an_outlier_is_sent_applied_and_expires() {
    let settings = Settings { gossip: true, ..settings() };
    let mut teller = Rig::new(settings.clone(), 6);
    teller.set_endpoints(fleet(10, 1, 1));
    let (id, to) = teller.request(0);
    teller.wait(Span::from_ms(790.0));
    let gossip_actions = teller.respond(id, 0, Outcome::TimedOut, 790.0).to_vec();
    let payload = |a: &Action| match a {
        Action::Gossip { payload, .. } => Some(payload.clone()),
        _ => None,
    };
    let payloads: Vec<_> = gossip_actions.iter().filter_map(payload).collect();
    assert!(!payloads.is_empty() && payloads.len() <= 128, "{} peers notified", payloads.len());
    let server = to.expect("sent").0 as usize;

    // A successful response of its own outweighs the gossip, so only the first few selections of each of many new
    // balancers are counted.
    let count_first_selections = |wait_ms: f64| -> u32 {
        let selections = (0..60).map(|seed| {
            let mut rig = Rig::new(settings.clone(), seed);
            rig.set_endpoints(fleet(10, 1, 1));
            rig.notify(Event::Gossip { from: PeerId(1), payload: payloads[0].clone() });
            rig.wait(Span::from_ms(wait_ms));
            serve(&mut rig, 10, 3, 20.0, always_succeed)[server]
        });
        selections.sum()
    };
    let (early, late) = (count_first_selections(0.0), count_first_selections(10_000.0));
    assert!(early <= 4, "{early} of 180 to a server that the gossip is about");
    assert!(late >= 10, "{late} of 180 after the gossip has expired");
}

#[test]
fn malformed_gossip_has_no_effect() {
    let settings = Settings { gossip: true, ..settings() };
    let (mut without_gossip, mut with_gossip) = (Rig::new(settings.clone(), 8), Rig::new(settings, 8));
    without_gossip.set_endpoints(fleet(10, 1, 1));
    with_gossip.set_endpoints(fleet(10, 1, 1));
    for payload in [vec![], vec![1], vec![0; 300], 77_u32.to_be_bytes().to_vec()] {
        with_gossip.notify(Event::Gossip { from: PeerId(9), payload });
    }
    assert_eq!(
        serve(&mut without_gossip, 10, 50, 20.0, always_succeed),
        serve(&mut with_gossip, 10, 50, 20.0, always_succeed)
    );
}

/// If the link to a zone is cut, connecting fails at each of its servers. Two failures are enough to avoid the zone.
#[test]
fn an_unreachable_zone_is_avoided_after_two_failed_connects() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 9);
    rig.set_endpoints(fleet(60, 2, 1));
    let cut = |s: ServerId| if s.0 % 2 == 1 { Outcome::ConnectFailed } else { Outcome::Success };
    let sent = serve(&mut rig, 60, 60, 20.0, cut);
    let far: u32 = sent.iter().skip(1).step_by(2).sum();
    assert!(far <= 10, "{far} of 60 sent over the cut link");
}

/// A server that refuses a new connection but responds on its open ones is full: the server is not treated as
/// unreachable, and its zone is not evacuated.
#[test]
fn a_server_that_refuses_a_connection_and_responds_on_others_is_full() {
    let mut rig = Rig::new(settings(), 14);
    rig.set_endpoints(fleet(5, 1, 1));
    // Concurrent requests, so that each server has a few.
    let sent: Vec<_> = (0..40).map(|_| rig.request(0)).collect();
    let requests_to =
        |server: u32| sent.iter().filter(move |(_, s)| *s == Some(ServerId(server))).map(|(id, _)| *id);
    for server in 0..2 {
        let mut ids = requests_to(server);
        rig.respond(ids.next().expect("sent"), 0, Outcome::Success, 20.0);
        rig.respond(ids.next().expect("sent"), 0, Outcome::ConnectFailed, 1.0);
    }
    let sent_to_full = (0..20).filter(|_| rig.request(0).1.is_some_and(|s| s.0 < 2)).count();
    assert_eq!(sent_to_full, 0, "a full server gets no requests for a time");
    rig.wait(Span::from_ms(OBJECTIVE_MS + 50.0));
    let sent: Vec<_> = (0..100).filter_map(|_| rig.request(0).1).collect();
    let sent_later = sent.iter().filter(|s| s.0 < 2).count();
    assert!(
        sent_later * 4 >= sent.len(),
        "{sent_later} of {} to the two that were full, after that time",
        sent.len()
    );
}

fn settings_with_health_checks() -> Settings {
    Settings {
        health_checks: true,
        report_source: ReportSource::HealthChecks,
        report_fields: vec![ReportField::Utilisation, ReportField::InFlight],
        ..settings()
    }
}

fn health_checked_servers(rig: &Rig) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::HealthCheck { server } => Some(*server),
        _ => None,
    };
    rig.actions.iter().filter_map(server).collect()
}

/// Reports a successful health check with this number of requests in flight. Returns the server that a request is then
/// sent to.
fn report_in_flight(rig: &mut Rig, server: ServerId, in_flight: f64) -> Option<ServerId> {
    let report = Some(vec![0.5, in_flight]);
    let elapsed = Span::from_ms(1.0);
    let actions = rig.notify(Event::HealthChecked { server, outcome: Outcome::Success, elapsed, report });
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// The balancer's own counts were all zero, so it chose at random, and a third of the responses were late for this
/// reason alone.
#[test]
fn cheap_health_checks_find_the_least_loaded_candidate() {
    let mut rig = Rig::new(settings_with_health_checks(), 10);
    rig.set_endpoints(fleet(20, 1, 1));
    let (_, sent) = rig.request(0);
    assert_eq!(sent, None, "it waits for the reports of its candidates");
    let candidates = health_checked_servers(&rig);
    assert!(candidates.len() >= 2, "{candidates:?}");
    let mut sent = None;
    for (i, &server) in candidates.iter().enumerate() {
        sent = report_in_flight(&mut rig, server, if i == 1 { 0.0 } else { 4.0 });
        assert_eq!(sent.is_some(), i + 1 == candidates.len(), "sent with the last report");
    }
    assert_eq!(sent, Some(candidates[1]));
    rig.assert_invariants();
}

#[test]
fn a_candidate_that_does_not_report_is_not_waited_for_and_not_selected() {
    let mut rig = Rig::new(settings_with_health_checks(), 11);
    rig.set_endpoints(fleet(20, 1, 1));
    let (id, _) = rig.request(0);
    let candidates = health_checked_servers(&rig);
    report_in_flight(&mut rig, candidates[0], 3.0);
    let actions = rig.wait(Span::from_ms(0.06 * OBJECTIVE_MS));
    assert_eq!(common::sent_in(&actions, id), Some(candidates[0]));
    let (id, _) = rig.request(0);
    let actions = rig.wait(Span::from_ms(0.06 * OBJECTIVE_MS));
    assert!(common::sent_in(&actions, id).is_some(), "with no report at all it is sent all the same");
}

#[test]
fn expensive_or_useless_health_checks_are_not_sent() {
    let expensive = Prices { health_check: 0.01, ..Prices::default() };
    for settings in [
        Settings { prices: expensive, ..settings_with_health_checks() },
        Settings { report_fields: vec![ReportField::Utilisation], ..settings_with_health_checks() },
        Settings { health_checks: false, ..settings_with_health_checks() },
        Settings { balancers: 10, ..settings_with_health_checks() },
    ] {
        let mut rig = Rig::new(settings, 12);
        rig.set_endpoints(fleet(20, 1, 1));
        assert!(rig.request(0).1.is_some());
        assert!(health_checked_servers(&rig).is_empty());
    }
}

/// An idle server that is warming up would be the least loaded candidate in each selection, at all balancers at once.
#[test]
fn an_idle_warming_server_does_not_attract_all_requests() {
    for settings in [settings(), settings_with_health_checks()] {
        let mut rig = Rig::new(settings, 13);
        let mut lines = fleet(10, 1, 1);
        lines[9].started = Some(rig.now);
        rig.set_endpoints(lines);
        let (mut sent_to_warming, mut all) = (0, 0);
        for _ in 0..400 {
            let (id, mut to) = rig.request(0);
            for server in health_checked_servers(&rig) {
                to = to.or(report_in_flight(&mut rig, server, if server.0 == 9 { 0.0 } else { 2.0 }));
            }
            let to = to.expect("sent");
            sent_to_warming += u32::from(to.0 == 9);
            all += 1;
            rig.respond(id, 0, Outcome::Success, 20.0);
            rig.wait(Span::from_ms(2.0));
        }
        assert!(
            sent_to_warming <= all / 20,
            "{sent_to_warming} of {all} to one of ten servers, which is warming up"
        );
    }
}

/// On a site with an overload factor of 4, a release once overloaded the few warmed-up servers while those that were
/// warming up were idle. Servers that are warming up get more than their certain capacity, but far less than would
/// overload them.
#[test]
fn a_warming_server_is_sent_part_of_the_overload_that_it_tolerates() {
    let (mut sent_to_warming, mut all) = (0, 0);
    for seed in 0..20 {
        let mut rig = Rig::new(Settings { overload_factor: 4.0, initial_capacity: 0.13, ..settings() }, seed);
        let mut lines = fleet(10, 1, 1);
        lines[9].started = Some(rig.now);
        rig.set_endpoints(lines);
        for _ in 0..100 {
            let (id, to) = rig.request(0);
            sent_to_warming += u32::from(to == Some(ServerId(9)));
            all += 1;
            rig.respond(id, 0, Outcome::Success, 20.0);
            rig.wait(Span::from_ms(2.0));
        }
    }
    let share = f64::from(sent_to_warming) / (f64::from(all - sent_to_warming) / 9.0);
    assert!(
        (0.18..0.4).contains(&share),
        "a server that is warming up was sent {share:.2} of a warmed-up one's share"
    );
}
