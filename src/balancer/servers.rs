//! The balancer's handling of servers: ends of attempts, outliers, zones, endpoint updates and operator commands.

use super::Balancer;
use crate::fleet::AttemptEnd;
use crate::latency::LATE_LATENCY;
use crate::outliers::{decode_gossip, overdue_after, OutlierReason};
use crate::pending::{AttemptKey, InFlightAttempt};
use crate::zones::ZoneChange;
use crate::{Action, CallTimes, DiscoveryCallEvent, EndpointUpdate, Outcome, Report, ServerId, Time, ZoneId};
use std::collections::BTreeMap;

impl Balancer {
    /// Updates the state of the server and its zone, the latencies and the admission level after an attempt has ended.
    pub(super) fn record_attempt_end(
        &mut self,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
        report: Option<&Report>,
        actions: &mut Vec<Action>,
    ) {
        let (now, slot) = (end.now, attempt.server);
        let server = self.fleet.endpoints.server_mut(slot);
        server.connections.record_end(now, attempt.is_uploading, end.outcome);
        if let Some(report) = report {
            self.fleet.load_reports.record(now, &mut server.report, report);
        }
        let change = self.fleet.record_zone_outcome(attempt, end, &mut self.rng, actions);
        self.apply_zone_change(now, change, actions);
        let in_flight = self.pending.in_flight_count();
        if let Some(reason) = self.fleet.record_server_outcome(attempt, end, in_flight) {
            self.handle_outlier(now, slot, reason, actions);
        }
        self.fleet.latencies.mark_changed(slot);
        if attempt.is_probation {
            self.fleet.reindex(slot);
        }
    }

    /// With sparse traffic, closes the idle connections to a server that is unlikely to be selected again soon. Random
    /// draws cover the whole fleet, so the number of kept connections would grow to balancers times servers and fill
    /// the servers' connection tables. If new connections are free, only those to remembered servers are kept. If they
    /// have a price, all are kept: the selection then prefers few servers, and the other connections reach their idle
    /// timeout.
    pub(super) fn close_idle_connections(&self, slot: usize, actions: &mut Vec<Action>) {
        let server = self.fleet.server(slot);
        let is_kept = self.selection.keeps_connections(&self.fleet) || self.selection.is_remembered(slot);
        if server.connections.in_flight() == 0 && self.fleet.is_sparse() && !is_kept {
            actions.push(Action::CloseIdleConnections { server: server.endpoint.server });
        }
    }

    /// Ejects an outlier, or marks it as suspected with sparse traffic, and removes it from the remembered servers.
    fn handle_outlier(&mut self, now: Time, slot: usize, reason: OutlierReason, actions: &mut Vec<Action>) {
        if self.fleet.handle_outlier(now, slot, reason, &mut self.rng, actions) {
            self.selection.retain(|remembered| remembered != slot);
        }
    }

    pub(super) fn handle_aborted_response(&mut self, now: Time, server: ServerId, actions: &mut Vec<Action>) {
        let Some(slot) = self.fleet.endpoints.slot(server) else { return };
        if self.fleet.record_aborted_response(slot) {
            self.handle_outlier(now, slot, OutlierReason::Failing, actions);
        }
    }

    pub(super) fn handle_health_check(
        &mut self,
        now: Time,
        server: ServerId,
        outcome: Outcome,
        report: Option<&Report>,
        actions: &mut Vec<Action>,
    ) {
        let Some(slot) = self.fleet.endpoints.slot(server) else { return };
        let is_success = outcome == Outcome::Success;
        let server = self.fleet.endpoints.server_mut(slot);
        self.fleet.zones.record_health_check(now, server.endpoint.zone, is_success);
        if let Some(report) = report {
            self.fleet.load_reports.record(now, &mut server.report, report);
        } else if !is_success && outcome != Outcome::NotSent {
            self.handle_outlier(now, slot, OutlierReason::FailsHealthChecks, actions);
        }
        self.finish_load_queries(now, actions);
    }

    /// Handles a gossip message: another balancer has found a server to be an outlier.
    pub(super) fn handle_gossip(&mut self, now: Time, payload: &[u8]) {
        let server = decode_gossip(payload).and_then(|server| self.fleet.endpoints.slot(server));
        if let Some(slot) = server {
            self.fleet.endpoints.server_mut(slot).health.record_gossip(now);
            let fleet = &self.fleet;
            self.selection.retain(|slot| !fleet.server(slot).health.is_suspected(now));
        }
    }

    /// Handles unresponsive servers: those that have an overdue attempt and have not responded since it was sent. The
    /// overdue attempts that may be retried, and whose requests can still be answered in time, are cancelled and
    /// retried elsewhere.
    pub(super) fn handle_unresponsive(&mut self, now: Time, actions: &mut Vec<Action>) {
        let overdue = self.overdue_attempts(now);
        self.record_late_attempts(now);
        for &(key, slot, sent_at) in &overdue {
            self.handle_outlier(now, slot, OutlierReason::Unresponsive, actions);
            let change = self.fleet.record_zone_unanswered(now, slot, sent_at, &mut self.rng, actions);
            self.apply_zone_change(now, change, actions);
            if self.pending.attempt_mut(key).is_some_and(|attempt| !attempt.is_cancelled) {
                self.cancel_to_retry(now, key, false, actions);
            }
        }
    }

    /// The overdue attempts at servers that have not responded since these were sent, each with its slot and send time.
    fn overdue_attempts(&self, now: Time) -> Vec<(AttemptKey, usize, Time)> {
        let is_overdue = |key: AttemptKey, attempt: &InFlightAttempt| {
            let server = self.fleet.server(attempt.server);
            let latency_objective = self.settings.classes[attempt.class].latency_objective;
            let work = self.pending.get(key.request).map_or(0.0, |p| self.expected_work(&p.request));
            let usual_latency = self.fleet.latencies.usual(attempt.class).max(self.fleet.latencies.median());
            let expected_latency = usual_latency.max(work / latency_objective.as_ms());
            let timeout = overdue_after(latency_objective, expected_latency, server.connections.in_flight());
            server.health.last_response_at() < attempt.sent_at
                && !attempt.is_uploading
                && !attempt.is_cancelled
                && now.since(attempt.sent_at) > timeout
        };
        let overdue = self.pending.attempts().filter(|(key, attempt)| is_overdue(*key, attempt));
        overdue.map(|(key, attempt)| (key, attempt.server, attempt.sent_at)).collect()
    }

    /// With sparse traffic, records an attempt as late in the admission level as soon as it misses its latency
    /// objective. Waiting for the response would let an overload grow.
    fn record_late_attempts(&mut self, now: Time) {
        if !self.fleet.is_sparse() {
            return;
        }
        let classes = &self.settings.classes;
        let late = self.pending.mark_late(|attempt| {
            !attempt.is_uploading && now.since(attempt.sent_at) > classes[attempt.class].latency_objective
        });
        for _ in 0..late {
            self.fleet.admission_level.record(LATE_LATENCY, self.pending.in_flight_count(), true);
        }
    }

    fn apply_zone_change(&mut self, now: Time, change: ZoneChange, actions: &mut Vec<Action>) {
        match change {
            ZoneChange::None => {}
            ZoneChange::Changed(zone) => self.fleet.clear_outliers(now, zone),
            ZoneChange::Unresponsive(zone) => {
                self.fleet.clear_outliers(now, zone);
                self.cancel_in_zone(now, zone, actions);
            }
        }
    }

    /// Cancels the attempts in an unresponsive zone whose requests may be retried elsewhere. These retries take nothing
    /// from the retry budget, as no server is working on the cancelled attempts. Whether they can be cancelled or not,
    /// the attempts in the zone are excluded from the admission level, as they show nothing about the load of the other
    /// servers.
    fn cancel_in_zone(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        let is_in_zone = |attempt: &InFlightAttempt| {
            !attempt.is_cancelled && self.fleet.server(attempt.server).endpoint.zone == zone
        };
        let attempts = self.pending.attempts().filter(|(_, attempt)| is_in_zone(attempt));
        let keys: Vec<AttemptKey> = attempts.map(|(key, _)| key).collect();
        for key in keys {
            self.retry_budget.grant();
            if !self.cancel_to_retry(now, key, true, actions) {
                self.retry_budget.spend();
            }
            if let Some(attempt) = self.pending.attempt_mut(key) {
                attempt.is_excluded_from_level = true;
            }
        }
    }

    /// Sends health checks to the zones that are due for one.
    pub(super) fn check_zones(&mut self, now: Time, actions: &mut Vec<Action>) {
        for zone in self.fleet.zones.due_health_checks(now) {
            let Some(slot) = self.fleet.draw_in_zone(zone, &mut self.rng, |_, _| true) else { continue };
            self.fleet.zones.record_health_check_sent(now, zone);
            actions.push(Action::HealthCheck { server: self.fleet.server(slot).endpoint.server });
        }
    }

    pub(super) fn update_endpoints(&mut self, now: Time, update: EndpointUpdate, actions: &mut Vec<Action>) {
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
        self.fleet.update_endpoints(now, entries, complete);
        self.update_open_servers(now, actions);
    }

    pub(super) fn handle_discovery_call(
        &mut self,
        now: Time,
        event: DiscoveryCallEvent,
        actions: &mut Vec<Action>,
    ) {
        match event {
            DiscoveryCallEvent::Overdue => self.polling.record_overdue(now, &mut self.rng),
            DiscoveryCallEvent::Answered { lateness } => self.polling.record_answer(lateness),
            DiscoveryCallEvent::AddressChanged => {
                self.polling.change_address();
                actions.push(Action::Watch { active: true });
            }
        }
    }

    /// The times of a call to discovery that begins now.
    pub fn call_times(&self) -> CallTimes {
        self.polling.call_times()
    }

    /// Which of the open calls to discovery has to be abandoned before another one is opened, as an index into `begun`: the
    /// times at which they have begun, the oldest first.
    pub fn call_to_abandon(&mut self, now: Time, begun: &[Time]) -> Option<usize> {
        self.polling.call_to_abandon(now, begun)
    }

    /// Updates the selection and the totals after the set of open servers has changed, and dispatches queued requests.
    /// The changed servers must have been reindexed before.
    fn update_open_servers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let fleet = &self.fleet;
        self.selection.retain(|slot| fleet.server(slot).is_open);
        self.apply_due_changes(now);
        self.fleet.endpoints.update_totals();
        self.dispatch_queued(now, actions);
    }

    /// Applies changes that depend on time alone: frees the slots of servers removed long enough ago, and ends the slow
    /// start of servers that have warmed up.
    pub(super) fn apply_due_changes(&mut self, now: Time) {
        let load_queries = &self.load_queries;
        self.fleet.endpoints.free_slots(now, |slot| load_queries.has_candidate(slot));
        self.fleet.slow_start.remove_warmed_up(now);
    }

    pub(super) fn set_regions(
        &mut self,
        now: Time,
        regions: BTreeMap<ZoneId, u32>,
        actions: &mut Vec<Action>,
    ) {
        for zone in self.fleet.endpoints.set_regions(regions) {
            self.fleet.change_zone(zone, |_| {});
        }
        self.update_open_servers(now, actions);
    }

    pub(super) fn cordon(&mut self, now: Time, server: ServerId, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.cordon(server) {
            return;
        }
        actions.push(Action::CloseIdleConnections { server });
        if let Some(slot) = self.fleet.endpoints.slot(server) {
            self.fleet.reindex(slot);
        }
        self.update_open_servers(now, actions);
    }

    /// Lifts a cordon. The server was restarted meanwhile, so its state is reset and its idle connections are closed.
    /// Its slow start begins at `at`, or at its start time in the endpoint list if that is later.
    pub(super) fn uncordon(&mut self, now: Time, server: ServerId, at: Time, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.uncordon(server) {
            return;
        }
        let Some(slot) = self.fleet.endpoints.slot(server) else { return };
        let restarted = self.fleet.endpoints.server_mut(slot);
        restarted.restart(restarted.endpoint.clone(), now);
        restarted.slow_start.restore(at);
        self.fleet.schedule_first_try(slot, at, &mut self.rng);
        actions.push(Action::CloseIdleConnections { server });
        self.update_open_servers(now, actions);
    }

    pub(super) fn evacuate_zone(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.evacuate(zone) {
            return;
        }
        self.fleet.change_zone(zone, |server| {
            actions.push(Action::CloseIdleConnections { server: server.endpoint.server });
        });
        self.update_open_servers(now, actions);
    }

    /// Ends the evacuation of a zone. Its servers keep their recorded state, but begin a slow start, since all
    /// balancers return at the same time.
    pub(super) fn restore_zone(&mut self, now: Time, zone: ZoneId, at: Time, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.restore_zone(zone) {
            return;
        }
        self.fleet.change_zone(zone, |server| server.slow_start.restore(at));
        for slot in self.fleet.endpoints.in_zone(zone).to_vec() {
            self.fleet.schedule_first_try(slot, at, &mut self.rng);
        }
        self.update_open_servers(now, actions);
    }
}
