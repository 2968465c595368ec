//! A request must not take effect twice. A rejection tells the client that a retry is harmless, so a request that may
//! have been executed is rejected only if another execution has no further effect.
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

/// Every combination of idempotency, deduplication scope, outcome of the first attempt, time within or past the
/// deduplication window, and hedging on or off.
#[test]
fn what_may_follow_a_first_attempt() {
    let idempotency_values = [
        Idempotency::Idempotent,
        Idempotency::AtMostOnce,
        deduplicated(DeduplicationScope::All, 100.0),
        deduplicated(DeduplicationScope::Zone, 100.0),
        deduplicated(DeduplicationScope::Cell, 100.0),
    ];
    for hedging_enabled in [false, true] {
        for idempotency in idempotency_values {
            for outcome in OUTCOMES {
                for ms in [5.0, 120.0] {
                    let settings = Settings {
                        classes: vec![class(idempotency)],
                        hedging: hedging_enabled,
                        ..Settings::default()
                    };
                    let mut rig = Rig::new(settings, 3);
                    rig.set_endpoints(fleet(12, 3, 4));
                    let (id, first) = rig.request(0);
                    let first = first.expect("an idle fleet accepts a request").0;
                    rig.wait(Span::from_ms(ms));
                    rig.respond(id, 0, outcome, ms);
                    let (retry_server, actions) = (rig.sent_to(id), rig.actions.clone());
                    let case =
                        format!("{idempotency:?} {outcome:?} after {ms} ms, hedging {hedging_enabled}");
                    let not_executed = outcome.is_not_executed();
                    let within_window = ms < 100.0;
                    match idempotency {
                        Idempotency::Idempotent => assert!(retry_server.is_some(), "{case}"),
                        Idempotency::AtMostOnce => {
                            assert_eq!(retry_server.is_some(), not_executed, "{case}");
                            assert_eq!(failed(&actions, id), !not_executed, "{case}");
                        }
                        Idempotency::Deduplicated { scope, .. } => {
                            assert_eq!(retry_server.is_some(), not_executed || within_window, "{case}");
                            let retry_server = retry_server.map_or(first, |s| s.0);
                            match scope {
                                _ if not_executed => {}
                                DeduplicationScope::All => {
                                    assert_eq!(rejected(&actions, id), !within_window, "{case}")
                                }
                                DeduplicationScope::Zone => assert_eq!(retry_server % 3, first % 3, "{case}"),
                                DeduplicationScope::Cell => assert_eq!(retry_server % 4, first % 4, "{case}"),
                            }
                            if !not_executed && !within_window && scope != DeduplicationScope::All {
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

/// The deduplication window and scope are those of the first attempt that may have been executed, not of the
/// first or the last attempt.
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
        let second = rig.sent_to(id).expect("not executed: any server").0;
        rig.respond(id, 1, Outcome::ConnectionReset, 1.0);
        let third = rig.sent_to(id).expect("within the window: same zone").0;
        assert_eq!(third % 3, second % 3);
        rig.assert_invariants();
    }
}

/// After an attempt that may have been executed, a later one that was certainly not executed lifts no restriction.
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
    assert!(!rejected(&rig.actions, id), "the first attempt may have been executed");
    rig.assert_invariants();
}

/// Connecting can take long. An attempt may begin only if it is still permitted when its first byte would be sent.
#[test]
fn an_attempt_may_begin_only_while_its_retry_is_permitted() {
    let window = 100.0;
    for (idempotency, permitted_past_window) in
        [(Idempotency::Idempotent, true), (deduplicated(DeduplicationScope::All, window), false)]
    {
        let settings = Settings { classes: vec![class(idempotency)], ..Settings::default() };
        let mut rig = Rig::new(settings, 3);
        rig.set_endpoints(fleet(2, 1, 1));
        let (id, _) = rig.request(0);
        rig.wait(Span::from_ms(5.0));
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(0)));
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "no such attempt was sent");
        rig.respond(id, 0, Outcome::ConnectionReset, 5.0);
        let server = rig.sent_to(id).expect("the request must be retried");
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(1)));
        let past_window = rig.now + Span::from_ms(window);
        assert_eq!(
            rig.balancer.may_begin(past_window, id, AttemptNo(1)),
            permitted_past_window,
            "{idempotency:?}"
        );
        let endpoint_with = |status| Endpoint { status, ..Endpoint::serving(server) };
        rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![endpoint_with(Status::Draining)])));
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "the server is draining");
        rig.notify(Event::Endpoints(EndpointUpdate::Changes(vec![endpoint_with(Status::Serving)])));
        assert!(rig.balancer.may_begin(rig.now, id, AttemptNo(1)));
        rig.notify(Event::ClientDisconnected { request: id });
        assert!(!rig.balancer.may_begin(rig.now, id, AttemptNo(1)), "the client has disconnected");
    }
}
