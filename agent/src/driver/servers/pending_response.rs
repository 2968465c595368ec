//! A response of discovery, or a list that is taken over, that is being applied.

use crate::endpoint_list::{Envelope, ServerEntry};
use balancer::ServerId;
use std::collections::VecDeque;

/// What remains to be applied of a response.
#[derive(Default)]
pub(super) struct PendingResponse {
    /// New servers that are not applied yet.
    pub(super) added: VecDeque<ServerEntry>,
    /// New servers that are ignored because the maximum number of servers is reached.
    pub(super) over_capacity: usize,
    /// Entries that were invalid.
    pub(super) invalid_entries: usize,
    /// The list's version and whether it is complete; `None` until the response has ended.
    pub(super) envelope: Option<Envelope>,
    /// Servers that a complete list does not name, not removed yet.
    pub(super) removed: Vec<ServerId>,
}

/// A change of the known servers that is made when a response has ended.
pub(super) enum ListChange {
    Add(ServerEntry),
    Remove(ServerId),
}

impl PendingResponse {
    /// The next addition or removal. Additions come first, because the balancer needs servers to send to between two
    /// steps.
    pub(super) fn next_change(&mut self) -> Option<ListChange> {
        let added = self.added.pop_front().map(ListChange::Add);
        added.or_else(|| self.removed.pop().map(ListChange::Remove))
    }
}
