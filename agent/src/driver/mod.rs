//! The one owner of the [`Balancer`]: tells it what happens on the sockets, and does what it decides.
//!
//! Nothing is decided here. Everything runs on one thread, so an event is handled, and its actions are carried
//! out, before anything else happens; an action never calls back into the balancer, it queues an event.

pub mod clock;
pub mod queue;
pub mod requests;
pub mod servers;

use crate::admin_api::{Renderer, ZonePhase, ZonePhases};
use crate::config::Config;
use crate::log::{Log, Tried};
use crate::metrics::{Attempts, Counts, Metrics};
use crate::traffic::body::{Budget, Step};
use crate::traffic::pace::turns;
use crate::upstream::client::{Ended, Progress, Upstream};
use crate::upstream::discovery::{Discovery, Listener, News, STEP};
use balancer::{
    Action, AttemptNo, Balancer, EndpointCounts, EndpointUpdate, Event, Idempotency, Outcome, RequestId,
    ServerId, ServerView, SettingsError, Snapshot, Span, Status, Time, ZoneId,
};
use balancer_settings::Names;
use clock::{Clock, WallClock};
use hyper::StatusCode;
use queue::Queue;
use requests::{outgoing, Answer, Arrival, Open, Requests};
use servers::{place, Servers};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// Idle connections are looked through this often.
const SWEEP: Duration = Duration::from_millis(500);

/// Turns of the runtime from an answer at a socket to the attempt that waits for it, and some to spare.
pub const ANSWER_TURNS: u32 = 8;

struct State {
    queue: Queue,
    requests: Requests,
    servers: Servers,
    discovery: Discovery,
}

/// Drives the balancer.
pub struct Driver {
    /// The balancer's clock.
    pub clock: Clock,
    wall_clock: Rc<WallClock>,
    /// The names of the settings.
    pub names: Names,
    /// What each class would do twice, by its number.
    pub effects: Vec<Idempotency>,
    /// Clients are being accepted.
    pub accepts: Cell<bool>,
    metrics: Rc<Metrics>,
    /// What may be held of bodies.
    pub budget: Rc<Budget>,
    upstream: Rc<Upstream>,
    state: RefCell<State>,
    wake: Notify,
}

impl Driver {
    /// A driver that has the list that the configuration knows.
    pub fn start(config: Config, connections: usize) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let wall_clock = Rc::new(WallClock::new(clock));
        let effects = config.settings.classes.iter().map(|c| c.idempotency).collect();
        let metrics = Metrics::new(config.names.classes.len());
        let budget = Rc::new(Budget::of(config.memory_mb, config.is_memory_shared));
        let connect_timeout = Duration::from_micros(config.names.connect_timeout.0);
        let upstream = Rc::new(Upstream::new(
            connections,
            metrics.clone(),
            budget.clone(),
            connect_timeout,
            Duration::from_micros(config.names.keepalive.0),
            config.names.report_fields.clone(),
        ));
        let pushed = config.settings.discovery == balancer::Discovery::Pushed;
        let mut balancer = Balancer::new(config.settings, config.seed)?;
        let mut actions = Vec::new();
        balancer.start(clock.now(), &mut actions);
        let state = State {
            queue: Queue::new(balancer, clock),
            requests: Requests::new(Log::new(clock.origin)),
            servers: Servers::new(config.max_servers, wall_clock.clone()),
            discovery: Discovery::new(config.discovery, connect_timeout, config.max_servers),
        };
        let driver = Rc::new(Driver {
            clock,
            wall_clock,
            names: config.names,
            effects,
            accepts: Cell::new(false),
            metrics,
            budget,
            upstream,
            state: RefCell::new(state),
            wake: Notify::new(),
        });
        {
            let mut state = driver.state.borrow_mut();
            let describe = |server, host: &_| driver.upstream.describe(server, host);
            let list = state.servers.begin(config.endpoint_list, &driver.names, describe);
            state.queue.push(Event::Endpoints(EndpointUpdate::Saved(list)));
            for action in actions {
                driver.carry_out(&mut state, action);
            }
            // Where changes are pushed the balancer never asks for them; on sockets a watch is what brings them.
            if pushed {
                driver.carry_out(&mut state, Action::Watch { active: true });
            }
        }
        driver.pump();
        Ok(driver)
    }

    /// Whether there is a backend to send to.
    pub fn ready(&self) -> bool {
        self.state.borrow().servers.any_up()
    }

    /// Whether this process takes clients.
    pub fn serves(&self) -> bool {
        self.accepts.get() && self.ready()
    }

    /// All counts since the start.
    pub fn counts(&self) -> Counts {
        self.metrics.now()
    }

    /// How many servers there are, and how many of them are avoided.
    pub fn fleet(&self) -> EndpointCounts {
        self.state.borrow().queue.balancer.endpoint_counts(self.clock.now())
    }

    /// What is made of each renderer on the list, by name, and the attempts at it.
    pub fn renderers(&self) -> Vec<Renderer> {
        let state = self.state.borrow();
        let by_server = self.metrics.by_server();
        let renderer = |view: ServerView| {
            let attempts = by_server.get(&view.server).copied().unwrap_or_default();
            Renderer {
                id: state.servers.name(view.server).to_owned(),
                zone: state.servers.zone(view.server).to_owned(),
                serving: view.status == Status::Serving,
                cordoned: view.cordoned,
                is_ejected: view.outlier,
                slow_start_factor: view.slow_start_factor,
                limit: view.limit,
                in_flight: view.in_flight.into(),
                sends: attempts.sends,
                answered: attempts.answered,
                failed: attempts.failed,
                rejected: attempts.rejected,
            }
        };
        let mut renderers: Vec<_> =
            state.queue.balancer.server_views(self.clock.now()).into_iter().map(renderer).collect();
        renderers.sort_by(|a, b| a.id.cmp(&b.id));
        renderers
    }

    /// The attempts at renderers that have left the list, by zone.
    pub fn left(&self) -> BTreeMap<String, Attempts> {
        self.state.borrow().servers.left_by_zone(&self.metrics.by_server())
    }

    /// The number of a server that has had this name.
    pub fn server(&self, name: &str) -> Option<ServerId> {
        self.state.borrow().servers.id(name)
    }

    /// A server's name.
    pub fn name(&self, server: ServerId) -> String {
        self.state.borrow().servers.name(server).to_owned()
    }

    /// What has been learned. Servers' start times are as the list has them: another process, whose clock may have been
    /// set otherwise when it heard of a start, can tell by those whether it knows the same server process.
    pub fn snapshot(&self) -> Snapshot {
        let state = self.state.borrow();
        let mut lessons = state.queue.balancer.snapshot(self.clock.now());
        for lesson in &mut lessons.servers {
            lesson.started = state.servers.born(lesson.server);
        }
        lessons
    }

    /// Begins with what another process has learned of the server processes that this one knows.
    pub fn learn(self: &Rc<Self>, mut lessons: Snapshot) {
        {
            let servers = &self.state.borrow().servers;
            lessons.servers.retain(|lesson| lesson.started == servers.born(lesson.server));
            for lesson in &mut lessons.servers {
                lesson.started = servers.started(lesson.server);
            }
        }
        self.tell([Event::Restore(lessons)]);
    }

    /// The balancer's time at which the wall clock of this machine has read this.
    pub fn time_of_wall_clock(&self, reading: Time) -> Time {
        self.wall_clock.check();
        self.wall_clock.time(reading)
    }

    /// Takes a server out of use for the operators, or brings it back as one that was out until `at`.
    pub fn cordon(self: &Rc<Self>, name: &str, out: bool, at: Time) {
        let server = self.state.borrow_mut().servers.keep(name);
        // One that another process has seen go and come back is as cold here.
        self.tell([Event::Cordon { server }]);
        if !out {
            self.tell([Event::Uncordon { server, at }]);
        }
    }

    /// Whether the settings or the list have a zone of this name.
    pub fn knows_zone(&self, name: &str) -> bool {
        self.names.zones.iter().any(|zone| zone == name) || self.state.borrow().servers.knows_zone(name)
    }

    /// Leaves a zone for the operators, or returns to one that was left until `at`.
    pub fn zone(self: &Rc<Self>, name: &str, out: bool, at: Time) {
        let zone = ZoneId(place(&self.names.zones, name));
        // As with a cordon: one that another process has seen left and returned to comes back slowly here as well.
        self.tell([Event::EvacuateZone { zone }]);
        if !out {
            self.tell([Event::RestoreZone { zone, at }]);
        }
    }

    /// The zones of each region, from now on.
    pub fn regions(self: &Rc<Self>, regions: &BTreeMap<String, Vec<String>>) {
        let number = |(zone, region): (&String, u32)| (ZoneId(place(&self.names.zones, zone)), region);
        let of = regions.values().zip(0..).flat_map(|(zones, region)| zones.iter().map(move |z| (z, region)));
        self.tell([Event::Regions(of.map(number).collect())]);
    }

    /// How the balancer uses each zone that the list names: as a whole, and for the classes where that differs.
    pub fn zone_phases(&self) -> BTreeMap<String, ZonePhases> {
        let state = self.state.borrow();
        let mut phases: BTreeMap<String, ZonePhases> = BTreeMap::new();
        for view in state.queue.balancer.zone_views() {
            let zone = phases.entry(state.servers.zone_name(view.zone).to_owned()).or_default();
            let phase = format!("{:?}", view.phase).to_lowercase();
            match view.class.and_then(|class| self.names.classes.get(class.0)) {
                Some(class) => {
                    zone.classes.insert(
                        class.clone(),
                        ZonePhase { phase, share: view.share, why: view.why.to_owned() },
                    );
                }
                None => zone.overall = ZonePhase { phase, share: view.share, why: view.why.to_owned() },
            }
        }
        phases
    }

    /// Tells the balancer, and does what it decides.
    fn tell(self: &Rc<Self>, events: impl IntoIterator<Item = Event>) {
        {
            let mut state = self.state.borrow_mut();
            events.into_iter().for_each(|event| state.queue.push(event));
        }
        self.pump();
    }

    /// Hands a request to the balancer; its answer comes over the channel.
    pub fn submit(self: &Rc<Self>, arrival: Arrival) -> (RequestId, oneshot::Receiver<Answer>) {
        let (answer, receiver) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let id = state.requests.number();
            let request = balancer::Request {
                id,
                class: arrival.class,
                tenant: arrival.tenant,
                key: arrival.key,
                cost_hint: arrival.cost_hint,
                repeat: arrival.repeat,
                time_left: self.clock.at(arrival.deadline).since(self.clock.now()),
                uploading: arrival.intake().is_some(),
            };
            let taken = match arrival.intake() {
                None => self.metrics.take(arrival.class.0),
                Some(intake) => {
                    let driver = self.clone();
                    intake.tells(move |step| driver.uploads(id, step));
                    self.metrics.upload(arrival.class.0)
                }
            };
            let parts = Rc::new(arrival);
            state
                .requests
                .open
                .insert(id, Open { answer, parts, taken, timed_out: false, tried: Vec::new() });
            state.queue.push(Event::Request(request));
            id
        };
        self.pump();
        (id, receiver)
    }

    /// A long body has taken a step.
    fn uploads(self: &Rc<Self>, id: RequestId, step: Step) {
        {
            let mut state = self.state.borrow_mut();
            let Some(open) = state.requests.open.get_mut(&id) else { return };
            let event = match step {
                Step::Spent => Event::BodyConsumed { request: id },
                Step::Whole => {
                    open.taken.whole();
                    let whole_at = open.parts.intake().and_then(|intake| intake.whole_at());
                    let spent = whole_at.map_or(Duration::ZERO, |whole| whole.elapsed());
                    let time_left = Span(open.parts.wait().saturating_sub(spent).as_micros() as u64);
                    Event::BodyComplete { request: id, time_left }
                }
            };
            state.queue.push(event);
        }
        self.pump();
    }

    /// The client no longer waits, or must not wait longer. Attempts that are out whole go on, and their
    /// outcomes still count; what has not been written stays unwritten.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            if !state.requests.gone(id, &self.names) {
                return;
            }
            state.queue.push(Event::ClientDisconnected { request: id });
        }
        self.pump();
    }

    /// A request made no sense and has been answered so.
    pub fn turned_away(&self, request: &str, status: StatusCode, why: &str) {
        self.metrics.bad();
        self.state.borrow_mut().requests.turned_away(request, status, why);
    }

    /// What discovery says; whether there is more to be done about it than fits beside requests.
    fn hear(self: &Rc<Self>, news: News) -> bool {
        self.wall_clock.check();
        let (update, more) = {
            let mut state = self.state.borrow_mut();
            let describe = |server, host: &_| self.upstream.describe(server, host);
            match news {
                News::Called => {
                    state.servers.called();
                    return false;
                }
                News::Entries(entries) => {
                    let lines = state.servers.take(entries, &self.names, describe);
                    if lines.is_empty() {
                        return false;
                    }
                    (EndpointUpdate::Partial(lines), false)
                }
                News::Whole(_) | News::GoOn => {
                    if let News::Whole(envelope) = news {
                        state.servers.ends(envelope);
                    }
                    match state.servers.step(STEP, &self.names, describe) {
                        (lines, true) => (EndpointUpdate::Changes(lines), false),
                        (lines, false) => (EndpointUpdate::Partial(lines), true),
                    }
                }
                News::Failed => (EndpointUpdate::Failed, false),
                News::Senseless => (EndpointUpdate::Unusable, false),
            }
        };
        self.tell([Event::Endpoints(update)]);
        let mut state = self.state.borrow_mut();
        while let Some((server, zone)) = state.servers.forget() {
            self.upstream.forget(server);
            if let Some(attempts) = self.metrics.forget(server) {
                state.servers.left(&zone, &attempts);
            }
        }
        more
    }

    fn listener(self: &Rc<Self>) -> Listener {
        let driver = self.clone();
        Rc::new(move |news| driver.hear(news))
    }

    /// Discovery is at another address from now on.
    pub fn discovery_moved(self: &Rc<Self>, address: SocketAddr) {
        let mut state = self.state.borrow_mut();
        // Nobody says that both count versions alike.
        state.servers.seq = None;
        state.discovery.moved(&self.listener(), address);
    }

    /// Wakes the balancer when a timer is due, and looks after idle connections; never ends.
    pub async fn run(self: Rc<Self>) {
        let mut sweep = Instant::now() + SWEEP;
        loop {
            let next = self.state.borrow().queue.next_due();
            let until = next.map_or(sweep, |at| at.min(sweep));
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.wake.notified() => {}
            }
            self.state.borrow_mut().queue.go_off();
            self.pump();
            if Instant::now() >= sweep {
                self.upstream.sweep();
                self.wall_clock.check();
                self.write_counts();
                sweep = Instant::now() + SWEEP;
            }
        }
    }

    /// Writes the counts of the last seconds when they are due, with what the balancer makes of its servers.
    fn write_counts(&self) {
        let mut state = self.state.borrow_mut();
        if let Some(counts) = state.requests.log.counts(Instant::now(), &self.metrics) {
            counts.write(self.upstream.held(), &state.queue.balancer.summary());
        }
    }

    /// Handles what is queued, and what that brings.
    fn pump(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(mut actions) = state.queue.next() {
            for action in actions.drain(..) {
                self.carry_out(&mut state, action);
            }
            state.queue.done(actions);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout_at } => self.send(state, request, server, timeout_at),
            Action::Cancel { request, attempt } => {
                if let Some(progress) = state.requests.attempts.get(&(request, attempt.0)) {
                    progress.call_off();
                }
            }
            Action::Reject { request, retry_after } => {
                state.requests.answer(request, Answer::Refused(retry_after), &self.names);
            }
            Action::Fail { request } => {
                let late = state.requests.open.get(&request).is_some_and(|open| open.timed_out);
                let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
                state.requests.answer(request, Answer::Failed(status), &self.names);
            }
            Action::SetTimer { at, timer } => {
                if state.queue.set_timer(at, timer) {
                    self.wake.notify_one();
                }
            }
            Action::HealthCheck { server } => self.probe(server),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(server),
            Action::Watch { active } => {
                let seq = state.servers.seq;
                state.discovery.follow(&self.listener(), active, seq);
            }
            Action::FetchEndpoints => state.discovery.fetch(&self.listener()),
            // Agents of this deployment have no way to talk to each other, and the settings say so.
            Action::Gossip { .. } => {}
            Action::Log { server, zone, text } => {
                let zone = match zone {
                    Some(zone) => state.servers.zone_name(zone),
                    None => server.map_or("", |s| state.servers.zone(s)),
                };
                let server = server.map_or("", |s| state.servers.name(s));
                tracing::warn!(target: "decisions", server, zone, "{text}");
            }
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, server: ServerId, timeout_at: Time) {
        let Some(open) = state.requests.open.get_mut(&request) else { return };
        let attempt = open.taken.sends;
        open.taken.sends += 1;
        let sent = Instant::now();
        let until = self.clock.instant(timeout_at);
        let parts = open.parts.clone();
        // A long body is timed from its last byte, by what its client said.
        let (upload, wait) = (parts.intake().cloned(), parts.wait());
        let progress = Rc::new(Progress::default());
        state.requests.attempts.insert((request, attempt), progress.clone());
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let over = async {
                match &upload {
                    None => sleep_until(until).await,
                    Some(upload) => upload.over(wait).await,
                }
                turns(ANSWER_TURNS).await;
            };
            // Its connection may have taken a good part of the wait to come up: what is told is what is left by then.
            let begin = || {
                let now = Instant::now();
                let may_begin = {
                    let balancer = &driver.state.borrow().queue.balancer;
                    balancer.may_begin(driver.clock.at(now), request, AttemptNo(attempt))
                };
                let left = match &upload {
                    None => until.saturating_duration_since(now),
                    Some(upload) => wait.saturating_sub(upload.unread()),
                };
                may_begin.then(|| outgoing(&parts, left))
            };
            let ended = driver.upstream.attempt(server, begin, parts.intake(), over, &progress).await;
            let since = upload.and_then(|upload| upload.whole_at()).map_or(sent, |whole| whole.max(sent));
            driver.ended((request, attempt), server, ended, since);
        });
    }

    /// An attempt is over: the first that is served answers its request.
    fn ended(self: &Rc<Self>, key: (RequestId, u32), server: ServerId, ended: Ended, sent: Instant) {
        let elapsed = Span(sent.elapsed().as_micros() as u64);
        let broken = |open: &Open| open.parts.intake().is_some_and(|intake| intake.is_broken());
        if self.state.borrow().requests.open.get(&key.0).is_some_and(broken) {
            // What its client has not sent whole is no request, and there is nothing to decide any more.
            self.gone(key.0);
        }
        {
            let mut state = self.state.borrow_mut();
            state.requests.attempts.remove(&key);
            self.metrics.attempt(server, ended.outcome);
            if let Some(served) = ended.answer {
                let driver = self.clone();
                let broke = move || driver.broke(server);
                let state = &mut *state;
                let by = (state.servers.name(server), state.servers.zone(server));
                state.requests.serve(key.0, served, broke, &self.names, by);
            }
            let state = &mut *state;
            if let Some(open) = state.requests.open.get_mut(&key.0) {
                let (server, zone) =
                    (state.servers.name(server).to_owned(), state.servers.zone(server).to_owned());
                open.tried.push(Tried {
                    server,
                    zone,
                    outcome: ended.outcome,
                    status: ended.status,
                    idled: ended.idled,
                    why: ended.why,
                    took: elapsed,
                });
                open.timed_out = ended.outcome == Outcome::TimedOut;
            }
            let closed = !state.requests.open.contains_key(&key.0);
            state.queue.push(Event::Outcome {
                request: key.0,
                attempt: AttemptNo(key.1),
                outcome: ended.outcome,
                elapsed,
                report: ended.report,
                closed,
            });
        }
        self.pump();
    }

    /// An answer that was being passed on has broken off.
    fn broke(self: &Rc<Self>, server: ServerId) {
        {
            let mut state = self.state.borrow_mut();
            if state.requests.log.room(Instant::now()) {
                let name = state.servers.name(server);
                let zone = state.servers.zone(server);
                tracing::warn!(target: "request", server = name, zone, "an answer broke off on its way to the client");
            }
            state.queue.push(Event::ResponseAborted { server });
        }
        self.pump();
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let Ended { outcome, report, .. } = driver.upstream.probe(server).await;
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            driver.tell([Event::HealthChecked { server, outcome, elapsed, report }]);
        });
    }
}
