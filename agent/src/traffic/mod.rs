//! What both sides of the agent share: sockets and how they close, bodies and the memory that they take, and how long a
//! client may take.

pub mod attempt_body;
pub mod body_deadline;
pub mod connection_timer;
pub mod errors;
pub mod lingering;
pub mod memory_budget;
pub mod request_body;
pub mod response_body;
pub mod socket;
