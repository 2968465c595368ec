//! What the admin API and the next process read of the balancer: servers and zones by their names, and the snapshot.

use super::servers::Servers;
use super::state::State;
use crate::admin_api::{Renderer, ZonePhase, ZonePhases};
use crate::metrics::{AttemptCounts, Metrics};
use balancer::{EndpointCounts, ServerId, ServerView, Snapshot, Status, Time};
use balancer_settings::Names;
use std::cell::Ref;
use std::collections::BTreeMap;

/// What the balancer knows at one moment. The event loop's state is borrowed for as long as this is held.
pub struct View<'a> {
    state: Ref<'a, State>,
    names: &'a Names,
    metrics: &'a Metrics,
    now: Time,
}

impl<'a> View<'a> {
    /// A view of the state as it is at `now`.
    pub fn new(state: Ref<'a, State>, names: &'a Names, metrics: &'a Metrics, now: Time) -> Self {
        View { state, names, metrics, now }
    }

    /// How many servers there are, and how many of them are avoided.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        self.state.queue.balancer.endpoint_counts(self.now)
    }

    /// The balancer's view of each server on the endpoint list with the attempts at it, sorted by name.
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

    /// The attempts at servers that were removed from the endpoint list, by zone.
    pub fn removed_attempts_by_zone(&self) -> BTreeMap<String, AttemptCounts> {
        self.state.servers.removed_attempts_by_zone(&self.metrics.attempts_by_server())
    }

    /// How the balancer uses each zone of the endpoint list, by the zone's name: for all classes, and for the classes
    /// for which that differs.
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

    /// The number of a server that has had this name.
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

    /// What the balancer has learned of its servers, for another process. The start times of the servers are those of
    /// the endpoint list: the other process, whose wall clock may have been set otherwise when it read a start time,
    /// recognizes the same server process by them.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = self.state.queue.balancer.snapshot(self.now);
        for server in &mut snapshot.servers {
            server.started = self.state.servers.listed_start(server.server);
        }
        snapshot
    }

    /// The part of another process's snapshot that is about server processes which this one knows, with their start
    /// times in the balancer's time.
    pub fn applicable_snapshot(&self, mut snapshot: Snapshot) -> Snapshot {
        let servers = &self.state.servers;
        snapshot.servers.retain(|server| server.started == servers.listed_start(server.server));
        for server in &mut snapshot.servers {
            server.started = servers.start(server.server);
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
