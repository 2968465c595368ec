//! Guards the operators' command on a server: nothing is sent there until they uncordon it, and then it is warming up.
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

/// Requests one every 5 ms, each answered after `answer` says; how many went to the server.
fn serve(rig: &mut Rig, count: u32, answer: impl Fn(ServerId) -> Outcome) -> usize {
    let mut there = 0;
    for _ in 0..count {
        let (id, mut server) = rig.request(0);
        let mut attempt = 0;
        while let Some(to) = server {
            there += usize::from(to == SERVER);
            rig.wait(Span::from_ms(5.0));
            rig.respond(id, attempt, answer(to), 5.0);
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(5.0));
    }
    rig.assert_invariants();
    there
}

#[test]
fn a_cordoned_server_gets_nothing_whatever_the_list_says() {
    let mut rig = rig(5);
    assert!(serve(&mut rig, 100, |_| Outcome::Success) > 5, "used before");
    assert!(rig
        .notify(Event::Cordon { server: SERVER })
        .contains(&Action::CloseIdleConnections { server: SERVER }));
    rig.wait(Span::from_ms(1.0));
    assert_eq!(rig.balancer.endpoint_counts(rig.now), EndpointCounts { listed: 4, avoided: 1 });
    let lines = fleet(4, 1, 1);
    let line = lines[SERVER.0 as usize].clone();
    let change = |line: Endpoint| Event::Endpoints(EndpointUpdate::Changes(vec![line]));
    let restarted = Endpoint { started: Some(rig.now), ..line.clone() };
    let news = [
        change(line.clone()),
        change(Endpoint { status: Status::Gone, ..line.clone() }),
        Event::Endpoints(EndpointUpdate::Complete(lines[..2].to_vec())),
        Event::Endpoints(EndpointUpdate::Complete(lines.clone())),
        change(restarted),
        Event::Cordon { server: SERVER },
    ];
    for event in news {
        rig.notify(event);
        assert_eq!(serve(&mut rig, 100, |_| Outcome::Success), 0);
    }
    // Retries too: all others fail, and it is the one that has not been tried.
    assert_eq!(serve(&mut rig, 100, |_| Outcome::ConnectFailed), 0);
    // Two cordons need one uncordon.
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    rig.wait(Span::from_ms(8000.0));
    assert!(serve(&mut rig, 100, |_| Outcome::Success) > 0);
}

#[test]
fn a_server_cordoned_before_it_is_listed_gets_nothing() {
    let mut rig = rig(5);
    let server = ServerId(9);
    rig.notify(Event::Cordon { server });
    rig.wait(Span::from_ms(1.0));
    rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![Endpoint::serving(server)])));
    serve(&mut rig, 100, |_| Outcome::Success);
    assert_eq!(rig.balancer.endpoint_counts(rig.now), EndpointCounts { listed: 5, avoided: 1 });
}

/// Health checks, too, where the candidates are asked for their load, and where the cordon comes while they are asked.
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
    let probed: Vec<_> =
        rig.actions.iter().filter(|a| matches!(a, Action::HealthCheck { .. })).cloned().collect();
    assert_eq!(probed.len(), 2, "{probed:?}");
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
    for line in fleet(4, 1, 1) {
        rig.notify(Event::Cordon { server: line.server });
    }
    let (id, sent) = rig.request(0);
    assert_eq!(sent, None);
    assert!(rejected(&rig.actions, id), "{:?}", rig.actions);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    assert_eq!(rig.request(0).1, Some(SERVER));
    rig.assert_invariants();
}

/// It has been restarted meanwhile, so it gets a warming server's share though the list tells of no start.
#[test]
fn an_uncordoned_server_is_warming_up() {
    let mut rig = rig(5);
    serve(&mut rig, 200, |_| Outcome::Success);
    rig.notify(Event::Cordon { server: SERVER });
    serve(&mut rig, 200, |_| Outcome::Success);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    let cold = serve(&mut rig, 200, |_| Outcome::Success);
    assert!(cold < 30, "{cold} of 200 with four servers");
    // To uncordon a server that is not cordoned is no restart.
    rig.wait(Span::from_ms(20_000.0));
    serve(&mut rig, 50, |_| Outcome::Success);
    let at = rig.now;
    rig.notify(Event::Uncordon { server: SERVER, at });
    let warm = serve(&mut rig, 200, |_| Outcome::Success);
    assert!(warm > 30, "{warm} of 200 with four servers");
}

/// A balancer with so little traffic that a warming server's share stays under one request tries it all the same, at
/// a time of its own.
#[test]
fn an_uncordoned_server_is_tried_within_five_seconds() {
    let mut firsts = Vec::new();
    for seed in 0..8 {
        let mut rig = rig(seed);
        let rare = |rig: &mut Rig, ms: f64| {
            let sent = rig.request_and_respond(5.0);
            rig.wait(Span::from_ms(ms));
            sent == Some(SERVER)
        };
        let before = (0..20).filter(|_| rare(&mut rig, 250.0)).count();
        assert!(before > 0, "used before");
        rig.notify(Event::Cordon { server: SERVER });
        (0..20).for_each(|_| assert!(!rare(&mut rig, 250.0)));
        let at = rig.now;
        rig.notify(Event::Uncordon { server: SERVER, at });
        let first = (0..18).position(|_| rare(&mut rig, 250.0));
        firsts.push(first.unwrap_or_else(|| panic!("seed {seed}: not tried")));
        rig.assert_invariants();
    }
    firsts.sort();
    assert!(firsts[0] < 6 && firsts[7] > 8, "all at one time: {firsts:?}");
}
