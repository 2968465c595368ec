//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the backends, and
//! the decisions of `balancer` in between.
//!
//! Each layer uses only those before it: the list, the metrics, the log and the configuration; what both sides share
//! (`traffic`); the renderers and other processes (`upstream`, `peers`); the `driver`, which carries out what the module
//! decides; the application's and the staff's side; the process that holds them together; the
//! command line.

pub mod admin;
pub mod admin_api;
mod check;
pub mod cli;
mod config;
mod downstream;
mod driver;
mod endpoint_list;
mod log;
mod metrics;
mod peers;
mod process;
mod traffic;
mod upstream;

// For hosts that hold many agents in one process, as the testbed's scale tests do.
pub use config::Config;
pub use driver::Driver;
