use super::*;

/// A term is counted for the length of the window and, in the upper bound, for at most a sixteenth of it longer.
#[test]
fn the_sum_contains_the_terms_of_the_window() {
    let window = Span::from_ms(1000.0);
    let at = |ms: u64| Time(50_000_000 + 1000 * ms);
    for begin in (0..200).step_by(7) {
        let mut sum = WindowedSum::default();
        sum.add(at(begin), window, 2.0);
        sum.add(at(begin + 500), window, 3.0);
        assert_eq!(sum.lower_bound(at(begin + 900), window), 5.0);
        assert_eq!(sum.upper_bound(at(begin + 1000), window), 5.0);
        assert_eq!(sum.lower_bound(at(begin + 1001), window), 3.0);
        assert_eq!(sum.upper_bound(at(begin + 1064), window), 3.0);
        assert_eq!(sum.upper_bound(at(begin + 9000), window), 0.0);
        sum.add(at(begin + 9000), window, 1.0);
        assert_eq!(sum.upper_bound(at(begin + 9000), window), 1.0);
    }
}

/// If the clock goes back, terms are added to the newest interval. A window of length zero has intervals of 1 us.
#[test]
fn a_clock_that_goes_back_and_an_empty_window_are_handled() {
    let mut sum = WindowedSum::default();
    sum.add(Time(5_000_000), Span::from_ms(1000.0), 1.0);
    sum.add(Time(1), Span::from_ms(1000.0), 1.0);
    assert_eq!(sum.lower_bound(Time(1), Span::from_ms(1000.0)), 2.0);
    let mut sum = WindowedSum::default();
    sum.add(Time(0), Span::ZERO, 1.0);
    assert_eq!(sum.upper_bound(Time(100), Span::ZERO), 0.0);
}
