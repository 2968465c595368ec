//! State that the processes of one agent share while an upgrade runs the old and the new one side by side: the
//! listening socket, and files with the operators' commands, with a snapshot of what the balancer has learned, and with
//! the endpoint list.

pub mod attempt_log;
pub mod clock_reading;
pub mod command;
pub mod cordons;
pub mod file;
pub mod list_handover;
pub mod listener;
pub mod owner;
pub mod snapshot;
pub mod writer;
