//! System call faults for the real program (the package `syscall-faults`, whose page describes schedules).

use std::path::{Path, PathBuf};
use tokio::process::Command;

const LIBRARY: &str = "libsyscall_faults.so";

/// Has the program meet this schedule.
pub fn meet(command: &mut Command, schedule: &str) {
    command.env("LD_PRELOAD", library()).env("SYSCALL_FAULTS", schedule);
}

/// Cargo builds it with the tests, as the package is among what they depend on.
fn library() -> PathBuf {
    let programs = Path::new(env!("CARGO_BIN_EXE_balancer-agent")).parent().expect("a folder");
    let library = programs.join("deps").join(LIBRARY);
    assert!(library.exists(), "cargo has not built {}", library.display());
    library
}
