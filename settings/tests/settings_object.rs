//! Tests that each key of the settings object sets its field of the balancer's settings, and that absent keys have their
//! defaults.

use balancer::{
    Class, DeduplicationScope, Discovery, Goal, Idempotency, Prices, ReportField, ReportSource, Settings,
    Span, Tenant, Weights, ZoneId,
};
use balancer_settings::{names, settings, Names, Params};
use serde_json::{json, Value};

fn read(object: Value) -> (Settings, Names) {
    let params: Params = serde_json::from_value(object).expect("a settings object");
    (settings(&params), names(&params))
}

/// An object with every key. Values differ from those of absent keys, so that a key that is not read fails the test. Only
/// `cancel` is false either way.
fn complete_object() -> Value {
    json!({
        "balancers": 7,
        "classes": [
            {"name": "read", "aimMs": 100, "aimStretch": 2.5, "deadlineMs": 400, "effect": "idempotent",
             "points": 3, "lateWorth": 0.25, "stream": true},
            {"name": "write", "aimMs": 200, "deadlineMs": 800, "effect": "deduplicated", "group": "zone",
             "dedupWindowMs": 900},
        ],
        "discovery": "on_request",
        "familyInfo": {"warmKeys": true},
        "feedback": {"fields": ["inflight", "queue", "util", "latency_ms", "qps", "eps", "weather"], "source": "pull"},
        "goal": {"whole": 0.1, "worstClass": 0.2, "worstTenant": 0.3, "worstWindow": 0.4},
        "limits": {"cancel": false, "maxAttempts": 5, "connectTimeoutMs": 120, "keepaliveMs": 9000,
                   "maxRetryAfterMs": 700, "peers": true, "probes": true, "retryAfter": true, "secondCopies": true},
        "overShareWorth": 0.5,
        "parties": [{"name": "city", "fraction": 0.6, "allowancePerS": 40}],
        "penalties": {"connection": 0.01, "crossZone": 0.02, "handshake": 0.03, "lateFail": 0.04, "probe": 0.05,
                      "waste": 0.06},
        "periodMs": 2,
        "rules": {"askWithinMs": 3000, "coldShare": 0.3, "warmAfterMs": 5000, "stopSendingWithinMs": 600,
                  "overloadFactor": 4, "fallMs": 1500},
        "weights": "live",
        "worthBy": "work",
        "zone": 3,
        "zones": ["ropka", "annelinn"],
        "kinds": ["small", "large"],
        "aKeyOfALaterVersion": {"deep": [{}]},
    })
}

fn complete_classes() -> Vec<Class> {
    vec![
        Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: Span::from_ms(100.0),
            latency_objective_stretch: 2.5,
            deadline: Span::from_ms(400.0),
            priority_weight: 3.0,
            late_weight: 0.25,
            stream: true,
        },
        Class {
            idempotency: Idempotency::Deduplicated {
                scope: DeduplicationScope::Zone,
                window: Span::from_ms(900.0),
            },
            latency_objective: Span::from_ms(200.0),
            latency_objective_stretch: 0.0,
            deadline: Span::from_ms(800.0),
            priority_weight: 0.0,
            late_weight: 0.0,
            stream: false,
        },
    ]
}

fn complete_settings() -> Settings {
    Settings {
        balancers: 7,
        zone: ZoneId(3),
        classes: complete_classes(),
        tenants: vec![Tenant { fraction: 0.6, allowance_per_s: 40.0 }],
        over_quota_weight: 0.5,
        weight_by_work: true,
        goal: Goal { overall: 0.1, worst_window: 0.4, worst_class: 0.2, worst_tenant: 0.3 },
        prices: Prices {
            cross_zone: 0.02,
            health_check: 0.05,
            handshake: 0.03,
            connection: 0.01,
            waste: 0.06,
            late_failure: 0.04,
        },
        discovery: Discovery::Polled,
        max_poll_interval: Span::from_ms(3000.0),
        report_source: ReportSource::HealthChecks,
        report_fields: vec![
            ReportField::InFlight,
            ReportField::Queue,
            ReportField::Utilisation,
            ReportField::ServiceTime,
            ReportField::Rate,
            ReportField::Errors,
            ReportField::Other,
        ],
        weights: Weights::Live,
        key_affinity: true,
        max_attempts: 5,
        hedging: true,
        cancel: false,
        health_checks: true,
        gossip: true,
        retry_after: true,
        max_retry_after: Span::from_ms(700.0),
        drain_grace: Span::from_ms(600.0),
        initial_capacity: 0.3,
        warm_up_time: Span::from_ms(5000.0),
        overload_factor: 4.0,
        overload_window: Span::from_ms(1500.0),
        max_concurrent_requests: None,
        event_interval: Span::from_ms(2.0),
        keepalive: Span::from_ms(9000.0),
    }
}

#[test]
fn each_key_is_read() {
    let (settings, names) = read(complete_object());
    assert_eq!(settings, complete_settings());
    let expected = Names {
        classes: vec!["read".into(), "write".into()],
        tenants: vec!["city".into()],
        zones: vec!["ropka".into(), "annelinn".into()],
        kinds: vec!["small".into(), "large".into()],
        report_fields: ["inflight", "queue", "util", "latency_ms", "qps", "eps", "weather"]
            .map(String::from)
            .to_vec(),
        connect_timeout: Span::from_ms(120.0),
        keepalive: Span::from_ms(9000.0),
    };
    assert_eq!(names, expected);
}

#[test]
fn an_absent_key_has_its_default() {
    let (settings, names) = read(json!({}));
    let expected = Settings {
        classes: Vec::new(),
        goal: Goal { overall: 0.0, worst_window: 0.0, worst_class: 0.0, worst_tenant: 0.0 },
        cancel: false,
        max_retry_after: Span::ZERO,
        ..Settings::default()
    };
    assert_eq!(settings, expected);
    assert_eq!(names.connect_timeout, Span::from_ms(250.0));
    assert_eq!(names.keepalive, Span::from_ms(15_000.0));
    assert!(names.classes.is_empty() && names.tenants.is_empty() && names.zones.is_empty());
}

#[test]
fn each_value_of_an_enumeration_is_read() {
    let window = Span::from_ms(900.0);
    let deduplicated = |scope| Idempotency::Deduplicated { scope, window };
    for (effect, group, expected) in [
        ("idempotent", json!("all"), Idempotency::Idempotent),
        ("at_most_once", json!("all"), Idempotency::AtMostOnce),
        ("deduplicated", json!("all"), deduplicated(DeduplicationScope::All)),
        ("deduplicated", json!("zone"), deduplicated(DeduplicationScope::Zone)),
        ("deduplicated", json!("cell"), deduplicated(DeduplicationScope::Cell)),
        ("deduplicated", json!(null), deduplicated(DeduplicationScope::Cell)),
    ] {
        let class = json!({"effect": effect, "group": group, "dedupWindowMs": 900});
        let (settings, _) = read(json!({"classes": [class]}));
        assert_eq!(settings.classes[0].idempotency, expected, "{effect}, {group}");
    }
    let (settings, _) = read(json!({"classes": [{}]}));
    assert_eq!(settings.classes[0].idempotency, Idempotency::AtMostOnce);
    for (value, expected) in [("pushed", Discovery::Pushed), ("on_request", Discovery::Polled)] {
        assert_eq!(read(json!({"discovery": value})).0.discovery, expected, "{value}");
    }
    for (value, expected) in [
        ("silent", Weights::None),
        ("nominal", Weights::Capacity),
        ("rough", Weights::Capacity),
        ("live", Weights::Live),
    ] {
        assert_eq!(read(json!({"weights": value})).0.weights, expected, "{value}");
    }
    for (value, expected) in [("request", false), ("work", true)] {
        assert_eq!(read(json!({"worthBy": value})).0.weight_by_work, expected, "{value}");
    }
    for (value, expected) in [
        ("piggyback", ReportSource::Responses),
        ("pull", ReportSource::HealthChecks),
        ("silent", ReportSource::None),
    ] {
        assert_eq!(read(json!({"feedback": {"source": value}})).0.report_source, expected, "{value}");
    }
}

#[test]
fn an_unknown_enumeration_value_is_an_error_that_lists_the_valid_ones() {
    let error = serde_json::from_value::<Params>(json!({"worthBy": "weight"})).expect_err("an unknown value");
    assert!(error.to_string().contains("expected `request` or `work`"), "{error}");
}

#[test]
fn fnv1a_matches_published_values() {
    // Published test vectors of 64-bit FNV-1a. Processes must agree on the hash of a key.
    assert_eq!(balancer_settings::fnv1a(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(balancer_settings::fnv1a("foobar"), 0x8594_4171_f739_67e8);
}
