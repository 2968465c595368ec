//! The staff's side: the second address, and what its calls mean.

pub mod commands;
pub mod listener;
