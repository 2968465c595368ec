//! What a balancer shows of its state to operators.

use crate::{ClassId, ServerId, Status, Time, ZoneId};

/// The number of endpoints, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointCounts {
    /// Servers in the endpoint list, draining ones included.
    pub listed: usize,
    /// Those of them that the balancer avoids now.
    pub avoided: usize,
}

/// A balancer's view of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// What the endpoint list says of it.
    pub status: Status,
    /// An operator has cordoned it.
    pub cordoned: bool,
    /// It is an outlier: ejected and on probation, or sent a small part of its share for a while.
    pub outlier: bool,
    /// Own attempts in flight to it.
    pub in_flight: u32,
    /// Its concurrency limit: own attempts that it may have in flight now.
    pub limit: f64,
    /// The fraction of its capacity that it has for certain, from 0 to 1; below 1 it is warming up.
    pub slow_start_factor: f64,
}

/// How far a balancer uses a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ZonePhase {
    /// Like any other zone.
    Serving,
    /// Decreasingly, because it fails or is slow.
    Leaving,
    /// Only for probation requests.
    Away,
    /// Increasingly, as long as its responses are good: the recovery ramp.
    Returning,
}

/// A balancer's view of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneView {
    /// The zone.
    pub zone: ZoneId,
    /// The class that this view is about; `None` for all of them.
    pub class: Option<ClassId>,
    /// How far the zone is in use.
    pub phase: ZonePhase,
    /// The fraction of the draws of this zone that are used, from 0 to 1.
    pub share: f64,
    /// Why; empty if the zone has always been serving.
    pub reason: &'static str,
    /// Since when; zero if always.
    pub since: Time,
}
