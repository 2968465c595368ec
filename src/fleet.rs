//! The state of all servers, and whether a server may be sent a request now.
//!
//! A [`Fleet`] owns the components that keep state about servers, and passes each of them what it needs from the
//! others.

mod views;

use crate::concurrency::{self, AdmissionLevel, LimitSample};
use crate::endpoints::Endpoints;
use crate::latency::{Latencies, ServerLatency, LATE_LATENCY};
use crate::load_report::LoadReports;
use crate::outliers::{OutlierReason, Outliers, ProbationResult};
use crate::pending::InFlightAttempt;
use crate::selection::SelectionRequest;
use crate::server::Server;
use crate::slow_start::SlowStart;
use crate::zones::{ZoneChange, ZoneContext, ZoneOutcome, Zones};
use crate::{Action, Endpoint, Outcome, Settings, Span, Time, ZoneId};
use std::sync::Arc;

/// The components that keep state about servers.
pub(crate) struct Fleet {
    settings: Arc<Settings>,
    pub(crate) endpoints: Endpoints,
    pub(crate) latencies: Latencies,
    pub(crate) admission_level: AdmissionLevel,
    pub(crate) load_reports: LoadReports,
    pub(crate) outliers: Outliers,
    pub(crate) slow_start: SlowStart,
    pub(crate) zones: Zones,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) now: Time,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Span,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub(crate) fn new(settings: Arc<Settings>) -> Self {
        Fleet {
            endpoints: Endpoints::new(&settings),
            latencies: Latencies::new(&settings),
            admission_level: AdmissionLevel::new(&settings),
            load_reports: LoadReports::new(&settings),
            outliers: Outliers::new(&settings),
            slow_start: SlowStart::new(&settings),
            zones: Zones::new(&settings),
            settings,
        }
    }

    /// The server in a slot.
    pub(crate) fn server(&self, slot: usize) -> &Server {
        self.endpoints.server(slot)
    }

    /// Whether traffic is sparse: there are more balancers than servers, so each balancer sees few responses per
    /// server.
    pub(crate) fn is_sparse(&self) -> bool {
        self.endpoints.is_sparse()
    }

    /// The fraction of its capacity that a server certainly has: below one while it is warming up.
    pub(crate) fn slow_start_factor(&self, now: Time, server: &Server) -> f64 {
        self.slow_start.factor(&server.slow_start, server.endpoint.started, now)
    }

    /// Whether a server may be sent this request now, regardless of ejection.
    pub(crate) fn is_allowed(&self, now: Time, slot: usize, request: &SelectionRequest) -> bool {
        let server = self.server(slot);
        request.scope.contains(&server.endpoint) && server.is_open && self.has_capacity(now, server, request)
    }

    /// Whether a server may be sent this request now. An ejected server takes only probation requests.
    pub(crate) fn is_ready(&self, now: Time, slot: usize, request: &SelectionRequest) -> bool {
        let permits_request = || self.server(slot).health.permits_request(now, request.is_idempotent);
        self.is_allowed(now, slot, request) && (self.is_sparse() || permits_request())
    }

    /// Whether the concurrency limit and the slow-start budget of a server allow one more request. With sparse traffic
    /// the limit is not enforced; a server is only paused after it was full.
    fn has_capacity(&self, now: Time, server: &Server, request: &SelectionRequest) -> bool {
        let factor = self.slow_start_factor(now, server);
        let open_servers = self.endpoints.open().len();
        let (slow_start, budget) = (&server.slow_start, &self.slow_start);
        if self.is_sparse() {
            return server.limit.is_pause_over(now)
                && budget.has_sparse_budget(now, slow_start, factor, open_servers, request.mean_work);
        }
        server.limit.has_capacity(
            now,
            self.admission_level.value(),
            factor,
            server.connections.fully_received(),
        ) && budget.has_budget(now, slow_start, factor, open_servers, request.work)
    }

    /// A server that operators have restored, whose first try is due and may be made with this request.
    pub(crate) fn due_first_try(&self, now: Time, request: &SelectionRequest) -> Option<usize> {
        self.slow_start.due_first_tries(now).find(|slot| self.is_ready(now, *slot, request))
    }

    /// Selects a server for a probation request if a zone is due for one. Only the first attempt of a request is used.
    pub(crate) fn zone_probation(
        &mut self,
        now: Time,
        request: &SelectionRequest,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        if !request.tried.is_empty() {
            return None;
        }
        let scope = self.zones.due_probation(now, request.class, request.is_idempotent)?;
        let slot = self.draw_in_zone(scope.zone, rng, |fleet, slot| fleet.is_allowed(now, slot, request))?;
        self.zones.record_probation(now, scope);
        Some(slot)
    }

    /// Draws a random open server of a zone from those that `is_eligible` accepts.
    pub(crate) fn draw_in_zone(
        &self,
        zone: ZoneId,
        rng: &mut fastrand::Rng,
        is_eligible: impl Fn(&Self, usize) -> bool,
    ) -> Option<usize> {
        let open = self.endpoints.open_by_zone().members(zone).iter().copied();
        let eligible: Vec<usize> = open.filter(|slot| is_eligible(self, *slot)).collect();
        eligible.get(rng.usize(0..eligible.len().max(1))).copied()
    }

    /// Records that a server is sent an attempt with this work. Returns whether it is a probation request.
    pub(crate) fn record_send(&mut self, now: Time, slot: usize, work: f64, is_uploading: bool) -> bool {
        let reuses_connection =
            self.server(slot).connections.has_reusable_connection(now, self.settings.keepalive);
        let factor = self.slow_start_factor(now, self.server(slot));
        let open_servers = self.endpoints.open().len();
        let server = self.endpoints.server_mut(slot);
        server.connections.record_send(is_uploading, reuses_connection);
        server.report.record_send();
        self.slow_start.record_send(now, &mut server.slow_start, factor, open_servers, work);
        self.slow_start.index(slot, &server.slow_start, server.endpoint.started, server.is_open);
        server.health.record_send()
    }

    /// Records the end of an attempt in the zone of its server.
    pub(crate) fn record_zone_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let server = self.endpoints.server(attempt.server);
        let outcome = ZoneOutcome {
            class: attempt.class,
            outcome: end.outcome,
            elapsed: end.elapsed,
            is_in_time: end.elapsed <= self.settings.classes[attempt.class].latency_objective,
            usual_ms: self.latencies.usual_ms(attempt.class) * server.latency.slowdown(),
            is_warming_up: self.slow_start_factor(end.now, server) < 1.0,
        };
        let attempt = server.zone_attempt(attempt.sent_at);
        let mut context = ZoneContext {
            now: end.now,
            is_sparse: self.endpoints.is_sparse(),
            latencies: &self.latencies,
            open_servers: self.endpoints.open_by_zone(),
            rng,
        };
        self.zones.record_outcome(&mut context, attempt, outcome, actions)
    }

    /// Records in the zone of a server that an attempt there is overdue.
    pub(crate) fn record_zone_unanswered(
        &mut self,
        now: Time,
        slot: usize,
        sent_at: Time,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) -> ZoneChange {
        let attempt = self.server(slot).zone_attempt(sent_at);
        let mut context = ZoneContext {
            now,
            is_sparse: self.endpoints.is_sparse(),
            latencies: &self.latencies,
            open_servers: self.endpoints.open_by_zone(),
            rng,
        };
        let change = self.zones.record_unanswered(&mut context, attempt, actions);
        change.unwrap_or(ZoneChange::None)
    }

    /// Updates the latency, the concurrency limit and the failures of a server after an attempt has ended, and with
    /// them the admission level. Returns the reason if the server is an outlier.
    pub(crate) fn record_server_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
        in_flight: usize,
    ) -> Option<OutlierReason> {
        let AttemptEnd { now, outcome, elapsed } = end;
        let latency_objective = self.settings.classes[attempt.class].latency_objective;
        let is_sparse = self.is_sparse();
        let latency = latency_fraction(outcome, elapsed, latency_objective);
        let is_weak_evidence = is_sparse && outcome == Outcome::Rejected && !attempt.is_retry;
        if latency > 0.0 && !attempt.is_excluded_from_level && !is_weak_evidence {
            self.admission_level.record(latency, in_flight, is_sparse);
        }
        let server = self.endpoints.server_mut(attempt.server);
        let idle_latency = self.latencies.idle(attempt.class, &server.latency);
        let is_responsive = now.since(server.health.last_response_at()) < latency_objective;
        let has_other_requests = server.connections.fully_received() > 0;
        if outcome == Outcome::ConnectFailed && is_sparse && has_other_requests && is_responsive {
            // It responds on other connections, so it is full rather than down or unreachable.
            server.limit.pause(now, latency_objective);
        } else {
            server.health.record_outcome(now, outcome, latency < LATE_LATENCY);
        }
        if outcome == Outcome::Success {
            self.latencies.record_success(attempt.class, &mut server.latency, latency);
        }
        if latency > 0.0 {
            self.latencies.record_latency(server.endpoint.kind, &mut server.latency, latency);
            let sample = LimitSample {
                now,
                sent_at: attempt.sent_at,
                outcome,
                elapsed,
                latency_objective,
                latency,
                smoothed_latency: server.latency.smoothed(),
                idle_latency,
                usual_latency: self.latencies.usual(attempt.class),
                at_work: server.connections.fully_received(),
            };
            server.limit.record(&sample, concurrency::min_limit(&self.settings));
        }
        if attempt.is_probation {
            self.end_probation(now, attempt.server, outcome, latency);
            return None;
        }
        self.detect_outlier(attempt.server, outcome, latency)
    }

    /// Records the result of a probation request. If the server passed, its earlier latency samples are discarded.
    fn end_probation(&mut self, now: Time, slot: usize, outcome: Outcome, latency: f64) {
        let server = self.endpoints.server_mut(slot);
        let result = match outcome {
            Outcome::NotSent => ProbationResult::NotSent,
            Outcome::Success if self.latencies.is_good_probation(latency) => ProbationResult::Passed,
            _ => ProbationResult::Failed,
        };
        server.health.record_probation(now, result);
        if result == ProbationResult::Passed {
            server.latency = ServerLatency::after_probation(latency);
        }
    }

    /// Whether a server is an outlier after an attempt there has ended, and for which reason.
    fn detect_outlier(&mut self, slot: usize, outcome: Outcome, latency: f64) -> Option<OutlierReason> {
        let is_sparse = self.is_sparse();
        let server = self.endpoints.server(slot);
        let is_slow = self.latencies.is_slow(&server.latency);
        let is_late = is_sparse && latency >= LATE_LATENCY && outcome != Outcome::Rejected;
        let is_failure = outcome.is_failure();
        let failure_evidence = (is_failure || latency > 0.0).then_some(is_failure);
        let is_failing = self.outliers.has_failed_too_often(&server.health, failure_evidence, is_sparse);
        match (is_slow, is_failing || is_late) {
            (true, _) => Some(OutlierReason::Slow),
            (false, true) => Some(OutlierReason::Failing),
            (false, false) => None,
        }
    }

    /// Records that a response was aborted after it had begun as a success. Returns whether its server is an outlier.
    pub(crate) fn record_aborted_response(&mut self, slot: usize) -> bool {
        let is_sparse = self.is_sparse();
        let health = &mut self.endpoints.server_mut(slot).health;
        health.record_aborted_response();
        self.outliers.has_failed_too_often(health, Some(true), is_sparse)
    }

    /// Ejects an outlier, unless it is ejected already or too many servers are; with sparse traffic, marks it as
    /// suspected instead. Returns whether it was ejected or marked.
    pub(crate) fn handle_outlier(
        &mut self,
        now: Time,
        slot: usize,
        reason: OutlierReason,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_sparse = self.is_sparse();
        let open_servers = self.endpoints.open().len();
        let server = self.endpoints.server_mut(slot);
        let id = server.endpoint.server;
        if is_sparse {
            self.outliers.suspect(now, id, &mut server.health, rng, actions);
            return true;
        }
        if !self.outliers.eject(now, &mut server.health, open_servers) {
            return false;
        }
        let (latency, median) = (server.latency.smoothed(), self.latencies.median());
        let text = format!(
            "server {} is ejected: {reason}; latency {latency:.2} of the objective, median {median:.2}",
            id.0
        );
        actions.push(Action::Log { server: Some(id), zone: None, text });
        self.reindex(slot);
        true
    }

    /// Ends ejection and suspicion for all servers of a zone, as the zone and not its servers caused the failures.
    pub(crate) fn clear_outliers(&mut self, now: Time, zone: ZoneId) {
        self.change_zone(zone, |server| server.health.clear(now));
    }

    /// Applies entries of the endpoint list. If the list is `complete`, servers that are not in it are removed.
    pub(crate) fn update_endpoints(&mut self, now: Time, entries: Vec<Endpoint>, complete: bool) {
        for slot in self.endpoints.update(now, entries, complete) {
            self.reindex(slot);
            self.endpoints.schedule_removal(now, slot);
        }
        let endpoints = &self.endpoints;
        self.zones.retain(|zone| endpoints.has_listed_in(zone));
    }

    /// Applies `change` to each server of a zone and reindexes it.
    pub(crate) fn change_zone(&mut self, zone: ZoneId, mut change: impl FnMut(&mut Server)) {
        for slot in self.endpoints.in_zone(zone).to_vec() {
            change(self.endpoints.server_mut(slot));
            self.reindex(slot);
        }
    }

    /// May schedule a first try of a server that operators have restored; only a few of all balancers make one.
    pub(crate) fn schedule_first_try(&mut self, slot: usize, at: Time, rng: &mut fastrand::Rng) {
        self.slow_start.schedule_first_try(&mut self.endpoints.server_mut(slot).slow_start, at, rng);
        self.reindex(slot);
    }

    /// Updates all indexes after a server has changed, or operators have held it back or restored it.
    pub(crate) fn reindex(&mut self, slot: usize) {
        self.endpoints.reindex(slot);
        let server = self.endpoints.server(slot);
        self.slow_start.index(slot, &server.slow_start, server.endpoint.started, server.is_open);
        self.outliers.index(slot, &server.health, server.is_open);
        self.latencies.mark_changed(slot);
    }

    /// Updates the median latency over the serving servers.
    pub(crate) fn update_median_latency(&mut self) {
        let endpoints = &self.endpoints;
        self.latencies.update_median(|slot| endpoints.server(slot).latency_for_median());
    }
}

/// The latency of an outcome as a fraction of the latency objective, at most [`LATE_LATENCY`]. Zero if the outcome says
/// nothing about latency.
fn latency_fraction(outcome: Outcome, elapsed: Span, latency_objective: Span) -> f64 {
    match outcome {
        Outcome::Success => (elapsed.as_ms() / latency_objective.as_ms()).min(LATE_LATENCY),
        // Cancelling does not stop the work: it may still be in the server's queue.
        Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => LATE_LATENCY,
        _ => 0.0,
    }
}
