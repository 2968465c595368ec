//! Every decision of the balancer; its interface is in `settings.rs`, `event.rs` and `action.rs`.
//!
//! In the order of a request's life: `arrive` takes it in, `place` decides whether and where it goes
//! (`candidates` -> `lightest` -> `remember`), `lawful` says what may still be done with it,
//! `outcome` learns from the answer and decides what follows, `end` gives the one final answer. `tick` looks
//! after silent servers, held requests and the list.

use crate::admission::{
    has_queue_capacity, is_too_late, is_too_late_to_queue, retry_after, Assessment, TimeLimits,
};
use crate::concurrency::{self, LimitSample, MAX_LIMIT};
use crate::endpoints::DrawPool;
use crate::latency::{ServerLatency, LATE};
use crate::outliers::{decode_gossip, overdue_after, OutlierReason};
use crate::records::*;
use crate::retries::{AttemptHistory, PermittedActions, RetryScope};
use crate::server::Server;
use crate::snapshot::SnapshotBounds;
use crate::zones::{ZoneChange, ZoneContext, ZoneOutcome};
use crate::*;

/// Remembered servers (m) and fresh draws (d) of each pick; the paper asks for d >= m.
const REMEMBERED: usize = 1;
const DRAWS: usize = 3;
/// Further draws from the own zone, as many from the rest of the own region where regions are known, and the
/// common level under which the fleet is in a jam.
const NEAR_DRAWS: usize = 3;
const NEAR_LEVEL: f64 = 0.8;
/// Servers that a pick looks at, from a random place on, if all draws fail: all of a fleet that is no larger.
/// Of a larger one with one in fifty ready, 199 of 200 picks find some; the others wait for the next tick.
const LOOKS: usize = 256;
/// Both of a blind balancer that pays for handshakes: its requests in flight are each on another server, and
/// the next one should find a remembered server whose connection is idle.
const REMEMBERED_BLIND: usize = 12;
/// Its coin weighs a server that it keeps an idle connection to more by this for each 1% of a request that a
/// handshake is priced at.
const KEPT: f64 = 0.5;
/// And a server of its own zone, for each 1% that crossing is priced at.
const NEAR: f64 = 0.2;
/// A server in another zone weighs this much more for each 1% of a request that crossing is priced at; never
/// as much as one request more at zero, so that the price alone does not fill a zone.
const AWAY: f64 = 0.25;
const AWAY_MOST: f64 = 1.8;
/// And one in another region, where regions are known, by this.
const BEYOND: f64 = 1.2;
/// A key's last server weighs this much where keys run warm: it wins unless it holds clearly more.
const WARM: f64 = 0.7;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const ALIKE: f64 = 0.25;
/// How often the balancer looks around when it holds requests, and when it does not.
const TICK_BUSY: Span = Span(10_000);
const TICK_IDLE: Span = Span(50_000);
/// Candidates are asked for their load where all probes of a pick cost this much at most, and for this share
/// of the aim.
const ASK_PRICE: f64 = 0.01;
const ASK_WAIT: f64 = 0.05;

const TICK: TimerId = TimerId(0);
const ASKED: TimerId = TimerId(1);

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Balancer::blank(settings, seed))
    }

    /// To be called once, before the first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.polling.start(now, &mut self.rng) {
            out.push(Action::Watch { active: true });
        }
        self.set_tick(now, TICK_IDLE, out);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.arrive(now, request, out),
            Event::FirstByte { request, attempt } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.history.record_first_byte(attempt);
                }
            }
            Event::Outcome { request, attempt, outcome, elapsed, report, closed } => {
                self.outcome(now, (request, attempt.0), (outcome, elapsed, report), closed, out);
            }
            Event::BodyComplete { request, time_left } => self.uploaded(now, request, time_left),
            Event::BodyConsumed { request } => {
                if let Some(live) = self.live.get_mut(&request) {
                    live.history.record_body_consumed();
                }
            }
            Event::ResponseAborted { server } => {
                let Some(s) = self.endpoints.slot(server) else { return };
                self.endpoints.server_mut(s).health.record_aborted_response();
                let health = &self.endpoints.server(s).health;
                if self.outliers.has_failed_too_often(health, Some(true), self.endpoints.is_sparse()) {
                    self.handle_outlier(now, s, OutlierReason::Failing, out);
                }
            }
            Event::ClientDisconnected { request } => {
                self.live.remove(&request);
            }
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(ASKED) => self.choose_asked(now, out),
            Event::Timer(_) => {}
            Event::Gossip { payload, .. } => self.record_gossip(now, &payload),
            Event::HealthChecked { server, outcome, report, .. } => {
                let Some(s) = self.endpoints.slot(server) else { return };
                let zone = self.endpoints.server(s).endpoint.zone;
                self.zones.record_health_check(now, zone, outcome == Outcome::Success);
                match report {
                    Some(report) => self.record_report(now, s, &report),
                    None if outcome != Outcome::Success => {
                        self.handle_outlier(now, s, OutlierReason::FailsHealthChecks, out)
                    }
                    None => {}
                }
                self.choose_asked(now, out);
            }
            Event::Endpoints(update) => self.list(now, update, out),
            Event::Regions(regions) => {
                for zone in self.endpoints.set_regions(regions) {
                    self.change_zone(zone, |_| {});
                }
                self.reopen(now, out);
            }
            Event::Restore(snapshot) => self.restore_within_bounds(now, snapshot),
            Event::Cordon { server } => self.cordon(now, server, out),
            Event::Uncordon { server, at } => self.uncordon(now, server, at, out),
            Event::EvacuateZone { zone } => {
                if self.endpoints.evacuate(zone) {
                    self.change_zone(zone, |s| {
                        out.push(Action::CloseIdleConnections { server: s.endpoint.server })
                    });
                    self.reopen(now, out);
                }
            }
            Event::RestoreZone { zone, at } => {
                if self.endpoints.restore_zone(zone) {
                    // What was learned stands; but all balancers return in the same moment.
                    self.change_zone(zone, |s| s.slow_start.restore(at));
                    let there = self.endpoints.in_zone(zone).to_vec();
                    there.into_iter().for_each(|i| self.try_again(i, at));
                    self.reopen(now, out);
                }
            }
        }
    }

    // ---- a request comes in -------------------------------------------------------------------------

    fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if request.class.0 >= self.settings.classes.len() {
            out.push(Action::Reject { request: id, retry_after: None });
            return;
        }
        if self.live.contains_key(&id) {
            return;
        }
        let Assessment { limits, is_over_share } =
            self.admission.assess(now, &request, &self.settings, &mut self.rng);
        let live = Live { request, limits, is_over_share, history: AttemptHistory::default() };
        let hopeless = self.hopeless(now, &live);
        self.live.insert(id, live);
        self.outliers.record_request();
        self.retry_budget.earn(self.level.value(), self.endpoints.is_sparse());
        // A blind balancer's limits per server bind nothing: by chance it lets in what the level says.
        if hopeless || (self.endpoints.is_sparse() && self.rng.f64() >= self.level.value()) {
            self.end(now, id, out);
        } else if !self.place(now, id, out) {
            self.hold(now, id, out);
        }
    }

    /// Sent now, it would not be answered while that is worth something; or there is nowhere to send it.
    fn hopeless(&self, now: Time, live: &Live) -> bool {
        let class = live.request.class.0;
        let usual_latency = self.latencies.usual(class);
        self.endpoints.is_all_held_back()
            || is_too_late(now, &self.settings.classes[class], &live.limits, usual_latency)
    }

    /// Keeps a request for later, or ends it if that is hopeless.
    fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if !has_queue_capacity(&self.settings, self.held.len(), self.live.len()) {
            self.end(now, id, out);
            return;
        }
        self.held.insert(0, id);
        // A tick that is due is never put off: requests held at each tick would starve it and lose requests.
        if self.tick_at > now + TICK_BUSY {
            self.set_tick(now, TICK_BUSY, out);
        }
    }

    /// What may still be done with a request.
    pub(crate) fn permitted_actions(&self, live: &Live, now: Time) -> PermittedActions {
        let class = &self.settings.classes[live.request.class.0];
        live.history.permitted_actions(now, live.limits.deadline, class, &self.settings)
    }

    /// Whether an attempt whose first byte can be sent only now may still begin. While its connection was established,
    /// its server may have begun to drain, its request have ended, and the window for retries have closed.
    pub fn may_begin(&self, now: Time, request: RequestId, attempt: AttemptNo) -> bool {
        let Some(live) = self.live.get(&request) else { return false };
        let class = &self.settings.classes[live.request.class.0];
        let server = live.history.may_begin(now, attempt, class);
        let slot = server.and_then(|server| self.endpoints.slot(server));
        slot.is_some_and(|slot| self.endpoints.server(slot).is_open)
    }

    // ---- the pick -----------------------------------------------------------------------------------

    /// Sends a request to the lightest candidate, if any server is open to it; false if none is.
    fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(live) = self.live.get(&id) else { return true };
        let pick = self.pick_for(now, live);
        if pick.reach == RetryScope::Nowhere {
            return false;
        }
        let candidates = self.candidates(now, &pick);
        if self.asks() && !candidates.is_empty() {
            self.ask(now, id, candidates, out);
            return true;
        }
        self.choose(now, &pick, &candidates, out)
    }

    /// Sends to the lightest candidate and remembers it; false if there is none.
    fn choose(&mut self, now: Time, pick: &Pick, candidates: &[usize], out: &mut Vec<Action>) -> bool {
        let Some(server) = self.lightest(now, candidates, pick) else { return false };
        self.remember(server, pick.key, self.remembered());
        self.send(now, pick, server, out);
        true
    }

    /// Whether the candidates are asked for their load first: where own counts say little, reports come with
    /// probes only, say what a server holds, and those of one pick cost next to nothing.
    fn asks(&self) -> bool {
        let s = &self.settings;
        let price = s.prices.probe * self.compared() as f64;
        s.probes
            && s.report_source == ReportSource::HealthChecks
            && self.load_reports.have_requests()
            && price <= ASK_PRICE
            && self.endpoints.is_sparse()
    }

    /// Probes the candidates; the pick waits until all have answered, for a small part of the aim at most.
    fn ask(&mut self, now: Time, id: RequestId, mut candidates: Vec<usize>, out: &mut Vec<Action>) {
        candidates.sort_unstable();
        candidates.dedup();
        let live = &self.live[&id];
        let until = (now + self.settings.classes[live.request.class.0].latency_objective * ASK_WAIT)
            .min(live.limits.deadline);
        for &c in &candidates {
            out.push(Action::HealthCheck { server: self.endpoints.server(c).endpoint.server });
        }
        out.push(Action::SetTimer { at: until, timer: ASKED });
        self.asking.push(Asking { id, candidates, since: now, until });
    }

    /// Sends the requests whose candidates have told their load, or have been waited for long enough.
    fn choose_asked(&mut self, now: Time, out: &mut Vec<Action>) {
        let endpoints = &self.endpoints;
        let told = |a: &Asking, c: usize| endpoints.server(c).report.is_newer_than(a.since);
        let done = |a: &Asking| now >= a.until || a.candidates.iter().all(|&c| told(a, c));
        let (done, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.asking).into_iter().partition(done);
        self.asking = waiting;
        for mut a in done {
            let Some(live) = self.live.get(&a.id) else { continue };
            let pick = self.pick_for(now, live);
            let heard = |c: &usize| self.endpoints.server(*c).report.is_newer_than(a.since);
            let some = a.candidates.iter().any(heard);
            a.candidates.retain(|c| (!some || heard(c)) && self.ready(now, *c, &pick));
            if !self.choose(now, &pick, &a.candidates, out) {
                self.hold(now, a.id, out);
            }
        }
    }

    fn ready(&self, now: Time, i: usize, ask: &Pick) -> bool {
        self.allowed(now, i, ask)
            && (self.endpoints.is_sparse() || self.endpoints.server(i).health.permits_request(now, ask.safe))
    }

    /// Whether a server may be sent this request now, be it suspect or not.
    pub(crate) fn allowed(&self, now: Time, i: usize, ask: &Pick) -> bool {
        let s = self.endpoints.server(i);
        ask.reach.contains(&s.endpoint) && s.is_open && self.has_room(now, s, ask.work)
    }

    /// Room by the learned limit; where that says nothing, only a server that was full is given a rest. A
    /// cold server has room for its share of what warm ones were sent lately, so that the sum of all
    /// balancers cannot push it over while the warm ones are held back.
    fn has_room(&self, now: Time, s: &Server, work: f64) -> bool {
        if self.endpoints.is_sparse() {
            return s.limit.is_rested(now);
        }
        let slow_start_factor = self.slow_start_factor(s, now);
        let open_servers = self.endpoints.open().len();
        s.limit.has_capacity(now, self.level.value(), slow_start_factor, s.connections.at_work())
            && self.slow_start.has_budget(now, &s.slow_start, slow_start_factor, open_servers, work)
    }

    /// Fresh uniform draws from the servers that are ready for the request, and the remembered ones that are.
    /// Where a crossing has a price, as many come from the own zone, which three draws often miss. Which is
    /// lightest is not touched by where it was drawn. In a jam any room counts. Draws are by rejection, four
    /// tries each; only if all fail is each server looked at (`LOOKS`), and those tried before come last.
    fn candidates(&mut self, now: Time, ask: &Pick) -> Vec<usize> {
        if let Some(first_try) = self.slow_start.due_first_tries(now).find(|i| self.ready(now, *i, ask)) {
            return vec![first_try];
        }
        if let Some(probation) = self.zone_probation(now, ask) {
            return vec![probation];
        }
        let draws = self.compared() - self.remembered();
        let mut found: Vec<usize> = Vec::with_capacity(draws + self.memory.len() + 1);
        let crossing = self.settings.prices.cross_zone > 0.0 || self.endpoints.has_regions();
        let near = if crossing && self.level.value() >= NEAR_LEVEL && !self.endpoints.is_sparse() {
            NEAR_DRAWS
        } else {
            0
        };
        for (round, draws, looks) in [
            (DrawPool::OwnZone, near, near),
            (DrawPool::OwnRegion, near, near),
            (DrawPool::All, draws, 4 * draws),
        ] {
            let (most, all) = (found.len() + draws, self.endpoints.draw_pool(round, ask.reach).len());
            for _ in 0..looks {
                if found.len() >= most || all == 0 {
                    break;
                }
                let at = self.rng.usize(0..all);
                let i = self.endpoints.draw_pool(round, ask.reach)[at];
                if !ask.tried.contains(&i) && self.ready(now, i, ask) && self.passes(now, i, ask) {
                    found.push(i);
                }
            }
        }
        for m in self.memory.clone().into_iter().chain(ask.warm) {
            if !ask.tried.contains(&m) && self.ready(now, m, ask) && self.passes(now, m, ask) {
                found.push(m);
            }
        }
        if found.is_empty() {
            let all = self.endpoints.draw_pool(DrawPool::All, ask.reach).len();
            let first = if all > LOOKS { self.rng.usize(0..all) } else { 0 };
            let (before, after) = self.endpoints.draw_pool(DrawPool::All, ask.reach).split_at(first);
            let none = !self.endpoints.open_by_zone().groups().any(|zone| self.zones.takes_overflow(zone));
            let spills = |i: usize| none || self.zones.takes_overflow(self.endpoints.server(i).endpoint.zone);
            let ready = |i: &usize| self.ready(now, *i, ask) && spills(*i);
            let open = after.iter().chain(before).take(LOOKS).copied().filter(ready);
            let (again, fresh): (Vec<_>, Vec<_>) = open.partition(|i| ask.tried.contains(i));
            let open = if fresh.is_empty() { again } else { fresh };
            found.extend((0..draws.min(open.len())).map(|_| open[self.rng.usize(0..open.len())]));
        }
        found
    }

    /// A cold server, empty and remembered by all, would be pushed over by the sum of all balancers. Each
    /// lets it be a candidate only as often as the part of its capacity that it surely has, so that all
    /// together send it that part of a warm server's share, and no talk among them is needed; and more often
    /// by half of the overload that it bears, as most are warmer than is sure; the pace tells which. Where
    /// being empty wins the pick, a candidate counts for as many as it wins over.
    /// Of a zone that is not wholly in use, it is one as often as the share says; empty, it wins the pick.
    fn passes(&mut self, now: Time, i: usize, ask: &Pick) -> bool {
        let share = self.zones.share(self.endpoints.server(i).endpoint.zone, ask.class);
        let wins = if self.endpoints.is_sparse() { 1 } else { 1 + DRAWS } as f64;
        if share < 1.0 && self.rng.f64() * (share + (1.0 - share) * wins) >= share {
            return false;
        }
        let slow_start_factor = self.slow_start_factor(self.endpoints.server(i), now);
        let wins = if self.asks() { self.compared() } else { 1 };
        !self.endpoints.is_sparse() || self.slow_start.passes_draw(slow_start_factor, wins, &mut self.rng)
    }

    /// The candidate with the least own load: requests in flight, scaled by what the machine costs (how slow
    /// it has shown itself, a priced crossing, a warm key). Ties fall by its report; a coin is last.
    ///
    /// A blind balancer compares the plain counts, and the coin is weighed by what each candidate can bear.
    /// As the last choice is among the candidates, the choices of all together settle in proportion to that.
    fn lightest(&mut self, now: Time, candidates: &[usize], pick: &Pick) -> Option<usize> {
        let away = (1.0 + 100.0 * AWAY * self.settings.prices.cross_zone).clamp(1.0, AWAY_MOST);
        let (blind, asks) = (self.endpoints.is_sparse(), self.asks());
        let mut best = None;
        for &c in candidates {
            let coin = self.rng.f64();
            let s = self.endpoints.server(c);
            let report = s.report.requests();
            let key = if blind {
                let told = if asks { report.round() as i64 } else { 0 };
                (
                    i64::from(s.connections.in_flight()),
                    told,
                    (-(1.0 - coin).ln() / self.bears(s, now)).to_bits(),
                )
            } else {
                let far = match s.endpoint.zone {
                    zone if zone == self.settings.zone => 1.0,
                    zone if self.endpoints.is_other_region(zone) => away * BEYOND,
                    _ => away,
                };
                let known = if pick.warm == Some(c) { WARM } else { 1.0 };
                // A suspect drawn for its trial goes first: by its own record it would never be tried.
                let count =
                    if s.health.is_ejected() { 0.0 } else { f64::from(s.connections.in_flight()) + 1.0 };
                let load = (count * far * (s.latency.slowdown() * known).powf(0.5 * pick.heavy)).ln();
                ((load / ALIKE).round() as i64, report.round() as i64, coin.to_bits())
            };
            if best.is_none_or(|(least, _)| key < least) {
                best = Some((key, c));
            }
        }
        best.map(|(_, c)| c)
    }

    /// What a server can bear next to others: its listed size over what waits there by its report. A report's
    /// news fades, and what is not known is as crowded as the rest.
    /// The pace counts in its cube: by the plain one slow machines time out while fast ones idle.
    fn bears(&self, s: &Server, now: Time) -> f64 {
        let size = if self.settings.weights == Weights::Size { s.endpoint.weight } else { 1.0 };
        let size = if size.is_finite() && size > 0.0 { size } else { 1.0 };
        let waiting = s.report.expected(now, self.load_reports.mean());
        let doubt = s.health.weight(now);
        let latency = self.latencies.expected(s.endpoint.kind, &s.latency);
        let prices = &self.settings.prices;
        let kept = if self.kept(s, now) { 100.0 * KEPT * prices.handshake } else { 0.0 };
        let near = if s.endpoint.zone == self.settings.zone { 100.0 * NEAR * prices.cross_zone } else { 0.0 };
        (1.0 + kept) * (1.0 + near) * doubt * size / (1.0 + waiting) / latency.max(0.01).powi(3)
    }

    /// Whether this is a blind balancer that keeps its connections, as fresh ones have a price.
    fn keeps(&self) -> bool {
        self.endpoints.is_sparse() && self.settings.prices.handshake > 0.0
    }

    /// Servers that are remembered, and the most that a pick compares.
    fn remembered(&self) -> usize {
        if self.keeps() {
            REMEMBERED_BLIND
        } else {
            REMEMBERED
        }
    }

    fn compared(&self) -> usize {
        self.remembered() + DRAWS.max(self.remembered())
    }

    /// Whether an idle connection to a server is certainly open still.
    fn kept(&self, s: &Server, now: Time) -> bool {
        s.connections.has_idle(now, self.settings.keepalive)
    }

    fn send(&mut self, now: Time, pick: &Pick, server: usize, out: &mut Vec<Action>) {
        let Some(live) = self.live.get_mut(&pick.id) else { return };
        if live.request.uploading {
            // The client is timed by the caller while it sends.
            live.limits = TimeLimits::NONE;
        }
        let timeout_at = live.limits.deadline;
        let kept = self.kept(self.endpoints.server(server), now);
        self.note_send(now, pick, server, kept);
        let (request, server) = (pick.id, self.endpoints.server(server).endpoint.server);
        out.push(Action::Send { request, server, timeout_at });
    }

    // ---- what follows an outcome --------------------------------------------------------------------

    fn outcome(
        &mut self,
        now: Time,
        key: (RequestId, u32),
        ended: Ended,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.remove(&key) else { return };
        let (outcome, elapsed, report) = ended;
        self.note_end(now, &flight, outcome);
        if let Some(report) = report {
            self.record_report(now, flight.server, &report);
        }
        self.record_zone_outcome(now, &flight, outcome, elapsed, out);
        self.learn(now, &flight, outcome, elapsed, out);
        self.note_learned(&flight);
        self.let_go(flight.server, out);
        let id = key.0;
        if closed {
            self.live.remove(&id);
        } else if let Some(live) = self.live.get_mut(&id) {
            live.history.record_end(key.1, outcome.is_not_executed());
            if live.request.uploading {
                // Its body waits with the client for the next attempt.
                let latency_objective = self.settings.classes[live.request.class.0].latency_objective;
                live.limits = TimeLimits::from_now(now, live.request.time_left, latency_objective);
            }
            self.follow_up(now, id, outcome, out);
        }
        self.pump(now, out);
    }

    /// Fresh draws range over the whole fleet, so kept connections would grow to balancers times servers and
    /// fill the servers' tables. A blind balancer comes by too seldom to be worth a place in each: where a
    /// handshake costs nothing, it keeps only the connections of the remembered server. Where it has a price,
    /// its coin falls to few servers, and the others' connections close when they have idled for long enough.
    fn let_go(&self, server: usize, out: &mut Vec<Action>) {
        let s = self.endpoints.server(server);
        if s.connections.in_flight() == 0
            && self.endpoints.is_sparse()
            && !self.keeps()
            && !self.memory.contains(&server)
        {
            out.push(Action::CloseIdleConnections { server: s.endpoint.server });
        }
    }

    /// The request still owes its answer after an attempt has failed.
    fn follow_up(&mut self, now: Time, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.history.is_in_flight() {
            return;
        }
        let useful = !self.hopeless(now, live);
        let paid = outcome.is_not_executed() || self.retry_budget.has_token();
        if self.permitted_actions(live, now).send != RetryScope::Nowhere && useful && paid {
            if !outcome.is_not_executed() {
                self.retry_budget.spend();
            }
            if !self.place(now, id, out) {
                self.hold(now, id, out);
            }
        } else {
            self.end(now, id, out);
        }
    }

    /// The final answer from here: a refusal if that is true to the client, else a failure.
    fn end(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        if self.permitted_actions(&live, now).reject {
            let retry_after = retry_after(&self.settings, &self.settings.classes[live.request.class.0]);
            out.push(Action::Reject { request: id, retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
    }

    /// Sends what is held and can go, newest first, and ends what can no longer be answered in time: first
    /// come first served would let every request wait until it is nearly too late, and then be late.
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        held.sort_by_cached_key(|id| {
            self.live.get(id).map(|l| (l.is_over_share, !self.admission.is_protected(l.request.class.0)))
        });
        held.retain(|&id| {
            let Some(live) = self.live.get(&id) else { return false };
            let class = live.request.class.0;
            let settings = &self.settings.classes[class];
            let current_latency = self.latencies.current(class);
            if self.hopeless(now, live) || is_too_late_to_queue(now, settings, &live.limits, current_latency)
            {
                self.end(now, id, out);
                return false;
            }
            !self.place(now, id, out)
        });
        self.held = held;
    }

    // ---- zones --------------------------------------------------------------------------------------

    /// Lets the zone of a server learn from one outcome there.
    fn record_zone_outcome(
        &mut self,
        now: Time,
        flight: &Flight,
        outcome: Outcome,
        elapsed: Span,
        out: &mut Vec<Action>,
    ) {
        let server = self.endpoints.server(flight.server);
        let ended = ZoneOutcome {
            class: flight.class,
            outcome,
            elapsed,
            is_in_time: elapsed <= self.settings.classes[flight.class].latency_objective,
            usual_ms: self.latencies.usual_ms(flight.class) * server.latency.slowdown(),
            is_warming: self.slow_start_factor(server, now) < 1.0,
        };
        let attempt = server.zone_attempt(flight.sent);
        let mut context = ZoneContext {
            now,
            is_sparse: self.endpoints.is_sparse(),
            latencies: &self.latencies,
            open_servers: self.endpoints.open_by_zone(),
            rng: &mut self.rng,
        };
        let change = self.zones.record_outcome(&mut context, attempt, ended, out);
        self.follow_zone_change(now, change, out);
    }

    /// Lets the zone of a server learn that an attempt there has had no response for too long.
    fn record_zone_unanswered(&mut self, now: Time, server: usize, sent_at: Time, out: &mut Vec<Action>) {
        let attempt = self.endpoints.server(server).zone_attempt(sent_at);
        let mut context = ZoneContext {
            now,
            is_sparse: self.endpoints.is_sparse(),
            latencies: &self.latencies,
            open_servers: self.endpoints.open_by_zone(),
            rng: &mut self.rng,
        };
        if let Some(change) = self.zones.record_unanswered(&mut context, attempt, out) {
            self.follow_zone_change(now, change, out);
        }
    }

    fn follow_zone_change(&mut self, now: Time, change: ZoneChange, out: &mut Vec<Action>) {
        match change {
            ZoneChange::None => {}
            ZoneChange::Changed(zone) => self.clear_suspicions(now, zone),
            ZoneChange::Unresponsive(zone) => {
                self.clear_suspicions(now, zone);
                self.cancel_in_zone(now, zone, out);
            }
        }
    }

    /// What the servers of a zone were suspected of was the zone's.
    fn clear_suspicions(&mut self, now: Time, zone: ZoneId) {
        self.change_zone(zone, |s| s.health.clear(now));
    }

    /// Cancels what is in flight in a zone that does not respond and may be sent elsewhere. That needs no retry budget,
    /// as no server works on it. Nor do these attempts say anything of the other servers, whose admission level they
    /// must not lower.
    fn cancel_in_zone(&mut self, now: Time, zone: ZoneId, out: &mut Vec<Action>) {
        let there = |f: &Flight| !f.called && self.endpoints.server(f.server).endpoint.zone == zone;
        let keys: Vec<_> = self.flights.iter().filter(|(_, f)| there(f)).map(|(key, _)| *key).collect();
        for key in keys {
            self.retry_budget.grant();
            if !self.call_back(now, key, true, out) {
                self.retry_budget.spend();
            }
            self.flights.get_mut(&key).into_iter().for_each(|flight| flight.counted = true);
        }
    }

    /// A server for a probation request, if a zone is due for one.
    fn zone_probation(&mut self, now: Time, ask: &Pick) -> Option<usize> {
        if !ask.tried.is_empty() {
            return None;
        }
        let scope = self.zones.due_probation(now, ask.class, ask.safe)?;
        let server = self.one_of(scope.zone, |balancer, i| balancer.allowed(now, i, ask))?;
        self.zones.record_probation(now, scope);
        Some(server)
    }

    /// Sends health checks to the zones that are due for one.
    fn check_zones(&mut self, now: Time, out: &mut Vec<Action>) {
        for zone in self.zones.due_health_checks(now) {
            let Some(server) = self.one_of(zone, |_, _| true) else { continue };
            self.zones.record_health_check_sent(now, zone);
            out.push(Action::HealthCheck { server: self.endpoints.server(server).endpoint.server });
        }
    }

    /// Takes in a load report of a server.
    fn record_report(&mut self, now: Time, slot: usize, report: &Report) {
        self.load_reports.record(now, &mut self.endpoints.server_mut(slot).report, report);
    }

    // ---- what is learned of servers -----------------------------------------------------------------

    /// Takes in what the end of an attempt says of its server: latency, concurrency limit and failures.
    fn learn(&mut self, now: Time, flight: &Flight, outcome: Outcome, elapsed: Span, out: &mut Vec<Action>) {
        let latency_objective = self.settings.classes[flight.class].latency_objective;
        let is_sparse = self.endpoints.is_sparse();
        let latency = match outcome {
            Outcome::Success => (elapsed.as_ms() / latency_objective.as_ms()).min(LATE),
            // Cancelled does not mean stopped: the work may still be in the server's queue.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE,
            _ => 0.0,
        };
        let says_little = is_sparse && outcome == Outcome::Rejected && !flight.again;
        if latency > 0.0 && !flight.counted && !says_little {
            self.level.record(latency, self.flights.len(), is_sparse);
        }
        let s = self.endpoints.server_mut(flight.server);
        let idle_latency = self.latencies.idle(flight.class, &s.latency);
        let responds = now.since(s.health.last_response_at()) < latency_objective;
        if outcome == Outcome::ConnectFailed && is_sparse && s.connections.at_work() > 0 && responds {
            // While it responds on other connections it is full and neither dead nor cut off.
            s.limit.rest(now, latency_objective);
        } else {
            s.health.record_outcome(now, outcome, latency < LATE);
        }
        if outcome == Outcome::Success {
            self.latencies.record_success(flight.class, &mut s.latency, latency);
        }
        if latency > 0.0 {
            self.latencies.record_latency(s.endpoint.kind, &mut s.latency, latency);
            let sample = LimitSample {
                now,
                sent_at: flight.sent,
                outcome,
                elapsed,
                latency_objective,
                latency,
                smoothed_latency: s.latency.smoothed(),
                idle_latency,
                usual_latency: self.latencies.usual(flight.class),
                at_work: s.connections.at_work(),
            };
            s.limit.record(&sample, concurrency::min_limit(&self.settings));
        }
        if flight.trial {
            let is_good = outcome == Outcome::Success && self.latencies.is_good_probation(latency);
            s.health.record_probation(now, is_good);
            if is_good {
                s.latency = ServerLatency::after_probation(latency);
            }
            return;
        }
        self.detect_outlier(now, flight.server, outcome, latency, out);
    }

    /// Looks for what the end of an attempt makes of its server.
    fn detect_outlier(
        &mut self,
        now: Time,
        slot: usize,
        outcome: Outcome,
        latency: f64,
        out: &mut Vec<Action>,
    ) {
        let s = self.endpoints.server(slot);
        let is_slow = self.latencies.is_slow(&s.latency);
        let is_late = self.endpoints.is_sparse() && latency >= LATE && outcome != Outcome::Rejected;
        let is_failure = outcome.is_failure();
        let says_whether = (is_failure || latency > 0.0).then_some(is_failure);
        let is_failing =
            self.outliers.has_failed_too_often(&s.health, says_whether, self.endpoints.is_sparse());
        if is_failing || is_slow || is_late {
            let reason = if is_slow { OutlierReason::Slow } else { OutlierReason::Failing };
            self.handle_outlier(now, slot, reason, out);
        }
    }

    /// Ejects an outlier, unless too many servers are ejected already; with sparse traffic suspects it.
    fn handle_outlier(&mut self, now: Time, slot: usize, reason: OutlierReason, out: &mut Vec<Action>) {
        let is_sparse = self.endpoints.is_sparse();
        let open_servers = self.endpoints.open().len();
        let s = self.endpoints.server_mut(slot);
        if is_sparse {
            self.memory.retain(|&m| m != slot);
            return self.outliers.suspect(now, s.endpoint.server, &mut s.health, &mut self.rng, out);
        }
        if !self.outliers.eject(now, &mut s.health, open_servers) {
            return;
        }
        self.memory.retain(|&m| m != slot);
        let (id, latency, median) = (s.endpoint.server, s.latency.smoothed(), self.latencies.median());
        let text = format!("server {} {reason}: pace {latency:.2} of median {median:.2}", id.0);
        out.push(Action::Log { server: Some(id), zone: None, text });
        self.reindex(slot);
    }

    /// Takes in a message from another balancer.
    fn record_gossip(&mut self, now: Time, payload: &[u8]) {
        let server = decode_gossip(payload).and_then(|server| self.endpoints.slot(server));
        if let Some(slot) = server {
            self.endpoints.server_mut(slot).health.record_gossip(now);
            self.memory.retain(|&m| !self.endpoints.server(m).health.is_suspected(now));
        }
    }

    // ---- the list and the clock ---------------------------------------------------------------------

    fn list(&mut self, now: Time, update: EndpointUpdate, out: &mut Vec<Action>) {
        let is_partial = matches!(update, EndpointUpdate::Partial(_));
        let (entries, complete) = match update {
            EndpointUpdate::Failed => return self.polling.record_failure(now, &mut self.rng),
            EndpointUpdate::Unusable => return self.polling.record_unusable(now, &mut self.rng),
            EndpointUpdate::Partial(entries) | EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Complete(entries) | EndpointUpdate::Saved(entries) => (entries, true),
        };
        if !is_partial {
            self.polling.record_success();
        }
        self.update_endpoints(now, entries, complete);
        self.reopen(now, out);
    }

    /// Follows what the list and the operators let be sent anything, once the servers concerned are filed.
    fn reopen(&mut self, now: Time, out: &mut Vec<Action>) {
        self.memory.retain(|&m| self.endpoints.server(m).is_open);
        self.apply_due_changes(now);
        self.endpoints.update_totals();
        self.pump(now, out);
    }

    fn restore_within_bounds(&mut self, now: Time, snapshot: Snapshot) {
        let min_limit = concurrency::min_limit(&self.settings);
        let bounds = SnapshotBounds { min_limit, max_limit: MAX_LIMIT, max_latency: LATE };
        self.restore(now, snapshot, &bounds);
    }

    fn cordon(&mut self, now: Time, server: ServerId, out: &mut Vec<Action>) {
        if self.endpoints.cordon(server) {
            out.push(Action::CloseIdleConnections { server });
            if let Some(slot) = self.endpoints.slot(server) {
                self.reindex(slot);
            }
            self.reopen(now, out);
        }
    }

    /// A server that is back has been restarted, so what was learned of it says nothing and its connections
    /// are dead; it is cold from when it came back, or from a later start that the list tells.
    fn uncordon(&mut self, now: Time, server: ServerId, at: Time, out: &mut Vec<Action>) {
        if !self.endpoints.uncordon(server) {
            return;
        }
        let Some(i) = self.endpoints.slot(server) else { return };
        let s = self.endpoints.server_mut(i);
        s.restart(s.endpoint.clone(), now);
        s.slow_start.restore(at);
        self.try_again(i, at);
        out.push(Action::CloseIdleConnections { server });
        self.reopen(now, out);
    }

    /// One that was out of use is to be tried soon, by a few of all balancers.
    fn try_again(&mut self, i: usize, at: Time) {
        self.slow_start.schedule_first_try(&mut self.endpoints.server_mut(i).slow_start, at, &mut self.rng);
        self.reindex(i);
    }

    fn set_tick(&mut self, now: Time, after: Span, out: &mut Vec<Action>) {
        self.tick_at = now + after;
        out.push(Action::SetTimer { at: self.tick_at, timer: TICK });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.tick_at {
            return;
        }
        if self.polling.take_due(now) {
            out.push(Action::Watch { active: true });
        }
        self.update_median_latency();
        self.apply_due_changes(now);
        self.admission.rank_classes(&self.settings, &self.latencies);
        self.find_silent(now, out);
        self.check_zones(now, out);
        self.pump(now, out);
        self.set_tick(now, if self.held.is_empty() { TICK_IDLE } else { TICK_BUSY }, out);
    }

    /// A server is silent if an attempt there is overdue and nothing has come back since it was sent. What
    /// may be repeated and can still be answered in time is called back from it and sent elsewhere.
    fn find_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |(&key, flight): (&(RequestId, u32), &Flight)| {
            let (server, latency_objective) =
                (self.endpoints.server(flight.server), self.settings.classes[flight.class].latency_objective);
            let work = self.live.get(&key.0).map_or(0.0, |live| self.work(live));
            let pace = self
                .latencies
                .usual(flight.class)
                .max(self.latencies.median())
                .max(work / latency_objective.as_ms());
            let wait = overdue_after(latency_objective, pace, server.connections.in_flight());
            let quiet = server.health.last_response_at() < flight.sent;
            let out = !flight.uploading && !flight.called && now.since(flight.sent) > wait;
            (quiet && out).then_some((key, flight.server, flight.sent))
        };
        let silent: Vec<_> = self.flights.iter().filter_map(overdue).collect();
        // An answer that is late is known to be late before it comes; waiting for it lets a jam grow.
        let (classes, blind) = (&self.settings.classes, self.endpoints.is_sparse());
        let late = |f: &&mut Flight| {
            blind && !f.counted && !f.uploading && now.since(f.sent) > classes[f.class].latency_objective
        };
        let late = self.flights.values_mut().filter(late).map(|f| f.counted = true).count();
        (0..late).for_each(|_| self.level.record(LATE, self.flights.len(), self.endpoints.is_sparse()));
        for &(key, server, sent) in &silent {
            self.handle_outlier(now, server, OutlierReason::Unresponsive, out);
            self.record_zone_unanswered(now, server, sent, out);
            if self.flights.get(&key).is_some_and(|flight| !flight.called) {
                self.call_back(now, key, false, out);
            }
        }
    }

    /// Calls an attempt back if it may go elsewhere, is still worth it, and there is budget for it.
    pub(crate) fn call_back(
        &mut self,
        now: Time,
        key: (RequestId, u32),
        safe: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(live) = self.live.get(&key.0) else { return false };
        let class = &self.settings.classes[live.request.class.0];
        let may_cancel = live.history.may_cancel(key.1, class, &self.settings, safe);
        let called = may_cancel && self.retry_budget.has_token() && !self.hopeless(now, live);
        if let Some(flight) = self.flights.get_mut(&key).filter(|_| called) {
            flight.called = true;
            out.push(Action::Cancel { request: key.0, attempt: AttemptNo(key.1) });
        }
        called
    }
}
