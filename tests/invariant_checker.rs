//! Guards the other tests: the checker must object to a broken decision of each kind.
mod common;
use balancer::*;
use common::*;

fn watch(idempotency: Idempotency) -> (InvariantChecker, Time) {
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

fn ended(outcome: Outcome, attempt: u32) -> Event {
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
    assert!(checker.violations.iter().any(|f| f.contains(text)), "{text}: {:?}", checker.violations);
}

#[test]
fn missing_late_and_repeated_answers_are_violations() {
    let (mut o, now) = watch(Idempotency::Idempotent);
    assert_eq!(o.overdue_answers(now + Span::from_ms(900.0)), 1);
    o.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert!(o.violations.is_empty());
    o.action(now, &send(0, now));
    assert_violation(&o, "sent after its final answer");
    o.action(now, &Action::Fail { request: RequestId(1) });
    assert_violation(&o, "answered twice");
    let (mut o, now) = watch(Idempotency::Idempotent);
    o.action(now + Span::from_ms(850.0), &Action::Fail { request: RequestId(1) });
    assert_violation(&o, "answered too late");
}

#[test]
fn repeated_execution_is_a_violation() {
    let (mut o, now) = watch(Idempotency::AtMostOnce);
    o.action(now, &send(0, now));
    o.action(now, &send(1, now));
    assert_violation(&o, "two attempts at once");
    o.event(now, &ended(Outcome::ServerError, 0));
    assert_violation(&o, "must not be sent again");
    o.action(now, &Action::Reject { request: RequestId(1), retry_after: None });
    assert_violation(&o, "rejected though it may have been executed");

    let (mut o, now) = watch(deduplicated(DeduplicationScope::Zone, 100.0));
    o.action(now, &send(0, now));
    o.event(now, &ended(Outcome::TimedOut, 0));
    o.action(now, &send(2, now));
    assert!(o.violations.is_empty(), "{:?}", o.violations);
    o.event(now, &ended(Outcome::TimedOut, 1));
    o.action(now, &send(1, now));
    assert_violation(&o, "outside the deduplication scope");
    let late = now + Span::from_ms(150.0);
    o.event(late, &ended(Outcome::TimedOut, 2));
    o.action(late, &send(0, late));
    assert_violation(&o, "must not be sent again");
}

#[test]
fn sends_to_draining_and_overloaded_warming_servers_are_violations() {
    let (mut o, now) = watch(Idempotency::Idempotent);
    let line = Endpoint { status: Status::Draining, ..Endpoint::serving(ServerId(0)) };
    o.event(now, &Event::Endpoints(EndpointUpdate::Changes(vec![line])));
    let later = now + Span::from_ms(1100.0);
    o.event(later, &Event::Request(Request::new(RequestId(2), ClassId(0), Span::from_ms(800.0))));
    let timeout_at = later + Span::from_ms(1.0);
    o.action(later, &Action::Send { request: RequestId(2), server: ServerId(0), timeout_at });
    assert_violation(&o, "draining or gone");

    let (mut o, now) = watch(Idempotency::Idempotent);
    let line = Endpoint { started: Some(now), ..Endpoint::serving(ServerId(0)) };
    o.event(now, &Event::Endpoints(EndpointUpdate::Changes(vec![line])));
    let later = now + settings_window();
    for (id, now) in (2..13).map(|id| (id, if id == 2 { now } else { later })) {
        o.event(now, &Event::Request(Request::new(RequestId(id), ClassId(0), Span::from_ms(800.0))));
        o.action(now, &Action::Send { request: RequestId(id), server: ServerId(0), timeout_at: now });
    }
    assert_violation(&o, "warming up");
}

/// A whole window: the checker judges only once the fleet has been as it is for so long.
fn settings_window() -> Span {
    Settings::default().overload_window
}
