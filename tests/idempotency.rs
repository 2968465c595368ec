//! Guards rule two: an effect must not happen twice, and a rejection must not be told of what may have run.
mod common;
use balancer::*;
use common::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// The whole table: effect x outcome of the first attempt x group x inside or past the window.
#[test]
fn what_may_follow_a_first_attempt() {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        deduplicated(DeduplicationScope::All, 100.0),
        deduplicated(DeduplicationScope::Zone, 100.0),
        deduplicated(DeduplicationScope::Cell, 100.0),
    ];
    for copies in [false, true] {
        for idempotency in effects {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings = Settings {
                        classes: vec![class(idempotency)],
                        hedging: copies,
                        ..Settings::default()
                    };
                    let mut rig = Rig::new(settings, 3);
                    rig.set_endpoints(fleet(12, 3, 4));
                    let (id, first) = rig.request(0);
                    let first = first.expect("an idle fleet takes a request").0;
                    rig.wait(Span::from_ms(ms));
                    rig.respond(id, 0, outcome, ms);
                    let (next, actions) = (rig.sent_to(id), rig.actions.clone());
                    let case = format!("{idempotency:?} {outcome:?} after {ms} ms, copies {copies}");
                    let proven = outcome.is_not_executed();
                    let inside = ms < 100.0;
                    match idempotency {
                        Idempotency::Idempotent => assert!(next.is_some(), "{case}"),
                        Idempotency::AtMostOnce => {
                            assert_eq!(next.is_some(), proven, "{case}");
                            assert_eq!(failed(&actions, id), !proven, "{case}");
                        }
                        Idempotency::Deduplicated { scope, .. } => {
                            assert_eq!(next.is_some(), proven || inside, "{case}");
                            let next = next.map_or(first, |s| s.0);
                            match scope {
                                _ if proven => {}
                                DeduplicationScope::All => {
                                    assert_eq!(rejected(&actions, id), !inside, "{case}")
                                }
                                DeduplicationScope::Zone => assert_eq!(next % 3, first % 3, "{case}"),
                                DeduplicationScope::Cell => assert_eq!(next % 4, first % 4, "{case}"),
                            }
                            if !proven && !inside && scope != DeduplicationScope::All {
                                assert!(failed(&actions, id), "{case}");
                            }
                        }
                    }
                    rig.assert_invariants();
                }
            }
        }
    }
}

/// The window and the group are those of the first attempt that may have run, not of the first or the last.
#[test]
fn the_deduplication_scope_is_that_of_the_first_attempt_that_may_have_been_executed() {
    let settings = Settings {
        classes: vec![class(deduplicated(DeduplicationScope::Zone, 400.0))],
        max_attempts: 6,
        ..Settings::default()
    };
    for seed in 0..40 {
        let mut rig = Rig::new(settings.clone(), seed);
        rig.set_endpoints(fleet(9, 3, 3));
        let (id, _) = rig.request(0);
        rig.respond(id, 0, Outcome::ConnectFailed, 1.0);
        let second = rig.sent_to(id).expect("never ran: anywhere").0;
        rig.respond(id, 1, Outcome::ConnectionReset, 1.0);
        let third = rig.sent_to(id).expect("inside the window: same zone").0;
        assert_eq!(third % 3, second % 3);
        rig.assert_invariants();
    }
}

/// A proven non-run after one that may have run does not lift the ban.
#[test]
fn a_later_attempt_that_was_not_executed_does_not_clear_an_earlier_one() {
    let settings = Settings {
        classes: vec![class(deduplicated(DeduplicationScope::Cell, 5000.0))],
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 9);
    rig.set_endpoints(fleet(8, 2, 4));
    let (id, first) = rig.request(0);
    rig.respond(id, 0, Outcome::ServerError, 1.0);
    assert!(rig.sent_to(id).is_some());
    rig.respond(id, 1, Outcome::Rejected, 1.0);
    let third = rig.sent_to(id).map(|s| s.0 % 4);
    assert_eq!(third.unwrap_or(first.unwrap().0 % 4), first.unwrap().0 % 4);
    assert!(!rejected(&rig.actions, id), "it may have run in the first attempt");
    rig.assert_invariants();
}

/// A connection may take its time to come up. What was decided before holds at the first byte, or nothing begins.
#[test]
fn an_attempt_may_begin_only_while_its_retry_is_permitted() {
    let window = 100.0;
    for (idempotency, late) in
        [(Idempotency::Idempotent, true), (deduplicated(DeduplicationScope::All, window), false)]
    {
        let settings = Settings { classes: vec![class(idempotency)], ..Settings::default() };
        let mut rig = Rig::new(settings, 3);
        rig.set_endpoints(fleet(2, 1, 1));
        let (id, _) = rig.request(0);
        rig.wait(Span::from_ms(5.0));
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(0)));
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "decided on by nobody");
        rig.respond(id, 0, Outcome::ConnectionReset, 5.0);
        let server = rig.sent_to(id).expect("a repeat");
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(1)));
        let past = rig.now + Span::from_ms(window);
        assert_eq!(rig.balancer.may_begin(past, id, AttemptNo(1)), late, "{idempotency:?}");
        let listed = |status| Endpoint { status, ..Endpoint::serving(server) };
        rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![listed(Status::Draining)])));
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "to one that drains");
        rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![listed(Status::Serving)])));
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(1)));
        rig.notify(Event::ClientDisconnected { request: id });
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "for nobody");
    }
}
