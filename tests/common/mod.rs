//! What the tests share: an checker that holds a balancer to the four rules, and a small rig around one.
#![allow(dead_code, missing_docs)]

use balancer::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time past the client's deadline in which a final answer still counts.
const GRACE: Span = Span(20_000);

#[derive(Debug, Clone)]
struct ObservedAttempt {
    at: Time,
    zone: ZoneId,
    cell: CellId,
    ended: Option<Outcome>,
}

#[derive(Debug)]
struct ObservedRequest {
    class: usize,
    /// In requests of the usual size, by the hint.
    work: f64,
    deadline: Time,
    attempts: Vec<ObservedAttempt>,
    is_finished: bool,
    has_response_started: bool,
    is_body_consumed: bool,
    is_uploading: bool,
}

/// Watches events and actions and records every violation of an invariant, without knowing how decisions are made.
pub struct InvariantChecker {
    settings: Settings,
    requests: BTreeMap<RequestId, ObservedRequest>,
    servers: BTreeMap<ServerId, Endpoint>,
    draining_since: BTreeMap<ServerId, Time>,
    cordoned_since: BTreeMap<ServerId, Time>,
    restored_at: BTreeMap<ServerId, Time>,
    sends: VecDeque<(Time, ServerId, f64)>,
    warm: BTreeSet<ServerId>,
    warm_unchanged_since: Time,
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
            restored_at: BTreeMap::new(),
            sends: VecDeque::new(),
            warm: BTreeSet::new(),
            warm_unchanged_since: Time(0),
            violations: Vec::new(),
        }
    }

    fn violate(&mut self, now: Time, text: String) {
        self.violations.push(format!("{:.3} ms: {text}", now.as_ms()));
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::Request(r) => {
                let seen = ObservedRequest {
                    class: r.class.0,
                    work: r.cost_hint.map_or(1.0, |h| h.as_ms() / 40.0),
                    deadline: now + r.time_left,
                    attempts: Vec::new(),
                    is_finished: false,
                    has_response_started: false,
                    is_body_consumed: false,
                    is_uploading: r.uploading,
                };
                self.requests.entry(r.id).or_insert(seen);
            }
            Event::Outcome { request, attempt, outcome, request_finished, .. } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    if let Some(attempt) = seen.attempts.get_mut(attempt.0 as usize) {
                        attempt.ended.get_or_insert(*outcome);
                    }
                    seen.is_finished |= *request_finished;
                }
            }
            Event::FirstByte { request, .. } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.has_response_started = true;
                }
            }
            Event::BodyComplete { request, time_left } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    (seen.is_uploading, seen.deadline) = (false, now + *time_left);
                }
            }
            Event::BodyConsumed { request } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.is_body_consumed = true;
                }
            }
            Event::ClientDisconnected { request } => {
                if let Some(seen) = self.requests.get_mut(request) {
                    seen.is_finished = true;
                }
            }
            Event::Endpoints(update) => {
                let (lines, whole) = match update {
                    EndpointUpdate::Partial(lines) | EndpointUpdate::Changes(lines) => (lines, false),
                    EndpointUpdate::Complete(lines) | EndpointUpdate::Saved(lines) => (lines, true),
                    EndpointUpdate::Failed | EndpointUpdate::Unusable => return,
                };
                let named: BTreeSet<ServerId> = lines.iter().map(|l| l.server).collect();
                if whole {
                    for server in self.servers.keys().filter(|s| !named.contains(s)) {
                        self.draining_since.entry(*server).or_insert(now);
                    }
                }
                for line in lines {
                    let before = self.servers.insert(line.server, line.clone());
                    if before.is_some_and(|b| b.started != line.started) {
                        // A new process: what the previous one was sent is no load on it.
                        self.sends.retain(|(_, s, _)| *s != line.server);
                    }
                }
                for server in named {
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
                // What the process before the cordon was sent is no load on the restored one.
                self.sends.retain(|(_, s, _)| s != server);
                self.restored_at.insert(*server, *at);
            }
            _ => {}
        }
    }

    /// The zone or cell that a request that may have been executed must stay in; `None` if it may not be sent at all.
    fn retry_scope(&self, seen: &ObservedRequest, now: Time) -> Option<(Option<ZoneId>, Option<CellId>)> {
        let ran = seen.attempts.iter().find(|t| t.ended.is_none_or(|o| !o.is_not_executed()));
        let Some(ran) = ran else { return Some((None, None)) };
        match self.settings.classes[seen.class].idempotency {
            Idempotency::Idempotent => Some((None, None)),
            Idempotency::AtMostOnce => None,
            Idempotency::Deduplicated { window, .. } if now.since(ran.at) > window => None,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, .. } => Some((None, None)),
            Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => Some((Some(ran.zone), None)),
            Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => Some((None, Some(ran.cell))),
        }
    }

    fn may_reject(&self, seen: &ObservedRequest) -> bool {
        let ran = seen.attempts.iter().any(|t| t.ended.is_none_or(|o| !o.is_not_executed()));
        match self.settings.classes[seen.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => !ran,
            Idempotency::Deduplicated { scope, .. } => !ran || scope == DeduplicationScope::All,
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { request, server, timeout_at } => {
                let Some(line) = self.servers.get(server).cloned() else {
                    return self.violate(now, format!("sent to {server:?}, which no list names"));
                };
                let Some(seen) = self.requests.get(request) else {
                    return self.violate(now, format!("sent {request:?}, which was never submitted"));
                };
                let work = seen.work;
                let out = seen.attempts.iter().any(|t| t.ended.is_none());
                let mut wrong = Vec::new();
                if seen.is_finished {
                    wrong.push("sent after its final answer");
                }
                if seen.has_response_started {
                    wrong.push("sent though its response has started");
                }
                if seen.attempts.len() >= self.settings.max_attempts as usize {
                    wrong.push("sent beyond the attempts allowed");
                }
                if out && !self.settings.hedging {
                    wrong.push("two attempts at once");
                }
                if seen.is_body_consumed {
                    wrong.push("sent though its body is consumed");
                }
                if !seen.is_uploading && (now > seen.deadline || *timeout_at > seen.deadline) {
                    wrong.push("sent past its deadline");
                }
                match self.retry_scope(seen, now) {
                    None => wrong.push("may have been executed and must not be sent again"),
                    Some((zone, cell)) => {
                        if zone.is_some_and(|z| z != line.zone) || cell.is_some_and(|c| c != line.cell) {
                            wrong.push("retried outside the deduplication scope");
                        }
                    }
                }
                if self.draining_since.get(server).is_some_and(|at| now > *at + self.settings.drain_grace) {
                    wrong.push("sent to a draining or gone server");
                }
                if self.cordoned_since.get(server).is_some_and(|at| now > *at) {
                    wrong.push("sent to a cordoned server");
                }
                for text in wrong {
                    self.violate(now, format!("{request:?}: {text}"));
                }
                let attempt = ObservedAttempt { at: now, zone: line.zone, cell: line.cell, ended: None };
                self.requests.get_mut(request).expect("looked up above").attempts.push(attempt);
                self.sends.push_back((now, *server, work));
                self.check_slow_start(now, *server);
            }
            Action::Reject { request, .. } => {
                if self.requests.get(request).is_some_and(|seen| !self.may_reject(seen)) {
                    self.violate(now, format!("{request:?}: rejected though it may have been executed"));
                }
                self.finish(now, *request);
            }
            Action::Fail { request } => self.finish(now, *request),
            Action::HealthCheck { server } if self.cordoned_since.get(server).is_some_and(|at| now > *at) => {
                self.violate(now, format!("checked {server:?}, which is cordoned"));
            }
            _ => {}
        }
    }

    fn finish(&mut self, now: Time, request: RequestId) {
        let text = match self.requests.get_mut(&request) {
            None => Some("answered, but never submitted"),
            Some(seen) if seen.is_finished => Some("answered twice"),
            Some(seen) => {
                seen.is_finished = true;
                (!seen.is_uploading && now > seen.deadline + GRACE).then_some("answered too late")
            }
        };
        if let Some(text) = text {
            self.violate(now, format!("{request:?}: {text}"));
        }
    }

    /// Checks what this balancer sends a server that is warming up against what it sends the warmed-up ones: its
    /// share, times the overload factor, and a few requests that chance may add.
    fn check_slow_start(&mut self, now: Time, server: ServerId) {
        let window = self.settings.overload_window;
        while self.sends.front().is_some_and(|(at, ..)| *at + window < now) {
            self.sends.pop_front();
        }
        let slow_start_factor = |line: &Endpoint| {
            line.started.max(self.restored_at.get(&line.server).copied()).map_or(1.0, |s| {
                let grown = (now.since(s).as_ms() / self.settings.warm_up_time.as_ms()).min(1.0);
                self.settings.initial_capacity + (1.0 - self.settings.initial_capacity) * grown
            })
        };
        let own = slow_start_factor(&self.servers[&server]);
        let warm: BTreeSet<ServerId> = self
            .servers
            .values()
            .filter(|l| l.status == Status::Serving && slow_start_factor(l) >= 1.0)
            .map(|l| l.server)
            .collect();
        if warm != self.warm {
            // The fair share has changed: a whole window must pass before sends can be compared with it.
            self.warm = warm.clone();
            self.warm_unchanged_since = now;
        }
        let settled = now.since(self.warm_unchanged_since) >= window || self.warm_unchanged_since == Time(0);
        if own >= 1.0 || warm.is_empty() || !settled {
            return;
        }
        let to_warm = self.sends.iter().filter(|(_, s, _)| warm.contains(s)).map(|s| s.2).sum::<f64>();
        let to_cold = self.sends.iter().filter(|(_, s, _)| *s == server).map(|s| s.2).sum::<f64>();
        let fair = to_warm / warm.len() as f64;
        if to_cold > 5.0 + self.settings.overload_factor * own * fair {
            self.violate(
                now,
                format!("{server:?}: warming up, sent {to_cold} where a warmed-up one is sent {fair:.1}"),
            );
        }
    }

    /// Requests whose final answer is overdue.
    pub fn overdue_answers(&self, now: Time) -> usize {
        self.requests
            .values()
            .filter(|r| {
                !r.is_finished && !r.has_response_started && !r.is_uploading && now > r.deadline + GRACE
            })
            .count()
    }

    pub fn forget_finished(&mut self) {
        self.requests.retain(|_, r| !r.is_finished || r.attempts.iter().any(|t| t.ended.is_none()));
    }
}

/// A balancer with an checker at its side and a clock to move.
pub struct Rig {
    pub balancer: Balancer,
    pub checker: InvariantChecker,
    pub now: Time,
    pub actions: Vec<Action>,
    timers: BTreeSet<(Time, TimerId)>,
    next: u64,
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
            next: 0,
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

    /// Notifies the balancer of an event; its actions are in `actions` afterwards.
    pub fn notify(&mut self, event: Event) -> &[Action] {
        self.checker.event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.apply(actions);
        &self.actions
    }

    /// Moves the clock on, firing timers as they come due; returns all actions on the way.
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

    pub fn set_endpoints(&mut self, lines: Vec<Endpoint>) {
        self.notify(Event::Endpoints(EndpointUpdate::Complete(lines)));
    }

    /// A new request of a class; the server it was sent to, if it was.
    pub fn request(&mut self, class: usize) -> (RequestId, Option<ServerId>) {
        let id = RequestId(self.next);
        self.next += 1;
        let left = self.checker.settings.classes[class].deadline;
        self.notify(Event::Request(Request::new(id, ClassId(class), left)));
        (id, self.sent_to(id))
    }

    /// A request of class 0 that has `ms` to be sent and is then answered well; the server it was sent to.
    pub fn request_and_respond(&mut self, ms: f64) -> Option<ServerId> {
        let (id, sent) = self.request(0);
        let sent = sent.or(sent_in(&self.wait(Span::from_ms(ms)), id));
        if sent.is_some() {
            self.respond(id, 0, Outcome::Success, ms);
        }
        sent
    }

    /// How many classes there are, and how long clients of one wait.
    pub fn classes(&self) -> usize {
        self.checker.settings.classes.len()
    }

    pub fn deadline(&self, class: usize) -> Span {
        self.checker.settings.classes[class].deadline
    }

    /// Where the last actions sent a request.
    pub fn sent_to(&self, id: RequestId) -> Option<ServerId> {
        sent_in(&self.actions, id)
    }

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

/// Where these actions send a request.
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

/// `n` warm servers, server `i` in zone `i % zones` and cell `i % cells`.
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
