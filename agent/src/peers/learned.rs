//! What a process has learned of its renderers, for the one that takes over from it.

use super::file::{self, Owner, FORM};
use micasail::{Lesson, Lessons, ServerId, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How often it is written, and how old it may be to be of use.
pub const LEARN: Duration = Duration::from_secs(1);
const STALE: Duration = Duration::from_secs(5);
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

/// Keeps what has been learned for the next process. A failure costs that one a slow start and nothing else.
pub fn keep(
    folder: &Path,
    owner: &Owner,
    lessons: Lessons,
    name: impl Fn(ServerId) -> Option<String>,
) -> io::Result<()> {
    let server = |l: Lesson| {
        let Lesson { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let started = started.map(|at| at.0);
        Some((
            name(server)?,
            LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect },
        ))
    };
    let Lessons { level, median, class_pace, warm_sent, servers } = lessons;
    let servers = servers.into_iter().filter_map(server).collect();
    let of = owner.clone();
    let learned =
        Learned { form: FORM, of, at: file::unix_now(), level, median, class_pace, warm_sent, servers };
    file::replace(&folder.join(owner.file(LEARNED)), &learned)
}

/// What the process beside this one has learned, if that is fresh.
pub fn lessons(folder: &Path, owner: &Owner, id: impl Fn(&str) -> Option<ServerId>) -> Option<Lessons> {
    let file = folder.join(owner.file(LEARNED));
    fs::metadata(&file).ok()?;
    let same = |theirs: &Owner| theirs == owner;
    let learned = file::read::<Learned>(&file, |learned| (learned.form, &learned.of), owner, same)
        .inspect_err(|why| tracing::warn!(target: "handover", "{} is not taken: {why}", file.display()))
        .ok()?;
    if file::unix_now().saturating_sub(learned.at) > STALE.as_micros() as u64 {
        return None;
    }
    let server = |(name, l): (String, LearnedServer)| {
        let LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let (server, started) = (id(&name)?, started.map(Time));
        Some(Lesson { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect })
    };
    let Learned { level, median, class_pace, warm_sent, servers, .. } = learned;
    let servers = servers.into_iter().filter_map(server).collect();
    Some(Lessons { level, median, class_pace, warm_sent, servers })
}

#[cfg(test)]
mod tests;
