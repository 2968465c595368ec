//! The actions that a balancer asks its host to carry out.

use crate::{AttemptNo, PeerId, RequestId, ServerId, Span, Time, TimerId, ZoneId};

/// Something that the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out.
        timeout_at: Time,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNo,
    },
    /// Answer the client that the request is rejected. It was not executed, so the client may retry it.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// After how long the client should retry; `None` if that is not known.
        retry_after: Option<Span>,
    },
    /// Answer the client that the request has failed. It may have been executed.
    Fail {
        /// The request to answer.
        request: RequestId,
    },
    /// Pass [`crate::Event::Timer`] to the balancer at a given time. Timers are never cancelled.
    SetTimer {
        /// When the timer expires.
        at: Time,
        /// The identifier to pass in the event.
        timer: TimerId,
    },
    /// Send a health check.
    HealthCheck {
        /// The server to check.
        server: ServerId,
    },
    /// Close this balancer's idle connections to a server.
    CloseIdleConnections {
        /// The server whose connections are closed.
        server: ServerId,
    },
    /// Send a message to one other balancer, or to all.
    Gossip {
        /// The balancer to send it to; `None` for all of them.
        to: Option<PeerId>,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Open a watch on the endpoint list, beside any that is open and overdue, or close all of them.
    Watch {
        /// True to open a watch, false to close them.
        active: bool,
    },
    /// Write a log line for the engineers on call.
    Log {
        /// The server that the message is about, if any.
        server: Option<ServerId>,
        /// The zone that the message is about, if any.
        zone: Option<ZoneId>,
        /// The text of the log line.
        text: String,
    },
}
