//! What the application beside the agent connects to: its connections, its requests and their responses.

mod body_reader;
mod connection;
mod errors;
mod handler;
mod lifecycle;
mod request_head;
mod responses;
pub mod server;
