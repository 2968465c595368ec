use super::*;

/// Each term counts for the whole window and for a sixteenth of it at most after that.
#[test]
fn a_window_holds_what_was_added_in_it() {
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

/// A clock that goes back adds to the newest interval, and a window of no length holds next to nothing.
#[test]
fn clocks_that_go_back_and_empty_windows_do_no_harm() {
    let mut sum = WindowedSum::default();
    sum.add(Time(5_000_000), Span::from_ms(1000.0), 1.0);
    sum.add(Time(1), Span::from_ms(1000.0), 1.0);
    assert_eq!(sum.lower_bound(Time(1), Span::from_ms(1000.0)), 2.0);
    let mut sum = WindowedSum::default();
    sum.add(Time(0), Span::ZERO, 1.0);
    assert_eq!(sum.upper_bound(Time(100), Span::ZERO), 0.0);
}
