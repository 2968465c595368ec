//! Every accepted request gets exactly one final answer, in time, and is not sent again afterwards.
mod common;
use balancer::*;
use common::*;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::AtMostOnce)],
        ..Settings::default()
    }
}

#[test]
fn an_empty_fleet_queues_and_then_rejects() {
    let mut rig = Rig::new(settings(), 1);
    let (id, sent) = rig.request(0);
    assert_eq!(sent, None);
    assert!(!rejected(&rig.actions, id), "it must be queued first");
    let actions = rig.wait(Span::from_ms(800.0));
    assert!(rejected(&actions, id));
    rig.assert_invariants();
}

#[test]
fn a_queued_request_is_sent_when_the_endpoint_list_arrives() {
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.request(1);
    rig.set_endpoints(fleet(3, 1, 1));
    assert!(rig.sent_to(id).is_some());
    rig.respond(id, 0, Outcome::Success, 20.0);
    rig.assert_invariants();
}

/// Found in a simulated day of traffic: a client's last retry can arrive with no time left.
#[test]
fn a_request_without_time_left_is_answered_at_once() {
    for servers in [0, 3] {
        let mut rig = Rig::new(settings(), 1);
        rig.set_endpoints(fleet(servers, 1, 1));
        let id = RequestId(77);
        rig.notify(Event::Request(Request::new(id, ClassId(0), Span::ZERO)));
        assert!(rejected(&rig.actions, id));
        rig.assert_invariants();
    }
}

#[test]
fn a_timed_out_request_that_must_not_be_retried_fails_at_its_deadline() {
    let mut rig = Rig::new(settings(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(1);
    rig.wait(Span::from_ms(800.0));
    rig.respond(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&rig.actions, id));
    rig.assert_invariants();
}

#[test]
fn late_repeated_and_unknown_events_do_nothing() {
    let mut rig = Rig::new(settings(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(0);
    rig.respond(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(rig.respond(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(rig.respond(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(rig.notify(Event::ClientDisconnected { request: id }).is_empty());
        assert!(rig.respond(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(rig.notify(Event::FirstByte { request: id, attempt: AttemptNo(0) }).is_empty());
        let health_check = Event::HealthChecked {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(rig.notify(health_check).is_empty());
    }
    let (_, sent) = rig.request(0);
    assert!(sent.is_some());
    rig.assert_invariants();
}

#[test]
fn nothing_is_sent_for_a_client_that_has_disconnected() {
    let mut rig = Rig::new(settings(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(0);
    rig.notify(Event::ClientDisconnected { request: id });
    assert!(rig.respond(id, 0, Outcome::ServerError, 5.0).is_empty());
    rig.assert_invariants();
}

#[test]
fn attempts_stay_within_the_limit() {
    for limit in 1..4 {
        let mut rig = Rig::new(Settings { max_attempts: limit, ..settings() }, 5);
        rig.set_endpoints(fleet(9, 1, 1));
        let (id, _) = rig.request(0);
        let mut sends = 1;
        for attempt in 0..limit {
            rig.respond(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(rig.sent_to(id).is_some());
        }
        assert_eq!(sends, limit);
        assert!(rejected(&rig.actions, id));
        rig.assert_invariants();
    }
}

/// Found in a simulated day of traffic: a request queued at the time of a tick postponed the tick, so that a
/// steady stream of such requests kept it from ever running, and queued requests passed their deadlines
/// unanswered.
#[test]
fn requests_that_arrive_with_each_tick_do_not_postpone_it() {
    let mut rig = Rig::new(settings(), 1);
    let (first, _) = rig.request(0);
    let mut actions = Vec::new();
    for _ in 0..200 {
        rig.now = rig.now + Span::from_ms(5.0);
        rig.request(0);
        actions.extend(rig.wait(Span::ZERO));
    }
    assert!(rejected(&actions, first));
    assert_eq!(rig.checker.overdue_answers(rig.now), 0);
    rig.assert_invariants();
}
