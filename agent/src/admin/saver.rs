//! Writes the operators' words until they are on disk.
//!
//! A write that fails is repeated, with growing pauses, for as long as the process runs. The log says so once, and once
//! more when all is down. Who waits for a word hears of the next write that has it, however that ends.

use crate::peers::cordons::{Cordons, Draft};
use crate::peers::file::Now;
use crate::peers::writer::{Outlives, Writer};
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};

/// The pause after the first failure; each further one doubles it up to the longest.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_secs(2);
/// A disk that has not answered by then is not waited for: operators are owed an answer within 1 s.
const ANSWER_WITHIN: Duration = Duration::from_millis(700);

/// Why a word is not on disk yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unsaved {
    /// The write failed.
    Failed(String),
    /// The disk has not answered yet.
    Slow,
}

impl fmt::Display for Unsaved {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unsaved::Failed(why) => write!(f, "{why}; it is written again until it is on disk"),
            Unsaved::Slow => write!(f, "the disk has not answered yet; it is written until it is on disk"),
        }
    }
}

/// The last writes.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// The latest revision that is on disk.
    saved: u64,
    /// The latest revision whose write failed, and why.
    failed: Option<(u64, String)>,
}

/// What those who wait for words share with the task that writes them.
#[derive(Default)]
pub struct Saver {
    progress: watch::Sender<Progress>,
    wake: Notify,
}

impl Saver {
    /// There is something to write.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Waits until a revision is on disk, or the next write of it has failed.
    pub async fn saved(&self, revision: u64) -> Result<(), Unsaved> {
        let mut progress = self.progress.subscribe();
        if progress.borrow_and_update().saved >= revision {
            return Ok(());
        }
        self.wake();
        let outcome = async {
            while progress.changed().await.is_ok() {
                let Progress { saved, failed } = &*progress.borrow_and_update();
                match failed {
                    _ if *saved >= revision => return Ok(()),
                    Some((tried, why)) if *tried >= revision => return Err(Unsaved::Failed(why.clone())),
                    _ => {}
                }
            }
            Err(Unsaved::Slow)
        };
        timeout(ANSWER_WITHIN, outcome).await.unwrap_or(Err(Unsaved::Slow))
    }

    /// Writes what there is to write; never ends.
    pub async fn run(self: Rc<Self>, cordons: Rc<RefCell<Cordons>>, writer: Rc<Writer>) {
        let mut failures = 0;
        loop {
            let draft = cordons.borrow_mut().draft(Now::read());
            let Some(Draft { revision, file, text }) = draft else {
                self.wake.notified().await;
                continue;
            };
            match writer.replace(file, text, Outlives::Power).await {
                Ok(()) => {
                    cordons.borrow_mut().saved(revision);
                    self.progress.send_modify(|progress| progress.saved = revision);
                    if failures > 0 {
                        tracing::info!(target: "admin", "what the operators have said is on disk, after {failures} failed writes");
                    }
                    failures = 0;
                }
                Err(why) => {
                    if failures == 0 {
                        say_failed(&why, cordons.borrow().unsaved());
                    }
                    self.progress.send_modify(|progress| progress.failed = Some((revision, why.to_string())));
                    let pause = PAUSE_FIRST.saturating_mul(1 << u32::min(failures, 16)).min(PAUSE_MOST);
                    failures += 1;
                    tokio::select! {
                        () = sleep(pause) => {}
                        // Whoever says something new has it written at once.
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }
}

fn say_failed(why: &io::Error, unsaved: usize) {
    tracing::warn!(
        target: "admin",
        "{unsaved} words of the operators are not on disk, an upgrade would forget them: {why}; they are written again until they are"
    );
}

#[cfg(test)]
mod tests;
