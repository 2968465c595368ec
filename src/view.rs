//! What a balancer shows of its state: to operators, and to the process that takes over from it.

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
    pub why: &'static str,
    /// Since when; zero if always.
    pub since: Time,
}

/// What a balancer has learned, for the process that takes over from it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The admission level: the fraction of all concurrency limits that is in force.
    pub level: f64,
    /// The median latency of the fleet as a fraction of the latency objective.
    pub median: f64,
    /// The usual latency of each class as a fraction of its latency objective.
    pub class_pace: Vec<f64>,
    /// The work that a warmed-up server was sent recently.
    pub warm_sent: f64,
    /// What is known of single servers.
    pub servers: Vec<ServerSnapshot>,
}

/// What a balancer has learned of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// When the process that this was learned of started, by the endpoint list.
    pub started: Option<Time>,
    /// Its concurrency limit.
    pub limit: f64,
    /// Whether a late response has ever reduced the limit.
    pub cut: bool,
    /// Its latency relative to the usual latency of the class.
    pub stretch: f64,
    /// Its latency as a fraction of the latency objective.
    pub pace: f64,
    /// The number of responses that this rests on.
    pub samples: u32,
    /// The work that it was sent recently while it was warming up.
    pub cold_sent: f64,
    /// It is ejected as an outlier.
    pub suspect: bool,
}
