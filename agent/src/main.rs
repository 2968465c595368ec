//! The program, whose command line is in [`balancer_agent::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_agent::cli::run(std::env::args_os())
}
