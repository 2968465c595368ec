//! The staff's side: the second address.

pub mod operator;
