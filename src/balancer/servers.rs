//! What the balancer does about its servers: learning from attempts, outliers, zones, and changes of the endpoint list.

use super::Balancer;
use crate::fleet::AttemptEnd;
use crate::latency::LATE;
use crate::outliers::{decode_gossip, overdue_after, OutlierReason};
use crate::pending::{AttemptKey, InFlightAttempt};
use crate::zones::ZoneChange;
use crate::{Action, EndpointUpdate, Outcome, Report, ServerId, Time, ZoneId};
use std::collections::BTreeMap;

impl Balancer {
    /// Lets all parts learn from the end of an attempt.
    pub(super) fn learn(
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
        self.follow_zone_change(now, change, actions);
        let in_flight = self.pending.in_flight_count();
        if let Some(reason) = self.fleet.record_server_outcome(attempt, end, in_flight) {
            self.handle_outlier(now, slot, reason, actions);
        }
        self.fleet.latencies.mark_changed(slot);
        if attempt.is_probation {
            self.fleet.reindex(slot);
        }
    }

    /// Closes the idle connections to a server that will hardly be met again soon. Fresh draws range over the whole
    /// fleet, so kept connections would grow to balancers times servers and fill the servers' tables. With sparse traffic
    /// only the remembered servers' connections are kept where a new connection costs nothing; where it has a price, the
    /// selection prefers few servers, and the others' connections close when they have been idle for long enough.
    pub(super) fn close_idle_connections(&self, slot: usize, actions: &mut Vec<Action>) {
        let server = self.fleet.server(slot);
        let is_kept = self.selection.keeps_connections(&self.fleet) || self.selection.is_remembered(slot);
        if server.connections.in_flight() == 0 && self.fleet.is_sparse() && !is_kept {
            actions.push(Action::CloseIdleConnections { server: server.endpoint.server });
        }
    }

    /// Ejects or suspects an outlier, and forgets it in selections.
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

    /// Takes in a message from another balancer.
    pub(super) fn handle_gossip(&mut self, now: Time, payload: &[u8]) {
        let server = decode_gossip(payload).and_then(|server| self.fleet.endpoints.slot(server));
        if let Some(slot) = server {
            self.fleet.endpoints.server_mut(slot).health.record_gossip(now);
            let fleet = &self.fleet;
            self.selection.retain(|slot| !fleet.server(slot).health.is_suspected(now));
        }
    }

    /// A server is unresponsive if an attempt there is overdue and no response has arrived since it was sent. What
    /// may be retried and can still be answered in time is cancelled there and sent elsewhere.
    pub(super) fn handle_unresponsive(&mut self, now: Time, actions: &mut Vec<Action>) {
        let overdue = self.overdue_attempts(now);
        self.settle_late_attempts(now);
        for &(key, slot, sent_at) in &overdue {
            self.handle_outlier(now, slot, OutlierReason::Unresponsive, actions);
            let change = self.fleet.record_zone_unanswered(now, slot, sent_at, &mut self.rng, actions);
            self.follow_zone_change(now, change, actions);
            if self.pending.attempt_mut(key).is_some_and(|attempt| !attempt.is_cancelled) {
                self.cancel_to_retry(now, key, false, actions);
            }
        }
    }

    /// The overdue attempts at servers that have not responded since, with their servers and when they were sent.
    fn overdue_attempts(&self, now: Time) -> Vec<(AttemptKey, usize, Time)> {
        let is_overdue = |key: AttemptKey, attempt: &InFlightAttempt| {
            let server = self.fleet.server(attempt.server);
            let latency_objective = self.settings.classes[attempt.class].latency_objective;
            let work = self.pending.get(key.request).map_or(0.0, |p| self.expected_work(&p.request));
            let usual = self.fleet.latencies.usual(attempt.class).max(self.fleet.latencies.median());
            let expected = usual.max(work / latency_objective.as_ms());
            let limit = overdue_after(latency_objective, expected, server.connections.in_flight());
            server.health.last_response_at() < attempt.sent_at
                && !attempt.is_uploading
                && !attempt.is_cancelled
                && now.since(attempt.sent_at) > limit
        };
        let overdue = self.pending.attempts().filter(|(key, attempt)| is_overdue(*key, attempt));
        overdue.map(|(key, attempt)| (key, attempt.server, attempt.sent_at)).collect()
    }

    /// With sparse traffic a late response is known to be late before it comes; waiting for it would let an overload grow.
    fn settle_late_attempts(&mut self, now: Time) {
        if !self.fleet.is_sparse() {
            return;
        }
        let classes = &self.settings.classes;
        let late = self.pending.settle_late(|attempt| {
            !attempt.is_uploading && now.since(attempt.sent_at) > classes[attempt.class].latency_objective
        });
        for _ in 0..late {
            self.fleet.admission_level.record(LATE, self.pending.in_flight_count(), true);
        }
    }

    fn follow_zone_change(&mut self, now: Time, change: ZoneChange, actions: &mut Vec<Action>) {
        match change {
            ZoneChange::None => {}
            ZoneChange::Changed(zone) => self.fleet.clear_outliers(now, zone),
            ZoneChange::Unresponsive(zone) => {
                self.fleet.clear_outliers(now, zone);
                self.cancel_in_zone(now, zone, actions);
            }
        }
    }

    /// Cancels what is in flight in a zone that does not respond and may be sent elsewhere. That needs no retry budget,
    /// as no server works on it. Nor do these attempts say anything of the other servers, whose admission level they
    /// must not lower.
    fn cancel_in_zone(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        let is_there = |attempt: &InFlightAttempt| {
            !attempt.is_cancelled && self.fleet.server(attempt.server).endpoint.zone == zone
        };
        let attempts = self.pending.attempts().filter(|(_, attempt)| is_there(attempt));
        let keys: Vec<AttemptKey> = attempts.map(|(key, _)| key).collect();
        for key in keys {
            self.retry_budget.grant();
            if !self.cancel_to_retry(now, key, true, actions) {
                self.retry_budget.spend();
            }
            if let Some(attempt) = self.pending.attempt_mut(key) {
                attempt.is_level_settled = true;
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
        self.follow_open_servers(now, actions);
    }

    /// Follows a change of which servers are open, once the servers concerned have been indexed.
    fn follow_open_servers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let fleet = &self.fleet;
        self.selection.retain(|slot| fleet.server(slot).is_open);
        self.apply_due_changes(now);
        self.fleet.endpoints.update_totals();
        self.dispatch_queued(now, actions);
    }

    /// Applies what time has changed: which servers have warmed up, and which were removed long enough ago.
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
        self.follow_open_servers(now, actions);
    }

    pub(super) fn cordon(&mut self, now: Time, server: ServerId, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.cordon(server) {
            return;
        }
        actions.push(Action::CloseIdleConnections { server });
        if let Some(slot) = self.fleet.endpoints.slot(server) {
            self.fleet.reindex(slot);
        }
        self.follow_open_servers(now, actions);
    }

    /// An uncordoned server has been restarted: what was learned of it says nothing and its connections are closed. It is
    /// warming up from when it was uncordoned, or from a later start that the endpoint list has.
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
        self.follow_open_servers(now, actions);
    }

    pub(super) fn evacuate_zone(&mut self, now: Time, zone: ZoneId, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.evacuate(zone) {
            return;
        }
        self.fleet.change_zone(zone, |server| {
            actions.push(Action::CloseIdleConnections { server: server.endpoint.server });
        });
        self.follow_open_servers(now, actions);
    }

    /// What was learned of a zone's servers stands when it is restored; but all balancers return in the same moment.
    pub(super) fn restore_zone(&mut self, now: Time, zone: ZoneId, at: Time, actions: &mut Vec<Action>) {
        if !self.fleet.endpoints.restore_zone(zone) {
            return;
        }
        self.fleet.change_zone(zone, |server| server.slow_start.restore(at));
        for slot in self.fleet.endpoints.in_zone(zone).to_vec() {
            self.fleet.schedule_first_try(slot, at, &mut self.rng);
        }
        self.follow_open_servers(now, actions);
    }
}
