//! Lingering closes: connections that the agent has ended and whose peers have not. Each may take its time; while new
//! connections wait for a slot, those that have lingered longest are aborted.

use crate::traffic::socket::Socket;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// What a peer gets to end its own side even where slots are short: an answer on its way has come by then, and bytes
/// that crossed it have been read.
const MIN_LINGER: Duration = Duration::from_millis(50);

/// The lingering closes of a process, the oldest first.
#[derive(Default)]
pub struct LingeringCloses {
    closes: RefCell<VecDeque<LingeringClose>>,
    started: Notify,
}

/// One of them, as the listening side sees it.
struct LingeringClose {
    started_at: Instant,
    abort: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl LingeringCloses {
    /// Ends the own side of a connection and lingers until its peer has ended the other one, for as long as that may
    /// take at most, or until it is aborted.
    pub async fn close(&self, socket: Socket) {
        let (abort, aborted) = oneshot::channel();
        // Dropped with the end of this close, which notifies whoever waits for it.
        let (_end_guard, ended) = oneshot::channel();
        self.forget_ended();
        self.closes.borrow_mut().push_back(LingeringClose { started_at: Instant::now(), abort, ended });
        self.started.notify_one();
        tokio::select! {
            biased;
            () = socket.close_lingering() => {}
            _ = aborted => {}
        }
    }

    /// Waits until the oldest has lingered for [`MIN_LINGER`], aborts it and waits for its end.
    pub async fn abort_oldest(&self) {
        loop {
            match self.oldest_started_at() {
                Some(started_at) if started_at.elapsed() >= MIN_LINGER => break,
                Some(started_at) => sleep_until(started_at + MIN_LINGER).await,
                None => self.started.notified().await,
            }
        }
        let close = self.closes.borrow_mut().pop_front();
        if let Some(LingeringClose { abort, ended, .. }) = close {
            let _ = abort.send(());
            let _ = ended.await;
        }
    }

    /// When the oldest that still lingers has started.
    fn oldest_started_at(&self) -> Option<Instant> {
        self.forget_ended();
        self.closes.borrow().front().map(|close| close.started_at)
    }

    fn forget_ended(&self) {
        self.closes.borrow_mut().retain(|close| !close.abort.is_closed());
    }
}

#[cfg(test)]
mod tests;
