use super::*;

const NOW: Time = Time(60_000_000);
const OBJECTIVE: Span = Span(100_000);

fn sample(outcome: Outcome, latency: f64, at_work: u32) -> LimitSample {
    LimitSample {
        now: NOW,
        sent_at: NOW - OBJECTIVE,
        outcome,
        elapsed: OBJECTIVE * latency,
        latency_objective: OBJECTIVE,
        latency,
        smoothed_latency: latency,
        idle_latency: 0.2,
        usual_latency: 0.2,
        at_work,
    }
}

/// The limit after this number of samples, each with the limit in full use.
fn limit_after(samples: u32, outcome: Outcome, latency: f64) -> f64 {
    let mut limit = ServerLimit::new(NOW);
    (0..samples).for_each(|_| limit.record(&sample(outcome, latency, limit.value() as u32), 0.01));
    limit.value()
}

#[test]
fn a_limit_in_use_grows_fast_at_first_and_then_slowly() {
    assert_eq!(limit_after(8, Outcome::Success, 0.2), FAST_GROWTH_LIMIT);
    let slowly = limit_after(9, Outcome::Success, 0.2);
    assert!(slowly > FAST_GROWTH_LIMIT && slowly < FAST_GROWTH_LIMIT + 0.1, "{slowly}");
}

#[test]
fn a_limit_that_is_not_in_use_does_not_grow() {
    let mut limit = ServerLimit::new(NOW);
    limit.restore(10.0, true);
    limit.record(&sample(Outcome::Success, 0.2, 3), 0.01);
    assert_eq!(limit.value(), 10.0);
}

#[test]
fn late_attempts_sent_before_a_reduction_do_not_reduce_the_limit_again() {
    let mut limit = ServerLimit::new(NOW);
    limit.restore(10.0, false);
    (0..5).for_each(|_| limit.record(&sample(Outcome::TimedOut, LATE_LATENCY, 3), 0.01));
    assert_eq!(limit.value(), 10.0 * LATE_REDUCTION_FACTOR);
}

#[test]
fn a_limit_never_falls_below_its_minimum() {
    let mut limit = ServerLimit::new(NOW);
    for i in 1..200 {
        let (now, sent_at) = (NOW + OBJECTIVE * f64::from(i + 1), NOW + OBJECTIVE * f64::from(i));
        limit.record(&LimitSample { now, sent_at, ..sample(Outcome::TimedOut, LATE_LATENCY, 0) }, 0.1);
    }
    assert_eq!(limit.value(), 0.1);
}

#[test]
fn a_limit_below_one_is_enforced_by_pauses() {
    let mut limit = ServerLimit::new(NOW);
    limit.restore(0.5, true);
    limit.record(&sample(Outcome::Success, 0.2, 5), 0.5);
    let latency = OBJECTIVE * 0.2;
    let has_capacity = |after: Span| limit.has_capacity(NOW + after, 0.5, 1.0, 0);
    assert!(!has_capacity(latency * 2.0), "a limit of a quarter pauses for three times the latency");
    assert!(has_capacity(latency * 3.0));
}

#[test]
fn a_full_server_is_paused() {
    let mut limit = ServerLimit::new(NOW);
    limit.record(&sample(Outcome::Rejected, LATE_LATENCY, 0), 0.01);
    assert!(!limit.is_pause_over(NOW));
    assert!(limit.is_pause_over(NOW + OBJECTIVE * 0.2));
}

#[test]
fn few_slow_responses_keep_the_level_high_and_many_lower_it() {
    let level_after = |slow_of_eight: u32| {
        let mut level = AdmissionLevel::new(&Settings { balancers: 100, ..Settings::default() });
        for i in 0..800 {
            let is_slow = i % 8 < slow_of_eight;
            level.record(if is_slow { 0.9 } else { 0.1 }, 15, false);
        }
        level.value()
    };
    assert!(level_after(1) > 0.9);
    assert!(level_after(6) < 0.05);
}

#[test]
fn with_sparse_traffic_the_level_keeps_its_minimum_and_recovers() {
    let mut level = AdmissionLevel::new(&Settings { balancers: 1000, ..Settings::default() });
    (0..500).for_each(|_| level.record(LATE_LATENCY, 0, true));
    assert_eq!(level.value(), MIN_LEVEL_SPARSE);
    (0..500).for_each(|_| level.record(0.2, 0, true));
    assert_eq!(level.value(), 1.0);
}
