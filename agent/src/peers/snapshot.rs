//! The stored snapshot of what the balancer has learned, from which a new process of the agent starts.

use super::clock_reading::ClockReading;
use super::file::{self, Contents, FORMAT_VERSION};
use super::owner::Owner;
use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often a running process replaces its snapshot.
pub const STORE_INTERVAL: Duration = Duration::from_secs(1);
/// A snapshot that is older by the wall clock does not count as fresh.
const MAX_AGE: Duration = Duration::from_secs(5);
/// How long a new process waits for a running one to replace the snapshot. Longer than [`STORE_INTERVAL`], so that a
/// slow disk has time.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The kind in the name of the file, which is part of the file format.
const FILE_KIND: &str = "learned";

/// A [`Snapshot`] as it is stored, with values in the same units. The previous version of the agent reads the file too,
/// so the JSON keys must not change.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredSnapshot {
    /// The format version, [`FORMAT_VERSION`].
    form: u32,
    #[serde(rename = "of")]
    owner: Owner,
    /// When the snapshot was taken, in Unix microseconds.
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
    /// Keyed by the names on the endpoint list.
    servers: BTreeMap<String, StoredServer>,
}

/// A [`ServerSnapshot`] as it is stored.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredServer {
    /// When the server process started, in Unix microseconds; `None` if the endpoint list does not say.
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
    fn format_version(&self) -> u32 {
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

    fn into_snapshot(self, server: ServerId) -> ServerSnapshot {
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
    /// Converts it to a [`Snapshot`]. Servers for which `server_id` returns `None` are left out.
    fn into_snapshot(self, server_id: impl Fn(&str) -> Option<ServerId>) -> Snapshot {
        let restore_server =
            |(name, server): (String, StoredServer)| Some(server.into_snapshot(server_id(&name)?));
        Snapshot {
            admission_level: self.admission_level,
            median_latency: self.median_latency,
            class_latencies: self.class_latencies,
            warm_sent: self.warmed_up_work,
            servers: self.servers.into_iter().filter_map(restore_server).collect(),
        }
    }

    /// Whether the wall clock is within [`MAX_AGE`] of the time at which the snapshot was taken, before or after. A
    /// snapshot dated in the future shows that the clock was stepped since, so its true age is unknown.
    fn is_fresh(&self, now: ClockReading) -> bool {
        now.wall_us.abs_diff(self.taken_at_us) <= MAX_AGE.as_micros() as u64
    }
}

/// The path of an owner's snapshot file.
pub fn path(folder: &Path, owner: &Owner) -> PathBuf {
    folder.join(owner.file_name(FILE_KIND))
}

/// Encodes a snapshot for the file. Servers for which `server_name` returns `None` are left out. A process that starts
/// without a snapshot has a slow start, but no other disadvantage.
pub fn encode(
    snapshot: &Snapshot,
    owner: &Owner,
    now: ClockReading,
    server_name: impl Fn(ServerId) -> Option<String>,
) -> Vec<u8> {
    let to_stored = |server: &ServerSnapshot| Some((server_name(server.server)?, StoredServer::new(server)));
    let stored = StoredSnapshot {
        form: FORMAT_VERSION,
        owner: owner.clone(),
        taken_at_us: now.wall_us,
        admission_level: snapshot.admission_level,
        median_latency: snapshot.median_latency,
        class_latencies: snapshot.class_latencies.clone(),
        warmed_up_work: snapshot.warm_sent,
        servers: snapshot.servers.iter().filter_map(to_stored).collect(),
    };
    // Serialization cannot fail, as all keys are strings.
    serde_json::to_vec(&stored).unwrap_or_default()
}

/// Waits for a fresh snapshot from the process that this one replaces.
///
/// A snapshot whose time is within `MAX_AGE` of the wall clock is fresh. Otherwise the earlier process may have ended
/// long ago, or the clock may have been stepped. A running process replaces its file every [`STORE_INTERVAL`], so the
/// snapshot then counts as fresh once the file has been replaced.
pub struct SnapshotReader {
    file: PathBuf,
    owner: Owner,
    /// The text that was read first, if its age is uncertain.
    first_text: Option<Vec<u8>>,
    /// The time at which the reader stops waiting for the file to be replaced. If it was not replaced by then, the
    /// process that wrote it has ended.
    deadline: Instant,
    /// Whether the reader has returned a snapshot or stopped waiting for one.
    is_finished: bool,
}

impl SnapshotReader {
    /// Creates a reader of the owner's snapshot in `folder`; `now` is the time at which the wait begins.
    pub fn new(folder: &Path, owner: Owner, now: ClockReading) -> Self {
        let deadline = now.monotonic + REPLACEMENT_TIMEOUT;
        SnapshotReader { file: path(folder, &owner), owner, first_text: None, deadline, is_finished: false }
    }

    /// Whether a later poll may still return a snapshot.
    pub fn is_waiting(&self) -> bool {
        !self.is_finished
    }

    /// Reads the file, and returns the snapshot the first time that it is fresh. A file that is missing or invalid ends
    /// the wait; an invalid one is logged.
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
            return Some(stored.into_snapshot(server_id));
        }
        self.first_text = Some(text);
        None
    }

    /// Parses the text of the file. An invalid text is logged and ends the wait.
    fn parse(&mut self, text: &[u8]) -> Option<StoredSnapshot> {
        match file::parse(text, &self.owner, |found| *found == self.owner) {
            Ok(stored) => Some(stored),
            Err(error) => {
                self.is_finished = true;
                tracing::warn!(target: "handover", "{} is ignored: {error}", self.file.display());
                None
            }
        }
    }
}

#[cfg(test)]
mod tests;
