//! Guards rule one: every accepted request ends once, in time, and nothing is sent for it afterwards.
mod common;
use balancer::*;
use common::*;

fn plain() -> Settings {
    Settings {
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::AtMostOnce)],
        ..Settings::default()
    }
}

#[test]
fn an_empty_fleet_queues_and_then_rejects() {
    let mut rig = Rig::new(plain(), 1);
    let (id, sent) = rig.request(0);
    assert_eq!(sent, None);
    assert!(!rejected(&rig.actions, id), "it waits for a server first");
    let actions = rig.wait(Span::from_ms(800.0));
    assert!(rejected(&actions, id));
    rig.assert_invariants();
}

#[test]
fn a_queued_request_is_sent_when_the_endpoint_list_arrives() {
    let mut rig = Rig::new(plain(), 1);
    let (id, _) = rig.request(1);
    rig.set_endpoints(fleet(3, 1, 1));
    assert!(rig.sent_to(id).is_some());
    rig.respond(id, 0, Outcome::Success, 20.0);
    rig.assert_invariants();
}

/// Seen on a simulated day: a client's last try can come with nothing left of its time.
#[test]
fn a_request_without_time_left_is_answered_at_once() {
    for servers in [0, 3] {
        let mut rig = Rig::new(plain(), 1);
        rig.set_endpoints(fleet(servers, 1, 1));
        let id = RequestId(77);
        rig.notify(Event::Request(Request::new(id, ClassId(0), Span::ZERO)));
        assert!(rejected(&rig.actions, id));
        rig.assert_invariants();
    }
}

#[test]
fn a_timed_out_request_that_must_not_be_retried_fails_at_its_deadline() {
    let mut rig = Rig::new(plain(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(1);
    rig.wait(Span::from_ms(800.0));
    rig.respond(id, 0, Outcome::TimedOut, 800.0);
    assert!(failed(&rig.actions, id));
    rig.assert_invariants();
}

#[test]
fn late_repeated_and_unknown_events_do_nothing() {
    let mut rig = Rig::new(plain(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(0);
    rig.respond(id, 0, Outcome::Success, 20.0);
    for _ in 0..2 {
        assert!(rig.respond(id, 0, Outcome::TimedOut, 20.0).is_empty());
        assert!(rig.respond(id, 9, Outcome::Success, 20.0).is_empty());
        assert!(rig.notify(Event::ClientDisconnected { request: id }).is_empty());
        assert!(rig.respond(RequestId(999), 0, Outcome::ServerError, 1.0).is_empty());
        assert!(rig.notify(Event::FirstByte { request: id, attempt: AttemptNo(0) }).is_empty());
        let probe = Event::HealthChecked {
            server: ServerId(99),
            outcome: Outcome::Success,
            elapsed: Span::ZERO,
            report: Some(vec![1.0]),
        };
        assert!(rig.notify(probe).is_empty());
    }
    let (_, sent) = rig.request(0);
    assert!(sent.is_some());
    rig.assert_invariants();
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let mut rig = Rig::new(plain(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let (id, _) = rig.request(0);
    rig.notify(Event::ClientDisconnected { request: id });
    assert!(rig.respond(id, 0, Outcome::ServerError, 5.0).is_empty());
    rig.assert_invariants();
}

#[test]
fn attempts_stay_within_the_limit() {
    for most in 1..4 {
        let mut rig = Rig::new(Settings { max_attempts: most, ..plain() }, 5);
        rig.set_endpoints(fleet(9, 1, 1));
        let (id, _) = rig.request(0);
        let mut sends = 1;
        for attempt in 0..most {
            rig.respond(id, attempt, Outcome::Rejected, 1.0);
            sends += u32::from(rig.sent_to(id).is_some());
        }
        assert_eq!(sends, most);
        assert!(rejected(&rig.actions, id));
        rig.assert_invariants();
    }
}

/// Seen on a simulated day: a request queued in the very moment of a tick put the tick off, so that a steady
/// stream of them kept it from ever coming, and queued requests passed their deadline without an answer.
#[test]
fn requests_that_come_with_each_tick_do_not_starve_it() {
    let mut rig = Rig::new(plain(), 1);
    let (first, _) = rig.request(0);
    let mut all = Vec::new();
    for _ in 0..200 {
        rig.now = rig.now + Span::from_ms(5.0);
        rig.request(0);
        all.extend(rig.wait(Span::ZERO));
    }
    assert!(rejected(&all, first));
    assert_eq!(rig.checker.overdue_answers(rig.now), 0);
    rig.assert_invariants();
}
