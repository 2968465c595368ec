//! Writes the operators' commands to disk.
//!
//! A failed write is retried with exponential backoff for as long as the process runs. The first failure is logged, and
//! so is the next success. A call that waits for a command gets the result of the next write that contains it.

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

/// The delay after the first failure. Each further failure doubles it, up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The number of doublings after which the delay grows no further, so that the shift cannot overflow. The delay has
/// reached [`MAX_RETRY_DELAY`] long before.
const MAX_DOUBLINGS: u32 = 16;
/// How long a call waits for the disk. Operators must get an answer within 1 s.
const SAVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a command is not on disk yet.
#[derive(Debug, Clone, Error)]
pub enum UnsavedError {
    /// The last write failed, and it is retried.
    #[error("{0}; it is written again until it is on disk")]
    Failed(#[source] Arc<io::Error>),
    /// The write has not finished yet.
    #[error("the disk has not answered yet; it is written until it is on disk")]
    Pending,
}

/// A failed write.
#[derive(Debug, Clone)]
struct FailedWrite {
    /// The latest revision in the text that could not be written.
    revision: u64,
    error: Arc<io::Error>,
}

/// The results of the latest writes.
#[derive(Debug, Clone, Default)]
struct WriteProgress {
    /// The latest revision that is on disk.
    saved_revision: u64,
    /// The latest write that failed.
    failure: Option<FailedWrite>,
}

impl WriteProgress {
    /// The result of writing a revision; `None` while no write that contains it has ended.
    fn result(&self, revision: u64) -> Option<Result<(), UnsavedError>> {
        if self.saved_revision >= revision {
            return Some(Ok(()));
        }
        let failure = self.failure.as_ref().filter(|failure| failure.revision >= revision)?;
        Some(Err(UnsavedError::Failed(failure.error.clone())))
    }
}

/// Shared between the task that writes the commands and the calls that wait for a command to be on disk.
#[derive(Default)]
pub struct CommandWriter {
    progress: watch::Sender<WriteProgress>,
    wake: Notify,
}

impl CommandWriter {
    /// Wakes the task because there are commands to write.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until a revision is on disk.
    ///
    /// # Errors
    ///
    /// If the next write that contains it fails or takes longer than `SAVE_TIMEOUT`.
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

    /// Writes the commands whenever those on disk are out of date. Never returns.
    pub async fn run(self: Rc<Self>, cordons: Rc<RefCell<Cordons>>, writer: Rc<Writer>) {
        let mut failure_count = 0;
        loop {
            let pending_write = cordons.borrow_mut().pending_write(ClockReading::now());
            let Some(PendingWrite { revision, file, text }) = pending_write else {
                self.wake.notified().await;
                continue;
            };
            match writer.replace(file, text, Durability::PowerLoss).await {
                Ok(()) => {
                    cordons.borrow_mut().mark_saved(revision);
                    self.progress.send_modify(|progress| progress.saved_revision = revision);
                    log_saved(failure_count);
                    failure_count = 0;
                }
                Err(error) => {
                    log_failed(&error, failure_count, cordons.borrow().unsaved_count());
                    let failure = FailedWrite { revision, error: Arc::new(error) };
                    self.progress.send_modify(|progress| progress.failure = Some(failure));
                    self.wait_for_retry(failure_count).await;
                    failure_count += 1;
                }
            }
        }
    }

    /// Waits before the next retry, after `failure_count` earlier failures. A new command ends the wait.
    async fn wait_for_retry(&self, failure_count: u32) {
        let delay = INITIAL_RETRY_DELAY.saturating_mul(1 << failure_count.min(MAX_DOUBLINGS));
        let _ = timeout(delay.min(MAX_RETRY_DELAY), self.wake.notified()).await;
    }
}

/// Logs a successful write if failed ones preceded it.
fn log_saved(failure_count: u32) {
    if failure_count > 0 {
        tracing::info!(target: "admin", "the operator commands are on disk, after {failure_count} failed writes");
    }
}

/// Logs a failed write unless another failed one preceded it.
fn log_failed(error: &io::Error, failure_count: u32, unsaved_count: usize) {
    if failure_count == 0 {
        tracing::warn!(
            target: "admin",
            "{unsaved_count} operator commands are not on disk and would be lost in an upgrade: {error}; the write is retried until they are"
        );
    }
}

#[cfg(test)]
mod tests;
