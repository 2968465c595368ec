use super::*;
use crate::Span;

#[test]
fn a_term_decays_to_one_eth_after_the_time_constant() {
    let (mut sum, now) = (DecayingSum::default(), Time::from_ms(1000.0));
    sum.add(now, 500.0, 8.0);
    assert_eq!(sum.value(now), 8.0);
    let later = now + Span::from_ms(500.0);
    assert!((sum.value(later) - 8.0 / std::f64::consts::E).abs() < 1e-9);
    sum.add(later, 500.0, 1.0);
    assert!((sum.value(later) - 8.0 / std::f64::consts::E - 1.0).abs() < 1e-9);
}

#[test]
fn the_sum_does_not_change_when_the_clock_goes_back() {
    let mut sum = DecayingSum::default();
    sum.add(Time::from_ms(1000.0), 500.0, 8.0);
    assert_eq!(sum.value(Time::from_ms(10.0)), 8.0);
}
