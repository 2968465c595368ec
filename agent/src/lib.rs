//! A client-side load-balancing agent: HTTP/1.1 from the application beside it, HTTP/1.1 to the backends, and
//! the decisions of `balancer` in between.
//!
//! Each layer uses only those before it: the list, the figures, the log and the configuration; what both sides share
//! (`traffic`); the renderers and other processes (`renderers`, `peers`); the `driver`, which carries out what the module
//! decides; the application's and the staff's side; the process that holds them together; the
//! command line.

mod application;
mod check;
pub mod cli;
mod config;
mod driver;
mod figures;
pub mod forms;
mod list;
mod log;
mod peers;
mod process;
mod renderers;
pub mod staff;
mod traffic;

// For hosts that hold many agents in one process, as the testbed's scale tests do.
pub use config::Config;
pub use driver::Driver;
