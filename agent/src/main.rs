//! The `balancer-agent` program; [`balancer_agent::cli`] reads its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_agent::cli::run(std::env::args_os())
}
