//! What the operators have said of renderers and zones, and the file in which the processes of one agent share it.
//!
//! Two processes run side by side for a while in an upgrade and are one agent, so a call at either has to hold in both.
//! They share a small file in `$TMPDIR` with the last word on each renderer and its time; the later word wins, whoever
//! wrote it.

use super::file::{self, Owner, FORM};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::Duration;

/// How often a process looks for what the other one has been told.
pub const LOOK: Duration = Duration::from_millis(50);
/// A renderer that came back so long ago is an ordinary one, and no process runs beside another for nearly as long.
const FORGET: Duration = Duration::from_secs(600);
const CORDONS: &str = "cordons";

/// The operators' last word on a renderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Word {
    /// It is out of use.
    pub out: bool,
    /// When that was said, in Unix microseconds.
    pub at: u64,
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
        let at = file::unix_now().max(before + 1);
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
        let theirs = match file::read::<File>(file, |file| (file.form, &file.of), &self.owner, same) {
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
        let forget = file::unix_now().saturating_sub(FORGET.as_micros() as u64);
        self.words.retain(|_, word| word.out || word.at > forget);
        file::replace(file, &File { form: FORM, of: self.owner.clone(), words: self.words.clone() })
    }
}

fn stamp(metadata: &Metadata) -> Stamp {
    (metadata.ino(), metadata.mtime(), metadata.mtime_nsec(), metadata.len())
}

#[cfg(test)]
mod tests;
