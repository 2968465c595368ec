//! The endpoint list: the servers as service discovery reports them.

use crate::{CellId, KindId, ServerId, Time, ZoneId};

/// The status of a server according to service discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// The server accepts requests.
    Serving,
    /// The server finishes the requests that it has; no new ones may be sent to it.
    Draining,
    /// The server has been removed from the endpoint list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// The zone that the server runs in.
    pub zone: ZoneId,
    /// The server's machine type.
    pub kind: KindId,
    /// The cell that the server belongs to.
    pub cell: CellId,
    /// Whether the server accepts requests.
    pub status: Status,
    /// The weight relative to the other servers; [`crate::Settings::weights`] gives its meaning.
    pub weight: f64,
    /// When the server's process last started; `None` if that was long ago.
    pub started: Option<Time>,
}

impl Endpoint {
    /// The entry of a serving server that started long ago, with zone, machine type and cell 0 and weight 1.
    pub fn serving(server: ServerId) -> Self {
        Endpoint {
            server,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            status: Status::Serving,
            weight: 1.0,
            started: None,
        }
    }
}

/// An update of the endpoint list, or a failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// The entries that changed; after [`EndpointUpdate::Partial`], the last of them.
    Changes(Vec<Endpoint>),
    /// Changed entries of a response that is still being received. The rest of it may still prove to be unusable.
    Partial(Vec<Endpoint>),
    /// The complete list; servers that are not in it have been removed.
    Complete(Vec<Endpoint>),
    /// The complete list that was stored before this process started; it may be stale.
    Saved(Vec<Endpoint>),
    /// A poll or the watch failed; the balancer keeps the list that it has.
    Failed,
    /// The answer was unusable: too large, or not an endpoint list. The balancer keeps the list that it has, and the
    /// backoff before the next poll doubles up to [`crate::Settings::max_poll_interval`], also where the list is
    /// pushed, because an immediate retry would get the same answer. The next usable update ends the backoff.
    Unusable,
}
