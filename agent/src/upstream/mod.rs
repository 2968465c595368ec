//! The servers' side: the connections to them, the exchanges over these, and discovery, which lists the servers.

pub mod attempt;
pub mod client;
mod connect;
mod connection;
pub mod discovery;
mod errors;
pub mod exchange;
pub mod headers;
mod health_check;
mod load_report;
mod pool;
mod write_counter;
