use super::*;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3600 * SECOND;

/// A wall clock that a test sets, and the balancer's time beside it.
struct Bench {
    wall: WallClock,
    start: u64,
    step: i64,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::start();
        Bench { wall: WallClock::new(clock), start: clock.at(clock.origin).0, step: 0 }
    }

    /// What the balancer's time is so long after the start.
    fn time(&self, after: u64) -> Time {
        Time(self.start + after)
    }

    /// What the wall clock reads then, with the steps so far.
    fn reads(&self, after: u64) -> Time {
        Time((self.start + after).saturating_add_signed(self.step))
    }

    fn check(&self, after: u64) -> Option<i64> {
        self.wall.observe(self.time(after), self.reads(after))
    }

    /// Where a reading of the wall clock is placed by one who looks so long after the start.
    fn place(&self, after: u64, wall: Time) -> Time {
        self.wall.time_as_of(self.time(after), wall)
    }
}

#[test]
fn without_a_step_a_reading_is_its_own_time() {
    let bench = Bench::new();
    for after in [0, 1, 500_000, 10 * SECOND, 48 * HOUR] {
        assert_eq!(bench.check(after), None);
        for wall in [Time(1), Time(1_700_000_000_000_000), bench.time(0), bench.time(after)] {
            assert_eq!(bench.place(after, wall), wall);
        }
    }
    // Less than a step: nothing moves, however often it is looked at.
    for drift in [900_000, -900_000] {
        let bench = Bench { step: drift, ..Bench::new() };
        assert_eq!((bench.check(SECOND), bench.check(2 * SECOND)), (None, None));
        assert_eq!(bench.place(2 * SECOND, bench.time(SECOND)), bench.time(SECOND));
    }
}

#[test]
fn a_start_after_a_step_has_its_true_age() {
    for step in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -(5 * SECOND as i64)] {
        let mut bench = Bench::new();
        assert_eq!(bench.check(2 * SECOND), None);
        bench.step = step;
        assert_eq!(bench.check(2 * SECOND + 500_000), Some(step));
        for born in [2 * SECOND + 100_000, 3 * SECOND, 60 * SECOND] {
            let at = bench.place(born + 100_000, bench.reads(born));
            assert!(at.since(bench.time(born)).0 <= 500_000, "step {step}, born {born}");
            assert!(bench.time(born).since(at).0 <= 500_000, "step {step}, born {born}");
        }
    }
}

#[test]
fn a_start_before_a_step_that_is_read_after_it_has_its_true_age() {
    for step in [HOUR as i64, -(HOUR as i64)] {
        let mut bench = Bench::new();
        let born = bench.reads(1_800_000);
        bench.check(2 * SECOND);
        bench.step = step;
        bench.check(2 * SECOND + 500_000);
        assert_eq!(bench.place(3 * SECOND, born), bench.time(1_800_000), "step {step}");
    }
}

#[test]
fn a_clock_that_is_stepped_and_set_right_again_leaves_three_periods() {
    let mut bench = Bench::new();
    bench.check(2 * SECOND);
    bench.step = -(HOUR as i64);
    bench.check(2 * SECOND + 500_000);
    let between = bench.reads(600 * SECOND);
    bench.check(1200 * SECOND);
    bench.step = 0;
    assert_eq!(bench.check(1200 * SECOND + 500_000), Some(HOUR as i64));
    let now = 1300 * SECOND;
    for born in [SECOND, 1250 * SECOND] {
        assert_eq!(bench.place(now, bench.time(born)), bench.time(born));
    }
    assert_eq!(bench.place(now, between), bench.time(600 * SECOND));
    assert_eq!(bench.place(now, bench.time(0)), bench.time(0));
}

/// The clock of discovery may be ahead of this machine's. A start that has been read has happened.
#[test]
fn no_start_is_later_than_its_entry_was_read() {
    let bench = Bench::new();
    bench.check(SECOND);
    assert_eq!(bench.place(SECOND, bench.time(HOUR)), bench.time(SECOND));
}

#[test]
fn many_steps_are_kept_in_bounds_and_the_first_reading_stays() {
    let mut bench = Bench::new();
    for number in 1..200 {
        bench.step = -((number * 5 * SECOND) as i64);
        assert!(bench.check(number * SECOND).is_some());
    }
    assert_eq!(bench.wall.periods.borrow().len(), MAX_PERIODS);
    let long_ago = Time(1_700_000_000_000_000);
    assert_eq!(bench.place(200 * SECOND, long_ago), long_ago);
    assert_eq!(bench.place(200 * SECOND, bench.reads(199 * SECOND)), bench.time(199 * SECOND));
}
