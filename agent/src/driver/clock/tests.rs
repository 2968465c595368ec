use super::*;

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3600 * SECOND;

/// A wall clock that a test steps. Times are given in microseconds after the start.
struct ClockFixture {
    wall_clock: WallClock,
    start: u64,
    step: i64,
}

impl ClockFixture {
    fn new() -> Self {
        let clock = Clock::start();
        ClockFixture { wall_clock: WallClock::new(clock), start: clock.time_at(clock.started_at).0, step: 0 }
    }

    /// The balancer's time at `after`.
    fn time(&self, after: u64) -> Time {
        Time(self.start + after)
    }

    /// The wall clock's reading at `after` under the current step.
    fn reading(&self, after: u64) -> Time {
        Time((self.start + after).saturating_add_signed(self.step))
    }

    fn check(&self, after: u64) -> Option<i64> {
        self.wall_clock.observe(self.time(after), self.reading(after))
    }

    /// Converts a wall-clock reading with what is known at `after`.
    fn convert(&self, after: u64, reading: Time) -> Time {
        self.wall_clock.convert_as_of(self.time(after), reading)
    }
}

#[test]
fn a_reading_is_unchanged_without_a_step() {
    let fixture = ClockFixture::new();
    for after in [0, 1, 500_000, 10 * SECOND, 48 * HOUR] {
        assert_eq!(fixture.check(after), None);
        for reading in [Time(1), Time(1_700_000_000_000_000), fixture.time(0), fixture.time(after)] {
            assert_eq!(fixture.convert(after, reading), reading);
        }
    }
    // Changes below the threshold of a step are ignored, however often the clock is checked.
    for drift in [900_000, -900_000] {
        let fixture = ClockFixture { step: drift, ..ClockFixture::new() };
        assert_eq!((fixture.check(SECOND), fixture.check(2 * SECOND)), (None, None));
        assert_eq!(fixture.convert(2 * SECOND, fixture.time(SECOND)), fixture.time(SECOND));
    }
}

#[test]
fn a_reading_taken_after_a_step_is_converted_to_its_true_time() {
    for step in [HOUR as i64, -(HOUR as i64), 5 * SECOND as i64, -(5 * SECOND as i64)] {
        let mut fixture = ClockFixture::new();
        assert_eq!(fixture.check(2 * SECOND), None);
        fixture.step = step;
        assert_eq!(fixture.check(2 * SECOND + 500_000), Some(step));
        for taken in [2 * SECOND + 100_000, 3 * SECOND, 60 * SECOND] {
            let at = fixture.convert(taken + 100_000, fixture.reading(taken));
            assert!(at.since(fixture.time(taken)).0 <= 500_000, "step {step}, taken {taken}");
            assert!(fixture.time(taken).since(at).0 <= 500_000, "step {step}, taken {taken}");
        }
    }
}

#[test]
fn a_reading_taken_before_a_step_is_converted_to_its_true_time_after_it() {
    for step in [HOUR as i64, -(HOUR as i64)] {
        let mut fixture = ClockFixture::new();
        let reading = fixture.reading(1_800_000);
        fixture.check(2 * SECOND);
        fixture.step = step;
        fixture.check(2 * SECOND + 500_000);
        assert_eq!(fixture.convert(3 * SECOND, reading), fixture.time(1_800_000), "step {step}");
    }
}

#[test]
fn readings_from_all_periods_are_converted_after_a_step_is_undone() {
    let mut fixture = ClockFixture::new();
    fixture.check(2 * SECOND);
    fixture.step = -(HOUR as i64);
    fixture.check(2 * SECOND + 500_000);
    let between = fixture.reading(600 * SECOND);
    fixture.check(1200 * SECOND);
    fixture.step = 0;
    assert_eq!(fixture.check(1200 * SECOND + 500_000), Some(HOUR as i64));
    let now = 1300 * SECOND;
    for taken in [SECOND, 1250 * SECOND] {
        assert_eq!(fixture.convert(now, fixture.time(taken)), fixture.time(taken));
    }
    assert_eq!(fixture.convert(now, between), fixture.time(600 * SECOND));
    assert_eq!(fixture.convert(now, fixture.time(0)), fixture.time(0));
}

/// Another machine's clock may be ahead of this one's, but a start time in a received entry is in the past.
#[test]
fn a_reading_ahead_of_the_clock_is_converted_to_now() {
    let fixture = ClockFixture::new();
    fixture.check(SECOND);
    assert_eq!(fixture.convert(SECOND, fixture.time(HOUR)), fixture.time(SECOND));
}

#[test]
fn periods_are_bounded_and_the_first_one_is_kept() {
    let mut fixture = ClockFixture::new();
    for number in 1..200 {
        fixture.step = -((number * 5 * SECOND) as i64);
        assert!(fixture.check(number * SECOND).is_some());
    }
    assert_eq!(fixture.wall_clock.periods.borrow().len(), MAX_PERIODS);
    let long_ago = Time(1_700_000_000_000_000);
    assert_eq!(fixture.convert(200 * SECOND, long_ago), long_ago);
    assert_eq!(fixture.convert(200 * SECOND, fixture.reading(199 * SECOND)), fixture.time(199 * SECOND));
}
