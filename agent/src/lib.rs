//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the backends, and
//! the decisions of `balancer` in between.
//!
//! Each layer uses only those before it: the endpoint list, the metrics, the log and the configuration; what both sides
//! share (`traffic`); the servers and the agent's other processes (`upstream`, `peers`); the `driver`, an event loop that
//! carries out what the balancer decides; the application's side and the admin API; the process that owns them all; the
//! command line.
//!
//! Modules with lint levels of their own are held to those of the workspace; the package's table follows once all are.

#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
pub mod admin;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
pub mod admin_api;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
mod check;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
pub mod cli;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
mod config;
mod downstream;
mod driver;
mod endpoint_list;
mod log;
mod metrics;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
mod peers;
#[warn(clippy::too_many_lines, clippy::wildcard_enum_match_arm)]
mod process;
mod traffic;
mod upstream;

// For hosts that hold many agents in one process, as the testbed's scale tests do.
pub use config::Config;
pub use driver::Driver;
