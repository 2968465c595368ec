//! The renderers' side: the connections to them, and discovery, which lists them.

mod connect;
pub mod discovery;
pub mod upstream;
