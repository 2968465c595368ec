//! Reads the schedule before `main`.

use super::{clock, Play, PLAY};
use crate::engine::Engine;
use crate::schedule::Schedule;
use crate::VARIABLE;
use std::io::Write;

/// The exit code of a process whose schedule cannot be read.
const UNREADABLE: libc::c_int = 2;

/// The loader calls this before `main`.
#[used]
#[link_section = ".init_array"]
static AT_LOAD: extern "C" fn() = begin;

extern "C" fn begin() {
    let Some(text) = std::env::var_os(VARIABLE) else { return };
    let schedule = match text.to_str() {
        Some(text) => Schedule::parse(text).map_err(|why| why.to_string()),
        None => Err("not UTF-8".to_owned()),
    };
    match schedule {
        Ok(schedule) => drop(PLAY.set(Play { engine: Engine::new(schedule), start: clock::monotonic() })),
        Err(why) => give_up(&why),
    }
}

fn give_up(why: &str) {
    // With standard error closed too, the exit code still tells.
    let _ = writeln!(std::io::stderr(), "{VARIABLE} cannot be read: {}", why.replace('\n', " "));
    // SAFETY: ends the process without running anything of a program that has not begun.
    unsafe { libc::_exit(UNREADABLE) };
}
