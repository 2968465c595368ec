//! Tests the invariant checker that the other tests rely on: it must report each kind of wrong decision.
mod common;
use balancer::*;
use common::*;

fn checker_with_request(idempotency: Idempotency) -> (InvariantChecker, Time) {
    let settings = Settings {
        classes: vec![class(idempotency)],
        initial_capacity: 0.2,
        warm_up_time: Span::from_ms(10_000.0),
        ..Settings::default()
    };
    let now = Time::from_ms(1000.0);
    let mut checker = InvariantChecker::new(&settings);
    checker.event(now, &Event::Endpoints(EndpointUpdate::Complete(fleet(4, 2, 4))));
    checker.event(now, &Event::Request(Request::new(RequestId(1), ClassId(0), Span::from_ms(800.0))));
    (checker, now)
}

fn send(server: u32, now: Time) -> Action {
    Action::Send { request: RequestId(1), server: ServerId(server), timeout_at: now + Span::from_ms(1.0) }
}

fn outcome_event(outcome: Outcome, attempt: u32) -> Event {
    Event::Outcome {
        request: RequestId(1),
        attempt: AttemptNo(attempt),
        outcome,
        elapsed: Span::from_ms(1.0),
        report: None,
        request_finished: false,
    }
}

fn assert_violation(checker: &InvariantChecker, text: &str) {
    assert!(
        checker.violations.iter().any(|violation| violation.contains(text)),
        "{text}: {:?}",
        checker.violations
    );
}

#[test]
fn missing_late_and_repeated_answers_are_violations() {
    let (mut checker, now) = checker_with_request(Idempotency::Idempotent);
    assert_eq!(checker.overdue_answers(now + Span::from_ms(900.0)), 1);
    checker.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert!(checker.violations.is_empty());
    checker.action(now, &send(0, now));
    assert_violation(&checker, "sent after its final answer");
    checker.action(now, &Action::Fail { request: RequestId(1) });
    assert_violation(&checker, "answered twice");
    let (mut checker, now) = checker_with_request(Idempotency::Idempotent);
    checker.action(now + Span::from_ms(850.0), &Action::Fail { request: RequestId(1) });
    assert_violation(&checker, "answered too late");
}

#[test]
fn repeated_execution_is_a_violation() {
    let (mut checker, now) = checker_with_request(Idempotency::AtMostOnce);
    checker.action(now, &send(0, now));
    checker.action(now, &send(1, now));
    assert_violation(&checker, "two attempts at once");
    checker.event(now, &outcome_event(Outcome::ServerError, 0));
    assert_violation(&checker, "must not be sent again");
    checker.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert_violation(&checker, "rejected though it may have been executed");

    let (mut checker, now) = checker_with_request(deduplicated(DeduplicationScope::Zone, 100.0));
    checker.action(now, &send(0, now));
    checker.event(now, &outcome_event(Outcome::TimedOut, 0));
    checker.action(now, &send(2, now));
    assert!(checker.violations.is_empty(), "{:?}", checker.violations);
    checker.event(now, &outcome_event(Outcome::TimedOut, 1));
    checker.action(now, &send(1, now));
    assert_violation(&checker, "outside the deduplication scope");
    let late = now + Span::from_ms(150.0);
    checker.event(late, &outcome_event(Outcome::TimedOut, 2));
    checker.action(late, &send(0, late));
    assert_violation(&checker, "must not be sent again");
}

#[test]
fn sends_to_draining_and_overloaded_warming_servers_are_violations() {
    let (mut checker, now) = checker_with_request(Idempotency::Idempotent);
    let endpoint = Endpoint { status: Status::Draining, ..Endpoint::serving(ServerId(0)) };
    checker.event(now, &Event::Endpoints(EndpointUpdate::Changes(vec![endpoint])));
    let later = now + Span::from_ms(1100.0);
    checker.event(later, &Event::Request(Request::new(RequestId(2), ClassId(0), Span::from_ms(800.0))));
    let timeout_at = later + Span::from_ms(1.0);
    checker.action(later, &Action::Send { request: RequestId(2), server: ServerId(0), timeout_at });
    assert_violation(&checker, "draining or gone");

    let (mut checker, now) = checker_with_request(Idempotency::Idempotent);
    let endpoint = Endpoint { started: Some(now), ..Endpoint::serving(ServerId(0)) };
    checker.event(now, &Event::Endpoints(EndpointUpdate::Changes(vec![endpoint])));
    let later = now + overload_window();
    for (id, now) in (2..13).map(|id| (id, if id == 2 { now } else { later })) {
        checker.event(now, &Event::Request(Request::new(RequestId(id), ClassId(0), Span::from_ms(800.0))));
        checker.action(now, &Action::Send { request: RequestId(id), server: ServerId(0), timeout_at: now });
    }
    assert_violation(&checker, "warming up");
}

/// The checker compares sends only after the set of warmed-up servers has been unchanged for a whole window.
fn overload_window() -> Span {
    Settings::default().overload_window
}
