//! What the decisions keep of requests, attempts and servers: records only, nothing is decided here.

use crate::admission::{Admission, TimeLimits};
use crate::concurrency::AdmissionLevel;
use crate::endpoints::{Endpoints, Polling};
use crate::latency::{Latencies, ServerLatency};
use crate::load_report::LoadReports;
use crate::outliers::Outliers;
use crate::retries::{AttemptHistory, RetryBudget, RetryScope};
use crate::server::Server;
use crate::slow_start::SlowStart;
use crate::snapshot::SnapshotBounds;
use crate::zones::Zones;
use crate::*;
use std::collections::BTreeMap;

/// Keys remembered; past that all are forgotten, which costs each of them one cold run.
const KEYS_MOST: usize = 10_000;

/// How an attempt ended, after how long, and the report that came with it.
pub(crate) type Ended = (Outcome, Span, Option<Vec<f64>>);

/// A request whose candidates have been asked for their load.
pub(crate) struct Asking {
    pub(crate) id: RequestId,
    pub(crate) candidates: Vec<usize>,
    pub(crate) since: Time,
    pub(crate) until: Time,
}

/// What a pick must know of its request.
pub(crate) struct Pick {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) reach: RetryScope,
    pub(crate) work: f64,
    /// How much its work weighs a machine's slowness.
    pub(crate) heavy: f64,
    pub(crate) safe: bool,
    pub(crate) key: Option<KeyId>,
    /// The server that met its key last.
    pub(crate) warm: Option<usize>,
    pub(crate) tried: Vec<usize>,
}

/// The one record of an accepted request; it goes when the request has its final answer.
pub(crate) struct Live {
    pub(crate) request: Request,
    pub(crate) limits: TimeLimits,
    pub(crate) history: AttemptHistory,
    /// Its tenant has had its share already.
    pub(crate) is_over_share: bool,
}

/// An attempt that has not ended; it outlives its request if that ends first.
pub(crate) struct Flight {
    pub(crate) server: usize,
    pub(crate) class: usize,
    pub(crate) sent: Time,
    pub(crate) trial: bool,
    /// It was not the first attempt of its request.
    pub(crate) again: bool,
    /// Its request is still coming, so its server has nothing to do for it yet.
    pub(crate) uploading: bool,
    /// It has already counted as late, or it says nothing of the fleet's level.
    pub(crate) counted: bool,
    /// It has been called back.
    pub(crate) called: bool,
}

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) endpoints: Endpoints,
    pub(crate) polling: Polling,
    pub(crate) load_reports: LoadReports,
    pub(crate) live: BTreeMap<RequestId, Live>,
    pub(crate) flights: BTreeMap<(RequestId, u32), Flight>,
    /// Newest first within each rank.
    pub(crate) held: Vec<RequestId>,
    pub(crate) memory: Vec<usize>,
    pub(crate) asking: Vec<Asking>,
    pub(crate) slow_start: SlowStart,
    /// The server that each key was last sent to, where servers do known keys for less.
    pub(crate) key_affinity: BTreeMap<KeyId, ServerId>,
    pub(crate) latencies: Latencies,
    pub(crate) admission: Admission,
    pub(crate) outliers: Outliers,
    pub(crate) level: AdmissionLevel,
    pub(crate) zones: Zones,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) tick_at: Time,
}

impl Balancer {
    /// A balancer that has seen nothing yet.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        Balancer {
            endpoints: Endpoints::new(&settings),
            polling: Polling::new(&settings),
            load_reports: LoadReports::new(&settings),
            rng: fastrand::Rng::with_seed(seed),
            live: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: Vec::new(),
            memory: Vec::new(),
            asking: Vec::new(),
            slow_start: SlowStart::new(&settings),
            key_affinity: BTreeMap::new(),
            latencies: Latencies::new(&settings),
            admission: Admission::new(&settings),
            outliers: Outliers::new(&settings),
            level: AdmissionLevel::new(&settings),
            zones: Zones::new(&settings),
            retry_budget: RetryBudget::new(),
            tick_at: Time(0),
            settings,
        }
    }
}

impl Balancer {
    /// The last byte of a long body has come: now its time and its server's begin.
    pub(crate) fn uploaded(&mut self, now: Time, id: RequestId, time_left: Span) {
        let Some(live) = self.live.get_mut(&id).filter(|live| live.request.uploading) else { return };
        live.request.uploading = false;
        let latency_objective = self.settings.classes[live.request.class.0].latency_objective;
        live.limits = TimeLimits::from_now(now, time_left, latency_objective);
        for (_, flight) in self.flights.range_mut((id, 0)..=(id, u32::MAX)).filter(|(_, f)| f.uploading) {
            (flight.uploading, flight.sent) = (false, now);
            self.endpoints.server_mut(flight.server).connections.record_upload_complete();
        }
    }

    /// Restores what another balancer has learned, server by server as long as its process is the same; what is not
    /// usable is left out.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot, bounds: &SnapshotBounds) {
        if let Some(level) = snapshot.usable_level(self.level.min(self.endpoints.is_sparse())) {
            self.level.restore(level);
        }
        if let Some(median) = snapshot.usable_median(bounds.max_latency) {
            self.latencies.restore_median(median);
        }
        if let Some(latencies) =
            snapshot.usable_class_latencies(self.settings.classes.len(), bounds.max_latency)
        {
            self.latencies.restore_classes(&latencies);
        }
        if let Some(work) = snapshot.usable_warm_sent() {
            self.slow_start.restore_warm_sent(now, work);
        }
        for server in snapshot.servers {
            let Some(slot) = self.endpoints.slot(server.server) else { continue };
            let is_sparse = self.endpoints.is_sparse();
            let s = self.endpoints.server_mut(slot);
            if s.latency.samples() > 0 || s.endpoint.started != server.started {
                continue;
            }
            let Some(server) = server.bounded(bounds) else { continue };
            s.limit.restore(server.limit, server.cut);
            s.latency = ServerLatency::restored(server.stretch, server.pace, server.samples);
            if let Some(work) = server.usable_cold_sent() {
                self.slow_start.restore_sent(now, &mut s.slow_start, work);
            }
            if server.suspect && !is_sparse {
                s.health.eject(now);
            }
            self.reindex(slot);
        }
    }

    /// Changes each server of a zone.
    pub(crate) fn change_zone(&mut self, zone: ZoneId, mut change: impl FnMut(&mut Server)) {
        for slot in self.endpoints.in_zone(zone).to_vec() {
            change(self.endpoints.server_mut(slot));
            self.reindex(slot);
        }
    }

    /// Updates all indexes over the servers after a change of one, or of what operators say of it.
    pub(crate) fn reindex(&mut self, slot: usize) {
        self.endpoints.reindex(slot);
        let s = self.endpoints.server(slot);
        self.slow_start.index(slot, &s.slow_start, s.endpoint.started, s.is_open);
        self.outliers.index(slot, &s.health, s.is_open);
        self.latencies.mark_changed(slot);
    }

    /// Keeps that an answer has told of a server.
    pub(crate) fn note_learned(&mut self, flight: &Flight) {
        self.latencies.mark_changed(flight.server);
        if flight.trial {
            self.reindex(flight.server);
        }
    }

    /// Applies what time has changed: which servers have warmed up, and which were removed long enough ago.
    pub(crate) fn apply_due_changes(&mut self, now: Time) {
        let asking = &self.asking;
        self.endpoints.free_slots(now, |slot| asking.iter().any(|a| a.candidates.contains(&slot)));
        self.slow_start.check(now);
    }

    /// Any server of a zone that serves and is fit.
    pub(crate) fn one_of(&mut self, zone: ZoneId, fit: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        let open = self.endpoints.open_by_zone().members(zone).iter().copied();
        let there: Vec<usize> = open.filter(|i| fit(self, *i)).collect();
        there.get(self.rng.usize(0..there.len().max(1))).copied()
    }

    /// Keeps what the end of an attempt changes at its server.
    pub(crate) fn note_end(&mut self, now: Time, flight: &Flight, outcome: Outcome) {
        let s = self.endpoints.server_mut(flight.server);
        s.connections.record_end(now, flight.uploading, outcome);
    }

    /// Takes in entries of the endpoint list.
    pub(crate) fn update_endpoints(&mut self, now: Time, entries: Vec<Endpoint>, complete: bool) {
        for slot in self.endpoints.update(now, entries, complete) {
            self.reindex(slot);
            self.endpoints.schedule_removal(now, slot);
        }
        let endpoints = &self.endpoints;
        self.zones.retain(|zone| endpoints.has_listed_in(zone));
    }

    /// The fraction of its capacity that a server has for certain.
    pub(crate) fn slow_start_factor(&self, s: &Server, now: Time) -> f64 {
        self.slow_start.factor(&s.slow_start, s.endpoint.started, now)
    }

    /// Updates the median latency of the servers that serve.
    pub(crate) fn update_median_latency(&mut self) {
        let endpoints = &self.endpoints;
        self.latencies.update_median(|slot| endpoints.server(slot).judged_latency());
    }

    /// Keeps what a send changes: its attempt, the counts of its server and the work that cold ones have met; `kept` if
    /// an idle connection surely stood for it.
    pub(crate) fn note_send(&mut self, now: Time, pick: &Pick, server: usize, kept: bool) {
        let slow_start_factor = self.slow_start_factor(self.endpoints.server(server), now);
        let open_servers = self.endpoints.open().len();
        let Some(live) = self.live.get_mut(&pick.id) else { return };
        let s = self.endpoints.server_mut(server);
        let uploading = live.request.uploading;
        let attempt = live.history.record_send(now, &s.endpoint);
        s.connections.record_send(uploading, kept);
        s.report.record_send();
        self.slow_start.record_send(now, &mut s.slow_start, slow_start_factor, open_servers, pick.work);
        self.slow_start.index(server, &s.slow_start, s.endpoint.started, s.is_open);
        let trial = s.health.record_send();
        let (class, again) = (pick.class, attempt > 0);
        let flight =
            Flight { server, class, sent: now, trial, again, uploading, counted: false, called: false };
        self.flights.insert((pick.id, attempt), flight);
    }

    /// Keeps where a request went: by its key, and among the last `most` servers.
    pub(crate) fn remember(&mut self, server: usize, key: Option<KeyId>, most: usize) {
        if let Some(key) = key {
            if self.key_affinity.len() >= KEYS_MOST {
                self.key_affinity.clear();
            }
            self.key_affinity.insert(key, self.endpoints.server(server).endpoint.server);
        }
        self.memory.retain(|&m| m != server);
        self.memory.insert(0, server);
        self.memory.truncate(most);
    }

    /// What a pick must know of a request.
    pub(crate) fn pick_for(&self, now: Time, live: &Live) -> Pick {
        let class = live.request.class.0;
        let key = live.request.key.filter(|_| self.settings.key_affinity);
        let slot = |server: &ServerId| self.endpoints.slot(*server);
        Pick {
            id: live.request.id,
            class,
            reach: self.permitted_actions(live, now).send,
            work: self.work(live),
            heavy: (self.work(live) / self.latencies.usual_ms(class)).clamp(1.0, 9.0).sqrt(),
            safe: self.settings.classes[class].idempotency == Idempotency::Idempotent,
            key,
            warm: key.and_then(|k| self.key_affinity.get(&k)).and_then(slot),
            tried: live.history.servers().filter_map(|server| slot(&server)).collect(),
        }
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    pub(crate) fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.latencies.usual_ms(live.request.class.0), Span::as_ms)
    }

    /// What the process that replaces this one should know; of a large fleet the servers that most is known of.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let mut servers: Vec<&Server> = self.endpoints.servers().iter().filter(|s| s.is_open).collect();
        snapshot::select_servers(&mut servers, |server| server.relevance());
        Snapshot {
            level: self.level.value(),
            median: self.latencies.median(),
            class_pace: self.latencies.all_usual(),
            warm_sent: self.slow_start.warm_sent(now),
            servers: servers.into_iter().map(|s| s.snapshot(now)).collect(),
        }
    }

    /// How many servers are listed, and how many of them are sent nothing, or next to nothing, for now: by the
    /// list's word, by the operators' or by choice.
    pub fn endpoint_counts(&self, now: Time) -> EndpointCounts {
        let listed = || self.endpoints.listed();
        let avoided = |s: &&Server| !s.is_open || self.is_outlier(s, now);
        EndpointCounts { listed: listed().count(), avoided: listed().filter(avoided).count() }
    }

    fn is_outlier(&self, s: &Server, now: Time) -> bool {
        s.health.is_ejected() || (self.endpoints.is_sparse() && s.health.is_suspected(now))
    }

    /// What it makes of each server that the list has not removed.
    pub fn server_views(&self, now: Time) -> Vec<ServerView> {
        let view = |s: &Server| ServerView {
            server: s.endpoint.server,
            zone: s.endpoint.zone,
            status: s.endpoint.status,
            cordoned: self.endpoints.is_cordoned(s.endpoint.server),
            outlier: self.is_outlier(s, now),
            in_flight: s.connections.in_flight(),
            limit: s.limit.value() * self.level.value(),
            slow_start_factor: self.slow_start_factor(s, now),
        };
        self.endpoints.listed().map(view).collect()
    }

    /// How it uses each zone, as a whole, and by class where that differs; zones without a response are left out.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        self.zones.views()
    }

    /// The state behind the decisions in one line, for a log.
    pub fn summary(&self) -> String {
        let serving = || self.endpoints.open().iter().map(|&slot| self.endpoints.server(slot));
        let limits = serving().map(|s| s.limit.value());
        let suspects = self.outliers.ejected().len();
        let (least, sum) = limits.fold((f64::INFINITY, 0.0), |(least, sum), l| (least.min(l), sum + l));
        format!(
            "serving {} suspect {suspects} in flight {} held {} level {:.2} limits {sum:.1} least {least:.2} \
             median {:.2} pace {:.2?} now {:.2?} retries {:.1}",
            serving().count(),
            self.flights.len(),
            self.held.len(),
            self.level.value(),
            self.latencies.median(),
            self.latencies.all_usual(),
            self.latencies.all_current(),
            self.retry_budget.tokens(),
        )
    }
}
