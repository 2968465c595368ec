//! Lingering closes: connections that the agent has shut down and whose peers have not closed their side yet. While new
//! connections wait for a slot, the closes that have lingered longest are aborted; otherwise each has its full time.

use crate::traffic::abort_queue::AbortQueue;
use crate::traffic::socket::Socket;
use std::time::Duration;
use tokio::time::Instant;

/// A peer has at least this long to close its side, even while new connections wait for slots: by then a response in
/// flight has arrived, and bytes that the peer sent before it got the response have been read.
const MIN_LINGER_TIME: Duration = Duration::from_millis(50);

/// The lingering closes of a process.
pub struct LingeringCloses(AbortQueue);

impl Default for LingeringCloses {
    fn default() -> Self {
        LingeringCloses(AbortQueue::new(MIN_LINGER_TIME))
    }
}

impl LingeringCloses {
    /// Shuts down the agent's side of a connection, then lingers until the peer has closed its side, the linger timeout
    /// has expired or the close is aborted.
    pub async fn close(&self, socket: Socket) {
        let LingeringCloses(closes) = self;
        closes.run(Instant::now(), || true, socket.close_lingering()).await;
    }

    /// Waits until the oldest close has lingered for [`MIN_LINGER_TIME`], aborts it and waits for its end.
    pub async fn abort_oldest(&self) {
        let LingeringCloses(closes) = self;
        closes.abort_oldest().await;
    }
}

#[cfg(test)]
mod tests;
