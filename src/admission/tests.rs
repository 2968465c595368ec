use super::*;
use crate::{ClassId, Goal, RequestId, Tenant};

const NOW: Time = Time(60_000_000);

fn class() -> Class {
    Class { latency_objective: Span::from_ms(100.0), deadline: Span::from_ms(400.0), ..Class::default() }
}

fn settings() -> Settings {
    Settings { classes: vec![class()], ..Settings::default() }
}

fn request(time_left_ms: f64) -> Request {
    Request::new(RequestId(1), ClassId(0), Span::from_ms(time_left_ms))
}

#[test]
fn a_retry_of_the_client_has_less_of_its_latency_objective_left() {
    let (settings, mut rng) = (settings(), fastrand::Rng::with_seed(1));
    let mut admission = Admission::new(&settings);
    let mut limits = |time_left_ms| admission.assess(NOW, &request(time_left_ms), &settings, &mut rng).limits;
    let first_try = limits(400.0);
    assert_eq!(first_try.objective, NOW + Span::from_ms(100.0));
    assert_eq!(first_try.deadline, NOW + Span::from_ms(400.0));
    assert_eq!(limits(360.0).objective, NOW + Span::from_ms(60.0));
    assert_eq!(limits(400.0).objective, NOW + Span::from_ms(100.0));
}

/// Guards against first tries that are taken for retries because they waited unread before the balancer got them.
#[test]
fn a_first_try_that_waited_has_used_that_time_of_its_latency_objective() {
    let (settings, mut rng) = (settings(), fastrand::Rng::with_seed(1));
    let mut admission = Admission::new(&settings);
    admission.assess(NOW, &request(360.0), &settings, &mut rng);
    let waiting = Request { waited: Span::from_ms(30.0), ..request(330.0) };
    let limits = admission.assess(NOW, &waiting, &settings, &mut rng).limits;
    assert_eq!(limits.objective, NOW + Span::from_ms(70.0));
    assert_eq!(limits.deadline, NOW + Span::from_ms(330.0));
}

#[test]
fn a_new_usual_timeout_is_adopted_after_enough_requests() {
    let (settings, mut rng) = (settings(), fastrand::Rng::with_seed(1));
    let mut admission = Admission::new(&settings);
    let mut assess = |time_left_ms| admission.assess(NOW, &request(time_left_ms), &settings, &mut rng).limits;
    for _ in 0..100 {
        assess(400.0);
    }
    for _ in 0..MAX_TIMEOUT_VOTES {
        assess(300.0);
    }
    assert_eq!(assess(300.0).objective, NOW + Span::from_ms(100.0));
}

#[test]
fn only_the_excess_of_a_tenant_is_over_its_share() {
    let tenants =
        vec![Tenant { fraction: 0.2, ..Tenant::default() }, Tenant { fraction: 0.8, ..Tenant::default() }];
    let settings = Settings { tenants, over_quota_weight: 0.1, ..settings() };
    let (mut admission, mut rng) = (Admission::new(&settings), fastrand::Rng::with_seed(1));
    let mut over = [0, 0];
    for i in 0..2000 {
        let tenant = i % 2;
        let request = Request { tenant: Some(TenantId(tenant)), ..request(400.0) };
        over[tenant] += u32::from(admission.assess(NOW, &request, &settings, &mut rng).is_over_share);
    }
    // The first tenant sends half of the traffic and may send 0.2 * 1.4 of it. The excess is 44% of its requests.
    assert!((380..500).contains(&over[0]) && over[1] == 0, "{over:?}");
}

#[test]
fn the_class_with_the_lowest_priority_for_its_work_is_not_protected() {
    let classes = vec![class(), Class { priority_weight: 5.0, ..class() }];
    let goal = Goal { overall: 1.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 };
    let settings = Settings { classes, goal, ..Settings::default() };
    let (mut admission, mut rng) = (Admission::new(&settings), fastrand::Rng::with_seed(1));
    for class in [0, 1] {
        let request = Request { class: ClassId(class), ..request(400.0) };
        admission.assess(NOW, &request, &settings, &mut rng);
    }
    admission.rank_classes(&settings, &Latencies::new(&settings));
    assert_eq!([0, 1].map(|class| admission.is_protected(class)), [false, true]);
}

#[test]
fn a_request_is_too_late_when_its_response_would_no_longer_count() {
    let limits = TimeLimits::from_now(NOW, Span::from_ms(400.0), Span::from_ms(100.0));
    let at = |ms: f64, class: &Class| is_too_late(NOW + Span::from_ms(ms), class, &limits, 0.5);
    assert!(!at(64.0, &class()) && at(65.0, &class()));
    let late_counts = Class { late_weight: 0.5, ..class() };
    assert!(!at(364.0, &late_counts) && at(365.0, &late_counts));
    let queued = |ms: f64| is_too_late_to_queue(NOW + Span::from_ms(ms), &class(), &limits, 0.2);
    assert!(!queued(59.0) && queued(60.0));
}

#[test]
fn the_queue_is_bounded_and_leaves_clients_able_to_open_requests() {
    let limited = Settings { max_concurrent_requests: Some(100), ..settings() };
    assert!(has_queue_capacity(&settings(), MAX_QUEUE_LENGTH - 1, 10_000));
    assert!(!has_queue_capacity(&settings(), MAX_QUEUE_LENGTH, 0));
    assert!(has_queue_capacity(&limited, 10, 75) && !has_queue_capacity(&limited, 10, 76));
}

#[test]
fn a_client_is_asked_to_retry_after_its_latency_objective_up_to_the_configured_maximum() {
    let retry_after_within = |max_ms: f64| {
        let settings = Settings { retry_after: true, max_retry_after: Span::from_ms(max_ms), ..settings() };
        retry_after(&settings, &class())
    };
    assert_eq!(retry_after_within(1000.0), Some(Span::from_ms(100.0)));
    assert_eq!(retry_after_within(50.0), Some(Span::from_ms(50.0)));
    assert_eq!(retry_after(&settings(), &class()), None);
}
