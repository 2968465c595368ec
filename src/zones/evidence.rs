//! What the rest of the balancer reports to the zones, and the changes that they report back.

use crate::latency::Latencies;
use crate::slot_sets::SlotGroups;
use crate::{Outcome, ServerId, Span, Time, ZoneId};

/// A zone as a whole, or one class in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ZoneScope {
    /// The zone.
    pub(crate) zone: ZoneId,
    /// The class, none for the zone as a whole.
    pub(super) class: Option<usize>,
}

impl ZoneScope {
    /// The zone as a whole.
    pub(super) fn whole_zone(zone: ZoneId) -> Self {
        ZoneScope { zone, class: None }
    }
}

/// What the rest of the balancer has to do after a change of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneChange {
    /// Nothing.
    None,
    /// The use of a zone as a whole has changed: what its servers were suspected of was the zone's.
    Changed(ZoneId),
    /// The same, because the zone does not respond: what is in flight there is to be cancelled.
    Unresponsive(ZoneId),
}

/// What a decision on a zone needs to know.
pub(crate) struct ZoneContext<'a> {
    pub(crate) now: Time,
    /// There are more balancers than servers.
    pub(crate) is_sparse: bool,
    pub(crate) latencies: &'a Latencies,
    /// The open servers of each zone.
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
    /// It took no longer than the latency objective.
    pub(crate) is_in_time: bool,
    /// The usual latency of the server for this class.
    pub(crate) usual_ms: f64,
    /// The server is warming up.
    pub(crate) is_warming_up: bool,
}
