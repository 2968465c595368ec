//! Applies what discovery reports to the known servers, in bounded steps, and words it as an update for the balancer.

use super::servers::Servers;
use crate::metrics::Metrics;
use crate::upstream::client::Upstream;
use crate::upstream::discovery::{News as WatchEvent, STEP};
use balancer::EndpointUpdate;
use balancer_settings::Names;

/// What follows from one watch event.
#[derive(Default)]
pub struct AppliedEvent {
    /// What the balancer is to be notified of; none if it knows as much already.
    pub update: Option<EndpointUpdate>,
    /// Another step is due: the event is applied by [`WatchEvent::GoOn`], once requests have had their turn.
    pub has_more: bool,
}

impl AppliedEvent {
    fn complete(update: EndpointUpdate) -> Self {
        AppliedEvent { update: Some(update), has_more: false }
    }
}

/// Applies a watch event to the known servers and the connections to them.
pub fn apply_watch_event(
    event: WatchEvent,
    servers: &mut Servers,
    names: &Names,
    upstream: &Upstream,
) -> AppliedEvent {
    let describe = |server, host: &_| upstream.describe(server, host);
    match event {
        WatchEvent::Called => {
            servers.begin_answer();
            AppliedEvent::default()
        }
        WatchEvent::Entries(entries) => {
            let endpoints = servers.apply_entries(entries, names, describe);
            let update = (!endpoints.is_empty()).then_some(EndpointUpdate::Partial(endpoints));
            AppliedEvent { update, has_more: false }
        }
        WatchEvent::Whole(envelope) => {
            servers.end_answer(envelope);
            apply_step(servers, names, upstream)
        }
        WatchEvent::GoOn => apply_step(servers, names, upstream),
        WatchEvent::Failed => AppliedEvent::complete(EndpointUpdate::Failed),
        WatchEvent::Senseless => AppliedEvent::complete(EndpointUpdate::Unusable),
    }
}

/// Applies the next [`STEP`] servers of a complete answer.
fn apply_step(servers: &mut Servers, names: &Names, upstream: &Upstream) -> AppliedEvent {
    let step = servers.apply_step(STEP, names, |server, host| upstream.describe(server, host));
    if step.is_last {
        AppliedEvent::complete(EndpointUpdate::Changes(step.endpoints))
    } else {
        AppliedEvent { update: Some(EndpointUpdate::Partial(step.endpoints)), has_more: true }
    }
}

/// Forgets the servers that were removed from the endpoint list long ago, and the connections to them. The attempts at
/// them still count for their zones.
pub fn forget_removed_servers(servers: &mut Servers, upstream: &Upstream, metrics: &Metrics) {
    while let Some(forgotten) = servers.forget_oldest_removed() {
        upstream.forget(forgotten.server);
        if let Some(attempts) = metrics.forget(forgotten.server) {
            servers.add_removed_attempts(&forgotten.zone, &attempts);
        }
    }
}
