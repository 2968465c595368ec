//! The client of discovery: watches the endpoint list and fetches all of it.
//!
//! When to start a watch and when to retry after a failure is the balancer's decision
//! ([`balancer::Action::Watch`], [`balancer::Action::FetchEndpoints`]); a watch that has started is kept up here.

mod call;
mod errors;

pub use call::{DiscoveryEvent, Listener, MAX_ENTRIES_PER_STEP};

use call::{Caller, Target, SILENCE_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// What a watch that has fallen silent misses counts as notified this long after that (the operators' page of standing
/// rules). By then another watch must have brought it.
const SILENT_WATCH_GRACE_PERIOD: Duration = Duration::from_secs(6);
/// How long a watch waits for changes: so short that a watch that falls silent, and the one in its place as well, are found
/// out before what both miss counts as notified. A discovery that all agents call answers those opened anew in turn, which
/// takes the rest of that time.
const WATCH_WAIT: Duration =
    SILENT_WATCH_GRACE_PERIOD.checked_div(2).unwrap().saturating_sub(SILENCE_TIMEOUT);

/// The calls to discovery; at most one watch and one fetch of the complete list at a time.
pub struct DiscoveryClient {
    target: Target,
    watch: Option<JoinHandle<()>>,
    fetch: Option<JoinHandle<()>>,
}

impl DiscoveryClient {
    /// Knows where discovery is, and makes no calls yet. A response that names more than `max_servers` is unusable.
    pub fn new(address: SocketAddr, connect_timeout: Duration, max_servers: usize) -> Self {
        let connect_timeout = connect_timeout.min(SILENCE_TIMEOUT);
        let target = Target { address, connect_timeout, max_servers };
        DiscoveryClient { target, watch: None, fetch: None }
    }

    /// Ends the watch there is. If there is to be one (`is_active`), starts it for what is newer than `seq`, or from the
    /// complete list on.
    pub fn set_watch(&mut self, listener: &Listener, is_active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if is_active {
            let caller = Caller::new(self.target, listener.clone());
            self.watch = Some(tokio::task::spawn_local(watch(caller, seq)));
        }
    }

    /// Calls another address from now on. What is in flight to the old one ends; a watch starts anew from the complete
    /// list on.
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

    /// Fetches the complete list once.
    pub fn fetch(&mut self, listener: &Listener) {
        if self.fetch.as_ref().is_some_and(|fetch| !fetch.is_finished()) {
            return;
        }
        let mut caller = Caller::new(self.target, listener.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            // The listener has been notified of all that came of it.
            let _ = caller.call("/v1/endpoints", Duration::ZERO).await;
        }));
    }
}

/// Calls again as soon as the last call is answered, until one fails: then the watch is over, the balancer is
/// notified, and starts another when it decides to.
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
