//! Writes the operators' commands until they are on disk.
//!
//! A write that fails is retried with backoff for as long as the process runs. The log says so once, and once more when
//! all commands are on disk. Whoever waits for a command gets the result of the next write that contains it.

use crate::peers::clock_reading::ClockReading;
use crate::peers::cordons::{Cordons, PendingWrite};
use crate::peers::writer::{Durability, Writer};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// The pause after the first failure; each further one doubles it up to the longest.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// By then the pause has long reached its maximum; more doublings would overflow.
const MAX_DOUBLINGS: u32 = 16;
/// How long a call waits for the disk: operators are owed an answer within 1 s.
const SAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a command is not on disk yet.
#[derive(Debug, Clone, Error)]
pub enum UnsavedError {
    /// The write failed.
    #[error("{0}; it is written again until it is on disk")]
    Failed(#[source] Arc<io::Error>),
    /// The disk has not answered yet.
    #[error("the disk has not answered yet; it is written until it is on disk")]
    Pending,
}

/// A write that failed.
#[derive(Debug, Clone)]
struct Failure {
    revision: u64,
    error: Arc<io::Error>,
}

/// The results of the last writes.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// The latest revision that is on disk.
    saved_revision: u64,
    /// The latest write that failed.
    failure: Option<Failure>,
}

impl Progress {
    /// The result of the write of a revision; `None` while there is none.
    fn result(&self, revision: u64) -> Option<Result<(), UnsavedError>> {
        if self.saved_revision >= revision {
            return Some(Ok(()));
        }
        let failure = self.failure.as_ref().filter(|failure| failure.revision >= revision)?;
        Some(Err(UnsavedError::Failed(failure.error.clone())))
    }
}

/// What those who wait for commands share with the task that writes them.
#[derive(Default)]
pub struct CommandWriter {
    progress: watch::Sender<Progress>,
    wake: Notify,
}

impl CommandWriter {
    /// Wakes the task, as there is something to write.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until a revision is on disk.
    ///
    /// # Errors
    ///
    /// If the next write of it fails, or takes too long.
    pub async fn wait_until_saved(&self, revision: u64) -> Result<(), UnsavedError> {
        let mut progress = self.progress.subscribe();
        if progress.borrow_and_update().saved_revision >= revision {
            return Ok(());
        }
        self.wake();
        let result = async {
            while progress.changed().await.is_ok() {
                if let Some(result) = progress.borrow_and_update().result(revision) {
                    return result;
                }
            }
            Err(UnsavedError::Pending)
        };
        timeout(SAVE_TIMEOUT, result).await.unwrap_or(Err(UnsavedError::Pending))
    }

    /// Writes what there is to write; never ends.
    pub async fn run(self: Rc<Self>, cordons: Rc<RefCell<Cordons>>, writer: Rc<Writer>) {
        let mut failures = 0;
        loop {
            let draft = cordons.borrow_mut().pending_write(ClockReading::now());
            let Some(PendingWrite { revision, file, text }) = draft else {
                self.wake.notified().await;
                continue;
            };
            match writer.replace(file, text, Durability::PowerLoss).await {
                Ok(()) => {
                    cordons.borrow_mut().mark_saved(revision);
                    self.progress.send_modify(|progress| progress.saved_revision = revision);
                    log_saved(failures);
                    failures = 0;
                }
                Err(error) => {
                    log_failed(&error, failures, cordons.borrow().unsaved_count());
                    let failure = Failure { revision, error: Arc::new(error) };
                    self.progress.send_modify(|progress| progress.failure = Some(failure));
                    self.wait_for_retry(failures).await;
                    failures += 1;
                }
            }
        }
    }

    /// Pauses after so many earlier failures. A new command is written at once.
    async fn wait_for_retry(&self, failures: u32) {
        let doubled = FIRST_RETRY_PAUSE.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
        let _ = timeout(doubled.min(MAX_RETRY_PAUSE), self.wake.notified()).await;
    }
}

/// Logs that all is on disk again, after the failures if there were any.
fn log_saved(failures: u32) {
    if failures > 0 {
        tracing::info!(target: "admin", "the operator commands are on disk, after {failures} failed writes");
    }
}

/// Logs a failed write unless there was one before it.
fn log_failed(error: &io::Error, failures: u32, unsaved_count: usize) {
    if failures == 0 {
        tracing::warn!(
            target: "admin",
            "{unsaved_count} operator commands are not on disk, an upgrade would forget them: {error}; they are written again until they are"
        );
    }
}

#[cfg(test)]
mod tests;
