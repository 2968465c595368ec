//! Whether all that a peer has sent has arrived, and whether the peer may have left although its close has not arrived.
//!
//! If so much lies unread that the kernel takes no more, the peer's kernel holds back what the peer writes, and the end of its
//! stream. A close is noticed when that end arrives, and nothing may begin for a client that has left.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// While fewer bytes than this lie unread, the kernel takes more. The receive window of a new connection is 64 kB on the
/// systems that the agent runs on.
const MIN_HIDING_BYTES: u64 = 32 << 10;
/// Once the kernel has taken no more, it does so again when enough has been read, and the peer learns of it. All that the peer
/// has sent has arrived once nothing is left to read for this long.
const WINDOW_UPDATE_TIME: Duration = Duration::from_millis(10);
/// Something may begin this long after the peer was last known to be there. The limit of the standing test is 0.1 s after
/// the close; a part of it is for the time until the first byte is written.
const MAX_UNCERTAIN_TIME: Duration = Duration::from_millis(80);

/// What is known of the presence of the peer of a connection.
pub struct PeerPresence {
    /// The peer had not left at this time.
    seen_at: Cell<Instant>,
    /// Whether the end of the stream may be held back.
    may_be_hidden: Cell<bool>,
}

impl PeerPresence {
    /// The presence of a peer that was there at `seen_at`.
    pub fn new(seen_at: Instant) -> Self {
        PeerPresence { seen_at: Cell::new(seen_at), may_be_hidden: Cell::new(false) }
    }

    /// Records a read at `now` for which a task had waited since `waiting_since`, if any had.
    pub fn record_read(&self, now: Instant, waiting_since: Option<Instant>) {
        if has_all_arrived(now, waiting_since) {
            self.may_be_hidden.set(false);
            self.seen_at.set(now);
        }
    }

    /// Whether the peer may have left too long ago for anything to begin for it at `now`. `unread_bytes` lie unread; where
    /// the kernel does not tell how many, only a close that has arrived counts.
    pub fn may_have_left(
        &self,
        now: Instant,
        unread_bytes: Option<u64>,
        waiting_since: Option<Instant>,
    ) -> bool {
        let seen_at = self.observe(now, unread_bytes, waiting_since);
        now.saturating_duration_since(seen_at) > MAX_UNCERTAIN_TIME
    }

    /// Observes at `now` that `unread_bytes` lie unread. Returns the last time at which all that the peer had sent had arrived.
    pub fn observe(
        &self,
        now: Instant,
        unread_bytes: Option<u64>,
        waiting_since: Option<Instant>,
    ) -> Instant {
        if has_all_arrived(now, waiting_since) {
            self.may_be_hidden.set(false);
        } else if unread_bytes.is_some_and(|bytes| bytes >= MIN_HIDING_BYTES) {
            self.may_be_hidden.set(true);
        }
        if !self.may_be_hidden.get() {
            self.seen_at.set(now);
        }
        self.seen_at.get()
    }
}

fn has_all_arrived(now: Instant, waiting_since: Option<Instant>) -> bool {
    waiting_since.is_some_and(|since| now.saturating_duration_since(since) >= WINDOW_UPDATE_TIME)
}

#[cfg(test)]
mod tests;
