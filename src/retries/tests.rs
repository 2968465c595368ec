use super::*;

const SENT_AT: Time = Time(1_000_000);
const DEADLINE: Time = Time(2_000_000);
const WINDOW: Span = Span(500_000);

fn class(idempotency: Idempotency) -> Class {
    Class { idempotency, ..Class::default() }
}

fn deduplicated(scope: DeduplicationScope) -> Class {
    class(Idempotency::Deduplicated { scope, window: WINDOW })
}

fn sent_once() -> AttemptHistory {
    let mut history = AttemptHistory::default();
    let endpoint = Endpoint { zone: ZoneId(2), cell: CellId(7), ..Endpoint::serving(ServerId(1)) };
    history.record_send(SENT_AT, &endpoint);
    history
}

fn ended(is_not_executed: bool) -> AttemptHistory {
    let mut history = sent_once();
    history.record_end(0, is_not_executed);
    history
}

fn permitted(history: &AttemptHistory, now: Time, class: &Class) -> PermittedActions {
    history.permitted_actions(now, DEADLINE, class, &Settings::default())
}

#[test]
fn a_request_that_may_have_been_executed_is_retried_only_where_its_class_allows() {
    let classes = [
        (class(Idempotency::Idempotent), RetryScope::Anywhere, true),
        (class(Idempotency::AtMostOnce), RetryScope::Nowhere, false),
        (deduplicated(DeduplicationScope::All), RetryScope::Anywhere, true),
        (deduplicated(DeduplicationScope::Zone), RetryScope::Zone(ZoneId(2)), false),
        (deduplicated(DeduplicationScope::Cell), RetryScope::Cell(CellId(7)), false),
    ];
    for (class, send, reject) in classes {
        assert_eq!(permitted(&ended(false), SENT_AT, &class), PermittedActions { send, reject }, "{class:?}");
    }
}

#[test]
fn a_request_that_was_not_executed_is_retried_anywhere_and_may_be_rejected() {
    for idempotency in [Idempotency::Idempotent, Idempotency::AtMostOnce] {
        let permitted = permitted(&ended(true), SENT_AT, &class(idempotency));
        assert_eq!(permitted, PermittedActions { send: RetryScope::Anywhere, reject: true });
    }
}

#[test]
fn no_request_is_retried_after_the_deduplication_window_or_the_deadline() {
    let class = deduplicated(DeduplicationScope::All);
    let at = |now| permitted(&ended(false), now, &class).send;
    assert_eq!(at(SENT_AT + WINDOW), RetryScope::Anywhere);
    assert_eq!(at(SENT_AT + WINDOW + Span(1)), RetryScope::Nowhere);
    assert_eq!(permitted(&ended(true), DEADLINE, &class).send, RetryScope::Nowhere);
}

#[test]
fn a_started_response_or_a_consumed_body_prevents_a_retry() {
    let class = class(Idempotency::Idempotent);
    let mut started = ended(false);
    started.record_first_byte(AttemptNo(0));
    assert_eq!(
        permitted(&started, SENT_AT, &class),
        PermittedActions { send: RetryScope::Nowhere, reject: false }
    );
    let mut consumed = ended(true);
    consumed.record_body_consumed();
    assert_eq!(permitted(&consumed, SENT_AT, &class).send, RetryScope::Nowhere);
}

#[test]
fn a_second_attempt_in_flight_requires_hedging() {
    let (class, history) = (class(Idempotency::Idempotent), sent_once());
    assert_eq!(permitted(&history, SENT_AT, &class).send, RetryScope::Nowhere);
    let hedging = Settings { hedging: true, ..Settings::default() };
    let permitted = history.permitted_actions(SENT_AT, DEADLINE, &class, &hedging);
    assert_eq!(permitted.send, RetryScope::Anywhere);
}

#[test]
fn an_attempt_may_not_begin_after_the_deduplication_window_of_an_earlier_one() {
    let mut history = ended(false);
    history.record_send(SENT_AT, &Endpoint::serving(ServerId(5)));
    let class = deduplicated(DeduplicationScope::All);
    assert_eq!(history.may_begin(SENT_AT + WINDOW, AttemptNo(1), &class), Some(ServerId(5)));
    assert_eq!(history.may_begin(SENT_AT + WINDOW + Span(1), AttemptNo(1), &class), None);
    assert_eq!(history.may_begin(SENT_AT, AttemptNo(2), &class), None, "there is no such attempt");
}

#[test]
fn only_the_latest_attempt_is_cancelled_and_only_if_a_retry_is_permitted() {
    let (settings, mut history) = (Settings::default(), sent_once());
    let deduplicated = deduplicated(DeduplicationScope::All);
    assert!(history.may_cancel(0, &class(Idempotency::Idempotent), &settings, true));
    assert!(history.may_cancel(0, &deduplicated, &settings, false));
    assert!(!history.may_cancel(0, &deduplicated, &settings, true));
    assert!(!history.may_cancel(0, &class(Idempotency::AtMostOnce), &settings, false));
    history.record_send(SENT_AT, &Endpoint::serving(ServerId(5)));
    assert!(!history.may_cancel(0, &class(Idempotency::Idempotent), &settings, true));
}

#[test]
fn retries_are_a_fraction_of_requests_and_fewer_in_an_overload() {
    let retries_after = |requests: u32, level: f64| {
        let mut budget = RetryBudget::new();
        while budget.has_token() {
            budget.spend();
        }
        let mut retries = 0;
        for _ in 0..requests {
            budget.earn(level, false);
            if budget.has_token() {
                budget.spend();
                retries += 1;
            }
        }
        retries
    };
    assert!((390..=400).contains(&retries_after(1000, 1.0)));
    assert!((90..=100).contains(&retries_after(1000, 0.3)));
}
