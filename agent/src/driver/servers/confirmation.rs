//! When discovery last confirmed the endpoint list, and the list of another process that is being taken over.

use crate::upstream::discovery::CallNumber;
use balancer::Time;
use std::collections::HashMap;

/// A list of another process that is being taken over.
pub(super) struct TakenOverList {
    pub(super) call: CallNumber,
    /// When its servers started, by name.
    pub(super) start_times: HashMap<String, Time>,
    /// Whether its version is one of the discovery that this process calls.
    pub(super) is_version_valid: bool,
}

/// When discovery confirmed the list.
#[derive(Default)]
pub(super) struct Confirmation {
    /// Whether discovery has answered this process.
    pub(super) has_answered: bool,
    /// When discovery last answered this process or one before it, in the balancer's time.
    pub(super) confirmed_at: Option<Time>,
    pub(super) takeover: Option<TakenOverList>,
}

impl Confirmation {
    /// When a server of the list `call` started, if that is being taken over and tells it.
    pub(super) fn start_time(&self, call: CallNumber, name: &str) -> Option<Time> {
        let list = self.takeover.as_ref().filter(|list| list.call == call)?;
        list.start_times.get(name).copied()
    }

    /// Whether the version of the list `call` is one of the discovery that this process calls.
    pub(super) fn is_version_valid(&self, call: CallNumber) -> bool {
        self.takeover.as_ref().is_none_or(|list| list.call != call || list.is_version_valid)
    }

    /// Records that the list `call` has been applied completely, at `now`.
    pub(super) fn record_applied(&mut self, call: CallNumber, now: Time) {
        if call.is_call() {
            (self.has_answered, self.confirmed_at) = (true, Some(now));
        } else {
            self.takeover = None;
        }
    }
}
