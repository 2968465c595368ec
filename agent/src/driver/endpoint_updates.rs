//! Applies discovery events to the known servers in bounded steps and converts them to endpoint updates for the
//! balancer.

use super::servers::Servers;
use crate::metrics::Metrics;
use crate::upstream::client::UpstreamClient;
use crate::upstream::discovery::{DiscoveryEvent, MAX_ENTRIES_PER_STEP};
use balancer::EndpointUpdate;
use balancer_settings::Names;

/// The result of applying one discovery event.
#[derive(Default)]
pub struct AppliedEvent {
    /// The update for the balancer; `None` if nothing has changed for it.
    pub update: Option<EndpointUpdate>,
    /// Whether more of the response remains to be applied. [`DiscoveryEvent::Continue`] follows for it after requests
    /// have had time to run.
    pub has_more: bool,
}

impl AppliedEvent {
    fn complete(update: EndpointUpdate) -> Self {
        AppliedEvent { update: Some(update), has_more: false }
    }
}

/// Applies a discovery event to the known servers and to the endpoints of the upstream client.
pub fn apply_discovery_event(
    event: DiscoveryEvent,
    servers: &mut Servers,
    names: &Names,
    upstream: &UpstreamClient,
) -> AppliedEvent {
    let on_change = |server, host: &_| upstream.update_endpoint(server, host);
    match event {
        DiscoveryEvent::CallStarted => {
            servers.begin_response();
            AppliedEvent::default()
        }
        DiscoveryEvent::Entries(entries) => {
            let endpoints = servers.apply_entries(entries, names, on_change);
            let update = (!endpoints.is_empty()).then_some(EndpointUpdate::Partial(endpoints));
            AppliedEvent { update, has_more: false }
        }
        DiscoveryEvent::Complete(envelope) => {
            servers.end_response(envelope);
            apply_step(servers, names, upstream)
        }
        DiscoveryEvent::Continue => apply_step(servers, names, upstream),
        DiscoveryEvent::Failed => AppliedEvent::complete(EndpointUpdate::Failed),
        DiscoveryEvent::Unusable => AppliedEvent::complete(EndpointUpdate::Unusable),
    }
}

/// Applies up to [`MAX_ENTRIES_PER_STEP`] more additions and removals of a complete response.
fn apply_step(servers: &mut Servers, names: &Names, upstream: &UpstreamClient) -> AppliedEvent {
    let step = servers
        .apply_step(MAX_ENTRIES_PER_STEP, names, |server, host| upstream.update_endpoint(server, host));
    if step.is_last {
        AppliedEvent::complete(EndpointUpdate::Changes(step.endpoints))
    } else {
        AppliedEvent { update: Some(EndpointUpdate::Partial(step.endpoints)), has_more: true }
    }
}

/// Forgets the oldest servers removed from the endpoint list, beyond the number that is remembered, and their endpoints
/// in the upstream client. Their attempt counts are added to those of their zones.
pub fn forget_removed_servers(servers: &mut Servers, upstream: &UpstreamClient, metrics: &Metrics) {
    while let Some(forgotten) = servers.forget_oldest_removed() {
        upstream.remove_endpoint(forgotten.server);
        if let Some(attempts) = metrics.forget_server(forgotten.server) {
            servers.add_removed_attempts(&forgotten.zone, &attempts);
        }
    }
}
