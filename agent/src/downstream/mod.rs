//! What the application beside the agent connects to.

pub mod server;
