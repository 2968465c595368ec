//! Servers that hang, fail fast or slow down must be ejected; overload of the whole fleet must eject none.
mod common;
use balancer::*;
use common::*;

fn settings(idempotency: Idempotency) -> Settings {
    Settings { classes: vec![class(idempotency)], ..Settings::default() }
}

/// Submits requests one after another and reports the outcome and latency in ms that `respond` returns for each
/// attempt. Returns the number of attempts sent to each of `n` servers.
fn serve(rig: &mut Rig, n: usize, count: u32, respond: impl Fn(ServerId) -> (Outcome, f64)) -> Vec<u32> {
    let mut sent = vec![0; n];
    for _ in 0..count {
        let (id, mut server) = rig.request(0);
        let mut attempt = 0;
        while let Some(to) = server {
            sent[to.0 as usize] += 1;
            let (outcome, ms) = respond(to);
            rig.wait(Span::from_ms(ms));
            rig.respond(id, attempt, outcome, ms);
            server = rig.sent_to(id);
            attempt += 1;
        }
        rig.wait(Span::from_ms(5.0));
    }
    rig.assert_invariants();
    sent
}

#[test]
fn fast_errors_do_not_attract_traffic() {
    for failure in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::ConnectionReset] {
        let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
        rig.set_endpoints(fleet(5, 1, 1));
        let failing_server = ServerId(2);
        let sent = serve(&mut rig, 5, 400, |s| {
            if s == failing_server {
                (failure, 0.2)
            } else {
                (Outcome::Success, 30.0)
            }
        });
        assert!(sent[2] <= 12, "{failure:?}: {sent:?}, probation requests only");
        assert!(sent[2] >= 3, "{failure:?}: {sent:?}, it gets probation requests");
        let after_recovery = serve(&mut rig, 5, 400, |_| (Outcome::Success, 30.0));
        assert!(after_recovery[2] > 30, "{failure:?}: {after_recovery:?}, it is restored");
    }
}

#[test]
fn a_much_slower_server_is_ejected_and_restored() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(5, 1, 1));
    let sent = serve(&mut rig, 5, 300, |s| (Outcome::Success, if s.0 == 2 { 300.0 } else { 30.0 }));
    assert!(sent[2] < 20, "{sent:?}");
    let after_recovery = serve(&mut rig, 5, 600, |_| (Outcome::Success, 30.0));
    assert!(after_recovery[2] > 30, "{after_recovery:?}");
}

#[test]
fn a_fleet_that_is_slow_together_keeps_all_its_servers() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(5, 1, 1));
    serve(&mut rig, 5, 100, |_| (Outcome::Success, 30.0));
    let sent = serve(&mut rig, 5, 300, |_| (Outcome::Success, 110.0));
    assert!(sent.iter().all(|n| *n > 20), "{sent:?}");
}

#[test]
fn an_unresponsive_server_is_ejected_and_its_idempotent_request_is_cancelled() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 5);
    rig.set_endpoints(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    // Eight requests over four servers, so that at least one server has two. All others respond at once.
    let requests: Vec<_> = (0..8).map(|_| rig.request(0)).filter_map(|(id, s)| s.map(|s| (id, s))).collect();
    let unresponsive =
        requests.iter().map(|a| a.1).find(|s| requests.iter().filter(|a| a.1 == *s).count() > 1).unwrap();
    for (id, server) in &requests {
        if *server != unresponsive {
            rig.respond(*id, 0, Outcome::Success, 20.0);
        }
    }
    let actions = rig.wait(Span::from_ms(150.0));
    for &(id, _) in requests.iter().filter(|a| a.1 == unresponsive) {
        assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(0) }), "{actions:?}");
        rig.respond(id, 0, Outcome::Cancelled, 150.0);
        assert!(rig.sent_to(id).is_some_and(|s| s != unresponsive));
        rig.respond(id, 1, Outcome::Success, 20.0);
    }
    let after = serve(&mut rig, 4, 6, |_| (Outcome::Success, 20.0));
    assert_eq!(after[unresponsive.0 as usize], 0, "no request before its first probation request");
}

/// With little traffic, costly requests once ejected healthy servers, and each was then retried on another server for
/// nothing.
#[test]
fn a_costly_request_alone_on_its_server_is_not_overdue_before_its_latency_objective() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 5);
    rig.set_endpoints(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(rig.request(0).1.is_some());
    let is_overdue =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Cancel { .. } | Action::Log { .. }));
    assert!(!is_overdue(&rig.wait(Span::from_ms(195.0))));
    assert!(is_overdue(&rig.wait(Span::from_ms(60.0))), "overdue once its latency objective has passed");
}

#[test]
fn a_request_that_must_not_be_retried_is_not_cancelled() {
    let mut rig = Rig::new(settings(Idempotency::AtMostOnce), 5);
    rig.set_endpoints(fleet(4, 1, 1));
    let (id, _) = rig.request(0);
    let actions = rig.wait(Span::from_ms(790.0));
    assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "{actions:?}");
    rig.respond(id, 0, Outcome::TimedOut, 800.0);
    rig.assert_invariants();
}

/// Probation requests are idempotent ones. On a site without an idempotent class, other requests must try an ejected
/// server after a while.
#[test]
fn a_site_without_idempotent_classes_restores_ejected_servers() {
    let mut rig = Rig::new(settings(Idempotency::AtMostOnce), 11);
    rig.set_endpoints(fleet(3, 1, 1));
    serve(&mut rig, 3, 100, |s| match s.0 {
        1 => (Outcome::ServerError, 0.2),
        _ => (Outcome::Success, 20.0),
    });
    let after_recovery = serve(&mut rig, 3, 400, |_| (Outcome::Success, 20.0));
    assert!(after_recovery[1] > 30, "{after_recovery:?}");
}

#[test]
fn an_unreachable_majority_of_the_fleet_leaves_the_rest_in_use() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(8, 1, 1));
    let respond =
        |s: ServerId| if s.0 < 6 { (Outcome::ConnectFailed, 100.0) } else { (Outcome::Success, 20.0) };
    serve(&mut rig, 8, 60, respond);
    let sent = serve(&mut rig, 8, 100, respond);
    assert!(sent[..6].iter().sum::<u32>() < 40, "{sent:?}");
    assert!(sent[6] + sent[7] >= 95, "{sent:?}");
}

#[test]
fn a_whole_fleet_that_fails_is_still_tried() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(4, 1, 1));
    serve(&mut rig, 4, 40, |_| (Outcome::ServerError, 1.0));
    let sent = serve(&mut rig, 4, 40, |_| (Outcome::Success, 20.0));
    assert!(sent.iter().sum::<u32>() >= 40, "{sent:?}");
}

/// If one response in seven of the whole fleet is an error, two errors in a row are chance; this once ejected most of a
/// healthy fleet. A server that returns nothing but errors is still ejected.
#[test]
fn errors_of_the_whole_fleet_eject_no_server() {
    let mut rig =
        Rig::new(Settings { classes: vec![class(Idempotency::AtMostOnce)], ..Settings::default() }, 5);
    rig.set_endpoints(fleet(12, 1, 1));
    let mut rng = fastrand::Rng::with_seed(9);
    let mut ejections = [0; 12];
    for _ in 0..3000 {
        let (id, Some(server)) = rig.request(0) else { continue };
        rig.wait(Span::from_ms(20.0));
        let is_error = server == ServerId(0) || rng.u32(0..7) == 0;
        let outcome = if is_error { Outcome::ServerError } else { Outcome::Success };
        for action in rig.respond(id, 0, outcome, 20.0).to_vec() {
            if matches!(action, Action::Log { text, .. } if text.contains("failing")) {
                ejections[server.0 as usize] += 1;
            }
        }
    }
    assert!(ejections[0] > 0, "the failing server: {ejections:?}");
    assert!(ejections[1..].iter().sum::<u32>() < 10, "the other servers: {ejections:?}");
}

/// A response that has begun is reported as a success; if it is aborted later, that must count against its server.
#[test]
fn a_server_that_aborts_its_responses_is_ejected() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(5, 1, 1));
    let failing_server = ServerId(2);
    let mut sent = 0;
    for _ in 0..200 {
        if rig.request_and_respond(10.0) == Some(failing_server) {
            sent += 1;
            rig.notify(Event::ResponseAborted { server: failing_server });
        }
    }
    assert!((1..=12).contains(&sent), "{sent} of 200, probation requests only");
    rig.notify(Event::ResponseAborted { server: ServerId(99) });
    rig.assert_invariants();
}

/// A probation request that the host could not send has not reached the server, so the interval to the next one does
/// not grow.
#[test]
fn a_probation_request_that_was_not_sent_is_no_evidence_about_its_server() {
    let mut rig = Rig::new(settings(Idempotency::Idempotent), 11);
    rig.set_endpoints(fleet(5, 1, 1));
    let failing = ServerId(2);
    serve(
        &mut rig,
        5,
        40,
        |s| if s == failing { (Outcome::ServerError, 0.2) } else { (Outcome::Success, 30.0) },
    );
    let sent = serve(&mut rig, 5, 400, |s| match s == failing {
        true => (Outcome::NotSent, 0.2),
        false => (Outcome::Success, 30.0),
    });
    assert!(
        sent[2] > 9,
        "{sent:?}: with doubling intervals there would be four probation requests in these 14 s"
    );
    assert!(sent[2] < 40, "{sent:?}: the interval between probation requests is kept");
}

#[test]
fn a_health_check_that_was_not_sent_is_no_evidence_about_its_server() {
    let mut rig = Rig::new(Settings { health_checks: true, ..settings(Idempotency::Idempotent) }, 11);
    rig.set_endpoints(fleet(5, 1, 1));
    let health_checked =
        |outcome| Event::HealthChecked { server: ServerId(2), outcome, elapsed: Span::ZERO, report: None };
    let is_ejected = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Log { .. }));
    assert!(!is_ejected(rig.notify(health_checked(Outcome::NotSent))));
    assert!(is_ejected(rig.notify(health_checked(Outcome::ConnectFailed))));
}
