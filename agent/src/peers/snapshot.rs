//! The snapshot of the decisions that a process stores for the one that takes over from it.

use super::clock_reading::ClockReading;
use super::file::{self, Contents, STORED_FORM};
use super::owner::Owner;
use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A running process replaces its snapshot this often.
pub const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// An older snapshot is of no use.
const MAX_AGE: Duration = Duration::from_secs(5);
/// A process that runs has replaced its snapshot within this, with time to spare for a slow disk.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Names the file; part of the stored form.
const STORED_CONTENTS: &str = "learned";

/// A snapshot as it is stored. The JSON keys are those of the earlier version, which reads the file too.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredSnapshot {
    form: u32,
    #[serde(rename = "of")]
    owner: Owner,
    /// When it was taken, in Unix microseconds.
    #[serde(rename = "at")]
    taken_at_us: u64,
    #[serde(rename = "level")]
    admission_level: f64,
    #[serde(rename = "median")]
    median_latency: f64,
    #[serde(rename = "class_pace")]
    class_latencies: Vec<f64>,
    #[serde(rename = "warm_sent")]
    warmed_up_work: f64,
    /// Servers by their names on the endpoint list.
    servers: BTreeMap<String, StoredServer>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredServer {
    /// Microseconds since the Unix epoch.
    #[serde(rename = "started")]
    started_at_us: Option<u64>,
    #[serde(rename = "limit")]
    concurrency_limit: f64,
    #[serde(rename = "cut")]
    is_limit_reduced: bool,
    #[serde(rename = "stretch")]
    slowdown: f64,
    #[serde(rename = "pace")]
    smoothed_latency: f64,
    samples: u32,
    #[serde(rename = "cold_sent")]
    warming_up_work: f64,
    #[serde(rename = "suspect")]
    is_ejected: bool,
}

impl Contents for StoredSnapshot {
    fn form(&self) -> u32 {
        self.form
    }

    fn owner(&self) -> &Owner {
        &self.owner
    }
}

impl StoredServer {
    fn new(server: &ServerSnapshot) -> Self {
        StoredServer {
            started_at_us: server.started.map(|at| at.0),
            concurrency_limit: server.limit,
            is_limit_reduced: server.was_reduced,
            slowdown: server.slowdown,
            smoothed_latency: server.latency,
            samples: server.samples,
            warming_up_work: server.warming_sent,
            is_ejected: server.is_ejected,
        }
    }

    fn restore(self, server: ServerId) -> ServerSnapshot {
        ServerSnapshot {
            server,
            started: self.started_at_us.map(Time),
            limit: self.concurrency_limit,
            was_reduced: self.is_limit_reduced,
            slowdown: self.slowdown,
            latency: self.smoothed_latency,
            samples: self.samples,
            warming_sent: self.warming_up_work,
            is_ejected: self.is_ejected,
        }
    }
}

impl StoredSnapshot {
    /// The snapshot, of those servers that have an id.
    fn restore(self, server_id: impl Fn(&str) -> Option<ServerId>) -> Snapshot {
        let restore = |(name, server): (String, StoredServer)| Some(server.restore(server_id(&name)?));
        Snapshot {
            admission_level: self.admission_level,
            median_latency: self.median_latency,
            class_latencies: self.class_latencies,
            warm_sent: self.warmed_up_work,
            servers: self.servers.into_iter().filter_map(restore).collect(),
        }
    }

    /// Whether it was taken lately by the wall clock. If it is dated in the future, the clock was stepped since, and
    /// its true age is unknown.
    fn is_fresh(&self, now: ClockReading) -> bool {
        now.wall_us.abs_diff(self.taken_at_us) <= MAX_AGE.as_micros() as u64
    }
}

/// The path of an owner's snapshot.
pub fn path(folder: &Path, owner: &Owner) -> PathBuf {
    folder.join(owner.file_name(STORED_CONTENTS))
}

/// The text to store for a snapshot, of those servers that have a name. Without it the next process has a slow start
/// and nothing worse.
pub fn encode(
    snapshot: &Snapshot,
    owner: &Owner,
    now: ClockReading,
    server_name: impl Fn(ServerId) -> Option<String>,
) -> Vec<u8> {
    let named = |server: &ServerSnapshot| Some((server_name(server.server)?, StoredServer::new(server)));
    let stored = StoredSnapshot {
        form: STORED_FORM,
        owner: owner.clone(),
        taken_at_us: now.wall_us,
        admission_level: snapshot.admission_level,
        median_latency: snapshot.median_latency,
        class_latencies: snapshot.class_latencies.clone(),
        warmed_up_work: snapshot.warm_sent,
        servers: snapshot.servers.iter().filter_map(named).collect(),
    };
    // Its keys are text, so it can always be written as JSON.
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Waits for the snapshot of the process that this one takes over from, if that is fresh.
///
/// The wall clock decides if it agrees with the file. If it does not, the earlier process may be gone, or the clock may
/// have been stepped: then the file is fresh as soon as it is replaced, as a running process does every
/// [`STORE_INTERVAL`].
pub struct SnapshotReader {
    file: PathBuf,
    owner: Owner,
    /// The text that was found first, if its age is uncertain.
    first_text: Option<Vec<u8>>,
    /// A file that has not been replaced by then is of a process that is gone.
    deadline: Instant,
    is_finished: bool,
}

impl SnapshotReader {
    /// A reader of the owner's snapshot in this folder.
    pub fn new(folder: &Path, owner: Owner, now: ClockReading) -> Self {
        let deadline = now.monotonic + REPLACEMENT_TIMEOUT;
        SnapshotReader { file: path(folder, &owner), owner, first_text: None, deadline, is_finished: false }
    }

    /// Whether a snapshot may still be found.
    pub fn is_waiting(&self) -> bool {
        !self.is_finished
    }

    /// Reads the file; returns a fresh snapshot once. A file that cannot be accepted is logged and ends the wait.
    pub fn poll(
        &mut self,
        now: ClockReading,
        server_id: impl Fn(&str) -> Option<ServerId>,
    ) -> Option<Snapshot> {
        if self.is_finished {
            return None;
        }
        let text = file::read(&self.file).ok().flatten();
        self.is_finished = text.is_none() || now.monotonic >= self.deadline;
        let text = text?;
        let is_replaced = self.first_text.as_ref().is_some_and(|first| *first != text);
        if self.first_text.is_some() && !is_replaced {
            return None;
        }
        let stored = self.parse(&text)?;
        if is_replaced || stored.is_fresh(now) {
            self.is_finished = true;
            return Some(stored.restore(server_id));
        }
        self.first_text = Some(text);
        None
    }

    fn parse(&mut self, text: &[u8]) -> Option<StoredSnapshot> {
        match file::parse(text, &self.owner, |found| *found == self.owner) {
            Ok(stored) => Some(stored),
            Err(error) => {
                self.is_finished = true;
                tracing::warn!(target: "handover", "{} is not taken: {error}", self.file.display());
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
