//! A crowd: many clients of one agent that make it hold as much memory as they can, and the servers that respond to them.
//!
//! What a client does is a combination of independent choices, so that a seed can draw each of them. The path of its
//! request tells the server what to do, so that a server needs no state.

pub mod client;
pub mod server;

pub use client::{Client, Method};
pub use server::{respond, Responder, ResponseForm, ServerPace};

/// Paths of the crowd's requests have this prefix after the class.
pub const PATH_PREFIX: &str = "crowd-";
/// A slow peer sends and reads this many bytes a second.
pub const SLOW_BYTES_PER_SECOND: usize = 64_000;
/// The length of a long body.
pub const LONG_BODY_BYTES: usize = 8 << 20;

#[cfg(test)]
mod tests;
