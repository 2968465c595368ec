//! The upstream side: connections to servers, HTTP exchanges over them, and the client of the discovery service.

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
