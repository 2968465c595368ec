//! The client of the discovery service: watches the endpoint list.
//!
//! The balancer decides when to open a watch ([`balancer::Action::Watch`]), how long its calls may take and which one is
//! abandoned. A watch that has started repeats its calls here until one fails or is abandoned.

mod call;
mod errors;
mod open_calls;

pub use call::{DiscoveryEvent, DiscoveryObserver, MAX_ENTRIES_PER_STEP};
pub use open_calls::CallNumber;

use call::{Caller, Target};
use open_calls::OpenCalls;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Calls discovery. A watch that is overdue stays open beside the one that is opened after it, until one of them is
/// answered.
pub struct DiscoveryClient {
    target: Target,
    open_calls: Rc<OpenCalls>,
}

impl DiscoveryClient {
    /// Creates a client that makes no calls yet. A response with more than `max_servers` servers is unusable.
    pub fn new(address: SocketAddr, max_servers: usize) -> Self {
        DiscoveryClient { target: Target { address, max_servers }, open_calls: Rc::default() }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Whether an open call is not overdue, so that no other one is needed.
    pub fn has_timely_call(&self) -> bool {
        self.open_calls.has_timely()
    }

    /// When the open calls have begun, the oldest first.
    pub fn begun(&self) -> Vec<Instant> {
        self.open_calls.begun()
    }

    /// Abandons the open call with this index in [`Self::begun`], and returns its number.
    pub fn abandon(&self, index: usize) -> Option<CallNumber> {
        self.open_calls.abandon(index)
    }

    /// Opens a watch of the changes after version `seq`, or, without `seq`, one that first fetches the complete list.
    pub fn open_watch(&self, observer: Rc<dyn DiscoveryObserver>, seq: Option<u64>) {
        let (target, open_calls) = (self.target, self.open_calls.clone());
        self.open_calls.open(|number| {
            let caller = Caller::new(target, observer, open_calls, number);
            tokio::task::spawn_local(watch(caller, seq))
        });
    }

    /// Abandons all calls.
    pub fn close(&self) {
        self.open_calls.abandon_all();
    }

    /// Changes the address of discovery, and abandons all calls to the earlier one.
    pub fn change_address(&mut self, address: SocketAddr) {
        self.close();
        self.target.address = address;
    }
}

/// Makes the next call as soon as the previous one is answered, until one fails. The observer has then been notified of
/// the failure, and the balancer decides when to open another watch.
async fn watch(mut caller: Caller, mut seq: Option<u64>) {
    loop {
        let version = caller.call(seq).await;
        if version.is_none() {
            return;
        }
        seq = version;
    }
}
