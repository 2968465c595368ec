//! What passes from a process to the one that takes over from it: the listening socket, and what the operators have
//! said of the renderers.
//!
//! Both run side by side for a while and are one agent, so a call at either has to hold in both. They share a small
//! file in `$TMPDIR` with the last word on each renderer and its time; the later word wins, whoever wrote it.
//! A file names the agent and the deployment that it was written for, and nobody else takes it in.

use balancer::{ServerId, ServerSnapshot, Snapshot, Time};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, Metadata};
use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often a process looks for what the other one has been told.
pub const LOOK: Duration = Duration::from_millis(50);
/// The form of the files; one in another form is not this program's.
const FORM: u32 = 2;
/// No file of this program is longer.
const FILE_MOST: u64 = 256 << 10;
/// A renderer that came back so long ago is an ordinary one, and no process runs beside another for nearly as long.
const FORGET: Duration = Duration::from_secs(600);
const CORDONS: &str = "cordons";
const LEARNED: &str = "learned";
/// So much of an agent's name stands in the names of its files; all of it stands in them.
const NAME_MOST: usize = 40;
/// How often that is written, and how old it may be to be of use.
pub const LEARN: Duration = Duration::from_secs(1);
const STALE: Duration = Duration::from_secs(5);

/// The clients' listening socket that the platform holds, if it holds one; the error is for a person.
pub fn listener(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, String> {
    let Some(text) = var("PROXY_LISTEN_FD").filter(|text| !text.is_empty()) else { return Ok(None) };
    let bad = |why: &str| format!("PROXY_LISTEN_FD is {text:?}: {why}");
    let fd: RawFd = text.parse().map_err(|_| bad("a descriptor was expected"))?;
    let open = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|_| bad("no such descriptor is open"))?;
    if fd < 3 || !open.as_os_str().as_encoded_bytes().starts_with(b"socket:") {
        return Err(bad("it is no socket"));
    }
    let listener = adopt(fd);
    listener.set_nonblocking(true).map_err(|e| bad(&e.to_string()))?;
    Ok(Some(listener))
}

#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: the descriptor was found open just above, before the runtime or anything else of this process has
    // opened one of its own, so it is the inherited one; the platform hands it over for this process to own, and it is
    // adopted only here, once.
    unsafe { TcpListener::from_raw_fd(fd) }
}

/// The operators' last word on a renderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Word {
    /// It is out of use.
    pub out: bool,
    /// When that was said, in Unix microseconds.
    pub at: u64,
}

/// Whom a file is written for: one agent of one deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The agent's name.
    pub agent: String,
    /// Where its application connects.
    pub listen: String,
    /// The zones of the deployment: what renderers stand in, whose names the words are about.
    pub zones: Vec<String>,
    /// Its classes, by whose places things are learned.
    pub classes: Vec<String>,
}

impl Owner {
    /// The name of a file, which others do not use.
    fn file(&self, what: &str) -> String {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let agent: String = self.agent.chars().map(plain).take(NAME_MOST).collect();
        let zones = self.zones.join("\0");
        let whole = balancer_settings::fnv1a(&format!("{}\0{}\0{zones}", self.agent, self.listen));
        format!("bellcroft-{agent}-{whole:016x}-{what}.json")
    }

    /// Whether words on renderers mean the same ones.
    fn same_renderers(&self, other: &Owner) -> bool {
        (&self.agent, &self.listen, &self.zones) == (&other.agent, &other.listen, &other.zones)
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Owner { agent, listen, zones, classes } = self;
        write!(
            f,
            "agent {agent:.80} at {listen:.80}, zones {}, classes {}",
            zones.join(" "),
            classes.join(" ")
        )
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    form: u32,
    of: Owner,
    words: BTreeMap<String, Word>,
}

/// What tells one replacement of the file from the next.
type Stamp = (u64, i64, i64, u64);

/// The operators' words on all renderers, and the file that they share with a process beside this one.
pub struct Cordons {
    file: Option<PathBuf>,
    owner: Owner,
    words: BTreeMap<String, Word>,
    seen: Option<Stamp>,
}

impl Cordons {
    /// Knows none; reads and writes them in this folder, if there is one.
    pub fn new(folder: Option<PathBuf>, owner: Owner) -> Self {
        let file = folder.map(|folder| folder.join(owner.file(CORDONS)));
        Cordons { file, owner, words: BTreeMap::new(), seen: None }
    }

    /// Whether a renderer is out of use by the last word on it.
    pub fn out(&self, name: &str) -> bool {
        self.words.get(name).is_some_and(|word| word.out)
    }

    /// Whether there has been any word on a renderer.
    pub fn knows(&self, name: &str) -> bool {
        self.words.contains_key(name)
    }

    /// Keeps a word; an error leaves it said in this process alone.
    pub fn say(&mut self, name: &str, out: bool) -> io::Result<()> {
        let before = self.words.get(name).map_or(0, |word| word.at);
        let at = unix_now().max(before + 1);
        self.words.insert(name.to_owned(), Word { out, at });
        self.write()
    }

    /// The words that another process has written since the last look.
    pub fn look(&mut self) -> Vec<(String, Word)> {
        let Some(file) = &self.file else { return Vec::new() };
        // Without a file nobody has said anything.
        let Ok(stamp) = fs::metadata(file).map(|metadata| stamp(&metadata)) else { return Vec::new() };
        if self.seen == Some(stamp) {
            return Vec::new();
        }
        self.seen = Some(stamp);
        let same = |theirs: &Owner| self.owner.same_renderers(theirs);
        let theirs = match read::<File>(file, |file| (file.form, &file.of), &self.owner, same) {
            Ok(File { words, .. }) => words,
            Err(why) => {
                tracing::warn!(target: "handover", "{} is not taken: {why}", file.display());
                return Vec::new();
            }
        };
        let lost = self.words.iter().any(|(name, own)| theirs.get(name).is_none_or(|word| word.at < own.at));
        let later = |(name, word): &(String, Word)| self.words.get(name).is_none_or(|own| own.at < word.at);
        let news: Vec<_> = theirs.into_iter().filter(later).collect();
        self.words.extend(news.iter().cloned());
        if lost {
            // Both replaced it at once, and this process's word is gone from it.
            if let Err(why) = self.write() {
                tracing::warn!(target: "handover", "{why}");
            }
        }
        news
    }

    fn write(&mut self) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        let forget = unix_now().saturating_sub(FORGET.as_micros() as u64);
        self.words.retain(|_, word| word.out || word.at > forget);
        replace(file, &File { form: FORM, of: self.owner.clone(), words: self.words.clone() })
    }
}

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
    lessons: Snapshot,
    name: impl Fn(ServerId) -> Option<String>,
) -> io::Result<()> {
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
    let learned = Learned { form: FORM, of, at: unix_now(), level, median, class_pace, warm_sent, servers };
    replace(&folder.join(owner.file(LEARNED)), &learned)
}

/// What the process beside this one has learned, if that is fresh.
pub fn lessons(folder: &Path, owner: &Owner, id: impl Fn(&str) -> Option<ServerId>) -> Option<Snapshot> {
    let file = folder.join(owner.file(LEARNED));
    fs::metadata(&file).ok()?;
    let same = |theirs: &Owner| theirs == owner;
    let learned = read::<Learned>(&file, |learned| (learned.form, &learned.of), owner, same)
        .inspect_err(|why| tracing::warn!(target: "handover", "{} is not taken: {why}", file.display()))
        .ok()?;
    if unix_now().saturating_sub(learned.at) > STALE.as_micros() as u64 {
        return None;
    }
    let server = |(name, l): (String, LearnedServer)| {
        let LearnedServer { started, limit, cut, stretch, pace, samples, cold_sent, suspect } = l;
        let (server, started) = (id(&name)?, started.map(Time));
        Some(ServerSnapshot { server, started, limit, cut, stretch, pace, samples, cold_sent, suspect })
    };
    let Learned { level, median, class_pace, warm_sent, servers, .. } = learned;
    let servers = servers.into_iter().filter_map(server).collect();
    Some(Snapshot { level, median, class_pace, warm_sent, servers })
}

/// Replaces a file whole: who reads it finds the old text or the new one.
fn replace(file: &Path, content: &impl Serialize) -> io::Result<()> {
    let new = file.with_extension(format!("{}.new", std::process::id()));
    fs::write(&new, serde_json::to_vec(content)?)?;
    fs::rename(&new, file)
}

fn stamp(metadata: &Metadata) -> Stamp {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec(), metadata.len())
}

/// Reads a file that must have this form and, by `same`, have been written for this agent; the error is for a person.
fn read<T: DeserializeOwned>(
    file: &Path,
    head: impl Fn(&T) -> (u32, &Owner),
    owner: &Owner,
    same: impl Fn(&Owner) -> bool,
) -> Result<T, String> {
    if fs::metadata(file).map_err(|e| e.to_string())?.len() > FILE_MOST {
        return Err(format!("it is longer than {FILE_MOST} bytes"));
    }
    let text = fs::read(file).map_err(|e| e.to_string())?;
    let whole: T = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
    match head(&whole) {
        (FORM, of) if same(of) => Ok(whole),
        (FORM, of) => Err(format!("it was written for {of}, not for {owner}")),
        (form, _) => Err(format!("its form is {form}, not {FORM}")),
    }
}

fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

#[cfg(test)]
mod tests;
