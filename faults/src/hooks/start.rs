//! Loads the schedule before `main`.

use super::{clock, Injector, INJECTOR};
use crate::engine::Engine;
use crate::schedule::Schedule;
use crate::VARIABLE;
use std::io::Write;

/// The exit code of a process with an invalid schedule.
const INVALID_SCHEDULE_EXIT_CODE: libc::c_int = 2;

/// The dynamic loader calls the functions in `.init_array` before `main`.
#[used]
#[link_section = ".init_array"]
static CONSTRUCTOR: extern "C" fn() = load_schedule;

extern "C" fn load_schedule() {
    let Some(text) = std::env::var_os(VARIABLE) else { return };
    let schedule = match text.to_str() {
        Some(text) => Schedule::parse(text).map_err(|error| error.to_string()),
        None => Err("not UTF-8".to_owned()),
    };
    match schedule {
        Ok(schedule) => {
            drop(INJECTOR.set(Injector { engine: Engine::new(schedule), start: clock::monotonic() }))
        }
        Err(reason) => exit_with_error(&reason),
    }
}

fn exit_with_error(reason: &str) {
    // If standard error is closed, the exit code still reports the failure.
    let _ = writeln!(std::io::stderr(), "invalid {VARIABLE}: {}", reason.replace('\n', " "));
    // SAFETY: `_exit` runs no exit handlers of the program, which is not initialized yet.
    unsafe { libc::_exit(INVALID_SCHEDULE_EXIT_CODE) };
}
