//! `balancerctl`, the operators' command: calls the admin API of many agents concurrently, each call within its own
//! time limit, and prints the combined answers as tables or as JSON.
//!
//! The command stores nothing: every run shows the agents' current state. `docs/balancerctl.md` is the user manual.

mod admin_call;
mod agent_file;
mod aggregate;
mod arguments;
mod client;
mod commands;
mod error;
mod exit_status;
mod output;
mod queries;

pub use commands::run;
pub use exit_status::ExitStatus;
