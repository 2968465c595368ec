//! Stand-ins for clients, renderers and discovery, and what the drivers of the cases share. The standard library alone.

pub mod agent;
pub mod case;
pub mod client;
pub mod discovery;
pub mod http;
pub mod renderer;
