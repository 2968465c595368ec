//! The balancer's time, and how readings of the wall clock are placed in it.
//!
//! The balancer's time is Unix time at the start, carried on by the monotonic clock, so no step of the wall clock moves
//! a deadline or a time that is already known. Times that come from outside (`born_ms` of the endpoint list, the operator commands in another
//! process) are readings of the wall clock, which may have been stepped since: [`WallClock`] keeps what it showed when.

use balancer::{Span, Time};
use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A wall clock that is off by more has been stepped; less is left alone, so that nothing moves without a step.
const MIN_STEP: Duration = Duration::from_secs(1);
/// A reading of both clocks that took longer is ignored: the process may have been stopped between the two.
const MAX_READING_TIME: Duration = Duration::from_millis(100);
/// So many periods between steps are remembered, the first one and the latest.
const MAX_PERIODS: usize = 16;

/// The balancer's time.
#[derive(Clone, Copy)]
pub struct Clock {
    /// When it was started.
    pub origin: Instant,
    unix_origin: Span,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { origin: Instant::now(), unix_origin: Span(unix_now().0) }
    }

    /// The time at `instant`.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix_origin.0 + instant.saturating_duration_since(self.origin).as_micros() as u64)
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_micros(time.0.saturating_sub(self.unix_origin.0).min(1 << 50))
    }

    /// Both clocks at one moment: the balancer's time and the wall clock's reading.
    fn reading(&self) -> Option<(Time, Time)> {
        let (before, wall, after) = (Instant::now(), unix_now(), Instant::now());
        (after.duration_since(before) < MAX_READING_TIME).then(|| (self.at(after), wall))
    }
}

/// What the wall clock reads, as Unix time.
fn unix_now() -> Time {
    Time(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

/// A period in which the wall clock was not stepped. A step is noticed after it has happened, so one period may begin
/// before the one before it has ended.
#[derive(Debug, Clone, Copy)]
struct Period {
    from: Time,
    until: Time,
    /// The wall clock's lead over the balancer's time, in microseconds.
    lead: i64,
}

impl Period {
    /// The balancer's time at which the wall clock read this, if it did so in this period.
    fn time(&self, wall: Time) -> Time {
        Time(wall.0.saturating_add_signed(-self.lead))
    }
}

/// The wall clock since the start of the process.
pub struct WallClock {
    clock: Clock,
    /// In their order, never empty; the last one has not ended.
    periods: RefCell<Vec<Period>>,
    /// When the wall clock was last checked.
    checked_at: Cell<Time>,
}

impl WallClock {
    /// The wall clock by which `clock` has just been started.
    pub fn new(clock: Clock) -> Self {
        let first = Period { from: Time(0), until: Time(u64::MAX), lead: 0 };
        let checked_at = Cell::new(clock.at(clock.origin));
        WallClock { clock, periods: RefCell::new(vec![first]), checked_at }
    }

    /// Checks whether the wall clock has been stepped, and logs it. To be called often: all that is known of the time of a
    /// step is that it was between two calls.
    pub fn check(&self) {
        let Some((now, wall)) = self.clock.reading() else { return };
        if let Some(step) = self.observe(now, wall) {
            let seconds = step as f64 / 1e6;
            tracing::warn!(
                target: "process",
                "the wall clock was stepped by {seconds:+.3} s; what is known keeps its time, what comes is placed by the new reading"
            );
        }
    }

    /// The balancer's time at which the wall clock has read this.
    pub fn time(&self, wall: Time) -> Time {
        self.time_as_of(self.clock.now(), wall)
    }

    /// Records that the wall clock reads `wall` at the time `now`; the step since the last record, in microseconds, if
    /// there was one.
    pub(super) fn observe(&self, now: Time, wall: Time) -> Option<i64> {
        let mut periods = self.periods.borrow_mut();
        let checked_at = self.checked_at.replace(now);
        let lead = wall.0 as i64 - now.0 as i64;
        let current = periods.last_mut()?;
        let step = lead - current.lead;
        if step.unsigned_abs() <= MIN_STEP.as_micros() as u64 {
            return None;
        }
        current.until = now;
        if periods.len() == MAX_PERIODS {
            periods.remove(1);
        }
        periods.push(Period { from: checked_at, until: Time(u64::MAX), lead });
        Some(step)
    }

    /// The balancer's time of a reading, as far as is known at `now`. A reading belongs to the latest period in which the
    /// clock has shown it. One that it has never shown, because a step skipped it or because another machine's clock is
    /// ahead, is as late as any period allows: a server that is taken for too new gets too few requests, one that is
    /// taken for too old is overloaded. Nothing that is known by now has happened after now.
    fn time_as_of(&self, now: Time, wall: Time) -> Time {
        let latest = now + Span(MIN_STEP.as_micros() as u64);
        let periods = self.periods.borrow();
        let has_shown = |period: &&Period| {
            let time = period.time(wall);
            period.from <= time && time <= period.until.min(latest)
        };
        match periods.iter().rev().find(has_shown) {
            Some(period) => period.time(wall),
            None => periods
                .iter()
                .map(|period| period.time(wall))
                .filter(|time| *time <= latest)
                .max()
                .unwrap_or(now),
        }
    }
}

#[cfg(test)]
mod tests;
