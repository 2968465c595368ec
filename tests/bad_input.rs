//! Implausible load reports and clock jumps must neither stop traffic nor starve a server.
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

/// Serves 200 requests with four servers, of which the first one answers with `report`; returns how many each was
/// sent.
fn sends_per_server(report: Vec<f64>) -> [u32; 4] {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(4, 1, 1));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let (id, server) = rig.request(0);
        let server = server.expect("an idle fleet accepts a request");
        sent[server.0 as usize] += 1;
        rig.wait(Span::from_ms(20.0));
        let reported = if server.0 == 0 { report.clone() } else { vec![0.0] };
        rig.respond_with(id, 0, Outcome::Success, 20.0, Some(reported));
        rig.wait(Span::from_ms(10.0));
    }
    rig.assert_invariants();
    sent
}

#[test]
fn implausible_reports_neither_stop_nor_starve_anything() {
    for report in [vec![], vec![f64::NAN], vec![f64::INFINITY], vec![0.0], vec![-1e300], vec![1e300, 1.0]] {
        let sent = sends_per_server(report.clone());
        assert!(sent[1..].iter().all(|n| *n > 20), "{report:?}: {sent:?}");
    }
    let sent = sends_per_server(vec![f64::NAN]);
    assert!(sent[0] > 0, "a report of NaN must be ignored: {sent:?}");
}

#[test]
fn a_clock_that_jumps_an_hour_leaves_the_fleet_in_use_and_no_request_unanswered() {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(4, 1, 1));
    let in_flight: Vec<_> = (0..6).map(|_| rig.request(0).0).collect();
    rig.now = rig.now + Span::from_ms(3_600_000.0);
    for id in in_flight {
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

/// An outcome names its attempt by the request's id, so an id cannot be used again while an attempt of it is in
/// flight: the first attempt would be counted as in flight forever.
#[test]
fn a_request_id_used_again_while_its_attempt_is_in_flight_is_rejected_and_leaks_no_count() {
    let mut rig = Rig::new(settings(), 3);
    rig.set_endpoints(fleet(1, 1, 1));
    let in_flight = |rig: &Rig| rig.balancer.server_views(rig.now)[0].in_flight;
    let (id, sent) = rig.request(0);
    assert_eq!(sent, Some(ServerId(0)));
    rig.notify(Event::ClientDisconnected { request: id });
    let duplicate = Request::new(id, ClassId(0), rig.deadline(0));
    let actions = rig.notify(Event::Request(duplicate.clone())).to_vec();
    assert!(rejected(&actions, id), "{actions:?}");
    assert_eq!(in_flight(&rig), 1);
    rig.respond(id, 0, Outcome::Success, 20.0);
    assert_eq!(in_flight(&rig), 0, "the late outcome must end the first attempt");
    rig.notify(Event::Request(duplicate));
    assert_eq!(rig.sent_to(id), Some(ServerId(0)), "the id can be used again");
    rig.respond(id, 0, Outcome::Success, 20.0);
    assert_eq!(in_flight(&rig), 0);
}
