//! The wall clock, moved by the steps of the schedule.

use super::{real, PLAY};
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};
use std::time::Duration;

const NANOS_OF_SECOND: i64 = 1_000_000_000;
const NANOS_OF_MILLI: i64 = 1_000_000;
const NANOS_OF_MICRO: i64 = 1_000;
const MILLIS_OF_SECOND: i64 = 1_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Gettimeofday = unsafe extern "C" fn(*mut timeval, *mut c_void) -> c_int;

/// The time of the clock that no step moves.
pub fn monotonic() -> Duration {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it points to a value of its type.
    unsafe { real!(clock_gettime: ClockGettime)(libc::CLOCK_MONOTONIC, &raw mut now) };
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// How far the wall clock is off now, in milliseconds; 0 if nothing is played.
fn shift_ms() -> i64 {
    let play = PLAY.get().filter(|play| play.engine.has_clock_steps());
    play.map_or(0, |play| play.engine.clock_shift_ms(play.since_start()))
}

/// Seconds and nanoseconds, so many milliseconds later.
fn shifted(seconds: i64, nanos: i64, shift_ms: i64) -> (i64, i64) {
    let nanos = nanos + (shift_ms % MILLIS_OF_SECOND) * NANOS_OF_MILLI;
    let seconds = seconds + shift_ms / MILLIS_OF_SECOND + nanos.div_euclid(NANOS_OF_SECOND);
    (seconds, nanos.rem_euclid(NANOS_OF_SECOND))
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int {
    // SAFETY: the caller vouches for the pointer.
    let result = unsafe { real!(clock_gettime: ClockGettime)(clock, now) };
    let wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && wall {
        // SAFETY: the call has just written there.
        let now = unsafe { &mut *now };
        (now.tv_sec, now.tv_nsec) = shifted(now.tv_sec, now.tv_nsec, shift_ms());
    }
    result
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(now: *mut timeval, zone: *mut c_void) -> c_int {
    // SAFETY: the caller vouches for the pointers.
    let result = unsafe { real!(gettimeofday: Gettimeofday)(now, zone) };
    if result == 0 && !now.is_null() {
        // SAFETY: the call has just written there.
        let now = unsafe { &mut *now };
        let (seconds, nanos) = shifted(now.tv_sec, now.tv_usec * NANOS_OF_MICRO, shift_ms());
        (now.tv_sec, now.tv_usec) = (seconds, nanos / NANOS_OF_MICRO);
    }
    result
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn time(now: *mut time_t) -> time_t {
    let mut told = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it points to a value of its type.
    unsafe { clock_gettime(libc::CLOCK_REALTIME_COARSE, &raw mut told) };
    if !now.is_null() {
        // SAFETY: the caller vouches for the pointer.
        unsafe { *now = told.tv_sec };
    }
    told.tv_sec
}
