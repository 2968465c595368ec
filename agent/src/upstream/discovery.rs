//! The client of the discovery service: watches the endpoint list, or fetches it completely.
//!
//! The balancer decides when to start a watch and when to retry after a failure ([`balancer::Action::Watch`],
//! [`balancer::Action::FetchEndpoints`]). A watch that has started repeats its calls here until one fails.

mod call;
mod errors;

pub use call::{DiscoveryEvent, Listener, MAX_ENTRIES_PER_STEP};

use call::{Caller, Target, SILENCE_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long after a watch falls silent the agent counts as notified of the changes that it missed (the operators' page
/// of standing rules). A new watch must have delivered them by then.
const SILENT_WATCH_GRACE: Duration = Duration::from_secs(6);
/// How long discovery may hold a watch's call open while nothing changes. With [`SILENCE_TIMEOUT`] it is half of the
/// grace period, so that a silent watch and a silent replacement are both detected within it. Discovery answers the
/// watches that all agents reopen one after the other, which takes the rest of that time.
const WATCH_WAIT: Duration = SILENT_WATCH_GRACE.checked_div(2).unwrap().saturating_sub(SILENCE_TIMEOUT);

/// Calls discovery, with at most one watch and one fetch of the complete list at a time.
pub struct DiscoveryClient {
    target: Target,
    watch: Option<JoinHandle<()>>,
    fetch: Option<JoinHandle<()>>,
}

impl DiscoveryClient {
    /// Creates a client that makes no calls yet. A response with more than `max_servers` servers is unusable.
    pub fn new(address: SocketAddr, connect_timeout: Duration, max_servers: usize) -> Self {
        let connect_timeout = connect_timeout.min(SILENCE_TIMEOUT);
        let target = Target { address, connect_timeout, max_servers };
        DiscoveryClient { target, watch: None, fetch: None }
    }

    /// Stops the current watch, if any. If `is_active`, starts a new one for changes after version `seq`, or, without
    /// `seq`, one that first fetches the complete list.
    pub fn set_watch(&mut self, listener: &Listener, is_active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if is_active {
            let caller = Caller::new(self.target, listener.clone());
            self.watch = Some(tokio::task::spawn_local(watch(caller, seq)));
        }
    }

    /// Changes the address of discovery. Calls in flight to the old address are aborted. A watch restarts with the
    /// complete list; without a watch, a fetch that was running is started again.
    pub fn change_address(&mut self, listener: &Listener, address: SocketAddr) {
        self.target.address = address;
        let was_fetching = self.fetch.take().is_some_and(|fetch| {
            fetch.abort();
            !fetch.is_finished()
        });
        if self.watch.is_some() {
            self.set_watch(listener, true, None);
        } else if was_fetching {
            self.fetch(listener);
        }
    }

    /// Fetches the complete list once, unless a fetch is already running.
    pub fn fetch(&mut self, listener: &Listener) {
        if self.fetch.as_ref().is_some_and(|fetch| !fetch.is_finished()) {
            return;
        }
        let mut caller = Caller::new(self.target, listener.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            // The listener has already received the result.
            let _ = caller.call("/v1/endpoints", Duration::ZERO).await;
        }));
    }
}

/// Makes the next call as soon as the previous one is answered, until one fails. The listener has then been notified of
/// the failure, and the balancer decides when to start another watch.
async fn watch(mut caller: Caller, mut seq: Option<u64>) {
    loop {
        let version = match seq {
            Some(seq) => {
                let path = format!("/v1/endpoints?after={seq}&wait_ms={}", WATCH_WAIT.as_millis());
                caller.call(&path, WATCH_WAIT).await
            }
            None => caller.call("/v1/endpoints", Duration::ZERO).await,
        };
        if version.is_none() {
            return;
        }
        seq = version;
    }
}
