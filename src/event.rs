//! The events that a balancer is notified of.

use crate::{
    AffinityKey, AttemptNo, ClassId, EndpointUpdate, PeerId, RequestId, ServerId, Snapshot, Span, TenantId,
    Time, TimerId, ZoneId,
};
use std::collections::BTreeMap;

/// A request that a client has submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that it belongs to.
    pub tenant: Option<TenantId>,
    /// Its affinity key.
    pub affinity_key: Option<AffinityKey>,
    /// The client's estimate of its work, in core time.
    pub cost_hint: Option<Span>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// How long the client still waits for this request.
    pub time_left: Span,
    /// Its body is still being received and is forwarded as it arrives. Its time counts from [`Event::BodyComplete`];
    /// only what arrives before its first attempt has to arrive within `time_left`.
    pub uploading: bool,
}

impl Request {
    /// A first try without tenant, affinity key or cost hint.
    pub fn new(id: RequestId, class: ClassId, time_left: Span) -> Self {
        Request {
            id,
            class,
            tenant: None,
            affinity_key: None,
            cost_hint: None,
            is_retry: false,
            time_left,
            uploading: false,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; the request may have been executed.
    ServerError,
    /// The server rejected it before execution.
    Rejected,
    /// No response in time; it may have been executed, or still be.
    TimedOut,
    /// No connection could be established in time; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    ConnectionReset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent: the request was over, its attempts or time were used up, or this host lacked a resource.
    NotSent,
}

impl Outcome {
    /// True if the server or the path to it failed; neither a full queue nor a late response counts.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::ServerError | Outcome::ConnectFailed | Outcome::ConnectionReset)
    }

    /// True if this outcome proves that the request was not executed.
    pub fn is_not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load report: values in the order of [`crate::Settings::report_fields`].
pub type Report = [f64];

/// What a balancer is notified of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request has arrived.
    Request(Request),
    /// A streamed response has begun; the request is bound to this attempt.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt that it is bound to.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
        /// The request has its final answer; without this one is still owed.
        request_finished: bool,
    },
    /// The last byte of a request body that was still being received has arrived.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// How long the client waits from now on.
        time_left: Span,
    },
    /// A part of the request body has been forwarded and is not kept: it cannot be sent again.
    BodyConsumed {
        /// The request.
        request: RequestId,
    },
    /// A response that had begun well and was reported as a success has been aborted.
    ResponseAborted {
        /// The server that sent it.
        server: ServerId,
    },
    /// The client has disconnected or cancelled; no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer(TimerId),
    /// The result of a health check.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How the health check ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Span,
        /// The server's load report, if it sent one.
        report: Option<Vec<f64>>,
    },
    /// A change of the endpoint list.
    Endpoints(EndpointUpdate),
    /// What the previous process knew; used only where nothing is known yet.
    Restore(Snapshot),
    /// An operator cordons a server: nothing new is sent to it until it is uncordoned, whatever the endpoint list says.
    Cordon {
        /// The server; it need not be in the endpoint list.
        server: ServerId,
    },
    /// An operator uncordons a server. It has been restarted meanwhile and is warming up.
    Uncordon {
        /// The server.
        server: ServerId,
        /// When that was.
        at: Time,
    },
    /// An operator evacuates a zone: nothing new is sent to any server that the endpoint list has there, now or later.
    EvacuateZone {
        /// The zone.
        zone: ZoneId,
    },
    /// An operator ends the evacuation. All balancers return at once, so each of its servers counts as warming up.
    RestoreZone {
        /// The zone.
        zone: ZoneId,
        /// When that was.
        at: Time,
    },
    /// The region of each zone that has one, from now on; a zone without one is a region of its own. Before this event
    /// all zones are one region.
    Regions(BTreeMap<ZoneId, u32>),
    /// A message from another balancer.
    Gossip {
        /// The sender.
        from: PeerId,
        /// The message.
        payload: Vec<u8>,
    },
}
