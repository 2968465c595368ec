//! The program; what it can do is [`bellcroft::cli`]'s to say.

use std::process::ExitCode;

fn main() -> ExitCode {
    bellcroft::cli::run(std::env::args_os())
}
