//! What the operators have said of renderers and zones, and the file in which the processes of one agent share it.
//!
//! Two processes run side by side for a while in an upgrade and are one agent, so a call at either has to hold in both.
//! They share a small file in `$TMPDIR` with the last word on each renderer and its time; the later word wins, whoever
//! wrote it.

use super::file::{self, Now, Owner, FORM};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

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

/// A word as this process has it.
#[derive(Clone, Copy)]
struct Heard {
    word: Word,
    /// Since when it may count as said, by this process's own monotonic clock.
    since: Instant,
    /// The revision that it came with, if it was said to this process.
    revision: u64,
}

/// The file as it should be.
pub struct Draft {
    /// The revision of the words in it.
    pub revision: u64,
    /// Where it belongs.
    pub file: PathBuf,
    /// What it says.
    pub text: Vec<u8>,
}

/// The operators' words on all renderers, and the file that they share with a process beside this one.
pub struct Cordons {
    file: Option<PathBuf>,
    owner: Owner,
    words: BTreeMap<String, Heard>,
    /// The file as it was when it was last looked at. Times and numbers of files may come again, also by a step of the
    /// wall clock.
    seen: Option<Vec<u8>>,
    /// It cannot be read, and that has been said.
    unreadable: bool,
    /// Counts what makes the file on disk out of date.
    revision: u64,
    /// The revision that is on disk.
    saved: u64,
}

impl Cordons {
    /// Knows none; reads and writes them in this folder, if there is one.
    pub fn new(folder: Option<PathBuf>, owner: Owner) -> Self {
        let file = folder.map(|folder| folder.join(owner.file(CORDONS)));
        let (words, seen, unreadable, revision, saved) = Default::default();
        Cordons { file, owner, words, seen, unreadable, revision, saved }
    }

    /// Whether a renderer is out of use by the last word on it.
    pub fn out(&self, name: &str) -> bool {
        self.words.get(name).is_some_and(|heard| heard.word.out)
    }

    /// Whether there has been any word on a renderer.
    pub fn knows(&self, name: &str) -> bool {
        self.words.contains_key(name)
    }

    /// Keeps a word, which is said in this process alone until it is [`Cordons::saved`].
    pub fn say(&mut self, name: &str, out: bool, now: Now) {
        // A later word has the later time, also after a step back of the wall clock.
        let before = self.words.get(name).map_or(0, |heard| heard.word.at);
        let at = now.wall.max(before + 1);
        let heard = Heard { word: Word { out, at }, since: now.monotonic, revision: self.next() };
        self.words.insert(name.to_owned(), heard);
    }

    /// The revision of what is known now.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn next(&mut self) -> u64 {
        self.revision += 1;
        if self.file.is_none() {
            // There is nobody to tell.
            self.saved = self.revision;
        }
        self.revision
    }

    /// Whether all of it is on disk.
    pub fn is_saved(&self) -> bool {
        self.saved == self.revision
    }

    /// The words that were said to this process and are not on disk.
    pub fn unsaved(&self) -> usize {
        self.words.values().filter(|heard| heard.revision > self.saved).count()
    }

    /// The file as it should be, if it is not so on disk.
    pub fn draft(&mut self, now: Now) -> Option<Draft> {
        let file = self.file.clone().filter(|_| !self.is_saved())?;
        let recent = |heard: &Heard| now.monotonic.saturating_duration_since(heard.since) < FORGET;
        self.words.retain(|_, heard| heard.word.out || recent(heard));
        let words = self.words.iter().map(|(name, heard)| (name.clone(), heard.word)).collect();
        let whole = File { form: FORM, of: self.owner.clone(), words };
        // Text for keys and nothing that could fail to be written.
        let text = serde_json::to_vec(&whole).unwrap_or_default();
        Some(Draft { revision: self.revision, file, text })
    }

    /// A revision is on disk.
    pub fn saved(&mut self, revision: u64) {
        self.saved = self.saved.max(revision);
    }

    /// The words that another process has written since the last look.
    pub fn look(&mut self, now: Now) -> Vec<(String, Word)> {
        let Some(theirs) = self.changed() else { return Vec::new() };
        let earlier = |own: &Heard, word: &Word| own.word.at < word.at;
        let has = |name: &String, own: &Heard| theirs.get(name).is_some_and(|word| word.at >= own.word.at);
        let lost = self.words.iter().any(|(name, own)| !has(name, own));
        let later = |(name, word): &(String, Word)| self.words.get(name).is_none_or(|own| earlier(own, word));
        let news: Vec<_> = theirs.into_iter().filter(later).collect();
        for (name, word) in &news {
            let since = now.monotonic.checked_sub(age(*word, now)).unwrap_or(now.monotonic);
            self.words.insert(name.clone(), Heard { word: *word, since, revision: 0 });
        }
        if lost {
            // Both replaced it at once, and this process's word is gone from it.
            self.next();
        }
        news
    }

    /// The words in the file, if it has been replaced since the last look by one that makes sense.
    fn changed(&mut self) -> Option<BTreeMap<String, Word>> {
        let file = self.file.as_ref()?;
        let text = match file::text(file) {
            // Without a file nobody has said anything.
            Ok(text) => text?,
            Err(why) => {
                if !std::mem::replace(&mut self.unreadable, true) {
                    tracing::warn!(target: "handover", "{} cannot be read: {why}", file.display());
                }
                return None;
            }
        };
        self.unreadable = false;
        if self.seen.as_ref() == Some(&text) {
            return None;
        }
        let same = |theirs: &Owner| self.owner.same_renderers(theirs);
        let whole = file::parse::<File>(&text, |file| (file.form, &file.of), &self.owner, same);
        self.seen = Some(text);
        whole
            .map(|File { words, .. }| words)
            .inspect_err(|why| tracing::warn!(target: "handover", "{} is not taken: {why}", file.display()))
            .ok()
    }
}

/// How long ago a word was said, by the wall clock: all that one process can know of another one's word. No more than
/// [`FORGET`], whatever that clock has been set to since.
fn age(word: Word, now: Now) -> Duration {
    Duration::from_micros(now.wall.saturating_sub(word.at)).min(FORGET)
}

#[cfg(test)]
mod tests;
