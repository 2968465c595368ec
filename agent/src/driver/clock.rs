//! The balancer's time and the conversion of wall-clock readings to it.
//!
//! The balancer's time is the Unix time at process start plus the time elapsed on the monotonic clock, so a step of the
//! wall clock changes neither deadlines nor times that are already known. Times from outside (`born_ms` in the endpoint
//! list, operator commands given to another process) are wall-clock readings, and the clock may have been stepped after
//! they were taken. [`WallClock`] records its offset in each period between steps to convert them.

use balancer::{Span, Time};
use std::cell::{Cell, RefCell};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A larger change of the wall clock's offset counts as a step. Smaller changes are ignored, so that drift moves no
/// times.
const MIN_STEP: Duration = Duration::from_secs(1);
/// A reading of both clocks that took longer is discarded: the process may have been suspended between the two.
const MAX_READ_DURATION: Duration = Duration::from_millis(100);
/// Bounds the recorded periods between steps: the first one and the most recent ones are kept.
const MAX_PERIODS: usize = 16;

/// The balancer's clock: Unix time at its start, advanced by the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    /// When the clock was started.
    pub started_at: Instant,
    unix_start: Span,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        Clock { started_at: Instant::now(), unix_start: Span(unix_now().0) }
    }

    /// Converts an instant; one before the start gives the start.
    pub fn time_at(&self, instant: Instant) -> Time {
        Time(self.unix_start.0 + instant.saturating_duration_since(self.started_at).as_micros() as u64)
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.time_at(Instant::now())
    }

    /// Converts a time to an instant, at most 2^50 us (about 36 years) after the start.
    pub fn instant_at(&self, time: Time) -> Instant {
        self.started_at + Duration::from_micros(time.0.saturating_sub(self.unix_start.0).min(1 << 50))
    }

    /// Reads the balancer's time and the wall clock together; `None` if that took [`MAX_READ_DURATION`] or longer.
    fn read_both(&self) -> Option<(Time, Time)> {
        let (before, reading, after) = (Instant::now(), unix_now(), Instant::now());
        (after.duration_since(before) < MAX_READ_DURATION).then(|| (self.time_at(after), reading))
    }
}

/// The wall clock's current reading, as Unix time.
fn unix_now() -> Time {
    Time(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

/// A period in which the wall clock was not stepped. A step is detected only at the next check, so consecutive periods
/// overlap between the last check before a step and the first check after it.
#[derive(Debug, Clone, Copy)]
struct Period {
    from: Time,
    until: Time,
    /// Wall clock minus the balancer's time, in microseconds.
    offset: i64,
}

impl Period {
    /// Converts a wall-clock reading that was taken in this period to the balancer's time.
    fn convert(&self, reading: Time) -> Time {
        Time(reading.0.saturating_add_signed(-self.offset))
    }
}

/// The history of wall-clock steps since the process started.
pub struct WallClock {
    clock: Clock,
    /// In chronological order, never empty; the last one is the current period.
    periods: RefCell<Vec<Period>>,
    /// When the wall clock was last checked, in the balancer's time.
    last_checked_at: Cell<Time>,
}

impl WallClock {
    /// Starts the history with offset 0; `clock` must have just been started from the wall clock.
    pub fn new(clock: Clock) -> Self {
        let first = Period { from: Time(0), until: Time(u64::MAX), offset: 0 };
        let last_checked_at = Cell::new(clock.time_at(clock.started_at));
        WallClock { clock, periods: RefCell::new(vec![first]), last_checked_at }
    }

    /// The current time by the balancer's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Checks whether the wall clock has been stepped, and logs a step. Must be called often, because the time of a
    /// step is only known to be between two calls.
    pub fn check(&self) {
        let Some((now, reading)) = self.clock.read_both() else { return };
        if let Some(step) = self.observe(now, reading) {
            let seconds = step as f64 / 1e6;
            tracing::warn!(
                target: "process",
                "the wall clock was stepped by {seconds:+.3} s; known times stay unchanged, new readings are converted with the new offset"
            );
        }
    }

    /// Converts a wall-clock reading to the balancer's time.
    pub fn convert(&self, reading: Time) -> Time {
        self.convert_as_of(self.clock.now(), reading)
    }

    /// Records that the wall clock shows `reading` at `now`. Returns the step in microseconds if the offset differs
    /// by more than [`MIN_STEP`] from that of the current period.
    pub(super) fn observe(&self, now: Time, reading: Time) -> Option<i64> {
        let mut periods = self.periods.borrow_mut();
        let last_checked_at = self.last_checked_at.replace(now);
        let offset = reading.0 as i64 - now.0 as i64;
        let current = periods.last_mut()?;
        let step = offset - current.offset;
        if step.unsigned_abs() <= MIN_STEP.as_micros() as u64 {
            return None;
        }
        current.until = now;
        if periods.len() == MAX_PERIODS {
            periods.remove(1);
        }
        periods.push(Period { from: last_checked_at, until: Time(u64::MAX), offset });
        Some(step)
    }

    /// Converts a reading with the periods known at `now`. A reading belongs to the latest period in which the clock
    /// has shown it. A reading that the clock has never shown, because a step skipped it or because another machine's
    /// clock is ahead, is converted to the latest time that any period allows: a server that is taken for too new
    /// gets too few requests, but one that is taken for too old is overloaded. The result is at most `now` plus
    /// [`MIN_STEP`], because a known reading was taken in the past.
    fn convert_as_of(&self, now: Time, reading: Time) -> Time {
        let max_time = now + Span(MIN_STEP.as_micros() as u64);
        let periods = self.periods.borrow();
        let is_in_period = |period: &&Period| {
            let time = period.convert(reading);
            period.from <= time && time <= period.until.min(max_time)
        };
        match periods.iter().rev().find(is_in_period) {
            Some(period) => period.convert(reading),
            None => periods
                .iter()
                .map(|period| period.convert(reading))
                .filter(|time| *time <= max_time)
                .max()
                .unwrap_or(now),
        }
    }
}

#[cfg(test)]
mod tests;
