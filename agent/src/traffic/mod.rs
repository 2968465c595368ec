//! What both sides of the agent share: bodies on their way, and the pace at which they come.

pub mod body;
pub mod lingering;
pub mod pace;
pub mod socket;
