//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the backends, and
//! the decisions of `balancer` in between.
//!
//! Each layer uses only those before it: the endpoint list, the metrics, the log and the configuration; what both sides
//! share (`traffic`); the servers and the agent's other processes (`upstream`, `peers`); the `driver`, an event loop
//! that carries out the decisions of the balancer; the application's side (`downstream`) and the admin API; the process
//! that owns them all; the command line.
//!
//! The modules with `warn` attributes satisfy these lints of the workspace. Once all modules do, the package's lint
//! table replaces the attributes.

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

// For programs that run many agents in one process, as the testbed's scale tests do.
pub use config::Config;
pub use driver::Driver;
