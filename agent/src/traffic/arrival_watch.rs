//! Since when arrivals in a queue of the kernel may have waited unnoticed.

use std::cell::Cell;
use tokio::time::Instant;

/// Bounds the time of arrivals in the accept queue of a listener or in the receive buffer of a connection.
///
/// While a task waits for the queue, an arrival is noticed at once. One that is found without such a wait may have come at
/// any time since the queue was last known to be empty.
#[derive(Debug)]
pub struct ArrivalWatch {
    /// Since when the queue has been empty and a task has waited for the next arrival; `None` if none waits.
    waiting_since: Cell<Option<Instant>>,
    /// What the queue holds has not arrived before this time.
    not_before: Cell<Instant>,
}

impl ArrivalWatch {
    /// The watch of a queue in which nothing has arrived before `not_before`.
    pub fn new(not_before: Instant) -> Self {
        ArrivalWatch { waiting_since: Cell::new(None), not_before: Cell::new(not_before) }
    }

    /// Since when the queue has been empty and a task has waited for the next arrival; `None` if none waits.
    pub fn waiting_since(&self) -> Option<Instant> {
        self.waiting_since.get()
    }

    /// Records that the queue is empty and that a task waits for the next arrival.
    pub fn record_waiting(&self) {
        if self.waiting_since.get().is_none() {
            self.waiting_since.set(Some(Instant::now()));
        }
    }

    /// Records that something was taken from the queue at `now`, and whether the queue is empty after it. Returns the
    /// earliest time at which what was taken can have arrived.
    pub fn record_taken(&self, now: Instant, is_emptied: bool) -> Instant {
        let was_watched = self.waiting_since.take().is_some();
        let arrived_at = if was_watched { now } else { self.not_before.get() };
        if was_watched || is_emptied {
            self.not_before.set(now);
        }
        arrived_at
    }
}

#[cfg(test)]
mod tests;
