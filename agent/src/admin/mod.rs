//! The agent's admin API: its listener and its calls, and the files that pass the operators' commands and the
//! balancer's snapshot to the next process.

pub mod call;
pub mod callers;
pub mod command_writer;
pub mod listener;
pub mod service;
pub mod snapshots;
