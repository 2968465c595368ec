//! Read access to the balancer's state for the admin API and for snapshots: converts server and zone ids to names.

use super::servers::Servers;
use super::state::State;
use crate::admin_api::{Renderer, ZonePhase, ZonePhases};
use crate::metrics::{AttemptCounts, Metrics};
use balancer::{EndpointCounts, ServerId, ServerView, Snapshot, Status, Time};
use balancer_settings::Names;
use std::cell::Ref;
use std::collections::BTreeMap;

/// A read-only view of the balancer's state at one moment. It borrows the event loop's state, so no event can be
/// handled while it exists.
pub struct View<'a> {
    state: Ref<'a, State>,
    names: &'a Names,
    metrics: &'a Metrics,
    now: Time,
}

impl<'a> View<'a> {
    /// Creates a view of `state` at `now`, the current time.
    pub fn new(state: Ref<'a, State>, names: &'a Names, metrics: &'a Metrics, now: Time) -> Self {
        View { state, names, metrics, now }
    }

    /// The number of listed servers and of those that the balancer avoids.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.state.queue.balancer.endpoint_counts(self.now)
    }

    /// The state and the attempt counts of each server on the endpoint list, sorted by name.
    pub fn renderers(&self) -> Vec<Renderer> {
        let attempts = self.metrics.attempts_by_server();
        let renderer = |view: ServerView| {
            let attempts = attempts.get(&view.server).copied().unwrap_or_default();
            renderer(&view, &self.state.servers, &attempts)
        };
        let views = self.state.queue.balancer.server_views(self.now);
        let mut renderers: Vec<_> = views.into_iter().map(renderer).collect();
        renderers.sort_by(|a, b| a.id.cmp(&b.id));
        renderers
    }

    /// Attempt counts of servers that were removed from the endpoint list, by zone name.
    pub fn removed_attempts_by_zone(&self) -> BTreeMap<String, AttemptCounts> {
        self.state.servers.removed_attempts_by_zone(&self.metrics.attempts_by_server())
    }

    /// How the balancer uses each zone of the endpoint list, by zone name: overall, and for each class that is treated
    /// differently.
    pub fn zone_phases(&self) -> BTreeMap<String, ZonePhases> {
        let mut phases: BTreeMap<String, ZonePhases> = BTreeMap::new();
        for view in self.state.queue.balancer.zone_views() {
            let zone = phases.entry(self.state.servers.zone_name(view.zone).to_owned()).or_default();
            let phase = ZonePhase {
                phase: format!("{:?}", view.phase).to_lowercase(),
                share: view.share,
                why: view.reason.to_owned(),
            };
            match view.class.and_then(|class| self.names.classes.get(class.0)) {
                Some(class) => {
                    zone.classes.insert(class.clone(), phase);
                }
                None => zone.overall = phase,
            }
        }
        phases
    }

    /// The id of the server with this name, if it is known.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.state.servers.id(name)
    }

    /// A server's name; empty if it is not known.
    pub fn server_name(&self, server: ServerId) -> String {
        self.state.servers.name(server).to_owned()
    }

    /// Whether the settings or the endpoint list have a zone of this name.
    pub fn has_zone(&self, name: &str) -> bool {
        self.names.zones.iter().any(|zone| zone == name) || self.state.servers.has_zone(name)
    }

    /// A snapshot of what the balancer has learned about its servers, for another process. Start times are those of
    /// the endpoint list instead of the balancer's: the other process may have converted them under another
    /// wall-clock offset, and identifies a server process by the listed start time.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = self.state.queue.balancer.snapshot(self.now);
        for server in &mut snapshot.servers {
            server.started = self.state.servers.listed_start_time(server.server);
        }
        snapshot
    }

    /// Reduces another process's snapshot to the server processes that this one knows, and converts their start times
    /// to the balancer's time.
    pub fn applicable_snapshot(&self, mut snapshot: Snapshot) -> Snapshot {
        let servers = &self.state.servers;
        snapshot.servers.retain(|server| server.started == servers.listed_start_time(server.server));
        for server in &mut snapshot.servers {
            server.started = servers.start_time(server.server);
        }
        snapshot
    }
}

fn renderer(view: &ServerView, servers: &Servers, attempts: &AttemptCounts) -> Renderer {
    Renderer {
        id: servers.name(view.server).to_owned(),
        zone: servers.zone(view.server).to_owned(),
        serving: view.status == Status::Serving,
        cordoned: view.cordoned,
        is_ejected: view.outlier,
        slow_start_factor: view.slow_start_factor,
        limit: view.limit,
        in_flight: view.in_flight.into(),
        sends: attempts.sends,
        answered: attempts.answered,
        failed: attempts.failed,
        rejected: attempts.rejected,
    }
}
