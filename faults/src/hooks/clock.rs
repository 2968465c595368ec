//! Replacements for the functions that read the wall clock; they add the clock steps of the schedule.

use super::{real, INJECTOR};
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};
use std::time::Duration;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MILLI: i64 = 1_000_000;
const NANOS_PER_MICRO: i64 = 1_000;
const MILLIS_PER_SECOND: i64 = 1_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Gettimeofday = unsafe extern "C" fn(*mut timeval, *mut c_void) -> c_int;

/// The time of `CLOCK_MONOTONIC`, which clock steps do not affect.
pub fn monotonic() -> Duration {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a local variable of the right type.
    unsafe { real!(clock_gettime: ClockGettime)(libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// The current shift of the wall clock in milliseconds; 0 without a schedule.
fn shift_ms() -> i64 {
    let injector = INJECTOR.get().filter(|injector| injector.engine.has_clock_steps());
    injector.map_or(0, |injector| injector.engine.clock_shift_ms(injector.since_start()))
}

/// Adds `shift_ms` to a time; the nanoseconds of the result are in `0..NANOS_PER_SECOND`.
fn shifted(seconds: i64, nanos: i64, shift_ms: i64) -> (i64, i64) {
    let nanos = nanos + (shift_ms % MILLIS_PER_SECOND) * NANOS_PER_MILLI;
    let seconds = seconds + shift_ms / MILLIS_PER_SECOND + nanos.div_euclid(NANOS_PER_SECOND);
    (seconds, nanos.rem_euclid(NANOS_PER_SECOND))
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int {
    // SAFETY: the caller guarantees that the pointer is valid.
    let result = unsafe { real!(clock_gettime: ClockGettime)(clock, now) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && is_wall_clock {
        // SAFETY: the call succeeded, so it has written to this pointer.
        let now = unsafe { &mut *now };
        (now.tv_sec, now.tv_nsec) = shifted(now.tv_sec, now.tv_nsec, shift_ms());
    }
    result
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(now: *mut timeval, zone: *mut c_void) -> c_int {
    // SAFETY: the caller guarantees that the pointers are valid.
    let result = unsafe { real!(gettimeofday: Gettimeofday)(now, zone) };
    if result == 0 && !now.is_null() {
        // SAFETY: the call succeeded, so it has written to this pointer.
        let now = unsafe { &mut *now };
        let (seconds, nanos) = shifted(now.tv_sec, now.tv_usec * NANOS_PER_MICRO, shift_ms());
        (now.tv_sec, now.tv_usec) = (seconds, nanos / NANOS_PER_MICRO);
    }
    result
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn time(now: *mut time_t) -> time_t {
    let mut current = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a local variable of the right type.
    unsafe { clock_gettime(libc::CLOCK_REALTIME_COARSE, &raw mut current) };
    if !now.is_null() {
        // SAFETY: the caller guarantees that the pointer is valid.
        unsafe { *now = current.tv_sec };
    }
    current.tv_sec
}
