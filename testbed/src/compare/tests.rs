use super::*;

#[test]
fn intervals_cover_the_truth_about_as_often_as_they_say() {
    let (mut covered, mut told) = (0, 0);
    for round in 0..200u64 {
        let mut draw = Seed(round);
        let base: Vec<f64> = (0..8).map(|_| 10.0 + draw.exponential(1.0)).collect();
        let new: Vec<f64> = base.iter().map(|b| b + 0.5 + draw.lognormal(1.0, 0.6) - 1.0).collect();
        let found = difference(&base, &new);
        let (low, high) = found.interval.expect("pairs enough");
        covered += usize::from(low <= 0.5 && 0.5 <= high);
        told += usize::from(word("in_time", &found) == "better");
    }
    assert!(covered >= 192, "covered {covered} of 200");
    assert!(told >= 15, "told {told} of 200");
}

#[test]
fn builds_that_do_not_differ_seldom_come_out_as_different() {
    // Counts of rare things, most of them zero: the worst case for an interval.
    let rounds = 400;
    let mut told = 0;
    for round in 0..rounds {
        let mut draw = Seed(round);
        let mut rare = || (0..8).map(|_| (draw.unit() < 0.3) as u8 as f64 * draw.below(4) as f64).collect();
        let (base, new): (Vec<f64>, Vec<f64>) = (rare(), rare());
        told += usize::from(word("failed", &difference(&base, &new)) != "no difference shown");
    }
    assert!(told <= 8, "told {told} of {rounds}");
}

#[test]
fn words_go_by_the_figure_and_stay_silent_where_nothing_is_shown() {
    let base = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0];
    let same = difference(&base, &[1.1, 1.9, 3.1, 3.9, 5.05, 6.0, 7.1, 7.9]);
    assert_eq!(word("in_time", &same), "no difference shown");
    let more = difference(&base, &[2.0, 3.1, 4.05, 5.0, 6.1, 6.9, 8.0, 9.1]);
    assert_eq!((word("in_time", &more), word("p99_ms", &more)), ("better", "worse"));
    assert!((more.chance - 2.0 / 256.0).abs() < 1e-9, "{}", more.chance);
    assert_eq!(word("in_time", &difference(&[1.0, 2.0], &[2.0, 3.0])), "too few pairs to tell");
}
