//! Shared by the sides of the agent that face clients and servers: sockets and how they are closed, bodies and their
//! memory budget, and the timeouts of clients.

pub mod abort_queue;
pub mod arrival_watch;
pub mod attempt_body;
pub mod body_buffer;
pub mod body_deadline;
pub mod connection_timer;
pub mod errors;
pub mod head_memory;
pub mod lingering;
pub mod memory_budget;
mod peer_writes;
pub mod presence;
pub mod request_body;
pub mod response_body;
pub mod socket;
mod tcp_info;
