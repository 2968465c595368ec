//! A cordoned server is sent nothing until an operator uncordons it; after that it is warming up.
mod common;
use balancer::*;
use common::*;

const SERVER: ServerId = ServerId(2);

fn rig(seed: u64) -> Rig {
    let settings = Settings { classes: vec![class(Idempotency::Idempotent)], ..Settings::default() };
    let mut rig = Rig::new(settings, seed);
    rig.set_endpoints(fleet(4, 1, 1));
    rig
}

/// Serves `count` requests one after another; each attempt ends after 5 ms with the outcome that `outcome` gives
/// for its server. Returns how many attempts `SERVER` was sent.
fn serve_requests(rig: &mut Rig, count: u32, outcome: impl Fn(ServerId) -> Outcome) -> usize {
    let mut sent_to_server = 0;
    for _ in 0..count {
        let (id, mut server) = rig.request(0);
        let mut attempt = 0;
        while let Some(target) = server {
            sent_to_server += usize::from(target == SERVER);
            rig.wait(Span::from_ms(5.0));
            rig.respond(id, attempt, outcome(target), 5.0);
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(5.0));
    }
    rig.assert_invariants();
    sent_to_server
}

#[test]
fn a_cordoned_server_gets_nothing_whatever_the_list_says() {
    let mut rig = rig(5);
    assert!(serve_requests(&mut rig, 100, |_| Outcome::Success) > 5, "it must be in use before the cordon");
    assert!(rig
        .notify(Event::Cordon { server: SERVER })
        .contains(&Action::CloseIdleConnections { server: SERVER }));
    rig.wait(Span::from_ms(1.0));
    assert_eq!(rig.balancer.endpoint_counts(rig.now), EndpointCounts { listed: 4, avoided: 1 });
    let endpoints = fleet(4, 1, 1);
    let endpoint = endpoints[SERVER.0 as usize].clone();
    let single_change = |endpoint: Endpoint| Event::Endpoints(EndpointUpdate::Changes(vec![endpoint]));
    let restarted = Endpoint { started: Some(rig.now), ..endpoint.clone() };
    let events = [
        single_change(endpoint.clone()),
        single_change(Endpoint { status: Status::Gone, ..endpoint.clone() }),
        Event::Endpoints(EndpointUpdate::Complete(endpoints[..2].to_vec())),
        Event::Endpoints(EndpointUpdate::Complete(endpoints.clone())),
        single_change(restarted),
        Event::Cordon { server: SERVER },
    ];
    for event in events {
        rig.notify(event);
        assert_eq!(serve_requests(&mut rig, 100, |_| Outcome::Success), 0);
    }
    // Retries too: every other server fails, and the cordoned one is the only one that has not been tried.
    assert_eq!(serve_requests(&mut rig, 100, |_| Outcome::ConnectFailed), 0);
    // One uncordon ends a cordon that was set twice.
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    rig.wait(Span::from_ms(8000.0));
    assert!(serve_requests(&mut rig, 100, |_| Outcome::Success) > 0);
}

#[test]
fn a_server_cordoned_before_it_is_listed_gets_nothing() {
    let mut rig = rig(5);
    let server = ServerId(9);
    rig.notify(Event::Cordon { server });
    rig.wait(Span::from_ms(1.0));
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint::serving(server)])));
    serve_requests(&mut rig, 100, |_| Outcome::Success);
    assert_eq!(rig.balancer.endpoint_counts(rig.now), EndpointCounts { listed: 5, avoided: 1 });
}

/// Health checks ask the candidates of a selection for their load. A cordoned server gets none, and the result of
/// one that was sent before the cordon must not get it selected.
#[test]
fn a_cordoned_server_is_sent_no_health_check_and_not_selected_by_an_earlier_one() {
    let settings = Settings {
        balancers: 40,
        health_checks: true,
        report_source: ReportSource::HealthChecks,
        report_fields: vec![ReportField::InFlight],
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 5);
    rig.set_endpoints(fleet(2, 1, 1));
    let (id, _) = rig.request(0);
    let health_checks: Vec<_> =
        rig.actions.iter().filter(|a| matches!(a, Action::HealthCheck { .. })).cloned().collect();
    assert_eq!(health_checks.len(), 2, "{health_checks:?}");
    rig.notify(Event::Cordon { server: ServerId(0) });
    rig.wait(Span::from_ms(1.0));
    for (server, load) in [(ServerId(0), 0.0), (ServerId(1), 5.0)] {
        let (outcome, elapsed) = (Outcome::Success, Span::from_ms(1.0));
        rig.notify(Event::HealthChecked { server, outcome, elapsed, report: Some(vec![load]) });
    }
    assert_eq!(rig.sent_to(id), Some(ServerId(1)));
    for _ in 0..50 {
        rig.request(0);
    }
    rig.assert_invariants();
}

#[test]
fn with_everything_cordoned_requests_are_rejected_at_once() {
    let mut rig = rig(5);
    for endpoint in fleet(4, 1, 1) {
        rig.notify(Event::Cordon { server: endpoint.server });
    }
    let (id, sent) = rig.request(0);
    assert_eq!(sent, None);
    assert!(rejected(&rig.actions, id), "{:?}", rig.actions);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    assert_eq!(rig.request(0).1, Some(SERVER));
    rig.assert_invariants();
}

/// Operators restart servers while they are cordoned, so an uncordoned server warms up even if its start time in
/// the endpoint list is unchanged.
#[test]
fn an_uncordoned_server_is_warming_up() {
    let mut rig = rig(5);
    serve_requests(&mut rig, 200, |_| Outcome::Success);
    rig.notify(Event::Cordon { server: SERVER });
    serve_requests(&mut rig, 200, |_| Outcome::Success);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    let warming = serve_requests(&mut rig, 200, |_| Outcome::Success);
    assert!(warming < 30, "{warming} of 200 with four servers");
    // Uncordoning a server that is not cordoned does not start a warm-up.
    rig.wait(Span::from_ms(20_000.0));
    serve_requests(&mut rig, 50, |_| Outcome::Success);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    let warmed_up = serve_requests(&mut rig, 200, |_| Outcome::Success);
    assert!(warmed_up > 30, "{warmed_up} of 200 with four servers");
}

/// Even with so little traffic that a warming server's share is less than one request, the server must be tried,
/// and not by all balancers at the same time.
#[test]
fn an_uncordoned_server_is_tried_within_five_seconds() {
    let mut first_sends = Vec::new();
    for seed in 0..8 {
        let mut rig = rig(seed);
        let is_sent_to_server = |rig: &mut Rig, ms: f64| {
            let sent = rig.request_and_respond(5.0);
            rig.wait(Span::from_ms(ms));
            sent == Some(SERVER)
        };
        let before = (0..20).filter(|_| is_sent_to_server(&mut rig, 250.0)).count();
        assert!(before > 0, "it must be in use before the cordon");
        rig.notify(Event::Cordon { server: SERVER });
        (0..20).for_each(|_| assert!(!is_sent_to_server(&mut rig, 250.0)));
        let at = rig.now;
        rig.notify(Event::Uncordon { server: SERVER, at });
        let first_send = (0..18).position(|_| is_sent_to_server(&mut rig, 250.0));
        first_sends.push(first_send.unwrap_or_else(|| panic!("seed {seed}: the server was not tried")));
        rig.assert_invariants();
    }
    first_sends.sort();
    assert!(first_sends[0] < 6 && first_sends[7] > 8, "all at the same time: {first_sends:?}");
}
