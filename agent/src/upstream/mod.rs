//! The renderers' side: the connections to them, and discovery, which lists them.

pub mod client;
pub mod discovery;
