//! What both sides of the agent share: bodies on their way, the pace at which they come, and the errors of sockets.

pub mod body;
pub mod errors;
pub mod lingering;
pub mod pace;
pub mod socket;
