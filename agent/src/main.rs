//! The program; what it can do is [`balancer_agent::cli`]'s to say.

use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_agent::cli::run(std::env::args_os())
}
