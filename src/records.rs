//! What the decisions keep of requests, attempts and servers: records only, nothing is decided here.

use crate::admission::{Admission, TimeLimits};
use crate::concurrency::{AdmissionLevel, ServerLimit};
use crate::due_times::DueTimes;
use crate::latency::{Latencies, ServerLatency};
use crate::outliers::{Outliers, ServerHealth};
use crate::retries::{AttemptHistory, RetryBudget, RetryScope};
use crate::slot_sets::{SlotGroups, SlotSet};
use crate::slow_start::{ServerSlowStart, SlowStart};
use crate::snapshot::{ServerRelevance, SnapshotBounds};
use crate::zones::{ZoneAttempt, Zones};
use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Keys remembered; past that all are forgotten, which costs each of them one cold run.
const KEYS_MOST: usize = 10_000;
/// Slots of servers that have left that are freed at a time at most.
const FREED_MOST: usize = 100;

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

pub(crate) struct Server {
    pub(crate) listed: Endpoint,
    /// The list and the operators let it be sent something.
    pub(crate) open: bool,
    pub(crate) in_flight: u32,
    /// Those of them whose requests are still coming.
    pub(crate) uploading: u32,
    pub(crate) latency: ServerLatency,
    pub(crate) health: ServerHealth,
    /// Connections that its whole answers left idle and no request has taken since, and when the last did.
    pub(crate) idle: u32,
    pub(crate) idle_at: Time,
    pub(crate) limit: ServerLimit,
    pub(crate) slow_start: ServerSlowStart,
    /// Load by the last report, and sends since.
    pub(crate) reported: f64,
    pub(crate) reported_at: Option<Time>,
    pub(crate) sent_since: u32,
}

impl Server {
    pub(crate) fn new(listed: Endpoint, now: Time) -> Self {
        Server {
            listed,
            open: false,
            in_flight: 0,
            uploading: 0,
            latency: ServerLatency::new(),
            health: ServerHealth::new(now),
            idle: 0,
            idle_at: now,
            limit: ServerLimit::new(now),
            slow_start: ServerSlowStart::default(),
            reported: 0.0,
            reported_at: None,
            sent_since: 0,
        }
    }

    /// A new process on the same machine: what was learned of the old one says nothing, and it is cold.
    pub(crate) fn renew(&mut self, listed: Endpoint, now: Time) {
        let Server { in_flight, uploading, .. } = *self;
        let new = Server::new(listed, now);
        let mut previous = std::mem::replace(self, Server { in_flight, uploading, ..new });
        previous.slow_start.restart();
        previous.health.restart(now);
        (self.slow_start, self.health) = (previous.slow_start, previous.health);
    }

    /// Its latency, if that counts in the median.
    pub(crate) fn judged_latency(&self) -> Option<f64> {
        let counts = self.listed.status == Status::Serving && self.latency.samples() > 0;
        counts.then_some(self.latency.smoothed())
    }

    /// An attempt that it was sent, as its zone records it.
    pub(crate) fn zone_attempt(&self, sent_at: Time) -> ZoneAttempt {
        ZoneAttempt { zone: self.listed.zone, server: self.listed.server, sent_at }
    }

    /// What is known of this server, for the next process.
    fn snapshot(&self, now: Time) -> ServerSnapshot {
        ServerSnapshot {
            server: self.listed.server,
            started: self.listed.started,
            limit: self.limit.value(),
            cut: self.limit.was_reduced(),
            stretch: self.latency.slowdown(),
            pace: self.latency.smoothed(),
            samples: self.latency.samples(),
            cold_sent: self.slow_start.sent(now),
            suspect: self.health.is_ejected(),
        }
    }

    /// Own requests that it has to work on.
    pub(crate) fn at_work(&self) -> u32 {
        self.in_flight - self.uploading
    }
}

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    /// By slots; one that is free holds the server that left it, as gone.
    pub(crate) servers: Vec<Server>,
    /// The slot of each server that is listed, or that has left a short while ago and may be back.
    pub(crate) index: BTreeMap<ServerId, usize>,
    pub(crate) free: Vec<usize>,
    /// When the slots of those that have left are to be freed.
    pub(crate) gone: DueTimes,
    pub(crate) live: BTreeMap<RequestId, Live>,
    pub(crate) flights: BTreeMap<(RequestId, u32), Flight>,
    /// Newest first within each rank.
    pub(crate) held: Vec<RequestId>,
    pub(crate) memory: Vec<usize>,
    pub(crate) asking: Vec<Asking>,
    pub(crate) slow_start: SlowStart,
    /// The most servers that were serving at a time.
    pub(crate) most: usize,
    /// With more balancers than servers, most of a server's load is other balancers' and own counts are
    /// nearly all alike. A fleet that shrinks for a while makes no balancer blind.
    pub(crate) blind: bool,
    /// The servers that the list says are serving: those that are open, and those that a cordon holds back.
    pub(crate) serving: SlotSet,
    pub(crate) held_back: SlotSet,
    /// The open ones by zone and by cell, and those in other zones of the own region where regions are known.
    pub(crate) open_in: SlotGroups<ZoneId>,
    pub(crate) in_cell: SlotGroups<CellId>,
    /// Some class may be repeated in its cell alone, so that cells have to be known.
    pub(crate) cells: bool,
    pub(crate) region: SlotSet,
    /// All that have a slot by zone.
    pub(crate) in_zone: SlotGroups<ZoneId>,
    pub(crate) regions: BTreeMap<ZoneId, u32>,
    /// Servers that the operators have taken out of use; beside the list, which must not lift a cordon.
    pub(crate) cordoned: BTreeSet<ServerId>,
    /// Zones that the operators have left.
    pub(crate) left: BTreeSet<ZoneId>,
    /// Cordons leave nothing of the list to send to.
    pub(crate) shut: bool,
    /// The server that each key was last sent to, where servers do known keys for less.
    pub(crate) key_affinity: BTreeMap<KeyId, ServerId>,
    pub(crate) latencies: Latencies,
    pub(crate) admission: Admission,
    pub(crate) outliers: Outliers,
    pub(crate) level: AdmissionLevel,
    pub(crate) zones: Zones,
    /// What the last reports said on average.
    pub(crate) crowd: f64,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) ask_pause: Span,
    pub(crate) ask_at: Option<Time>,
    pub(crate) tick_at: Time,
}

impl Balancer {
    /// A balancer that has seen nothing yet.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        let in_cell = |c: &Class| {
            matches!(c.idempotency, Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. })
        };
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            index: BTreeMap::new(),
            free: Vec::new(),
            gone: DueTimes::default(),
            live: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: Vec::new(),
            memory: Vec::new(),
            serving: SlotSet::default(),
            held_back: SlotSet::default(),
            open_in: SlotGroups::default(),
            in_cell: SlotGroups::default(),
            cells: settings.classes.iter().any(in_cell),
            region: SlotSet::default(),
            in_zone: SlotGroups::default(),
            regions: BTreeMap::new(),
            cordoned: BTreeSet::new(),
            left: BTreeSet::new(),
            shut: false,
            asking: Vec::new(),
            slow_start: SlowStart::new(&settings),
            most: 0,
            blind: false,
            key_affinity: BTreeMap::new(),
            latencies: Latencies::new(&settings),
            admission: Admission::new(&settings),
            outliers: Outliers::new(&settings),
            level: AdmissionLevel::new(&settings),
            crowd: 0.0,
            zones: Zones::new(&settings),
            retry_budget: RetryBudget::new(),
            ask_pause: Span::ZERO,
            ask_at: None,
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
            self.servers[flight.server].uploading -= 1;
        }
    }

    /// Takes in a load report; `gain` is its weight in what all of them say.
    pub(crate) fn read_report(&mut self, now: Time, server: usize, report: &Report, gain: f64) {
        let place = |field| self.settings.report_fields.iter().position(|f| *f == field);
        let told = place(ReportField::InFlight).or_else(|| place(ReportField::Queue));
        if let Some(value) = told.and_then(|i| report.get(i)).filter(|value| value.is_finite()) {
            let s = &mut self.servers[server];
            (s.reported, s.reported_at, s.sent_since) = (value.clamp(0.0, 1e6), Some(now), 0);
            self.crowd += gain * (s.reported - self.crowd);
        }
    }

    /// Restores what another balancer has learned, server by server as long as its process is the same; what is not
    /// usable is left out.
    pub(crate) fn restore(&mut self, now: Time, snapshot: Snapshot, bounds: &SnapshotBounds) {
        if let Some(level) = snapshot.usable_level(self.level.min(self.blind)) {
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
            let Some(&slot) = self.index.get(&server.server) else { continue };
            let s = &mut self.servers[slot];
            if s.latency.samples() > 0 || s.listed.started != server.started {
                continue;
            }
            let Some(server) = server.bounded(bounds) else { continue };
            s.limit.restore(server.limit, server.cut);
            s.latency = ServerLatency::restored(server.stretch, server.pace, server.samples);
            if let Some(work) = server.usable_cold_sent() {
                self.slow_start.restore_sent(now, &mut s.slow_start, work);
            }
            if server.suspect && !self.blind {
                s.health.eject(now);
            }
            self.refile(slot);
        }
    }

    /// Does something with each server of a zone.
    pub(crate) fn of_zone(&mut self, zone: ZoneId, mut each: impl FnMut(&mut Server)) {
        for i in self.in_zone.members(zone).to_vec() {
            each(&mut self.servers[i]);
            self.refile(i);
        }
    }

    /// Files a server anew in all that is kept over the servers. To be called after any change of the server, or of
    /// what the operators say of it, that one of these asks about; if there was none, it changes nothing.
    pub(crate) fn refile(&mut self, i: usize) {
        let open = self.opens(&self.servers[i]);
        let s = &mut self.servers[i];
        s.open = open;
        let (zone, cell, listed) = (s.listed.zone, s.listed.cell, s.listed.status == Status::Serving);
        self.serving.set(i, open);
        self.held_back.set(i, listed && !open);
        self.open_in.set(i, open.then_some(zone));
        self.in_cell.set(i, (open && self.cells).then_some(cell));
        self.in_zone.set(i, Some(zone));
        self.slow_start.index(i, &s.slow_start, s.listed.started, open);
        self.outliers.index(i, &s.health, open);
        let region = open && self.in_region(zone);
        self.region.set(i, region);
        self.latencies.mark_changed(i);
    }

    /// Keeps that an answer has told of a server.
    pub(crate) fn note_learned(&mut self, flight: &Flight) {
        self.latencies.mark_changed(flight.server);
        if flight.trial {
            self.refile(flight.server);
        }
    }

    /// Takes in by the clock which servers are warm by now, and which have been gone for long enough.
    pub(crate) fn settle(&mut self, now: Time) {
        self.free_gone(now);
        self.slow_start.check(now);
    }

    /// Keeps the regions of zones.
    pub(crate) fn set_regions(&mut self, regions: BTreeMap<ZoneId, u32>) {
        let zones: Vec<_> = self.open_in.groups().map(|zone| (zone, self.in_region(zone))).collect();
        self.regions = regions;
        for (zone, was) in zones {
            if self.in_region(zone) != was {
                self.of_zone(zone, |_| {});
            }
        }
    }

    /// Frees the slots of servers that left a while ago, so that what is kept goes by what is listed now and not by
    /// all that ever was. One that is away for as long as a new process takes to get warm comes back as a new one.
    /// Requests, keys and zones name it by its id; a slot that an attempt or a pick still names is freed later, and
    /// that of one which the operators hold back, or have just brought back, as well.
    fn free_gone(&mut self, now: Time) {
        let while_away = self.settings.warm_up_time;
        for i in self.gone.due(now).take(FREED_MOST).collect::<Vec<_>>() {
            let (s, server) = (&self.servers[i], self.servers[i].listed.server);
            let asked = self.asking.iter().any(|a| a.candidates.contains(&i));
            let lately = s.slow_start.restored_at().is_some_and(|at| now < at + while_away);
            if s.in_flight > 0 || asked || lately || self.cordoned.contains(&server) {
                self.gone.set(i, Some(now + while_away));
                continue;
            }
            self.index.remove(&server);
            self.in_zone.set(i, None);
            self.gone.set(i, None);
            self.free.push(i);
        }
    }

    /// Whether a zone is in another region than this balancer.
    pub(crate) fn beyond(&self, zone: ZoneId) -> bool {
        self.regions.get(&zone) != self.regions.get(&self.settings.zone)
    }

    /// Whether a zone is another one of the own region, where regions are known.
    pub(crate) fn in_region(&self, zone: ZoneId) -> bool {
        zone != self.settings.zone && !self.regions.is_empty() && !self.beyond(zone)
    }

    /// What a round of draws is from: the own zone, the rest of the own region, and all that the rules leave.
    pub(crate) fn pool(&self, round: usize, reach: RetryScope) -> &[usize] {
        match (round, reach) {
            (0, _) => self.open_in.members(self.settings.zone),
            (1, _) => self.region.members(),
            (_, RetryScope::Zone(zone)) => self.open_in.members(zone),
            (_, RetryScope::Cell(cell)) => self.in_cell.members(cell),
            _ => self.serving.members(),
        }
    }

    /// Any server of a zone that serves and is fit.
    pub(crate) fn one_of(&mut self, zone: ZoneId, fit: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        let there: Vec<usize> =
            self.open_in.members(zone).iter().copied().filter(|i| fit(self, *i)).collect();
        there.get(self.rng.usize(0..there.len().max(1))).copied()
    }

    /// Keeps what the end of an attempt changes at its server.
    pub(crate) fn note_end(&mut self, now: Time, flight: &Flight, outcome: Outcome) {
        let s = &mut self.servers[flight.server];
        s.in_flight -= 1;
        s.uploading -= u32::from(flight.uploading);
        if matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::ServerError) {
            (s.idle, s.idle_at) = (s.idle + 1, now);
        }
    }

    /// Takes in lines of the list.
    pub(crate) fn take_lines(&mut self, now: Time, lines: Vec<Endpoint>, complete: bool) {
        let mut touched: Vec<usize> = Vec::with_capacity(lines.len());
        if complete {
            touched.extend(self.index.values());
            touched.iter().for_each(|&i| self.servers[i].listed.status = Status::Gone);
        }
        for line in lines {
            let (server, status) = (line.server, line.status);
            match self.index.get(&server) {
                Some(&i) if self.servers[i].listed == line => {}
                Some(&i) => {
                    touched.push(i);
                    let s = &mut self.servers[i];
                    if line.started.is_some() && line.started != s.listed.started {
                        s.renew(line, now);
                    } else {
                        s.listed = line;
                    }
                }
                None if status == Status::Gone => {}
                None => {
                    let (new, i) = (Server::new(line, now), self.free.pop());
                    let i = i.unwrap_or(self.servers.len());
                    match self.servers.get_mut(i) {
                        Some(slot) => *slot = new,
                        None => self.servers.push(new),
                    }
                    self.index.insert(server, i);
                    touched.push(i);
                }
            }
        }
        let forget_at = now + self.settings.warm_up_time;
        for i in touched {
            self.refile(i);
            let gone = self.servers[i].listed.status == Status::Gone;
            self.gone.set(i, gone.then(|| self.gone.due_at(i).unwrap_or(forget_at)));
        }
        let listed = |i: &usize| self.servers[*i].listed.status != Status::Gone;
        self.zones.retain(|zone| self.in_zone.members(zone).iter().any(listed));
    }

    /// The fraction of its capacity that a server has for certain.
    pub(crate) fn slow_start_factor(&self, s: &Server, now: Time) -> f64 {
        self.slow_start.factor(&s.slow_start, s.listed.started, now)
    }

    /// Updates the median latency of the servers that serve.
    pub(crate) fn update_median_latency(&mut self) {
        let servers = &self.servers;
        self.latencies.update_median(|slot| servers[slot].judged_latency());
    }

    /// Keeps what a send changes: its attempt, the counts of its server and the work that cold ones have met; `kept` if
    /// an idle connection surely stood for it.
    pub(crate) fn note_send(&mut self, now: Time, pick: &Pick, server: usize, kept: bool) {
        let slow_start_factor = self.slow_start_factor(&self.servers[server], now);
        let open_servers = self.serving.members().len();
        let Some(live) = self.live.get_mut(&pick.id) else { return };
        let s = &mut self.servers[server];
        let uploading = live.request.uploading;
        let attempt = live.history.record_send(now, &s.listed);
        s.in_flight += 1;
        s.uploading += u32::from(uploading);
        s.sent_since += 1;
        s.idle = if kept { s.idle - 1 } else { 0 };
        self.slow_start.record_send(now, &mut s.slow_start, slow_start_factor, open_servers, pick.work);
        self.slow_start.index(server, &s.slow_start, s.listed.started, s.open);
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
            self.key_affinity.insert(key, self.servers[server].listed.server);
        }
        self.memory.retain(|&m| m != server);
        self.memory.insert(0, server);
        self.memory.truncate(most);
    }

    /// What a pick must know of a request.
    pub(crate) fn pick_for(&self, now: Time, live: &Live) -> Pick {
        let class = live.request.class.0;
        let key = live.request.key.filter(|_| self.settings.key_affinity);
        let slot = |server: &ServerId| self.index.get(server);
        Pick {
            id: live.request.id,
            class,
            reach: self.permitted_actions(live, now).send,
            work: self.work(live),
            heavy: (self.work(live) / self.latencies.usual_ms(class)).clamp(1.0, 9.0).sqrt(),
            safe: self.settings.classes[class].idempotency == Idempotency::Idempotent,
            key,
            warm: key.and_then(|k| self.key_affinity.get(&k)).and_then(slot).copied(),
            tried: live.history.servers().filter_map(|server| slot(&server)).copied().collect(),
        }
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    pub(crate) fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.latencies.usual_ms(live.request.class.0), Span::as_ms)
    }

    /// What the process that replaces this one should know; of a large fleet the servers that most is known of.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let mut servers: Vec<&Server> = self.servers.iter().filter(|s| s.open).collect();
        snapshot::select_servers(&mut servers, |s| ServerRelevance {
            is_ejected: s.health.is_ejected(),
            is_measured: s.latency.samples() > 0,
            last_response_at: s.limit.last_sample_at(),
        });
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
        let listed = || self.servers.iter().filter(|s| s.listed.status != Status::Gone);
        let avoided = |s: &&Server| !s.open || self.is_outlier(s, now);
        EndpointCounts { listed: listed().count(), avoided: listed().filter(avoided).count() }
    }

    fn is_outlier(&self, s: &Server, now: Time) -> bool {
        s.health.is_ejected() || (self.blind && s.health.is_suspected(now))
    }

    /// What it makes of each server that the list has not removed.
    pub fn server_views(&self, now: Time) -> Vec<ServerView> {
        let listed = self.servers.iter().filter(|s| s.listed.status != Status::Gone);
        let view = |s: &Server| ServerView {
            server: s.listed.server,
            zone: s.listed.zone,
            status: s.listed.status,
            cordoned: self.cordoned.contains(&s.listed.server),
            outlier: self.is_outlier(s, now),
            in_flight: s.in_flight,
            limit: s.limit.value() * self.level.value(),
            slow_start_factor: self.slow_start_factor(s, now),
        };
        listed.map(view).collect()
    }

    /// How it uses each zone, as a whole, and by class where that differs; zones without a response are left out.
    pub fn zone_views(&self) -> Vec<ZoneView> {
        self.zones.views()
    }

    /// The state behind the decisions in one line, for a log.
    pub fn summary(&self) -> String {
        let serving = || self.serving.members().iter().map(|&i| &self.servers[i]);
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
