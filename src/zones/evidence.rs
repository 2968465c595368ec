//! The input of [`Zones`](super::Zones) from the rest of the balancer, and the changes that it reports back.

use crate::latency::Latencies;
use crate::slot_sets::SlotGroups;
use crate::{Outcome, ServerId, Span, Time, ZoneId};

/// A zone as a whole, or one class in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ZoneScope {
    pub(crate) zone: ZoneId,
    /// `None` for the zone as a whole.
    pub(super) class: Option<usize>,
}

impl ZoneScope {
    /// The zone as a whole.
    pub(super) fn whole_zone(zone: ZoneId) -> Self {
        ZoneScope { zone, class: None }
    }
}

/// What the balancer has to do after an outcome was recorded for a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneChange {
    /// Nothing.
    None,
    /// The share or phase of a zone as a whole has changed. Ejections and suspicions of its servers are to be cleared,
    /// as the zone was their cause.
    Changed(ZoneId),
    /// The same, because the zone does not respond. Attempts in flight there are to be cancelled as well.
    Unresponsive(ZoneId),
}

/// The state of the balancer that decisions about zones depend on.
pub(crate) struct ZoneContext<'a> {
    pub(crate) now: Time,
    /// Traffic is sparse: there are more balancers than servers.
    pub(crate) is_sparse: bool,
    pub(crate) latencies: &'a Latencies,
    /// The slots of the open servers by zone.
    pub(crate) open_servers: &'a SlotGroups<ZoneId>,
    pub(crate) rng: &'a mut fastrand::Rng,
}

/// An attempt that has ended, or has had no response for too long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneAttempt {
    pub(crate) zone: ZoneId,
    pub(crate) server: ServerId,
    pub(crate) sent_at: Time,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneOutcome {
    pub(crate) class: usize,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Span,
    /// The attempt took no longer than the latency objective of its class.
    pub(crate) is_in_time: bool,
    /// The usual latency of the server for this class, in milliseconds.
    pub(crate) usual_ms: f64,
    /// The server is warming up.
    pub(crate) is_warming_up: bool,
}
