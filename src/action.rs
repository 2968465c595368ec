//! The actions that a balancer asks its host to carry out.

use crate::{AttemptNo, PeerId, RequestId, ServerId, Span, Time, TimerId, ZoneId};

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt; attempts of a request are numbered in the order of these actions.
    Send {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: rejected. The request was not executed and may be retried.
    Reject {
        /// The request.
        request: RequestId,
        /// When a retry makes sense, if that is known.
        retry_after: Option<Span>,
    },
    /// Final answer: failed. The request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Notify the balancer at this time; timers are never cancelled.
    SetTimer {
        /// When.
        at: Time,
        /// The identifier that [`crate::Event::Timer`] carries.
        timer: TimerId,
    },
    /// Send a health check.
    HealthCheck {
        /// The server to check.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    Gossip {
        /// The receiver; `None` for all.
        to: Option<PeerId>,
        /// The message.
        payload: Vec<u8>,
    },
    /// Open or close the watch on the endpoint list.
    Watch {
        /// Whether to open it.
        active: bool,
    },
    /// Poll the complete endpoint list once.
    FetchEndpoints,
    /// Log something that engineers on call may want to read.
    Log {
        /// The server that it concerns, if any.
        server: Option<ServerId>,
        /// The zone that it concerns, if any.
        zone: Option<ZoneId>,
        /// The message.
        text: String,
    },
}
