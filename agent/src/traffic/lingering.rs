//! Lingering closes: connections that the agent has ended and whose peers have not. Each may take its time; while others
//! wait for a place, those that have lingered longest make room.

use crate::traffic::socket::Socket;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// What a peer gets to end its own side even where places are short: an answer on its way has come by then, and bytes
/// that crossed it have been read away.
const LINGER_LEAST: Duration = Duration::from_millis(50);

/// The lingering closes of a process, the oldest first.
#[derive(Default)]
pub struct Lingering {
    closes: RefCell<VecDeque<Close>>,
    begun: Notify,
}

/// One of them, as the listening side sees it.
struct Close {
    since: Instant,
    cut: oneshot::Sender<()>,
    over: oneshot::Receiver<()>,
}

impl Lingering {
    /// Ends the own side of a connection and lingers until its peer has ended the other one, for as long as that may
    /// take at most, or until it is cut short.
    pub async fn close(&self, socket: Socket) {
        let (cut, cut_short) = oneshot::channel();
        // Dropped with the end of this close, which tells whoever waits for it.
        let (_ended, over) = oneshot::channel();
        self.forget_ended();
        self.closes.borrow_mut().push_back(Close { since: Instant::now(), cut, over });
        self.begun.notify_one();
        tokio::select! {
            biased;
            () = socket.part() => {}
            _ = cut_short => {}
        }
    }

    /// Waits for the oldest to have had its least time, cuts it short and waits for its end.
    pub async fn cut_oldest(&self) {
        loop {
            match self.oldest() {
                Some(since) if since.elapsed() >= LINGER_LEAST => break,
                Some(since) => sleep_until(since + LINGER_LEAST).await,
                None => self.begun.notified().await,
            }
        }
        let close = self.closes.borrow_mut().pop_front();
        if let Some(Close { cut, over, .. }) = close {
            let _ = cut.send(());
            let _ = over.await;
        }
    }

    /// When the oldest that is still under way has begun.
    fn oldest(&self) -> Option<Instant> {
        self.forget_ended();
        self.closes.borrow().front().map(|close| close.since)
    }

    fn forget_ended(&self) {
        self.closes.borrow_mut().retain(|close| !close.cut.is_closed());
    }
}

#[cfg(test)]
mod tests;
