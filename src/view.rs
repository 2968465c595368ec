//! The parts of a balancer's state that are shown to operators.

use crate::{ClassId, ServerId, Status, Time, ZoneId};

/// The numbers of servers, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointCounts {
    /// The servers in the endpoint list, including draining ones.
    pub listed: usize,
    /// The listed servers that currently get no requests or, as outliers, hardly any.
    pub avoided: usize,
}

/// A balancer's view of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerView {
    /// The server that the view is of.
    pub server: ServerId,
    /// The zone that the server runs in.
    pub zone: ZoneId,
    /// The server's status in the endpoint list.
    pub status: Status,
    /// Whether an operator has cordoned the server.
    pub cordoned: bool,
    /// Whether the server is an outlier: ejected and on probation, or limited to a small part of its share for a
    /// while.
    pub outlier: bool,
    /// This balancer's attempts in flight at the server.
    pub in_flight: u32,
    /// The concurrency limit: how many attempts this balancer may have in flight at the server.
    pub limit: f64,
    /// The lower bound of the fraction of its full capacity that the server has, from 0 to 1. Below 1 it is warming
    /// up.
    pub slow_start_factor: f64,
}

/// To what extent a balancer sends requests to a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ZonePhase {
    /// The zone is used without restriction.
    Serving,
    /// The share of requests is being reduced because the zone fails or is slow.
    Leaving,
    /// The zone gets only probation requests.
    Away,
    /// The recovery ramp: the share of requests grows as long as the responses are good.
    Returning,
}

/// A balancer's view of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneView {
    /// The zone that the view is of.
    pub zone: ZoneId,
    /// The class that the view applies to; `None` for all classes.
    pub class: Option<ClassId>,
    /// To what extent the zone is used.
    pub phase: ZonePhase,
    /// The fraction of the random draws from this zone that are used, from 0 to 1.
    pub share: f64,
    /// Why the phase or the share last changed; empty if they never have.
    pub reason: &'static str,
    /// When the phase or the share last changed; zero if they never have.
    pub since: Time,
}
