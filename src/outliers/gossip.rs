//! Gossip about outliers between balancers with sparse traffic.
//!
//! Such a balancer sends few requests to each server, and would lose one of them to each server that fails. A message
//! names one server. If the receiver knows that server, it suspects it for a short time. There is no other effect, so
//! an old, lost or false message is harmless.

use crate::{Action, PeerId, ServerId, Settings};

/// The maximum number of peers that are sent a message about one server.
const MAX_PEERS: u32 = 64;
/// The bytes that each request adds to the gossip budget, and the maximum budget.
const BYTES_PER_REQUEST: f64 = 25.0;
const MAX_BYTES: f64 = 512.0;

/// Encodes a message about an outlier.
pub(super) fn encode(server: ServerId) -> Vec<u8> {
    server.0.to_be_bytes().to_vec()
}

/// The server that a message is about; `None` if the payload is not a message about an outlier.
pub(crate) fn decode(payload: &[u8]) -> Option<ServerId> {
    payload.try_into().ok().map(|bytes| ServerId(u32::from_be_bytes(bytes)))
}

/// Limits the bytes of gossip that are sent to other balancers.
pub(super) struct GossipBudget {
    is_enabled: bool,
    balancers: u32,
    bytes: f64,
}

impl GossipBudget {
    /// Creates a full budget.
    pub(super) fn new(settings: &Settings) -> Self {
        GossipBudget { is_enabled: settings.gossip, balancers: settings.balancers, bytes: MAX_BYTES }
    }

    /// Adds the bytes for one request to the budget.
    pub(super) fn earn(&mut self) {
        self.bytes = (self.bytes + BYTES_PER_REQUEST).min(MAX_BYTES);
    }

    /// Sends a message about a server to as many random peers as the budget allows.
    pub(super) fn send(&mut self, server: ServerId, rng: &mut fastrand::Rng, actions: &mut Vec<Action>) {
        let payload = encode(server);
        let size = payload.len() as f64;
        let affordable_messages = if self.is_enabled { self.bytes / size } else { 0.0 };
        let peer_count = (affordable_messages as u32).min(MAX_PEERS).min(self.balancers - 1);
        for _ in 0..peer_count {
            self.bytes -= size;
            let peer = PeerId(rng.u32(0..self.balancers));
            actions.push(Action::Gossip { to: Some(peer), payload: payload.clone() });
        }
    }
}
