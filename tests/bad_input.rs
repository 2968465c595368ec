//! Guards against decisions that absurd reports or a jumping clock would turn.
mod common;
use balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent)],
        report_fields: vec![ReportField::InFlight],
        ..Settings::default()
    }
}

/// Requests sent to each of four servers, the first of which reports what is given.
fn share(report: Vec<f64>) -> [u32; 4] {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(4, 1, 1));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let (id, server) = rig.request(0);
        let server = server.expect("an idle fleet takes it");
        sent[server.0 as usize] += 1;
        rig.wait(Span::from_ms(20.0));
        let said = if server.0 == 0 { report.clone() } else { vec![0.0] };
        rig.respond_with(id, 0, Outcome::Success, 20.0, Some(said));
        rig.wait(Span::from_ms(10.0));
    }
    rig.assert_invariants();
    sent
}

#[test]
fn implausible_reports_neither_stop_nor_starve_anything() {
    for said in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let sent = share(said.clone());
        assert!(sent[1..].iter().all(|n| *n > 20), "{said:?}: {sent:?}");
    }
    let sent = share(vec![f64::NAN]);
    assert!(sent[0] > 0, "a report that is no number is no report: {sent:?}");
}

#[test]
fn a_clock_that_jumps_an_hour_leaves_the_fleet_in_use_and_no_request_unanswered() {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(4, 1, 1));
    let open: Vec<_> = (0..6).map(|_| rig.request(0).0).collect();
    rig.now = rig.now + Span::from_ms(3_600_000.0);
    for id in open {
        rig.respond(id, 0, Outcome::TimedOut, 800.0);
    }
    rig.wait(Span::from_ms(1000.0));
    let served = (0..40).filter(|_| {
        let (id, server) = rig.request(0);
        rig.wait(Span::from_ms(20.0));
        if server.is_some() {
            rig.respond(id, 0, Outcome::Success, 20.0);
        }
        rig.wait(Span::from_ms(200.0));
        server.is_some()
    });
    assert!(served.count() > 30);
    assert_eq!(rig.checker.overdue_answers(rig.now), 0);
}

/// The end of an attempt is reported by its request's id, so an id whose attempt is still in flight cannot be used again:
/// the first attempt would count as in flight for ever.
#[test]
fn a_request_id_used_again_while_its_attempt_is_in_flight_is_rejected_and_leaks_no_count() {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(1, 1, 1));
    let in_flight = |rig: &Rig| rig.balancer.server_views(rig.now)[0].in_flight;
    let (id, sent) = rig.request(0);
    assert_eq!(sent, Some(ServerId(0)));
    rig.notify(Event::ClientDisconnected { request: id });
    let again = Request::new(id, ClassId(0), rig.deadline(0));
    let actions = rig.notify(Event::Request(again.clone())).to_vec();
    assert!(rejected(&actions, id), "{actions:?}");
    assert_eq!(in_flight(&rig), 1);
    rig.respond(id, 0, Outcome::Success, 20.0);
    assert_eq!(in_flight(&rig), 0, "a late end of the first attempt is its own");
    rig.notify(Event::Request(again));
    assert_eq!(rig.sent_to(id), Some(ServerId(0)), "the id is free again");
    rig.respond(id, 0, Outcome::Success, 20.0);
    assert_eq!(in_flight(&rig), 0);
}
