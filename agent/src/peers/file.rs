//! The files that the processes of one agent share. A file names the agent and the deployment that it was written for,
//! and nobody else takes it in.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The form of the files; one in another form is not this program's.
pub const FORM: u32 = 2;
/// No file of this program is longer.
const FILE_MOST: u64 = 256 << 10;
/// So much of an agent's name stands in the names of its files; all of it stands in them.
const NAME_MOST: usize = 40;
/// The extension of files that are still being written.
const TEMPORARY: &str = "new";

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
    pub fn file(&self, what: &str) -> String {
        format!("{}-{what}.json", self.stem())
    }

    /// What the names of this agent's files begin with.
    fn stem(&self) -> String {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let agent: String = self.agent.chars().map(plain).take(NAME_MOST).collect();
        let zones = self.zones.join("\0");
        let whole = balancer_settings::fnv1a(&format!("{}\0{}\0{zones}", self.agent, self.listen));
        format!("bellcroft-{agent}-{whole:016x}")
    }

    /// Whether words on renderers mean the same ones.
    pub fn same_renderers(&self, other: &Owner) -> bool {
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

/// Where a new version of a file is written, before it takes its place.
pub fn temporary(file: &Path) -> PathBuf {
    file.with_extension(format!("{}.{TEMPORARY}", std::process::id()))
}

/// Removes what processes that have ended left of files that never took their place. What cannot be removed stays.
pub fn remove_abandoned(folder: &Path, owner: &Owner) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    let stem = owner.stem();
    for entry in entries.flatten() {
        let name = entry.file_name();
        if name.to_str().and_then(|name| writer_of(name, &stem)).is_some_and(has_ended) {
            let _ = fs::remove_file(entry.path());
        }
    }
}

/// The process that a temporary file of this stem was written by.
fn writer_of(name: &str, stem: &str) -> Option<u32> {
    let (_, process) =
        name.strip_prefix(stem)?.strip_suffix(TEMPORARY)?.strip_suffix('.')?.split_once('.')?;
    process.parse().ok()
}

/// Whether a process has ended. This one has written nothing yet: what has its number is an earlier one's.
fn has_ended(process: u32) -> bool {
    process == std::process::id() || !Path::new("/proc").join(process.to_string()).exists()
}

/// The text of a file, as far as this program would have written it; none if there is no file.
pub fn text(file: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match fs::File::open(file) {
        Ok(file) => file,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(why) => return Err(why),
    };
    let mut text = Vec::new();
    file.take(FILE_MOST + 1).read_to_end(&mut text)?;
    Ok(Some(text))
}

/// Reads a text that must have this form and, by `same`, have been written for this agent; the error is for a person.
pub fn parse<T: DeserializeOwned>(
    text: &[u8],
    head: impl Fn(&T) -> (u32, &Owner),
    owner: &Owner,
    same: impl Fn(&Owner) -> bool,
) -> Result<T, String> {
    if text.len() as u64 > FILE_MOST {
        return Err(format!("it is longer than {FILE_MOST} bytes"));
    }
    let whole: T = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    match head(&whole) {
        (FORM, of) if same(of) => Ok(whole),
        (FORM, of) => Err(format!("it was written for {of}, not for {owner}")),
        (form, _) => Err(format!("its form is {form}, not {FORM}")),
    }
}

/// Both clocks at one moment. Processes share the wall clock alone, which may be stepped; spans within a process go by
/// the monotonic one.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// The monotonic clock.
    pub monotonic: Instant,
    /// The wall clock, in Unix microseconds.
    pub wall: u64,
}

impl Now {
    /// Reads both.
    pub fn read() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        Now { monotonic: Instant::now(), wall }
    }
}

#[cfg(test)]
pub mod tests;
