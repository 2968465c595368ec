//! What events change, in parts that own their state.

use super::queue::Queue;
use super::requests::PendingRequests;
use super::servers::Servers;
use crate::upstream::discovery::DiscoveryClient;

/// The event loop's state.
pub struct State {
    /// The balancer, its events and its timers.
    pub queue: Queue,
    /// Requests that are owed an answer.
    pub requests: PendingRequests,
    /// The endpoint list.
    pub servers: Servers,
    /// The calls to discovery.
    pub discovery: DiscoveryClient,
}
