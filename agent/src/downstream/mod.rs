//! The side of the agent that faces clients: serves the connections of the application beside the agent, validates its
//! requests and builds their responses.

mod accept_queue;
mod arrival;
mod body_reader;
mod connection;
mod errors;
mod handler;
mod lifecycle;
mod request_head;
mod responses;
pub mod server;
mod unread_head;
