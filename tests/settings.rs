//! Optional settings may be missing, and invalid settings are reported as errors.
mod common;
use balancer::*;
use common::*;

#[test]
fn impossible_settings_are_errors_and_not_panics() {
    let error_with = |change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Balancer::new(settings, 1).err()
    };
    assert_eq!(error_with(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(error_with(|s| s.max_attempts = 0), Some(SettingsError::NoAttempts));
    assert_eq!(
        error_with(|s| s.classes[0].latency_objective = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "latency_objective" })
    );
    assert_eq!(
        error_with(|s| s.classes[0].deadline = Span::ZERO),
        Some(SettingsError::ZeroSpan { setting: "deadline" })
    );
    assert!(matches!(error_with(|s| s.initial_capacity = f64::NAN), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(error_with(|s| s.overload_factor = -1.0), Some(SettingsError::BadNumber { .. })));
    assert!(matches!(
        error_with(|s| s.classes[0].priority_weight = f64::INFINITY),
        Some(SettingsError::BadNumber { .. })
    ));
    assert_eq!(error_with(|_| ()), None);
}

/// Without load reports, affinity keys, tenants, health checks, cancellation, retry-after advice or a goal, requests
/// are still served.
#[test]
fn a_class_is_all_that_settings_need() {
    let settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        cancel: false,
        goal: Goal { overall: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        warm_up_time: Span::ZERO,
        ..Settings::default()
    };
    let mut rig = Rig::new(settings, 1);
    rig.set_endpoints(fleet(3, 1, 1));
    for _ in 0..100 {
        let (id, sent) = rig.request(0);
        assert!(sent.is_some());
        rig.wait(Span::from_ms(10.0));
        rig.respond_with(id, 0, Outcome::Success, 10.0, Some(vec![f64::NAN, -1.0, 1e300]));
    }
    rig.assert_invariants();
}

#[test]
fn a_request_of_an_unknown_class_is_rejected() {
    let mut rig = Rig::new(Settings::default(), 1);
    rig.set_endpoints(fleet(3, 1, 1));
    let request = Request::new(RequestId(5), ClassId(9), Span::from_ms(100.0));
    let mut actions = Vec::new();
    rig.balancer.handle(rig.now, Event::Request(request), &mut actions);
    assert!(rejected(&actions, RequestId(5)));
    assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
}
