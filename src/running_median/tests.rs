use super::*;

#[test]
fn the_median_equals_the_middle_of_the_sorted_values() {
    let (mut median, mut rng) = (RunningMedian::default(), fastrand::Rng::with_seed(1));
    let mut values = [None; 30];
    assert_eq!(median.get(), None);
    for _ in 0..3000 {
        let slot = rng.usize(0..30);
        let value = (rng.u32(0..4) > 0).then(|| f64::from(rng.i32(-5..5)) * 0.1);
        median.set(slot, value);
        values[slot] = value;
        let mut sorted: Vec<f64> = values.iter().flatten().copied().collect();
        sorted.sort_by(f64::total_cmp);
        assert_eq!(median.get(), sorted.get(sorted.len() / 2).copied());
    }
}
