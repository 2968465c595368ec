use super::*;

#[test]
fn draws_have_the_stated_means_and_repeat() {
    let mean = |draw: fn(&mut Seed) -> f64| {
        let mut seed = Seed(7);
        (0..40_000).map(|_| draw(&mut seed)).sum::<f64>() / 40_000.0
    };
    assert!((mean(|s| s.unit()) - 0.5).abs() < 0.01);
    assert!((mean(|s| s.exponential(3.0)) - 3.0).abs() < 0.06);
    assert!((mean(|s| s.lognormal(3.0, 1.0)) - 3.0).abs() < 0.1);
    assert_eq!(Seed(1).fork(2).bits(), Seed(1).fork(2).bits());
    assert_ne!(Seed(1).fork(2).bits(), Seed(1).fork(3).bits());
    let some = Seed(3).some(4, 9);
    assert!(some.len() == 4 && some.windows(2).all(|w| w[0] < w[1]) && some[3] < 9, "{some:?}");
}
