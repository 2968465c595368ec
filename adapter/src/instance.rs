//! One process of one instance: its balancer, and the mapping between the simulator's names and the balancer's ids.

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

/// The recipient of a gossip message to all instances, as the protocol writes it.
const ALL_INSTANCES: i64 = -1;

/// A running process of an instance.
pub struct Instance {
    balancer: Balancer,
    servers: Servers,
    requests: Requests,
}

impl Instance {
    /// Creates a process without servers and requests; the balancer is not started yet.
    pub fn new(balancer: Balancer) -> Self {
        Instance { balancer, servers: Servers::default(), requests: Requests::default() }
    }

    /// Starts the balancer, which appends its first actions to `actions`.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.balancer.start(now, actions);
    }

    /// Passes an event to the balancer, which appends its actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.balancer.handle(now, event, actions);
    }

    /// Converts a catalogue to endpoints with this instance's server ids.
    pub fn endpoints(&mut self, catalogue: &[CatalogueServer]) -> Vec<Endpoint> {
        self.servers.endpoints(catalogue)
    }

    /// Registers a new request and converts it to a balancer event.
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
            is_retry: request.has_flag(ClientRequest::IS_RETRY),
            time_left: Span::from_ms(request.time_left_ms),
            waited: Span::ZERO,
            client_key: None,
            uploading: false,
        }))
    }

    /// Converts the start of a response to a balancer event; `None` if the request is unknown or has been dropped.
    pub fn first_byte(&mut self, request: &str, attempt: u32) -> Option<Event> {
        let request = self.requests.get_mut(request)?;
        Some(Event::FirstByte { request: request.id, attempt: AttemptNo(attempt) })
    }

    /// Records the end of an attempt and converts it to a balancer event; `None` if the request is unknown or has been
    /// dropped.
    pub fn attempt_ended(&mut self, end: AttemptEnd<'_>) -> Option<Event> {
        let request = self.requests.get_mut(&end.request)?;
        request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        request.has_ended |= end.request_finished;
        Some(Event::Outcome {
            request: request.id,
            attempt: AttemptNo(end.attempt),
            outcome: end.ending.into(),
            elapsed: Span::from_ms(end.elapsed_ms),
            report: end.report,
            request_finished: end.request_finished,
        })
    }

    /// Records that a client has disconnected and converts this to a balancer event; `None` if the request is unknown
    /// or has been dropped.
    pub fn client_disconnected(&mut self, request: &str) -> Option<Event> {
        let request = self.requests.get_mut(request)?;
        request.has_ended = true;
        Some(Event::ClientDisconnected { request: request.id })
    }

    /// Converts the result of a health check to a balancer event.
    ///
    /// # Errors
    ///
    /// [`EventError::UnknownServer`] if no endpoint list has named the server.
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

    /// Decodes a gossip message to a balancer event.
    ///
    /// # Errors
    ///
    /// [`EventError::MalformedMessage`] if it is not an even number of hexadecimal digits.
    pub fn gossip(&self, from: u32, payload: &str) -> Result<Event, EventError> {
        let payload = hex::decode(payload).ok_or_else(|| EventError::MalformedMessage(payload.to_owned()))?;
        Ok(Event::Gossip { from: PeerId(from), payload })
    }

    /// Converts an action to its wire form. An action for an unknown request or server is a bug in the balancer and
    /// becomes a BUG action.
    pub fn encode(&mut self, action: Action) -> WireAction {
        match action {
            Action::Send { request, server, timeout_at } => self.route(request, server, timeout_at),
            Action::Cancel { request, attempt } => match self.requests.by_id(request) {
                Some((request, _)) => WireAction::Abandon { request, attempt: attempt.0 },
                None => unknown_request(),
            },
            Action::Reject { request, retry_after } => match self.mark_ended(request) {
                Some(request) => {
                    WireAction::OverloadReply { request, retry_after_ms: retry_after.map(Span::as_ms) }
                }
                None => unknown_request(),
            },
            Action::Fail { request } => match self.mark_ended(request) {
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
                let to = to.map_or(ALL_INSTANCES, |peer| i64::from(peer.0));
                WireAction::Announce { to, payload: hex::encode(&payload) }
            }
            Action::Watch { active } => WireAction::Follow { active },
            Action::Log { text, .. } => WireAction::NoteDown { text },
        }
    }

    fn route(&mut self, request: RequestId, server: ServerId, timeout_at: Time) -> WireAction {
        let Some(server) = self.servers.name(server) else { return unknown_server() };
        let Some((name, request)) = self.requests.by_id(request) else { return unknown_request() };
        request.attempts_in_flight += 1;
        WireAction::Route { request: name, server, until_ms: timeout_at.as_ms() }
    }

    /// Marks a request as ended and returns its name.
    fn mark_ended(&mut self, request: RequestId) -> Option<String> {
        let (name, request) = self.requests.by_id(request)?;
        request.has_ended = true;
        Some(name)
    }

    /// Drops ended requests that no further event will name; see [`Requests::drop_ended`].
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
