//! Applies discovery events to the known servers in bounded steps and converts them to events for the balancer.

use super::servers::Servers;
use crate::metrics::Metrics;
use crate::upstream::client::UpstreamClient;
use crate::upstream::discovery::{CallNumber, DiscoveryEvent, MAX_ENTRIES_PER_STEP};
use balancer::{DiscoveryCallEvent, EndpointUpdate, Event};
use balancer_settings::Names;

/// The result of applying one discovery event.
#[derive(Default)]
pub struct AppliedEvent {
    /// The events for the balancer; none if nothing has changed for it.
    pub events: Vec<Event>,
    /// Whether more of the response remains to be applied. [`DiscoveryEvent::Continue`] follows for it after requests
    /// have had time to run.
    pub has_more: bool,
}

impl AppliedEvent {
    fn update(update: EndpointUpdate) -> Self {
        AppliedEvent { events: vec![Event::Endpoints(update)], has_more: false }
    }
}

/// Applies an event of a call to discovery to the known servers and to the endpoints of the upstream client.
pub fn apply_discovery_event(
    call: CallNumber,
    event: DiscoveryEvent,
    servers: &mut Servers,
    names: &Names,
    upstream: &UpstreamClient,
) -> AppliedEvent {
    let on_change = |server, host: &_| upstream.update_endpoint(server, host);
    match event {
        DiscoveryEvent::CallStarted => {
            servers.begin_response(call);
            AppliedEvent::default()
        }
        DiscoveryEvent::Entries(entries) => {
            let endpoints = servers.apply_entries(call, entries, names, on_change);
            match endpoints.is_empty() {
                true => AppliedEvent::default(),
                false => AppliedEvent::update(EndpointUpdate::Partial(endpoints)),
            }
        }
        DiscoveryEvent::Overdue => {
            let overdue = Event::DiscoveryCall(DiscoveryCallEvent::Overdue);
            AppliedEvent { events: vec![overdue], has_more: false }
        }
        DiscoveryEvent::Complete { envelope, lateness } => {
            servers.end_response(call, envelope);
            let mut applied = apply_step(call, servers, names, upstream);
            applied.events.insert(0, Event::DiscoveryCall(DiscoveryCallEvent::Answered { lateness }));
            applied
        }
        DiscoveryEvent::Continue => apply_step(call, servers, names, upstream),
        DiscoveryEvent::Failed => {
            servers.discard_response(call);
            AppliedEvent::update(EndpointUpdate::Failed)
        }
        DiscoveryEvent::Unusable => {
            servers.discard_response(call);
            AppliedEvent::update(EndpointUpdate::Unusable)
        }
    }
}

/// Applies up to [`MAX_ENTRIES_PER_STEP`] more additions and removals of a complete response, or of a list that is taken
/// over.
pub fn apply_step(
    call: CallNumber,
    servers: &mut Servers,
    names: &Names,
    upstream: &UpstreamClient,
) -> AppliedEvent {
    let on_change = |server, host: &_| upstream.update_endpoint(server, host);
    let step = servers.apply_step(call, MAX_ENTRIES_PER_STEP, names, on_change);
    let update = if step.is_last {
        EndpointUpdate::Changes(step.endpoints)
    } else {
        EndpointUpdate::Partial(step.endpoints)
    };
    AppliedEvent { has_more: !step.is_last, ..AppliedEvent::update(update) }
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
