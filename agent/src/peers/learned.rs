//! What a process has learned of its renderers, for the one that takes over from it.

use super::file::{self, Now, Owner, FORM};
use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often it is written, and how old it may be to be of use.
pub const LEARN: Duration = Duration::from_secs(1);
const STALE: Duration = Duration::from_secs(5);
/// A process that runs has replaced the file within this.
const REPLACED_WITHIN: Duration = Duration::from_secs(3);
const LEARNED: &str = "learned";

/// What the process has learned of its renderers, under their names; a new one begins with it.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Learned {
    form: u32,
    of: Owner,
    at: u64,
    level: f64,
    median: f64,
    class_pace: Vec<f64>,
    warm_sent: f64,
    servers: BTreeMap<String, LearnedServer>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LearnedServer {
    started: Option<u64>,
    limit: f64,
    cut: bool,
    stretch: f64,
    pace: f64,
    samples: u32,
    cold_sent: f64,
    suspect: bool,
}

/// The file, and what it should say for the next process. Without it that one has a slow start and nothing worse.
pub fn draft(
    folder: &Path,
    owner: &Owner,
    lessons: Snapshot,
    now: Now,
    name: impl Fn(ServerId) -> Option<String>,
) -> (PathBuf, Vec<u8>) {
    let server = |l: ServerSnapshot| {
        let ServerSnapshot { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let started = started.map(|at| at.0);
        Some((
            name(server)?,
            LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect },
        ))
    };
    let Snapshot { level, median, class_pace, warm_sent, servers } = lessons;
    let servers = servers.into_iter().filter_map(server).collect();
    let of = owner.clone();
    let learned = Learned { form: FORM, of, at: now.wall, level, median, class_pace, warm_sent, servers };
    // Text for keys and nothing that could fail to be written.
    (folder.join(owner.file(LEARNED)), serde_json::to_vec(&learned).unwrap_or_default())
}

/// What a process begins with: what the one beside it has learned, if that is fresh.
///
/// The wall clock says so if it agrees with the file. If it does not, the process beside may be gone, or the clock may
/// have been stepped: then the file is fresh as soon as it is replaced, as a process that runs does every [`LEARN`].
pub struct Inheritance {
    file: PathBuf,
    owner: Owner,
    /// The file as it was at first.
    first: Option<Vec<u8>>,
    /// There is no more to wait for after this.
    until: Instant,
    over: bool,
}

impl Inheritance {
    /// What may be in this folder.
    pub fn new(folder: &Path, owner: Owner, now: Now) -> Self {
        let file = folder.join(owner.file(LEARNED));
        Inheritance { file, owner, first: None, until: now.monotonic + REPLACED_WITHIN, over: false }
    }

    /// Whether something may still come.
    pub fn awaited(&self) -> bool {
        !self.over
    }

    /// Looks for it; gives it once.
    pub fn look(&mut self, now: Now, id: impl Fn(&str) -> Option<ServerId>) -> Option<Snapshot> {
        if self.over {
            return None;
        }
        let text = file::text(&self.file).ok().flatten();
        self.over = text.is_none() || now.monotonic >= self.until;
        let text = text?;
        let replaced = self.first.as_ref().is_some_and(|first| *first != text);
        if self.first.is_some() && !replaced {
            return None;
        }
        let learned = self.parse(&text)?;
        if replaced || is_fresh(&learned, now) {
            self.over = true;
            return Some(learned.lessons(id));
        }
        self.first = Some(text);
        None
    }

    /// A text that makes no sense is told of once, and nothing more is expected.
    fn parse(&mut self, text: &[u8]) -> Option<Learned> {
        let same = |theirs: &Owner| *theirs == self.owner;
        let learned = file::parse::<Learned>(text, |learned| (learned.form, &learned.of), &self.owner, same);
        self.over |= learned.is_err();
        learned
            .inspect_err(
                |why| tracing::warn!(target: "handover", "{} is not taken: {why}", self.file.display()),
            )
            .ok()
    }
}

/// By the wall clock. A file of a time to come is as old as one of long ago: the clock was stepped since.
fn is_fresh(learned: &Learned, now: Now) -> bool {
    now.wall.abs_diff(learned.at) <= STALE.as_micros() as u64
}

impl Learned {
    fn lessons(self, id: impl Fn(&str) -> Option<ServerId>) -> Snapshot {
        let server = |(name, l): (String, LearnedServer)| {
            let LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
            let (server, started) = (id(&name)?, started.map(Time));
            Some(ServerSnapshot { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect })
        };
        let Learned { level, median, class_pace, warm_sent, servers, .. } = self;
        let servers = servers.into_iter().filter_map(server).collect();
        Snapshot { level, median, class_pace, warm_sent, servers }
    }
}

#[cfg(test)]
mod tests;
