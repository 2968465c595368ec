//! Other processes: at first the one that runs beside this one in an upgrade.

pub mod handover;
