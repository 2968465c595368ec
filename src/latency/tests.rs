use super::*;
use crate::{Class, Span};

fn latencies() -> Latencies {
    let class = Class { latency_objective: Span::from_ms(100.0), ..Class::default() };
    Latencies::new(&Settings { classes: vec![class], ..Settings::default() })
}

#[test]
fn the_usual_latency_follows_quick_responses_sooner_than_slow_ones() {
    let after = |latency: f64| {
        let (mut latencies, mut server) = (latencies(), ServerLatency::new());
        (0..20).for_each(|_| latencies.record_success(0, &mut server, latency));
        (latencies.usual(0), latencies.current(0))
    };
    let ((low, _), (high, current)) = (after(0.1), after(0.3));
    assert!(0.2 - low > 2.0 * (high - 0.2), "{low} and {high}");
    assert!(current > 0.28, "the current latency follows both alike: {current}");
}

#[test]
fn a_server_is_slow_only_after_several_responses_and_compared_with_the_median() {
    let (mut latencies, mut server) = (latencies(), ServerLatency::new());
    for _ in 0..3 {
        latencies.record_latency(KindId(0), &mut server, LATE_LATENCY);
        assert!(!latencies.is_slow(&server), "after {} responses", server.samples());
    }
    latencies.record_latency(KindId(0), &mut server, LATE_LATENCY);
    assert!(latencies.is_slow(&server));
    latencies.restore_median(0.5);
    assert!(!latencies.is_slow(&server), "the others are nearly as slow");
}

#[test]
fn the_expected_latency_of_a_server_without_samples_is_that_of_its_machine_type() {
    let mut latencies = latencies();
    for _ in 0..12 {
        latencies.record_latency(KindId(1), &mut ServerLatency::new(), 0.8);
    }
    let fresh = ServerLatency::new();
    assert!(latencies.expected(KindId(1), &fresh) > 0.7);
    assert_eq!(latencies.expected(KindId(2), &fresh), latencies.median());
}

#[test]
fn the_median_is_updated_from_the_servers_that_have_changed() {
    let mut latencies = latencies();
    let values = [Some(0.5), None, Some(0.1), Some(0.3)];
    (0..4).for_each(|slot| latencies.mark_changed(slot));
    latencies.update_median(|slot| values[slot]);
    assert_eq!(latencies.median(), 0.3);
    latencies.mark_changed(2);
    latencies.update_median(|_| Some(0.9));
    assert_eq!(latencies.median(), 0.5);
    latencies.update_median(|_| panic!("nothing has changed"));
}
