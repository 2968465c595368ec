//! The endpoint list: what service discovery says of the servers.

use crate::{CellId, KindId, ServerId, Time, ZoneId};

/// What service discovery says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Status {
    /// It accepts requests.
    Serving,
    /// It finishes the requests it has; nothing new may be sent to it.
    Draining,
    /// It has been removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its status.
    pub status: Status,
    /// Its weight relative to the other servers; [`crate::Settings::weights`] says what it means.
    pub weight: f64,
    /// When its process last started, if that was recently.
    pub started: Option<Time>,
}

impl Endpoint {
    /// A serving endpoint that started long ago, in zone, machine type and cell 0.
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

/// A change of the endpoint list, or a failure to learn of one.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Only the entries that changed, or the last of them.
    Changes(Vec<Endpoint>),
    /// Changed entries of a response that is still being received and may yet turn out to be unusable.
    Partial(Vec<Endpoint>),
    /// The complete list: servers that it does not name have been removed.
    Complete(Vec<Endpoint>),
    /// The complete list as it was stored before a restart; may be stale.
    Saved(Vec<Endpoint>),
    /// A poll or the watch failed; the known list still holds.
    Failed,
    /// Discovery answered, but with nothing usable: too large, or not a list. The known list still holds, and the
    /// backoff before the next poll doubles up to [`crate::Settings::max_poll_interval`], also where the list is
    /// pushed, because an immediate retry would get the same answer. The next usable update ends the backoff.
    Unusable,
}
