//! Dispatch: selects a server for a request, queries the candidates for their load where needed, and sends the attempt.

use super::{Balancer, LOAD_QUERY_TIMER};
use crate::admission::TimeLimits;
use crate::pending::{AttemptKey, InFlightAttempt, PendingRequest};
use crate::retries::RetryScope;
use crate::selection::{LoadQuery, SelectionRequest};
use crate::{Action, Idempotency, Request, RequestId, ServerId, Span, Time};

/// The timeout of a load query, as a fraction of the latency objective.
const LOAD_QUERY_TIMEOUT_FRACTION: f64 = 0.05;
/// The range of a request's work relative to the usual work of its class. The square root of this ratio weights the
/// slowdown of a server.
const RELATIVE_WORK_RANGE: (f64, f64) = (1.0, 9.0);

impl Balancer {
    /// Sends a request to the candidate with the lowest load, or first queries the candidates for their load. Returns
    /// false if there is no candidate.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.pending.get(id) else { return true };
        let request = self.selection_request(now, pending);
        if request.scope == RetryScope::Nowhere {
            return false;
        }
        let candidates = self.candidates(now, &request);
        if self.selection.queries_load(&self.fleet) && !candidates.is_empty() {
            self.query_load(now, id, candidates, actions);
            return true;
        }
        self.send_to_lightest(now, &request, &candidates, actions)
    }

    /// Collects the properties of a request that the selection depends on.
    fn selection_request(&self, now: Time, pending: &PendingRequest) -> SelectionRequest {
        let class = pending.request.class.0;
        let key = pending.request.affinity_key.filter(|_| self.settings.key_affinity);
        let slot = |server: ServerId| self.fleet.endpoints.slot(server);
        let expected_work = self.expected_work(&pending.request);
        let mean_work = self.mean_work(class);
        let relative_work = expected_work / self.fleet.latencies.usual_ms(class);
        SelectionRequest {
            id: pending.request.id,
            class,
            scope: self.permitted_actions(now, pending).send,
            work: pending.request.cost_hint.map_or(mean_work, Span::as_ms),
            mean_work,
            slowdown_weight: relative_work.clamp(RELATIVE_WORK_RANGE.0, RELATIVE_WORK_RANGE.1).sqrt(),
            is_idempotent: self.settings.classes[class].idempotency == Idempotency::Idempotent,
            key,
            affinity_server: key.and_then(|key| self.selection.affinity_server(key)).and_then(slot),
            tried: pending.history.servers().filter_map(slot).collect(),
        }
    }

    /// The expected work of a request in milliseconds: its cost hint, or the usual latency of its class without one.
    pub(super) fn expected_work(&self, request: &Request) -> f64 {
        let usual_ms = || self.fleet.latencies.usual_ms(request.class.0);
        request.cost_hint.map_or_else(usual_ms, Span::as_ms)
    }

    /// The mean work of a class's requests in milliseconds: the mean of their cost hints, or the usual latency of the
    /// class if it has none. Hints come first because latencies are on another scale, and slow start compares the work
    /// sent to servers that are warming up with the work sent to others.
    fn mean_work(&self, class: usize) -> f64 {
        let mean_hint = self.admission.mean_cost_hint_ms(class);
        mean_hint.unwrap_or_else(|| self.fleet.latencies.usual_ms(class))
    }

    /// The slots that the server is selected from: a single one if a restored server is due for a first try or a zone
    /// for a probation request, else random draws.
    fn candidates(&mut self, now: Time, request: &SelectionRequest) -> Vec<usize> {
        if let Some(slot) = self.fleet.due_first_try(now, request) {
            return vec![slot];
        }
        if let Some(slot) = self.fleet.zone_probation(now, request, &mut self.rng) {
            return vec![slot];
        }
        self.selection.candidates(now, &self.fleet, request, &mut self.rng)
    }

    /// Sends a request to the candidate with the lowest load. Returns false if none is suitable.
    fn send_to_lightest(
        &mut self,
        now: Time,
        request: &SelectionRequest,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> bool {
        let selected = self.selection.select(now, &self.fleet, candidates, request, &mut self.rng);
        if let Some(slot) = selected {
            self.send(now, request, slot, actions);
        }
        selected.is_some()
    }

    fn send(&mut self, now: Time, request: &SelectionRequest, slot: usize, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.get_mut(request.id) else { return };
        let is_uploading = pending.request.uploading;
        if is_uploading {
            // The host applies its own timeouts to the client while the body is being received.
            pending.limits = TimeLimits::NONE;
        }
        let endpoint = &self.fleet.server(slot).endpoint;
        let (server, timeout_at) = (endpoint.server, pending.limits.deadline);
        let attempt = pending.history.record_send(now, endpoint);
        let is_probation = self.fleet.record_send(now, slot, request.work, is_uploading);
        let in_flight = InFlightAttempt {
            server: slot,
            class: request.class,
            sent_at: now,
            is_probation,
            is_retry: attempt > 0,
            is_uploading,
            is_excluded_from_level: false,
            is_cancelled: false,
        };
        self.pending.start_attempt(AttemptKey { request: request.id, attempt }, in_flight);
        actions.push(Action::Send { request: request.id, server, timeout_at });
    }

    /// Sends health checks to the candidates to learn their load. The selection is made when all of them have reported,
    /// or after a timeout.
    fn query_load(
        &mut self,
        now: Time,
        id: RequestId,
        mut candidates: Vec<usize>,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.get(id) else { return };
        candidates.sort_unstable();
        candidates.dedup();
        let timeout = self.class(&pending.request).latency_objective * LOAD_QUERY_TIMEOUT_FRACTION;
        let until = (now + timeout).min(pending.limits.deadline);
        for &slot in &candidates {
            actions.push(Action::HealthCheck { server: self.fleet.server(slot).endpoint.server });
        }
        actions.push(Action::SetTimer { at: until, timer: LOAD_QUERY_TIMER });
        self.load_queries.push(LoadQuery { request: id, candidates, asked_at: now, until });
    }

    /// Sends the requests whose load queries are complete or have timed out. If any candidate has reported its load,
    /// those that have not are left out.
    pub(super) fn finish_load_queries(&mut self, now: Time, actions: &mut Vec<Action>) {
        for query in self.load_queries.take_done(now, &self.fleet.endpoints) {
            let Some(pending) = self.pending.get(query.request) else { continue };
            let request = self.selection_request(now, pending);
            let has_report = |slot: usize| query.has_report(&self.fleet.endpoints, slot);
            let has_any_report = query.candidates.iter().any(|&slot| has_report(slot));
            let is_eligible = |slot: &usize| {
                (!has_any_report || has_report(*slot)) && self.fleet.is_ready(now, *slot, &request)
            };
            let candidates: Vec<usize> = query.candidates.iter().copied().filter(is_eligible).collect();
            if !self.send_to_lightest(now, &request, &candidates, actions) {
                self.queue(now, query.request, actions);
            }
        }
    }
}
