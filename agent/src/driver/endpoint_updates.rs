//! Applies what discovery reports to the known servers, in bounded steps, and words it as an update for the balancer.

use super::servers::Servers;
use crate::metrics::Metrics;
use crate::upstream::client::UpstreamClient;
use crate::upstream::discovery::{DiscoveryEvent, MAX_ENTRIES_PER_STEP};
use balancer::EndpointUpdate;
use balancer_settings::Names;

/// What follows from one discovery event.
#[derive(Default)]
pub struct AppliedEvent {
    /// What the balancer is to be notified of; none if it knows as much already.
    pub update: Option<EndpointUpdate>,
    /// Another step is due: the event is applied by [`DiscoveryEvent::Continue`], once requests have had their turn.
    pub has_more: bool,
}

impl AppliedEvent {
    fn complete(update: EndpointUpdate) -> Self {
        AppliedEvent { update: Some(update), has_more: false }
    }
}

/// Applies a discovery event to the known servers and the connections to them.
pub fn apply_discovery_event(
    event: DiscoveryEvent,
    servers: &mut Servers,
    names: &Names,
    upstream: &UpstreamClient,
) -> AppliedEvent {
    let describe = |server, host: &_| upstream.update_endpoint(server, host);
    match event {
        DiscoveryEvent::CallStarted => {
            servers.begin_answer();
            AppliedEvent::default()
        }
        DiscoveryEvent::Entries(entries) => {
            let endpoints = servers.apply_entries(entries, names, describe);
            let update = (!endpoints.is_empty()).then_some(EndpointUpdate::Partial(endpoints));
            AppliedEvent { update, has_more: false }
        }
        DiscoveryEvent::Complete(envelope) => {
            servers.end_answer(envelope);
            apply_step(servers, names, upstream)
        }
        DiscoveryEvent::Continue => apply_step(servers, names, upstream),
        DiscoveryEvent::Failed => AppliedEvent::complete(EndpointUpdate::Failed),
        DiscoveryEvent::Unusable => AppliedEvent::complete(EndpointUpdate::Unusable),
    }
}

/// Applies the next [`MAX_ENTRIES_PER_STEP`] servers of a complete answer.
fn apply_step(servers: &mut Servers, names: &Names, upstream: &UpstreamClient) -> AppliedEvent {
    let step = servers
        .apply_step(MAX_ENTRIES_PER_STEP, names, |server, host| upstream.update_endpoint(server, host));
    if step.is_last {
        AppliedEvent::complete(EndpointUpdate::Changes(step.endpoints))
    } else {
        AppliedEvent { update: Some(EndpointUpdate::Partial(step.endpoints)), has_more: true }
    }
}

/// Forgets the servers that were removed from the endpoint list long ago, and the connections to them. The attempts at
/// them still count for their zones.
pub fn forget_removed_servers(servers: &mut Servers, upstream: &UpstreamClient, metrics: &Metrics) {
    while let Some(forgotten) = servers.forget_oldest_removed() {
        upstream.remove_endpoint(forgotten.server);
        if let Some(attempts) = metrics.forget_server(forgotten.server) {
            servers.add_removed_attempts(&forgotten.zone, &attempts);
        }
    }
}
