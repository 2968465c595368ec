//! The event loop that owns the [`Balancer`]: it hands it what happens on the sockets and carries out what it decides.
//!
//! Nothing is decided here. Everything runs on one thread, so an event is handled, and its actions are carried out,
//! before anything else happens; an action never enters the balancer again, it queues an event. Each part beside this
//! file owns its own state: the queue has the balancer and its timers, `servers` the endpoint list, `requests` the
//! pending requests. [`Driver`] connects them.

mod attempts;
pub mod client_request;
pub mod clock;
mod endpoint_updates;
mod known_server;
mod queue;
pub mod requests;
mod servers;
mod state;
mod view;

use crate::config::Config;
use crate::log::{FailedAttempt, Log};
use crate::metrics::{Counts, Metrics};
use crate::traffic::memory_budget::MemoryBudget;
use crate::traffic::request_body::BodyEvent;
use crate::upstream::client::UpstreamClient;
use crate::upstream::discovery::{DiscoveryClient, DiscoveryEvent, Listener};
use crate::upstream::exchange::ExchangeResult;
pub use attempts::RESPONSE_DELIVERY_TURNS;
use attempts::{AttemptId, AttemptTime};
use balancer::{
    Action, Balancer, EndpointUpdate, Event, Idempotency, RequestId, ServerId, SettingsError, Snapshot, Span,
    Time, ZoneId,
};
use balancer_settings::Names;
use client_request::ClientRequest;
use clock::{Clock, WallClock};
use endpoint_updates::{apply_discovery_event, forget_removed_servers};
use hyper::StatusCode;
use known_server::number_of;
use queue::Queue;
use requests::{FinalResponse, NewAttempt, PendingRequest, PendingRequests, ServerLabel};
use servers::Servers;
use state::State;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use view::View;

/// Idle connections are evicted, and the wall clock is checked, this often.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The event loop.
pub struct Driver {
    /// The balancer's clock.
    pub clock: Clock,
    wall_clock: Rc<WallClock>,
    /// The names of the settings.
    pub names: Names,
    /// Whether requests of a class are idempotent, by the class's number.
    pub idempotency: Vec<Idempotency>,
    /// Clients are being accepted.
    pub is_accepting: Cell<bool>,
    metrics: Rc<Metrics>,
    /// The memory that bodies may take.
    pub memory_budget: Rc<MemoryBudget>,
    upstream: Rc<UpstreamClient>,
    state: RefCell<State>,
    wake: Notify,
}

impl Driver {
    /// An event loop with the endpoint list of the configuration, for at most `connections` connections to servers.
    /// [`Driver::run`] has to be called for its timers.
    ///
    /// # Errors
    ///
    /// The balancer does not accept the settings.
    pub fn start(config: Config, connections: usize) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let wall_clock = Rc::new(WallClock::new(clock));
        let idempotency = config.settings.classes.iter().map(|class| class.idempotency).collect();
        let metrics = Metrics::new(config.names.classes.len());
        let memory_budget = Rc::new(MemoryBudget::for_process(config.memory_mb, config.is_memory_shared));
        let connect_timeout = Duration::from_micros(config.names.connect_timeout.0);
        let upstream = Rc::new(UpstreamClient::new(
            connections,
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
        // Where changes are pushed the balancer never polls for them; on sockets a watch is what brings them.
        actions.extend(is_pushed.then_some(Action::Watch { active: true }));
        let mut servers = Servers::new(config.max_servers, wall_clock.clone());
        let describe = |server, host: &_| upstream.update_endpoint(server, host);
        let endpoints = servers.apply_list(config.endpoint_list, &config.names, describe);
        let mut queue = Queue::new(balancer, clock);
        queue.push(Event::Endpoints(EndpointUpdate::Saved(endpoints)));
        let state = State {
            queue,
            requests: PendingRequests::new(Log::new(clock.origin)),
            servers,
            discovery: DiscoveryClient::new(config.discovery, connect_timeout, config.max_servers),
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
            wake: Notify::new(),
        });
        for action in actions {
            driver.carry_out(&mut driver.state.borrow_mut(), action);
        }
        driver.dispatch_events();
        Ok(driver)
    }

    /// Hands due timers to the balancer and does the periodic maintenance; never ends.
    pub async fn run(self: Rc<Self>) {
        let mut maintenance_at = Instant::now() + MAINTENANCE_INTERVAL;
        loop {
            let next_due = self.state.borrow().queue.next_due();
            let until = next_due.map_or(maintenance_at, |at| at.min(maintenance_at));
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.wake.notified() => {}
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

    /// Logs the metrics of the last seconds when they are due, with the balancer's summary of its servers.
    fn log_metrics(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(counts) = state.requests.log.counts.take_due(Instant::now(), &self.metrics) {
            counts.write(self.upstream.open_connections(), &state.queue.balancer.summary());
        }
    }

    /// Queues an event and dispatches all that are queued.
    fn handle(self: &Rc<Self>, event: Event) {
        self.state.borrow_mut().queue.push(event);
        self.dispatch_events();
    }

    /// Hands the queued events to the balancer and carries out its actions, until none are left.
    fn dispatch_events(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(mut actions) = state.queue.next() {
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
            state.queue.recycle(actions);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
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
                    self.wake.notify_one();
                }
            }
            Action::HealthCheck { server } => self.check_health(server),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(server),
            Action::Watch { active } => {
                state.discovery.set_watch(&self.discovery_listener(), active, state.servers.version);
            }
            Action::FetchEndpoints => state.discovery.fetch(&self.discovery_listener()),
            // Agents of this deployment have no way to talk to each other, and the settings say so.
            Action::Gossip { .. } => {}
            Action::Log { server, zone, text } => state.servers.log_decision(server, zone, &text),
        }
    }

    // Requests and their attempts.

    /// Hands a request to the balancer; its answer comes over the channel.
    pub fn submit(
        self: &Rc<Self>,
        client_request: ClientRequest,
    ) -> (RequestId, oneshot::Receiver<FinalResponse>) {
        let (answer, receiver) = oneshot::channel();
        let id = self.state.borrow_mut().requests.next_id();
        let request = balancer::Request {
            id,
            class: client_request.class,
            tenant: client_request.tenant,
            affinity_key: client_request.affinity_key,
            cost_hint: client_request.cost_hint,
            is_retry: client_request.is_retry,
            time_left: self.clock.at(client_request.deadline).since(self.clock.now()),
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
        let pending = PendingRequest::new(Rc::new(client_request), answer, metrics);
        self.state.borrow_mut().requests.insert(id, pending);
        self.handle(Event::Request(request));
        (id, receiver)
    }

    /// The streamed body of a request has progressed.
    fn record_body_progress(self: &Rc<Self>, id: RequestId, body_event: BodyEvent) {
        let event = self.state.borrow_mut().requests.record_body_progress(id, body_event);
        if let Some(event) = event {
            self.handle(event);
        }
    }

    /// Gives a request up whose client has disconnected, or must not wait longer. Attempts that are written completely
    /// go on, and their outcomes still count; what has not been written stays unwritten.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        let was_pending = self.state.borrow_mut().requests.abandon(id, &self.names);
        if was_pending {
            self.handle(Event::ClientDisconnected { request: id });
        }
    }

    /// Counts and logs a request that was invalid and has been answered so with this status.
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
        let Some(attempt) = state.requests.begin_attempt(request) else { return };
        let NewAttempt { id, client_request, progress } = attempt;
        let time = AttemptTime::start(&client_request, self.clock.instant(timeout_at));
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let begin = || {
                let now = Instant::now();
                driver.may_begin(id, now).then(|| time.build_request(&client_request, now))
            };
            let timeout = time.wait_for_timeout();
            let ended = driver
                .upstream
                .send_attempt(server, begin, client_request.streamed_body(), timeout, &progress)
                .await;
            driver.finish_attempt(id, server, ended, time.measured_from().elapsed());
        });
    }

    /// Whether the balancer still wants an attempt whose connection is established.
    fn may_begin(&self, id: AttemptId, now: Instant) -> bool {
        let balancer = &self.state.borrow().queue.balancer;
        balancer.may_begin(self.clock.at(now), id.request, id.number)
    }

    /// Reports how an attempt has ended. The first one that is served answers its request.
    fn finish_attempt(
        self: &Rc<Self>,
        id: AttemptId,
        server: ServerId,
        ended: ExchangeResult,
        elapsed: Duration,
    ) {
        let elapsed = Span(elapsed.as_micros() as u64);
        let is_body_broken = self.state.borrow().requests.is_body_broken(id.request);
        if is_body_broken {
            // What its client has not sent completely is no request, and there is nothing to decide any more.
            self.abandon(id.request);
        }
        self.metrics.record_attempt(server, ended.outcome);
        let is_closed = {
            let State { requests, servers, .. } = &mut *self.state.borrow_mut();
            requests.attempts.end(id);
            let label = ServerLabel { name: servers.name(server), zone: servers.zone(server) };
            if let Some(served) = ended.response {
                let driver = self.clone();
                let on_abort = move || driver.record_aborted_response(server);
                requests.serve(id.request, served, on_abort, &self.names, label);
            }
            let is_closed = !requests.is_pending(id.request);
            if !is_closed {
                let attempt = FailedAttempt {
                    server: label.name.to_owned(),
                    zone: label.zone.to_owned(),
                    outcome: ended.outcome,
                    status: ended.status,
                    connection_idle: ended.connection_idle,
                    error: ended.error.map(|error| error.to_string()),
                    elapsed,
                };
                requests.record_failed_attempt(id.request, attempt);
            }
            is_closed
        };
        self.handle(Event::Outcome {
            request: id.request,
            attempt: id.number,
            outcome: ended.outcome,
            elapsed,
            report: ended.load_report,
            request_finished: is_closed,
        });
    }

    /// An answer that was being forwarded has broken off.
    fn record_aborted_response(self: &Rc<Self>, server: ServerId) {
        {
            let State { requests, servers, .. } = &mut *self.state.borrow_mut();
            if requests.log.request_lines.admit_line(Instant::now()) {
                let (name, zone) = (servers.name(server), servers.zone(server));
                tracing::warn!(target: "request", server = name, zone, "an answer broke off on its way to the client");
            }
        }
        self.handle(Event::ResponseAborted { server });
    }

    fn check_health(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let ExchangeResult { outcome, load_report: report, .. } =
                driver.upstream.check_health(server).await;
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            driver.handle(Event::HealthChecked { server, outcome, elapsed, report });
        });
    }

    // Discovery.

    fn discovery_listener(self: &Rc<Self>) -> Listener {
        let driver = self.clone();
        Rc::new(move |event| driver.handle_discovery_event(event))
    }

    /// Applies a watch event; whether another step of it is due once requests have had their turn.
    fn handle_discovery_event(self: &Rc<Self>, event: DiscoveryEvent) -> bool {
        self.wall_clock.check();
        let applied =
            apply_discovery_event(event, &mut self.state.borrow_mut().servers, &self.names, &self.upstream);
        let Some(update) = applied.update else { return applied.has_more };
        self.handle(Event::Endpoints(update));
        forget_removed_servers(&mut self.state.borrow_mut().servers, &self.upstream, &self.metrics);
        applied.has_more
    }

    /// Discovery is at another address from now on.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        // Nothing says that both count versions alike.
        state.servers.version = None;
        state.discovery.change_address(&self.discovery_listener(), address);
    }

    // Operator commands, and what another process knows.

    /// Cordons a server for the operators, or uncordons it as one that was cordoned until `at`.
    pub fn set_cordoned(self: &Rc<Self>, name: &str, is_cordoned: bool, at: Time) {
        let server = self.state.borrow_mut().servers.intern_for_operator(name);
        // One that another process has seen cordoned and uncordoned starts as slowly here.
        self.handle(Event::Cordon { server });
        if !is_cordoned {
            self.handle(Event::Uncordon { server, at });
        }
    }

    /// Evacuates a zone for the operators, or restores one that was evacuated until `at`.
    pub fn set_zone_evacuated(self: &Rc<Self>, name: &str, is_evacuated: bool, at: Time) {
        let zone = ZoneId(number_of(name, &self.names.zones));
        // As with a cordon: one that another process has seen evacuated and restored recovers as slowly here.
        self.handle(Event::EvacuateZone { zone });
        if !is_evacuated {
            self.handle(Event::RestoreZone { zone, at });
        }
    }

    /// Sets the zones of each region.
    pub fn set_regions(self: &Rc<Self>, regions: &BTreeMap<String, Vec<String>>) {
        let zone_id = |zone: &String| ZoneId(number_of(zone, &self.names.zones));
        let numbered = regions.values().zip(0..);
        let region_by_zone =
            numbered.flat_map(|(zones, region)| zones.iter().map(move |zone| (zone_id(zone), region)));
        self.handle(Event::Regions(region_by_zone.collect()));
    }

    /// Restores what another process has learned of the server processes that this one knows.
    pub fn restore(self: &Rc<Self>, snapshot: Snapshot) {
        let applicable = self.view().applicable_snapshot(snapshot);
        self.handle(Event::Restore(applicable));
    }

    /// The balancer's time at which the wall clock of this machine has read this.
    pub fn time_of_wall_clock(&self, reading: Time) -> Time {
        self.wall_clock.check();
        self.wall_clock.time(reading)
    }

    // What the admin API reads.

    /// Whether there is a server to send to.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.has_serving()
    }

    /// Whether this process accepts clients and can serve them.
    pub fn is_serving(&self) -> bool {
        self.is_accepting.get() && self.is_ready()
    }

    /// All counts since the start.
    pub fn counts(&self) -> Counts {
        self.metrics.counts()
    }

    /// What the balancer knows now, by name. Nothing can happen while this is held.
    pub fn view(&self) -> View<'_> {
        View::new(self.state.borrow(), &self.names, &self.metrics, self.clock.now())
    }
}
