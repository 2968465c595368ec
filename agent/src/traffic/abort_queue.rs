//! Work on connections that is aborted, the oldest first, when its connection slot is needed for a new connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// The work that may be aborted, the oldest first.
pub struct AbortQueue {
    /// Younger work is not aborted.
    min_age: Duration,
    entries: RefCell<VecDeque<Entry>>,
    added: Notify,
}

/// A handle to one piece of work, through which it is aborted.
struct Entry {
    started_at: Instant,
    /// Once this is false, the work stays so and is never aborted.
    is_abortable: Box<dyn Fn() -> bool>,
    abort: oneshot::Sender<()>,
    /// Resolves when the work has ended.
    ended: oneshot::Receiver<()>,
}

impl AbortQueue {
    /// A queue without work. Work is not aborted before it is `min_age` old.
    pub fn new(min_age: Duration) -> Self {
        AbortQueue { min_age, entries: RefCell::default(), added: Notify::new() }
    }

    /// Runs work that counts as started at `started_at`. Returns its result, or `None` if it was aborted, which happens
    /// only while `is_abortable` returns true. What `work` owns is dropped before the abort is reported as complete.
    pub async fn run<T>(
        &self,
        started_at: Instant,
        is_abortable: impl Fn() -> bool + 'static,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let (abort, aborted) = oneshot::channel();
        // Dropped when this work ends, which notifies the task that waits for `ended`.
        let (_end_guard, ended) = oneshot::channel();
        self.remove_ended();
        let entry = Entry { started_at, is_abortable: Box::new(is_abortable), abort, ended };
        self.entries.borrow_mut().push_back(entry);
        self.added.notify_one();
        let result = tokio::select! {
            biased;
            result = work => Some(result),
            Ok(()) = aborted => None,
        };
        // Its handle may own what belongs to the connection.
        self.remove_ended();
        result
    }

    /// Waits until the oldest work that may be aborted has reached the minimum age, aborts it and waits for its end.
    pub async fn abort_oldest(&self) {
        loop {
            match self.oldest_started_at() {
                Some(started_at) if started_at.elapsed() >= self.min_age => break,
                Some(started_at) => sleep_until(started_at + self.min_age).await,
                None => self.added.notified().await,
            }
        }
        let entry = self.entries.borrow_mut().pop_front();
        if let Some(Entry { abort, ended, .. }) = entry {
            let _ = abort.send(());
            let _ = ended.await;
        }
    }

    /// When the oldest work that may be aborted has started.
    fn oldest_started_at(&self) -> Option<Instant> {
        self.remove_ended();
        let mut entries = self.entries.borrow_mut();
        while entries.front().is_some_and(|entry| !(entry.is_abortable)()) {
            entries.pop_front();
        }
        entries.front().map(|entry| entry.started_at)
    }

    fn remove_ended(&self) {
        self.entries.borrow_mut().retain(|entry| !entry.abort.is_closed());
    }
}
