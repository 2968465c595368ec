//! Other processes: at first the one that runs beside this one in an upgrade.

pub mod cordons;
pub mod file;
pub mod learned;
pub mod listener;
pub mod writer;
