//! The mutable state of the event loop, which the driver borrows while it handles an event.

use super::queue::Queue;
use super::requests::PendingRequests;
use super::servers::Servers;
use crate::upstream::discovery::DiscoveryClient;

/// The mutable state of the event loop. Each part owns its own data.
pub struct State {
    /// The balancer, its events and its timers.
    pub queue: Queue,
    /// Requests without a final response yet, and all in-flight attempts.
    pub requests: PendingRequests,
    /// The known servers and the endpoint list.
    pub servers: Servers,
    /// The watch and the fetches of the endpoint list.
    pub discovery: DiscoveryClient,
}
