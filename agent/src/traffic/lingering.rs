//! Lingering closes: connections that the agent has shut down and whose peers have not closed their side yet. While new
//! connections wait for a slot, the closes that have lingered longest are aborted; otherwise each has its full time.

use crate::traffic::socket::Socket;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// A peer has at least this long to close its side, even while new connections wait for slots: by then a response in
/// flight has arrived, and bytes that the peer sent before it got the response have been read.
const MIN_LINGER_TIME: Duration = Duration::from_millis(50);

/// The lingering closes of a process, the oldest first.
#[derive(Default)]
pub struct LingeringCloses {
    closes: RefCell<VecDeque<LingeringClose>>,
    started: Notify,
}

/// A handle to one lingering close, through which it is aborted.
struct LingeringClose {
    started_at: Instant,
    abort: oneshot::Sender<()>,
    /// Resolves when the close has ended.
    ended: oneshot::Receiver<()>,
}

impl LingeringCloses {
    /// Shuts down the agent's side of a connection, then lingers until the peer has closed its side, the linger timeout
    /// has expired or the close is aborted.
    pub async fn close(&self, socket: Socket) {
        let (abort, aborted) = oneshot::channel();
        // Dropped when this close ends, which notifies the task that waits for `ended`.
        let (_end_guard, ended) = oneshot::channel();
        self.remove_ended();
        self.closes.borrow_mut().push_back(LingeringClose { started_at: Instant::now(), abort, ended });
        self.started.notify_one();
        tokio::select! {
            biased;
            () = socket.close_lingering() => {}
            _ = aborted => {}
        }
    }

    /// Waits until the oldest close has lingered for [`MIN_LINGER_TIME`], aborts it and waits for its end.
    pub async fn abort_oldest(&self) {
        loop {
            match self.oldest_started_at() {
                Some(started_at) if started_at.elapsed() >= MIN_LINGER_TIME => break,
                Some(started_at) => sleep_until(started_at + MIN_LINGER_TIME).await,
                None => self.started.notified().await,
            }
        }
        let close = self.closes.borrow_mut().pop_front();
        if let Some(LingeringClose { abort, ended, .. }) = close {
            let _ = abort.send(());
            let _ = ended.await;
        }
    }

    /// When the oldest close that still lingers has started.
    fn oldest_started_at(&self) -> Option<Instant> {
        self.remove_ended();
        self.closes.borrow().front().map(|close| close.started_at)
    }

    fn remove_ended(&self) {
        self.closes.borrow_mut().retain(|close| !close.abort.is_closed());
    }
}

#[cfg(test)]
mod tests;
