//! One process of one instance: its balancer, and the names by which the simulator knows what the balancer numbers.

use crate::error::EventError;
use crate::hex;
use crate::requests::Requests;
use crate::servers::{CatalogueServer, Servers};
use crate::wire::{AttemptEnd, ClientRequest, Ending, HealthCheckEnd, WireAction};
use balancer::{
    Action, AffinityKey, AttemptNo, Balancer, ClassId, Endpoint, Event, Outcome, PeerId, Request, RequestId,
    ServerId, Span, TenantId, Time,
};
use balancer_settings::fnv1a;

/// The receiver of a gossip message that goes to all instances.
const TO_ALL: i64 = -1;

/// One process of one instance.
pub struct Instance {
    balancer: Balancer,
    servers: Servers,
    requests: Requests,
}

impl Instance {
    /// A process that knows no servers and no requests.
    pub fn new(balancer: Balancer) -> Self {
        Instance { balancer, servers: Servers::default(), requests: Requests::default() }
    }

    /// Starts the balancer.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.balancer.start(now, actions);
    }

    /// Notifies the balancer of an event.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.balancer.handle(now, event, actions);
    }

    /// The endpoints of a catalogue, numbered.
    pub fn endpoints(&mut self, catalogue: &[CatalogueServer]) -> Vec<Endpoint> {
        self.servers.endpoints(catalogue)
    }

    /// A request has come.
    ///
    /// # Errors
    ///
    /// [`EventError::DuplicateRequest`] if its name is in use.
    pub fn request(&mut self, request: &ClientRequest<'_>) -> Result<Event, EventError> {
        let id = self.requests.open(&request.name)?;
        let estimate_ms = request
            .estimate_ms
            .filter(|ms| request.has_flag(ClientRequest::HAS_ESTIMATE) && ms.is_finite() && *ms > 0.0);
        Ok(Event::Request(Request {
            id,
            class: ClassId(request.class),
            tenant: request.tenant.map(TenantId),
            affinity_key: request.affinity_key.as_ref().map(|key| AffinityKey(fnv1a(key))),
            cost_hint: estimate_ms.map(Span::from_ms),
            is_retry: request.has_flag(ClientRequest::IS_REPEAT),
            time_left: Span::from_ms(request.time_left_ms),
            uploading: false,
        }))
    }

    /// A response has started; no event if its request has ended long ago.
    pub fn first_byte(&mut self, request: &str, attempt: u32) -> Option<Event> {
        let request = self.requests.get_mut(request)?;
        Some(Event::FirstByte { request: request.id, attempt: AttemptNo(attempt) })
    }

    /// An attempt has ended; no event if its request has ended long ago.
    pub fn attempt_ended(&mut self, end: AttemptEnd<'_>) -> Option<Event> {
        let request = self.requests.get_mut(&end.request)?;
        request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        request.has_ended |= end.closed;
        Some(Event::Outcome {
            request: request.id,
            attempt: AttemptNo(end.attempt),
            outcome: end.ending.into(),
            elapsed: Span::from_ms(end.elapsed_ms),
            report: end.report,
            request_finished: end.closed,
        })
    }

    /// A client no longer waits; no event if its request has ended long ago.
    pub fn client_disconnected(&mut self, request: &str) -> Option<Event> {
        let request = self.requests.get_mut(request)?;
        request.has_ended = true;
        Some(Event::ClientDisconnected { request: request.id })
    }

    /// A health check has ended.
    ///
    /// # Errors
    ///
    /// [`EventError::UnknownServer`] if no list has named its server.
    pub fn health_checked(&self, end: HealthCheckEnd<'_>) -> Result<Event, EventError> {
        let server =
            self.servers.id(&end.server).ok_or_else(|| EventError::UnknownServer(end.server.into_owned()))?;
        Ok(Event::HealthChecked {
            server,
            outcome: end.ending.into(),
            elapsed: Span::from_ms(end.elapsed_ms),
            report: end.report,
        })
    }

    /// A gossip message has come.
    ///
    /// # Errors
    ///
    /// [`EventError::MalformedMessage`] if it is not in hexadecimal digits.
    pub fn gossip(&self, from: u32, payload: &str) -> Result<Event, EventError> {
        let payload = hex::decode(payload).ok_or_else(|| EventError::MalformedMessage(payload.to_owned()))?;
        Ok(Event::Gossip { from: PeerId(from), payload })
    }

    /// An action as it is written. One that names what the simulator does not know is a fault of the balancer.
    pub fn encode(&mut self, action: Action) -> WireAction {
        match action {
            Action::Send { request, server, timeout_at } => self.route(request, server, timeout_at),
            Action::Cancel { request, attempt } => match self.requests.by_id(request) {
                Some((request, _)) => WireAction::Abandon { request, attempt: attempt.0 },
                None => unknown_request(),
            },
            Action::Reject { request, retry_after } => match self.end(request) {
                Some(request) => {
                    WireAction::OverloadReply { request, retry_after_ms: retry_after.map(Span::as_ms) }
                }
                None => unknown_request(),
            },
            Action::Fail { request } => match self.end(request) {
                Some(request) => WireAction::Abort { request },
                None => unknown_request(),
            },
            Action::SetTimer { at, timer } => WireAction::Timer { at_ms: at.as_ms(), timer: timer.0 },
            Action::HealthCheck { server } => match self.servers.name(server) {
                Some(server) => WireAction::HealthCheck { server },
                None => unknown_server(),
            },
            Action::CloseIdleConnections { server } => match self.servers.name(server) {
                Some(server) => WireAction::CloseIdle { server },
                None => unknown_server(),
            },
            Action::Gossip { to, payload } => {
                let to = to.map_or(TO_ALL, |peer| i64::from(peer.0));
                WireAction::Announce { to, payload: hex::encode(&payload) }
            }
            Action::Watch { active } => WireAction::Follow { active },
            Action::FetchEndpoints => WireAction::Pull {},
            Action::Log { text, .. } => WireAction::NoteDown { text },
        }
    }

    fn route(&mut self, request: RequestId, server: ServerId, timeout_at: Time) -> WireAction {
        let Some(server) = self.servers.name(server) else { return unknown_server() };
        let Some((name, request)) = self.requests.by_id(request) else { return unknown_request() };
        request.attempts_in_flight += 1;
        WireAction::Route { request: name, server, until_ms: timeout_at.as_ms() }
    }

    /// Notes that a request is answered; its name.
    fn end(&mut self, request: RequestId) -> Option<String> {
        let (name, request) = self.requests.by_id(request)?;
        request.has_ended = true;
        Some(name)
    }

    /// Drops the names of requests that no event can name any more.
    pub fn drop_ended_requests(&mut self) {
        self.requests.drop_ended();
    }
}

fn unknown_request() -> WireAction {
    WireAction::Bug { text: "an action for a request that is not open".into() }
}

fn unknown_server() -> WireAction {
    WireAction::Bug { text: "an action for a server that no list has named".into() }
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Done => Outcome::Success,
            Ending::Err => Outcome::ServerError,
            Ending::Busy => Outcome::Rejected,
            Ending::Etimedout => Outcome::TimedOut,
            Ending::Econnrefused => Outcome::ConnectFailed,
            Ending::Econnreset => Outcome::ConnectionReset,
            Ending::Ecanceled => Outcome::Cancelled,
            Ending::Skipped => Outcome::NotSent,
        }
    }
}
