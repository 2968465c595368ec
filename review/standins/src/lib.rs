//! Stand-ins for the review's cases: renderers, discovery, clients and the platform that starts and ends an agent.
//! They follow the protocol page; what a case adds to that is in its own file under `bin`.

pub mod agent;
pub mod client;
pub mod discovery;
pub mod http;
pub mod renderer;
pub mod report;
pub mod rng;
