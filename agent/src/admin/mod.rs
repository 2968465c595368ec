//! The admin API of the agent: its address, its calls, and what outlives the process of the operators' commands.

pub mod call;
pub mod callers;
pub mod command_writer;
pub mod listener;
pub mod service;
pub mod snapshots;
