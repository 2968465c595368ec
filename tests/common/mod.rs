//! Shared by the integration tests: a checker of the balancer's invariants, and a rig that drives a balancer on a
//! simulated clock.
#![allow(dead_code, missing_docs)]

use balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long after the client's deadline a final answer is still in time.
const FINAL_ANSWER_GRACE: Span = Span(20_000);

#[derive(Debug, Clone)]
struct ObservedAttempt {
    sent_at: Time,
    zone: ZoneId,
    cell: CellId,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct ObservedRequest {
    class: usize,
    /// Cost relative to a request of 40 ms, by its cost hint; 1 without a hint.
    relative_cost: f64,
    deadline: Time,
    attempts: Vec<ObservedAttempt>,
    is_finished: bool,
    has_response_started: bool,
    is_body_consumed: bool,
    is_uploading: bool,
}

/// Watches events and actions and records every violation of an invariant, independently of how the balancer decides.
pub struct InvariantChecker {
    settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    /// Since when a server has been draining, removed or missing from a complete endpoint list.
    draining_since: BTreeMap<ServerId, Time>,
    cordoned_since: BTreeMap<ServerId, Time>,
    uncordoned_at: BTreeMap<ServerId, Time>,
    /// Sends within the overload window, oldest first: when, to which server, and the relative cost.
    sends: VecDeque<(Time, ServerId, f64)>,
    /// Serving servers that have finished their warm-up.
    warmed_up: BTreeSet<ServerId>,
    warmed_up_unchanged_since: Time,
    pub violations: Vec<String>,
}

impl InvariantChecker {
    pub fn new(settings: &Settings) -> Self {
        InvariantChecker {
            settings: settings.clone(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            cordoned_since: BTreeMap::new(),
            uncordoned_at: BTreeMap::new(),
            sends: VecDeque::new(),
            warmed_up: BTreeSet::new(),
            warmed_up_unchanged_since: Time(0),
            violations: Vec::new(),
        }
    }

    fn record_violation(&mut self, now: Time, text: String) {
        self.violations.push(format!("{:.3} ms: {text}", now.as_ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(r) => {
                let observed = ObservedRequest {
                    class: r.class.0,
                    relative_cost: r.cost_hint.map_or(1.0, |hint| hint.as_ms() / 40.0),
                    deadline: now + r.time_left,
                    attempts: Vec::new(),
                    is_finished: false,
                    has_response_started: false,
                    is_body_consumed: false,
                    is_uploading: r.uploading,
                };
                self.requests.entry(r.id).or_insert(observed);
            }
            Event::Outcome { request, attempt, outcome, request_finished, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    if let Some(attempt) = observed.attempts.get_mut(attempt.0 as usize) {
                        attempt.outcome.get_or_insert(*outcome);
                    }
                    observed.is_finished |= *request_finished;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.has_response_started = true;
                }
            }
            // The host writes nothing more of the attempts in flight, so that they are not executed.
            Event::AnswerDue { request, may_have_executed: false } => {
                let observed = self.requests.get_mut(request).into_iter();
                for attempt in observed.flat_map(|observed| &mut observed.attempts) {
                    attempt.outcome.get_or_insert(Outcome::NotSent);
                }
            }
            Event::BodyComplete { request, time_left } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    (observed.is_uploading, observed.deadline) = (false, now + *time_left);
                }
            }
            Event::BodyConsumed { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_body_consumed = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(observed) = self.requests.get_mut(request) {
                    observed.is_finished = true;
                }
            }
            Event::Endpoints(update) => {
                let (endpoints, is_complete) = match update {
                    EndpointUpdate::Partial(endpoints) | EndpointUpdate::Changes(endpoints) => {
                        (endpoints, false)
                    }
                    EndpointUpdate::Complete(endpoints) | EndpointUpdate::Saved(endpoints) => {
                        (endpoints, true)
                    }
                    EndpointUpdate::Failed | EndpointUpdate::Unusable => return,
                };
                let listed: BTreeSet<ServerId> = endpoints.iter().map(|e| e.server).collect();
                if is_complete {
                    for server in self.servers.keys().filter(|s| !listed.contains(s)) {
                        self.draining_since.entry(*server).or_insert(now);
                    }
                }
                for endpoint in endpoints {
                    let previous = self.servers.insert(endpoint.server, endpoint.clone());
                    if previous.is_some_and(|p| p.started != endpoint.started) {
                        // A new process: sends to the previous process are no load on it.
                        self.sends.retain(|(_, s, _)| *s != endpoint.server);
                    }
                }
                for server in listed {
                    if self.servers[&server].status == Status::Serving {
                        self.draining_since.remove(&server);
                    } else {
                        self.draining_since.entry(server).or_insert(now);
                    }
                }
            }
            Event::Cordon { server } => {
                self.cordoned_since.entry(*server).or_insert(now);
            }
            Event::Uncordon { server, at } if self.cordoned_since.remove(server).is_some() => {
                // Sends to the process before the cordon are no load on the one after it.
                self.sends.retain(|(_, s, _)| s != server);
                self.uncordoned_at.insert(*server, *at);
            }
            _ => {}
        }
    }

    /// The zone or cell in which a request that may have been executed must stay; `None` if it must not be sent
    /// again.
    fn retry_scope(&self, observed: &ObservedRequest, now: Time) -> Option<(Option<ZoneId>, Option<CellId>)> {
        let possibly_executed =
            observed.attempts.iter().find(|a| a.outcome.is_none_or(|o| !o.is_not_executed()));
        let Some(attempt) = possibly_executed else { return Some((None, None)) };
        match self.settings.classes[observed.class].idempotency {
            Idempotency::Idempotent => Some((None, None)),
            Idempotency::AtMostOnce => None,
            Idempotency::Deduplicated { window, .. } if now.since(attempt.sent_at) > window => None,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => Some((None, None)),
            Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                Some((Some(attempt.zone), None))
            }
            Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                Some((None, Some(attempt.cell)))
            }
        }
    }

    /// Whether a client that retries the request after a rejection causes no second execution.
    fn may_reject(&self, observed: &ObservedRequest) -> bool {
        let possibly_executed =
            observed.attempts.iter().any(|a| a.outcome.is_none_or(|o| !o.is_not_executed()));
        match self.settings.classes[observed.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => !possibly_executed,
            Idempotency::Deduplicated { scope, .. } => !possibly_executed || scope == DeduplicationScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at } => {
                let Some(endpoint) = self.servers.get(server).cloned() else {
                    return self.record_violation(
                        now,
                        format!("sent to {server:?}, which no endpoint list has named"),
                    );
                };
                let Some(observed) = self.requests.get(request) else {
                    return self
                        .record_violation(now, format!("sent {request:?}, which was never submitted"));
                };
                let relative_cost = observed.relative_cost;
                let has_attempt_in_flight = observed.attempts.iter().any(|a| a.outcome.is_none());
                let mut violations = Vec::new();
                if observed.is_finished {
                    violations.push("sent after its final answer");
                }
                if observed.has_response_started {
                    violations.push("sent after its response started");
                }
                if observed.attempts.len() >= self.settings.max_attempts as usize {
                    violations.push("sent more often than the maximum number of attempts");
                }
                if has_attempt_in_flight && !self.settings.hedging {
                    violations.push("two attempts at once");
                }
                if observed.is_body_consumed {
                    violations.push("sent after its body was consumed");
                }
                if !observed.is_uploading && (now > observed.deadline || *timeout_at > observed.deadline) {
                    violations.push("sent after its deadline, or with a later time-out");
                }
                match self.retry_scope(observed, now) {
                    None => violations.push("may have been executed and must not be sent again"),
                    Some((zone, cell)) => {
                        if zone.is_some_and(|z| z != endpoint.zone)
                            || cell.is_some_and(|c| c != endpoint.cell)
                        {
                            violations.push("retried outside the deduplication scope");
                        }
                    }
                }
                if self.draining_since.get(server).is_some_and(|at| now > *at + self.settings.drain_grace) {
                    violations.push("sent to a draining or gone server");
                }
                if self.cordoned_since.get(server).is_some_and(|at| now > *at) {
                    violations.push("sent to a cordoned server");
                }
                for text in violations {
                    self.record_violation(now, format!("{request:?}: {text}"));
                }
                let attempt =
                    ObservedAttempt { sent_at: now, zone: endpoint.zone, cell: endpoint.cell, outcome: None };
                self.requests.get_mut(request).expect("looked up above").attempts.push(attempt);
                self.sends.push_back((now, *server, relative_cost));
                self.check_slow_start(now, *server);
            }
            Action::Reject { request, .. } => {
                if self.requests.get(request).is_some_and(|observed| !self.may_reject(observed)) {
                    self.record_violation(
                        now,
                        format!("{request:?}: rejected though it may have been executed"),
                    );
                }
                self.finish(now, *request);
            }
            Action::Fail { request } => self.finish(now, *request),
            Action::HealthCheck { server } if self.cordoned_since.get(server).is_some_and(|at| now > *at) => {
                self.record_violation(now, format!("health check sent to {server:?}, which is cordoned"));
            }
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, request: RequestId) {
        let text = match self.requests.get_mut(&request) {
            None => Some("answered, but never submitted"),
            Some(observed) if observed.is_finished => Some("answered twice"),
            Some(observed) => {
                observed.is_finished = true;
                (!observed.is_uploading && now > observed.deadline + FINAL_ANSWER_GRACE)
                    .then_some("answered too late")
            }
        };
        if let Some(text) = text {
            self.record_violation(now, format!("{request:?}: {text}"));
        }
    }

    /// Checks what this balancer sends a server that is warming up against the average that it sends a warmed-up
    /// server: at most the slow-start factor times that average times the overload factor, and 5 requests for random
    /// variation.
    fn check_slow_start(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_window;
        while self.sends.front().is_some_and(|(at, ..)| *at + window < now) {
            self.sends.pop_front();
        }
        let slow_start_factor = |endpoint: &Endpoint| {
            endpoint.started.max(self.uncordoned_at.get(&endpoint.server).copied()).map_or(1.0, |start| {
                let progress = (now.since(start).as_ms() / self.settings.warm_up_time.as_ms()).min(1.0);
                self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * progress
            })
        };
        let server_factor = slow_start_factor(&self.servers[&server]);
        let warmed_up: BTreeSet<ServerId> = self
            .servers
            .values()
            .filter(|e| e.status == Status::Serving && slow_start_factor(e) >= 1.0)
            .map(|e| e.server)
            .collect();
        if warmed_up != self.warmed_up {
            // The average has changed: sends are comparable with it only after a whole window.
            self.warmed_up = warmed_up.clone();
            self.warmed_up_unchanged_since = now;
        }
        let is_comparable =
            now.since(self.warmed_up_unchanged_since) >= window || self.warmed_up_unchanged_since == Time(0);
        if server_factor >= 1.0 || warmed_up.is_empty() || !is_comparable {
            return;
        }
        let sent_to_warmed_up =
            self.sends.iter().filter(|(_, s, _)| warmed_up.contains(s)).map(|s| s.2).sum::<f64>();
        let sent_to_server = self.sends.iter().filter(|(_, s, _)| *s == server).map(|s| s.2).sum::<f64>();
        let average = sent_to_warmed_up / warmed_up.len() as f64;
        if sent_to_server > 5.0 + self.settings.overload_factor * server_factor * average {
            self.record_violation(
                now,
                format!("{server:?}: warming up, sent {sent_to_server}, a warmed-up server {average:.1}"),
            );
        }
    }

    /// Number of requests whose final answer is overdue.
    pub fn overdue_answers(&self, now: Time) -> usize {
        self.requests
            .values()
            .filter(|r| {
                !r.is_finished
                    && !r.has_response_started
                    && !r.is_uploading
                    && now > r.deadline + FINAL_ANSWER_GRACE
            })
            .count()
    }

    /// Drops the finished requests that have no attempt in flight.
    pub fn forget_finished(&mut self) {
        self.requests.retain(|_, r| !r.is_finished || r.attempts.iter().any(|a| a.outcome.is_none()));
    }
}

/// A balancer with an invariant checker and a simulated clock.
pub struct Rig {
    pub balancer: Balancer,
    pub checker: InvariantChecker,
    pub now: Time,
    /// The actions of the last event.
    pub actions: Vec<Action>,
    timers: BTreeSet<(Time, TimerId)>,
    next_request_id: u64,
}

impl Rig {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let checker = InvariantChecker::new(&settings);
        let balancer = Balancer::new(settings, seed).expect("usable settings");
        let mut rig = Rig {
            balancer,
            checker,
            now: Time::from_ms(50_000.0),
            actions: Vec::new(),
            timers: BTreeSet::new(),
            next_request_id: 0,
        };
        let mut actions = Vec::new();
        rig.balancer.start(rig.now, &mut actions);
        rig.apply(actions);
        rig
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in &actions {
            self.checker.action(self.now, action);
            if let Action::SetTimer { at, timer } = action {
                self.timers.insert((*at, *timer));
            }
        }
        self.actions = actions;
    }

    /// Passes an event to the balancer and returns its actions, which are also in `actions` afterwards.
    pub fn notify(&mut self, event: Event) -> &[Action] {
        self.checker.event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.apply(actions);
        &self.actions
    }

    /// Advances the clock by `span`, fires the timers that become due, and returns the actions of all of them.
    pub fn wait(&mut self, span: Span) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while let Some(&(at, timer)) = self.timers.iter().next().filter(|(at, _)| *at <= end) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            all.extend_from_slice(self.notify(Event::Timer(timer)));
        }
        self.now = end;
        all
    }

    pub fn set_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.notify(Event::Endpoints(EndpointUpdate::Complete(endpoints)));
    }

    /// Submits a new request of a class. Returns its id, and the server that it was sent to if it was sent at once.
    pub fn request(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let left = self.checker.settings.classes[class].deadline;
        self.notify(Event::Request(Request::new(id, ClassId(class), left)));
        (id, self.sent_to(id))
    }

    /// Submits a request of class 0, waits `ms`, and then reports success if it has been sent. Returns its server.
    pub fn request_and_respond(&mut self, ms: f64) -> Option<ServerId> {
        let (id, sent) = self.request(0);
        let sent = sent.or(sent_in(&self.wait(Span::from_ms(ms)), id));
        if sent.is_some() {
            self.respond(id, 0, Outcome::Success, ms);
        }
        sent
    }

    /// Number of request classes.
    pub fn classes(&self) -> usize {
        self.checker.settings.classes.len()
    }

    /// How long clients of a class wait for the final answer.
    pub fn deadline(&self, class: usize) -> Span {
        self.checker.settings.classes[class].deadline
    }

    /// The server that the last event's actions send a request to.
    pub fn sent_to(&self, id: RequestId) -> Option<ServerId> {
        sent_in(&self.actions, id)
    }

    /// Reports the outcome of an attempt after `ms`, without a load report.
    pub fn respond(&mut self, id: RequestId, attempt: u32, outcome: Outcome, ms: f64) -> &[Action] {
        self.respond_with(id, attempt, outcome, ms, None)
    }

    pub fn respond_with(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        ms: f64,
        report: Option<Vec<f64>>,
    ) -> &[Action] {
        self.notify(Event::Outcome {
            request,
            attempt: AttemptNo(attempt),
            outcome,
            elapsed: Span::from_ms(ms),
            report,
            request_finished: outcome == Outcome::Success,
        })
    }

    pub fn assert_invariants(&self) {
        assert!(self.checker.violations.is_empty(), "{:#?}", self.checker.violations);
        assert_eq!(self.checker.overdue_answers(self.now), 0, "requests without a final answer");
    }
}

/// The server that these actions send a request to.
pub fn sent_in(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { request, server, .. } if *request == id => Some(*server),
        _ => None,
    })
}

pub fn rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
}

/// `n` warmed-up servers, server `i` in zone `i % zones` and cell `i % cells`.
pub fn fleet(n: u32, zones: u32, cells: u32) -> Vec<Endpoint> {
    (0..n)
        .map(|i| Endpoint {
            zone: ZoneId(i % zones),
            cell: CellId(i % cells),
            ..Endpoint::serving(ServerId(i))
        })
        .collect()
}

pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        latency_objective: Span::from_ms(200.0),
        deadline: Span::from_ms(800.0),
        ..Class::default()
    }
}

pub fn deduplicated(scope: DeduplicationScope, window_ms: f64) -> Idempotency {
    Idempotency::Deduplicated { scope, window: Span::from_ms(window_ms) }
}
