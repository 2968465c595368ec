//! What the processes of one agent share, at first in an upgrade, when an old and a new one run side by side: the
//! listening socket, and files with the operators' commands and a snapshot of the decisions.

pub mod clock_reading;
pub mod command;
pub mod cordons;
pub mod file;
pub mod listener;
pub mod owner;
pub mod snapshot;
pub mod writer;
