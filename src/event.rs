//! The events that the host passes to a balancer.

use crate::{
    AffinityKey, AttemptNo, ClassId, ClientRequestKey, EndpointUpdate, PeerId, RequestId, ServerId, Snapshot,
    Span, TenantId, Time, TimerId, ZoneId,
};
use std::collections::BTreeMap;

/// A request that a client has sent to the host.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// The request class, which determines the deadline, latency objective and idempotency.
    pub class: ClassId,
    /// The tenant whose quota it counts against; `None` if it belongs to no tenant.
    pub tenant: Option<TenantId>,
    /// The affinity key; `None` if it has no preferred server.
    pub affinity_key: Option<AffinityKey>,
    /// What identifies it to its client; `None` if the host does not tell.
    pub client_key: Option<ClientRequestKey>,
    /// The client's estimate of the CPU time that the request needs on one core.
    pub cost_hint: Option<Span>,
    /// The client has marked the request as a retry.
    pub is_retry: bool,
    /// How much longer the client waits for the answer.
    pub time_left: Span,
    /// How long the request had waited before the balancer got it; the client's timeout is this and `time_left` together.
    pub waited: Span,
    /// The body is still being received and is forwarded as it arrives. The client's waiting time starts at
    /// [`Event::BodyComplete`]; `time_left` limits only the part of the body that is received before the first
    /// attempt.
    pub uploading: bool,
}

impl Request {
    /// A request that is not a retry, has been received completely and has no tenant, affinity key or cost hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            affinity_key: None,
            client_key: None,
            cost_hint: None,
            is_retry: false,
            time_left,
            waited: Span::ZERO,
            uploading: false,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server answered without an error.
    Success,
    /// The server answered with an error; the request may have been executed.
    ServerError,
    /// The server rejected the request without executing it.
    Rejected,
    /// No response before the timeout. The request may have been executed or may still be executing.
    TimedOut,
    /// No connection could be established before the timeout; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    ConnectionReset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// Never sent: the request had ended, its attempts or its time were used up, or the host lacked a resource.
    NotSent,
}

impl Outcome {
    /// Whether the server or the network path to it failed; a rejection by a full queue or a timeout does not count.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionReset)
    }

    /// Whether this outcome proves that the request was not executed.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What the agent's other process has done with requests that are not idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherProcessEvent {
    /// It begins an attempt, which may be executed from now on.
    AttemptBegan(ClientRequestKey),
    /// An attempt has ended.
    AttemptEnded(ClientRequestKey),
    /// The client of a request that may have been executed has left.
    RequestAbandoned(ClientRequestKey),
    /// The process has ended, and its attempts with it.
    ProcessEnded,
}

/// The progress of a call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryCallEvent {
    /// A step of an open call has taken longer than [`crate::CallTimes::patience`]. The call stays open, as discovery may
    /// only be slow.
    Overdue,
    /// A call has been answered completely.
    Answered {
        /// How long its slowest step took; `None` for a watch that was answered within its wait.
        lateness: Option<Span>,
    },
    /// The address of discovery has changed, and all open calls were abandoned.
    AddressChanged,
}

/// The values of a server's load report, in the order of [`crate::Settings::report_fields`].
pub type Report = [f64];

/// Something that has happened and that the balancer has to react to.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// A streamed response has begun. From now on, only this attempt can answer the request.
    FirstByte {
        /// The request that is being answered.
        request: RequestId,
        /// The attempt whose response has begun.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that has ended.
        attempt: AttemptNo,
        /// How the attempt ended.
        outcome: Outcome,
        /// The time since the attempt was sent.
        elapsed: Span,
        /// The load report that came with the response, if any.
        report: Option<Vec<f64>>,
        /// The client has received the final answer or has given up. If false, the balancer has to retry the request
        /// or answer it.
        request_finished: bool,
    },
    /// A request has to be answered now, whether or not its attempts have ended: its time is over, or the host is about
    /// to end.
    AnswerDue {
        /// The request that is owed its answer.
        request: RequestId,
        /// Whether an attempt in flight has been written completely. The host writes nothing more of the others.
        may_have_executed: bool,
    },
    /// The last byte of a request body that was still being received has arrived.
    BodyComplete {
        /// The request whose body is now complete.
        request: RequestId,
        /// How long the client waits for the answer, counted from this event.
        time_left: Span,
    },
    /// How long the client of a request whose body is still being received waits for the answer, if it has sent the body
    /// by now. Before this event, [`Request::time_left`] is assumed.
    UploadTimeLeft {
        /// The request whose body is still being received.
        request: RequestId,
        /// How long the client may still wait, counted from this event.
        time_left: Span,
    },
    /// Part of the request body has been forwarded without a copy being kept, so the body cannot be sent again.
    BodyConsumed {
        /// The request whose body cannot be sent again.
        request: RequestId,
    },
    /// A response that was reported as [`Outcome::Success`] when it began has been aborted before its end.
    ResponseAborted {
        /// The server that sent the response.
        server: ServerId,
    },
    /// No attempt of a request that is in flight has been written completely, and none will be: no server executes one.
    AttemptsUnwritten {
        /// The request of the attempts.
        request: RequestId,
    },
    /// The client has disconnected or has cancelled the request; it needs no answer any more.
    ClientDisconnected {
        /// The request that the client gave up.
        request: RequestId,
    },
    /// A timer set with [`crate::Action::SetTimer`] has expired.
    Timer(TimerId),
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// The time since the health check was sent.
        elapsed: Span,
        /// The load report that came with the response, if any.
        report: Option<Vec<f64>>,
    },
    /// A change of the endpoint list.
    Endpoints(EndpointUpdate),
    /// What the other process of this agent has done, while an upgrade runs both.
    OtherProcess(OtherProcessEvent),
    /// The progress of a call to discovery, apart from the endpoints that it brings.
    DiscoveryCall(DiscoveryCallEvent),
    /// The state that the previous process has saved. It is used only for what this balancer has not yet measured.
    Restore(Snapshot),
    /// An operator cordons a server: no new requests are sent to it until it is uncordoned, whatever its status in the
    /// endpoint list.
    Cordon {
        /// The server to cordon; it need not be in the endpoint list.
        server: ServerId,
    },
    /// An operator uncordons a server. Its process is taken to have been restarted, so it counts as warming up.
    Uncordon {
        /// The server to uncordon.
        server: ServerId,
        /// When the operator uncordoned it; its warm-up starts then.
        at: Time,
    },
    /// An operator evacuates a zone: no new requests are sent to its servers, including those that are added to the
    /// zone later.
    EvacuateZone {
        /// The zone to evacuate.
        zone: ZoneId,
    },
    /// An operator ends the evacuation of a zone. All balancers return to it at the same time, so its servers count as
    /// warming up.
    RestoreZone {
        /// The zone to use again.
        zone: ZoneId,
        /// When the operator ended the evacuation; the warm-up of its servers starts then.
        at: Time,
    },
    /// The region of each zone; replaces any earlier assignment. A zone without an entry is a region of its own. Until
    /// the first event of this kind, all zones count as one region.
    Regions(BTreeMap<ZoneId, u32>),
    /// A message from another balancer.
    Gossip {
        /// The balancer that sent the message.
        from: PeerId,
        /// The encoded message.
        payload: Vec<u8>,
    },
}
