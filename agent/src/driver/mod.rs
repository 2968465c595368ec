//! The event loop around the [`Balancer`]: passes it events from the sockets and executes the actions that it returns.
//!
//! No decisions are made here. Everything runs on one thread, so an event is handled and its actions are executed
//! before the next event. Executing an action never calls the balancer; it can only queue another event. Each
//! submodule owns its state: `queue` the balancer and its timers, `servers` the endpoint list, `requests` the pending
//! requests. [`Driver`] connects them.

mod attempt_logs;
mod attempts;
pub mod client_request;
pub mod clock;
mod discovery;
mod endpoint_updates;
mod known_server;
mod operator;
mod queue;
mod repetitions;
pub mod requests;
mod servers;
mod state;
mod takeover;
mod view;

use crate::config::Config;
use crate::log::{FailedAttempt, Log};
use crate::metrics::{Counts, Metrics, UnreadClose};
use crate::traffic::memory_budget::{MemoryBudget, ProcessLimits};
use crate::traffic::request_body::BodyEvent;
use crate::traffic::response_body::StreamEnd;
use crate::upstream::client::UpstreamClient;
use crate::upstream::discovery::DiscoveryClient;
use crate::upstream::exchange::ExchangeResult;
use attempt_logs::AttemptLogs;
pub use attempts::RESPONSE_DELIVERY_TURNS;
use attempts::{AttemptId, AttemptTiming};
use balancer::{
    Action, Balancer, EndpointUpdate, Event, Idempotency, OtherProcessEvent, RequestId, ServerId,
    SettingsError, Span, Time,
};
use balancer_settings::Names;
use client_request::ClientRequest;
use clock::{Clock, WallClock};
use hyper::StatusCode;
use queue::Queue;
use requests::{FinalResponse, NewAttempt, PendingRequest, PendingRequests, ServerLabel};
use servers::Servers;
use state::State;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use view::View;

/// How often idle connections are evicted, the wall clock is checked and due metrics are logged.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the event loop and gives the rest of the agent access to the balancer.
pub struct Driver {
    /// The clock of the balancer's time.
    pub clock: Clock,
    wall_clock: Rc<WallClock>,
    /// The names in the settings, by which ids are looked up, and the connection timeouts.
    pub names: Names,
    /// Whether requests of a class are idempotent, indexed by class id.
    pub idempotency: Vec<Idempotency>,
    /// Whether this process accepts client connections.
    pub is_accepting: Cell<bool>,
    metrics: Rc<Metrics>,
    /// The memory budget for request and response bodies.
    pub memory_budget: Rc<MemoryBudget>,
    upstream: Rc<UpstreamClient>,
    state: RefCell<State>,
    /// What passes between this process and another one of the agent about requests that come again.
    attempt_logs: AttemptLogs,
    timer_changed: Notify,
}

impl Driver {
    /// Creates the event loop with the configured endpoint list and at most `max_connections` connections to servers,
    /// fewer if the memory limit does not allow so many.
    /// Timers fire only while [`Driver::run`] runs.
    ///
    /// # Errors
    ///
    /// The balancer rejects the settings.
    pub fn start(config: Config, max_connections: usize) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let wall_clock = Rc::new(WallClock::new(clock));
        let idempotency = config.settings.classes.iter().map(|class| class.idempotency).collect();
        let metrics = Metrics::new(config.names.classes.len());
        let (memory_mb, is_shared) = (config.memory_mb, config.is_memory_shared);
        let limits = ProcessLimits::new(memory_mb, is_shared, config.max_descriptors, max_connections);
        let memory_budget = Rc::new(MemoryBudget::for_process(&limits));
        let connect_timeout = Duration::from_micros(config.names.connect_timeout.0);
        let upstream = Rc::new(UpstreamClient::new(
            metrics.clone(),
            memory_budget.clone(),
            connect_timeout,
            Duration::from_micros(config.names.keepalive.0),
            config.names.report_fields.clone(),
        ));
        let is_pushed = config.settings.discovery == balancer::Discovery::Pushed;
        let mut balancer = Balancer::new(config.settings, config.seed)?;
        let mut actions = Vec::new();
        balancer.start(clock.now(), &mut actions);
        // With pushed discovery the balancer never polls, and over sockets only a watch delivers the changes.
        actions.extend(is_pushed.then_some(Action::Watch { active: true }));
        let mut servers = Servers::new(config.max_servers, wall_clock.clone());
        let on_change = |server, host: &_| upstream.update_endpoint(server, host);
        let endpoints = servers.apply_list(config.endpoint_list, &config.names, on_change);
        let mut queue = Queue::new(balancer, clock);
        queue.push(Event::Endpoints(EndpointUpdate::Saved(endpoints)));
        let state = State {
            queue,
            requests: PendingRequests::new(Log::new(clock.started_at)),
            servers,
            discovery: DiscoveryClient::new(config.discovery, config.max_servers),
        };
        let driver = Rc::new(Driver {
            clock,
            wall_clock,
            names: config.names,
            idempotency,
            is_accepting: Cell::new(false),
            metrics,
            memory_budget,
            upstream,
            state: RefCell::new(state),
            attempt_logs: AttemptLogs::default(),
            timer_changed: Notify::new(),
        });
        for action in actions {
            driver.execute_action(&mut driver.state.borrow_mut(), action);
        }
        driver.dispatch_events();
        Ok(driver)
    }

    /// Fires due timers and does the periodic maintenance. Never returns.
    pub async fn run(self: Rc<Self>) {
        let mut maintenance_at = Instant::now() + MAINTENANCE_INTERVAL;
        loop {
            let next_due = self.state.borrow().queue.next_due();
            let until = next_due.map_or(maintenance_at, |at| at.min(maintenance_at));
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.timer_changed.notified() => {}
            }
            self.state.borrow_mut().queue.fire_due_timers();
            self.dispatch_events();
            if Instant::now() >= maintenance_at {
                self.upstream.evict_idle();
                self.wall_clock.check();
                self.log_metrics();
                maintenance_at = Instant::now() + MAINTENANCE_INTERVAL;
            }
        }
    }

    /// Logs the counts since the last such line, if they are due, with the balancer's summary of its servers.
    fn log_metrics(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(counts) = state.requests.log.counts.take_due(Instant::now(), &self.metrics) {
            counts.write(self.upstream.open_connections(), &state.queue.balancer.summary());
        }
    }

    /// Queues an event and dispatches all queued events.
    fn handle(self: &Rc<Self>, event: Event) {
        self.state.borrow_mut().queue.push(event);
        self.dispatch_events();
    }

    /// Hands queued events to the balancer and executes the resulting actions until the queue is empty.
    fn dispatch_events(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(mut actions) = state.queue.next() {
            for action in actions.drain(..) {
                self.execute_action(&mut state, action);
            }
            state.queue.recycle(actions);
        }
    }

    fn execute_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout_at } => {
                self.send_attempt(state, request, server, timeout_at);
            }
            Action::Cancel { request, attempt } => {
                state.requests.attempts.cancel(AttemptId { request, number: attempt });
            }
            Action::Reject { request, retry_after } => {
                state.requests.reject(request, retry_after, &self.names);
            }
            Action::Fail { request } => state.requests.fail(request, &self.names),
            Action::SetTimer { at, timer } => {
                if state.queue.set_timer(at, timer) {
                    self.timer_changed.notify_one();
                }
            }
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(server),
            Action::Watch { active: true } => self.open_watch(state),
            Action::Watch { active: false } => state.discovery.close(),
            // Agents of this deployment cannot communicate, and the settings say so.
            Action::Gossip { .. } => {}
            Action::Log { server, zone, text } => state.servers.log_decision(server, zone, &text),
        }
    }

    // Requests and attempts.

    /// Hands a request to the balancer and returns the receiver of the final response.
    pub fn submit(
        self: &Rc<Self>,
        client_request: ClientRequest,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        self.poll_other_process();
        let (response_sender, receiver) = oneshot::channel();
        let id = self.state.borrow_mut().requests.next_id();
        let now = Instant::now();
        let request = balancer::Request {
            id,
            class: client_request.class,
            tenant: client_request.tenant,
            affinity_key: client_request.affinity_key,
            client_key: Some(client_request.key()),
            cost_hint: client_request.cost_hint,
            is_retry: client_request.is_retry,
            time_left: Span(client_request.deadline.saturating_duration_since(now).as_micros() as u64),
            waited: Span(now.saturating_duration_since(client_request.arrived_at).as_micros() as u64),
            uploading: client_request.streamed_body().is_some(),
        };
        let metrics = match client_request.streamed_body() {
            None => self.metrics.begin_request(client_request.class.0),
            Some(body) => {
                let driver = self.clone();
                body.set_listener(move |body_event| driver.record_body_progress(id, body_event));
                self.metrics.begin_upload(client_request.class.0)
            }
        };
        let pending = PendingRequest::new(Rc::new(client_request), response_sender, metrics);
        self.state.borrow_mut().requests.insert(id, pending);
        self.handle(Event::Request(request));
        (id, receiver)
    }

    /// Notifies the balancer of the progress of a request's streamed body.
    fn record_body_progress(self: &Rc<Self>, id: RequestId, body_event: BodyEvent) {
        let event = self.state.borrow_mut().requests.record_body_progress(id, body_event);
        if let Some(event) = event {
            self.handle(event);
        }
    }

    /// Has the balancer answer a pending request now, as its answer is due. Attempts in flight that are not completely
    /// written are cancelled without writing more.
    pub fn answer_now(self: &Rc<Self>, id: RequestId) {
        let may_have_executed = self.state.borrow_mut().requests.begin_overdue_answer(id);
        self.handle(Event::AnswerDue { request: id, may_have_executed });
    }

    /// Ends a pending request without a final response because its client has disconnected.
    /// Completely written attempts continue, and their outcomes still count. The others are cancelled without writing
    /// more.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        let may_have_executed = self.state.borrow().requests.may_have_executed(id);
        let abandoned = self.state.borrow_mut().requests.abandon(id, &self.names);
        if let Some(client_request) = abandoned {
            if !may_have_executed {
                self.handle(Event::AttemptsUnwritten { request: id });
            }
            self.handle(Event::ClientDisconnected { request: id });
            self.record_abandoned(self.repetition_key(&client_request));
        }
    }

    /// The number of connections to servers that are open or being opened.
    pub fn server_connections(&self) -> usize {
        self.upstream.open_connections()
    }

    /// Counts a connection that is closed before anything is read from it, for lack of connection slots.
    pub fn record_connection_close(&self, close: UnreadClose) {
        self.metrics.record_connection_close(close);
    }

    /// Counts and logs an invalid request that was answered with `status`.
    pub fn record_invalid_request(&self, request: &str, status: StatusCode, reason: &str) {
        self.metrics.record_invalid_request();
        self.state.borrow_mut().requests.log_invalid(request, status, reason);
    }

    fn send_attempt(
        self: &Rc<Self>,
        state: &mut State,
        request: RequestId,
        server: ServerId,
        timeout_at: Time,
    ) {
        let attempt = state.requests.begin_attempt(request, |request| self.repetition_key(request));
        let Some(NewAttempt { id, client_request, progress, repetition_key }) = attempt else { return };
        if let Some(key) = repetition_key {
            self.attempt_logs.record(OtherProcessEvent::AttemptBegan(key));
        }
        let timing = AttemptTiming::start(&client_request, self.clock.instant_at(timeout_at));
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let build_request = || {
                let now = Instant::now();
                if client_request.client_may_have_left(now) {
                    driver.answer_now(id.request);
                    return None;
                }
                driver.may_begin(id, now).then(|| timing.build_request(&client_request, now))
            };
            let timeout = timing.wait_for_timeout();
            let result = driver
                .upstream
                .send_attempt(server, build_request, client_request.streamed_body(), timeout, &progress)
                .await;
            driver.finish_attempt(id, server, result, timing.measured_from().elapsed());
        });
    }

    /// Whether an attempt may still begin now that its connection is established.
    fn may_begin(&self, id: AttemptId, now: Instant) -> bool {
        let balancer = &self.state.borrow().queue.balancer;
        balancer.may_begin(self.clock.time_at(now), id.request, id.number)
    }

    /// Reports the outcome of an attempt to the balancer. The first served attempt of a request ends the request.
    fn finish_attempt(
        self: &Rc<Self>,
        id: AttemptId,
        server: ServerId,
        result: ExchangeResult,
        elapsed: Duration,
    ) {
        let elapsed = Span(elapsed.as_micros() as u64);
        let has_body_failed = self.state.borrow().requests.has_body_failed(id.request);
        if has_body_failed {
            // The client's request is incomplete, so there is nothing to retry.
            self.abandon(id.request);
        }
        self.metrics.record_attempt(server, result.outcome);
        self.record_attempt_end(id);
        let is_finished = {
            let State { requests, servers, .. } = &mut *self.state.borrow_mut();
            let label = ServerLabel { name: servers.name(server), zone: servers.zone(server) };
            if let Some(served) = result.response {
                let driver = self.clone();
                let on_end = move |request: &str, end| driver.record_stream_end(request, server, &end);
                requests.serve(id.request, served, on_end, &self.names, label);
            }
            let is_finished = !requests.is_pending(id.request);
            if !is_finished {
                let attempt = FailedAttempt {
                    server: label.name.to_owned(),
                    zone: label.zone.to_owned(),
                    outcome: result.outcome,
                    status: result.status,
                    connection_idle: result.connection_idle,
                    error: result.error.map(|error| error.to_string()),
                    elapsed,
                };
                requests.record_failed_attempt(id.request, attempt);
            }
            is_finished
        };
        let upload_time_left = self.state.borrow().requests.upload_time_left(id.request);
        upload_time_left.into_iter().for_each(|event| self.handle(event));
        self.handle(Event::Outcome {
            request: id.request,
            attempt: id.number,
            outcome: result.outcome,
            elapsed,
            report: result.load_report,
            request_finished: is_finished,
        });
    }

    /// Logs how the stream of a response ended, and reports if it broke off.
    fn record_stream_end(self: &Rc<Self>, request: &str, server: ServerId, end: &StreamEnd) {
        {
            let State { requests, servers, .. } = &mut *self.state.borrow_mut();
            let label = ServerLabel { name: servers.name(server), zone: servers.zone(server) };
            requests.log_stream_end(request, label, end);
        }
        if end.abort.is_some() {
            self.metrics.record_broken_response();
            self.handle(Event::ResponseAborted { server });
        }
    }

    fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent_at = Instant::now();
            let ExchangeResult { outcome, load_report: report, .. } =
                driver.upstream.check_health(server).await;
            let elapsed = Span(sent_at.elapsed().as_micros() as u64);
            driver.handle(Event::HealthChecked { server, outcome, elapsed, report });
        });
    }

    // Queries for the admin API and for snapshots.

    /// Whether any server accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.has_serving()
    }

    /// Logs how many requests have no final response, if there are any.
    pub fn log_unanswered(&self) {
        let state = self.state.borrow();
        let (requests, uploads) = (state.requests.len(), state.requests.uploads());
        if requests > 0 {
            tracing::warn!(target: "process", requests, uploads, "requests are unanswered, and the process may be killed");
        }
    }

    /// Whether this process accepts client connections and any server accepts requests.
    pub fn is_serving(&self) -> bool {
        self.is_accepting.get() && self.is_ready()
    }

    /// All counts since the process started.
    pub fn counts(&self) -> Counts {
        self.metrics.counts()
    }

    /// A view of the current state. No event can be handled while it exists.
    pub fn view(&self) -> View<'_> {
        View::new(self.state.borrow(), &self.names, &self.metrics, self.clock.now())
    }
}
