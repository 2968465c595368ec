//! The staff's side: the second address, and what its calls mean.

pub mod operator;
pub mod saver;
pub mod words;
