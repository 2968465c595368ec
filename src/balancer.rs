//! The balancer: handles events, tracks each request until its final answer, and connects the other modules.
//!
//! A request passes through these functions: `handle_request` admits it or answers it at once; `dispatch` selects a
//! server, and if none is ready the request is queued; `handle_outcome` updates the state of the servers after an
//! attempt and decides whether to retry; `finish` emits the only final answer. `tick` periodically handles unresponsive
//! servers, the queue and the polling of the endpoint list.

mod dispatch;
mod servers;
mod views;

use crate::abandoned::AbandonedRequests;
use crate::admission::{
    has_queue_capacity, is_too_late, is_too_late_to_queue, retry_after, Admission, Assessment, TimeLimits,
};
use crate::endpoints::Polling;
use crate::fleet::{AttemptEnd, Fleet};
use crate::pending::{AttemptKey, Pending, PendingRequest};
use crate::retries::{AttemptHistory, PermittedActions, RetryBudget, RetryScope};
use crate::selection::{LoadQueries, Selection};
use crate::{
    Action, AttemptNo, Class, ClientRequestKey, Event, Idempotency, Report, Request, RequestId, Settings,
    SettingsError, Span, Time, TimerId,
};
use std::sync::Arc;

/// The interval between two ticks while requests are queued.
const TICK_INTERVAL_QUEUED: Span = Span(10_000);
/// The interval between two ticks while the queue is empty.
const TICK_INTERVAL_IDLE: Span = Span(50_000);
const TICK_TIMER: TimerId = TimerId(0);
const LOAD_QUERY_TIMER: TimerId = TimerId(1);

/// Decides for one client process to which server each request is sent, when, and how often it is retried.
pub struct Balancer {
    settings: Arc<Settings>,
    rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    pub(crate) pending: Pending,
    abandoned: AbandonedRequests,
    admission: Admission,
    retry_budget: RetryBudget,
    pub(crate) selection: Selection,
    load_queries: LoadQueries,
    polling: Polling,
    next_tick: Time,
}

impl Balancer {
    /// Creates a balancer, or fails if the settings are invalid. The same seed and events always give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(Arc::clone(&settings)),
            pending: Pending::default(),
            abandoned: AbandonedRequests::default(),
            admission: Admission::new(&settings),
            retry_budget: RetryBudget::new(),
            selection: Selection::new(Arc::clone(&settings)),
            load_queries: LoadQueries::default(),
            polling: Polling::new(&settings),
            next_tick: Time(0),
            settings,
        })
    }

    /// Starts polling the endpoint list, if the settings have it polled, and sets the first timer. Must be called once,
    /// before the first event.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.polling.start(now, &mut self.rng) {
            actions.push(Action::Watch { active: true });
        }
        self.set_tick(now, TICK_INTERVAL_IDLE, actions);
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::FirstByte { request, attempt } => {
                if let Some(pending) = self.pending.get_mut(request) {
                    pending.history.record_first_byte(attempt);
                }
            }
            Event::Outcome { request, attempt, outcome, elapsed, report, request_finished } => {
                let key = AttemptKey { request, attempt: attempt.0 };
                let end = AttemptEnd { now, outcome, elapsed };
                self.handle_outcome(key, end, report.as_deref(), request_finished, actions);
            }
            Event::AnswerDue { request, may_have_executed } => {
                self.answer_now(now, request, may_have_executed, actions);
            }
            Event::BodyComplete { request, time_left } => self.complete_upload(now, request, time_left),
            Event::UploadTimeLeft { request, time_left } => {
                if let Some(pending) = self.pending.get_mut(request) {
                    pending.request.time_left = time_left;
                }
            }
            Event::BodyConsumed { request } => {
                if let Some(pending) = self.pending.get_mut(request) {
                    pending.history.record_body_consumed();
                }
            }
            Event::ResponseAborted { server } => self.handle_aborted_response(now, server, actions),
            Event::AttemptsUnwritten { request } => {
                if let Some(pending) = self.pending.get_mut(request) {
                    pending.history.record_unwritten();
                }
            }
            Event::ClientDisconnected { request } => self.abandon(now, request),
            Event::Timer(TICK_TIMER) => self.tick(now, actions),
            Event::Timer(LOAD_QUERY_TIMER) => self.finish_load_queries(now, actions),
            Event::Timer(_) => {}
            Event::Gossip { payload, .. } => self.handle_gossip(now, &payload),
            Event::HealthChecked { server, outcome, report, .. } => {
                self.handle_health_check(now, server, outcome, report.as_deref(), actions);
            }
            Event::Endpoints(update) => self.update_endpoints(now, update, actions),
            Event::OtherProcess(event) => self.abandoned.record_other_process(now, event),
            Event::DiscoveryCall(call) => self.handle_discovery_call(now, call, actions),
            Event::Regions(regions) => self.set_regions(now, regions, actions),
            Event::Restore(snapshot) => self.fleet.restore(now, snapshot),
            Event::Cordon { server } => self.cordon(now, server, actions),
            Event::Uncordon { server, at } => self.uncordon(now, server, at, actions),
            Event::EvacuateZone { zone } => self.evacuate_zone(now, zone, actions),
            Event::RestoreZone { zone, at } => self.restore_zone(now, zone, at, actions),
        }
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class.0]
    }

    fn handle_request(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if request.class.0 >= self.settings.classes.len() {
            actions.push(Action::Reject { request: id, retry_after: None });
            return;
        }
        if self.pending.get(id).is_some() {
            return;
        }
        if self.pending.has_attempt_in_flight(id) {
            // An earlier request of the same identifier still has an attempt in flight. Its outcome could not be
            // distinguished from that of an attempt of this request.
            actions.push(Action::Reject { request: id, retry_after: None });
            return;
        }
        if self.is_repetition(now, &request) {
            actions.push(Action::Fail { request: id });
            return;
        }
        let Assessment { limits, is_over_share } =
            self.admission.assess(now, &request, &self.settings, &mut self.rng);
        let pending = PendingRequest { request, limits, is_over_share, history: AttemptHistory::default() };
        let is_unservable = self.is_unservable(now, &pending);
        self.pending.insert(pending);
        let (level, is_sparse) = (self.fleet.admission_level.value(), self.fleet.is_sparse());
        self.fleet.outliers.record_request();
        self.retry_budget.earn(level, is_sparse);
        // With sparse traffic concurrency limits are not enforced. Instead a random fraction of the requests, the
        // admission level, is admitted.
        if is_unservable || (is_sparse && self.rng.f64() >= level) {
            self.finish(now, id, actions);
        } else {
            self.dispatch_or_queue(now, id, actions);
        }
    }

    /// Ends a request whose client has left. If a server may have executed it, it must not be executed again. An attempt in
    /// flight counts as executed unless it is known to be unwritten, as its outcome may come after the request does.
    fn abandon(&mut self, now: Time, id: RequestId) {
        let Some(pending) = self.pending.remove(id) else { return };
        if let Some(key) = pending.request.client_key.filter(|_| pending.history.may_have_executed()) {
            self.abandoned.record(now, key);
        }
    }

    /// The requests whose clients have left while they may have been executed, the oldest first.
    pub fn abandoned_requests(&self) -> impl Iterator<Item = ClientRequestKey> + '_ {
        self.abandoned.iter()
    }

    /// Whether the client of a request has left while it may have been executed.
    pub fn has_abandoned(&self, key: ClientRequestKey) -> bool {
        self.abandoned.has_recorded(key)
    }

    /// Whether a request has come before, its client left, and it may be executed only once.
    fn is_repetition(&mut self, now: Time, request: &Request) -> bool {
        let is_idempotent = self.class(request).idempotency == Idempotency::Idempotent;
        !is_idempotent && request.client_key.is_some_and(|key| self.abandoned.contains(now, key))
    }

    /// Whether operators hold back every server that could serve a request, or its response would come too late to
    /// count.
    fn is_unservable(&self, now: Time, pending: &PendingRequest) -> bool {
        let usual_latency = self.fleet.latencies.usual(pending.request.class.0);
        self.fleet.endpoints.are_all_disabled()
            || is_too_late(now, self.class(&pending.request), &pending.limits, usual_latency)
    }

    /// Sends a request. If no server is ready, queues it; if the queue has no capacity either, finishes it.
    fn dispatch_or_queue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if !self.dispatch(now, id, actions) {
            self.queue(now, id, actions);
        }
    }

    fn queue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if !has_queue_capacity(&self.settings, self.pending.queue_len(), self.pending.len()) {
            self.finish(now, id, actions);
            return;
        }
        self.pending.enqueue(id);
        // The tick is only ever set earlier. If queued requests could postpone it, a steady flow would starve it.
        if self.next_tick > now + TICK_INTERVAL_QUEUED {
            self.set_tick(now, TICK_INTERVAL_QUEUED, actions);
        }
    }

    /// Sends each queued request that a server is ready for, and finishes those that can no longer be answered in time.
    fn dispatch_queued(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.pending.queue_len() == 0 {
            return;
        }
        let admission = &self.admission;
        let mut queue = self
            .pending
            .take_queue(|pending| (pending.is_over_share, !admission.is_protected(pending.request.class.0)));
        queue.retain(|&id| {
            let Some(pending) = self.pending.get(id) else { return false };
            let class = self.class(&pending.request);
            let current_latency = self.fleet.latencies.current(pending.request.class.0);
            if self.is_unservable(now, pending)
                || is_too_late_to_queue(now, class, &pending.limits, current_latency)
            {
                self.finish(now, id, actions);
                return false;
            }
            !self.dispatch(now, id, actions)
        });
        self.pending.set_queue(queue);
    }

    /// Where a request may still be sent, and whether it may be rejected.
    fn permitted_actions(&self, now: Time, pending: &PendingRequest) -> PermittedActions {
        let class = self.class(&pending.request);
        pending.history.permitted_actions(now, pending.limits.deadline, class, &self.settings)
    }

    /// Whether an attempt may still begin. To be called when its connection has been established and before its first
    /// byte is sent: in the meantime its server may have begun to drain, its request may have ended, and the
    /// deduplication window for retries may have closed.
    pub fn may_begin(&self, now: Time, request: RequestId, attempt: AttemptNo) -> bool {
        let Some(pending) = self.pending.get(request) else { return false };
        let server = pending.history.may_begin(now, attempt, self.class(&pending.request));
        let slot = server.and_then(|server| self.fleet.endpoints.slot(server));
        slot.is_some_and(|slot| self.fleet.server(slot).is_open)
    }

    fn handle_outcome(
        &mut self,
        key: AttemptKey,
        end: AttemptEnd,
        report: Option<&Report>,
        is_closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.pending.end_attempt(key) else { return };
        self.record_attempt_end(&attempt, end, report, actions);
        self.close_idle_connections(attempt.server, actions);
        if is_closed {
            self.pending.remove(key.request);
        } else {
            self.retry_or_finish(key, end, actions);
        }
        self.dispatch_queued(end.now, actions);
    }

    /// Retries a request after a failed attempt, or finishes it. Does nothing while another attempt is in flight.
    fn retry_or_finish(&mut self, key: AttemptKey, end: AttemptEnd, actions: &mut Vec<Action>) {
        let (now, id, is_not_executed) = (end.now, key.request, end.outcome.is_not_executed());
        let Some(pending) = self.pending.get_mut(id) else { return };
        pending.history.record_end(key.attempt, is_not_executed);
        if pending.request.uploading {
            // No attempt limits the time any more, so the time that the client has left does.
            let latency_objective = self.settings.classes[pending.request.class.0].latency_objective;
            pending.limits = TimeLimits::from_now(now, pending.request.time_left, latency_objective);
        }
        let Some(pending) = self.pending.get(id).filter(|pending| !pending.history.is_in_flight()) else {
            return;
        };
        let is_useful = !self.is_unservable(now, pending);
        let is_affordable = is_not_executed || self.retry_budget.has_token();
        let is_permitted = self.permitted_actions(now, pending).send != RetryScope::Nowhere;
        if !(is_permitted && is_useful && is_affordable) {
            return self.finish(now, id, actions);
        }
        if !is_not_executed {
            self.retry_budget.spend();
        }
        self.dispatch_or_queue(now, id, actions);
    }

    /// Emits the final answer: a rejection if the client may safely retry, else a failure.
    fn finish(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(id) else { return };
        actions.push(match self.permitted_actions(now, &pending).reject {
            true => {
                let retry_after = retry_after(&self.settings, self.class(&pending.request));
                Action::Reject { request: id, retry_after }
            }
            false => Action::Fail { request: id },
        });
    }

    /// Emits the final answer of a request that has attempts in flight. They continue, and their outcomes still count.
    fn answer_now(&mut self, now: Time, id: RequestId, may_have_executed: bool, actions: &mut Vec<Action>) {
        if let Some(pending) = self.pending.get_mut(id).filter(|_| !may_have_executed) {
            pending.history.record_unwritten();
        }
        self.finish(now, id, actions);
    }

    fn complete_upload(&mut self, now: Time, id: RequestId, time_left: Span) {
        let classes = &self.settings.classes;
        let latency_objective = |request: &Request| classes[request.class.0].latency_objective;
        for slot in self.pending.complete_upload(now, id, time_left, latency_objective) {
            self.fleet.endpoints.server_mut(slot).connections.record_upload_complete();
        }
    }

    fn set_tick(&mut self, now: Time, after: Span, actions: &mut Vec<Action>) {
        self.next_tick = now + after;
        actions.push(Action::SetTimer { at: self.next_tick, timer: TICK_TIMER });
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        if self.polling.take_due(now) {
            actions.push(Action::Watch { active: true });
        }
        self.fleet.update_median_latency();
        self.apply_due_changes(now);
        self.admission.rank_classes(&self.settings, &self.fleet.latencies);
        self.handle_unresponsive(now, actions);
        self.check_zones(now, actions);
        self.dispatch_queued(now, actions);
        let is_queue_empty = self.pending.queue_len() == 0;
        let interval = if is_queue_empty { TICK_INTERVAL_IDLE } else { TICK_INTERVAL_QUEUED };
        self.set_tick(now, interval, actions);
    }

    /// Cancels an attempt so that its request is retried on another server, if the retry is permitted, can be answered
    /// in time and fits the retry budget. Returns whether it was cancelled. With `only_idempotent`, only requests of
    /// idempotent classes are cancelled.
    fn cancel_to_retry(
        &mut self,
        now: Time,
        key: AttemptKey,
        only_idempotent: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(pending) = self.pending.get(key.request) else { return false };
        let class = self.class(&pending.request);
        let is_cancelled = pending.history.may_cancel(key.attempt, class, &self.settings, only_idempotent)
            && self.retry_budget.has_token()
            && !self.is_unservable(now, pending);
        if let Some(attempt) = self.pending.attempt_mut(key).filter(|_| is_cancelled) {
            attempt.is_cancelled = true;
            actions.push(Action::Cancel { request: key.request, attempt: AttemptNo(key.attempt) });
        }
        is_cancelled
    }
}
