//! The operators' latest commands on servers and zones, and the file in which the processes of one agent share them.
//!
//! Two processes run side by side for a while in an upgrade and are one agent, so a command at either has to hold in
//! both. They share a small file in `$TMPDIR` with the latest command on each target and its time; the later one wins,
//! whichever process it was given to.

use super::clock_reading::ClockReading;
use super::command::{Command, Target};
use super::file::{self, Contents, STORED_FORM};
use super::owner::Owner;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How often a process polls the file for commands that were given to the other one.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A target that has been back in use for so long is an ordinary one, and no two processes run side by side for nearly
/// as long.
const RELEASE_RETENTION: Duration = Duration::from_secs(600);
/// Names the file; part of the stored form.
const STORED_CONTENTS: &str = "cordons";

/// The commands as they are stored. The JSON keys are those of the earlier version, which reads the file too.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredCommands {
    form: u32,
    #[serde(rename = "of")]
    owner: Owner,
    /// By [`Target::stored_key`].
    #[serde(rename = "words")]
    commands: BTreeMap<String, Command>,
}

impl Contents for StoredCommands {
    fn form(&self) -> u32 {
        self.form
    }

    fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// A command as this process knows it.
#[derive(Clone, Copy)]
struct KnownCommand {
    command: Command,
    /// When it was given, by this process's own monotonic clock.
    given_at: Instant,
    /// The revision with which it was given to this process; 0 for one that was read from the file.
    revision: u64,
}

/// A new version of the file.
pub struct Draft {
    /// The revision of the commands in it.
    pub revision: u64,
    /// The file to replace.
    pub file: PathBuf,
    /// Its new text.
    pub text: Vec<u8>,
}

/// The operators' latest commands on all targets, shared with another process of the agent through a file.
pub struct Cordons {
    file: Option<PathBuf>,
    owner: Owner,
    commands: BTreeMap<Target, KnownCommand>,
    /// The text of the file at the last poll. Its modification time and inode say less: either may come again, also by
    /// a step of the wall clock.
    polled_text: Option<Vec<u8>>,
    /// The last poll could not read the file, which has been logged.
    is_unreadable: bool,
    /// Counts the changes that the file on disk has to get.
    revision: u64,
    /// The revision that is on disk.
    saved_revision: u64,
}

impl Cordons {
    /// No commands yet; they are shared in `folder`, if there is one.
    pub fn new(folder: Option<PathBuf>, owner: Owner) -> Self {
        Cordons {
            file: folder.map(|folder| folder.join(owner.file_name(STORED_CONTENTS))),
            owner,
            commands: BTreeMap::new(),
            polled_text: None,
            is_unreadable: false,
            revision: 0,
            saved_revision: 0,
        }
    }

    /// Whether a target is out of use by the latest command on it.
    pub fn is_withdrawn(&self, target: &Target) -> bool {
        self.commands.get(target).is_some_and(|known| known.command.is_withdrawn)
    }

    /// Whether a command on a target is known.
    pub fn has_command(&self, target: &Target) -> bool {
        self.commands.contains_key(target)
    }

    /// Records a command that was given to this process. The other process does not know it before the revision that it
    /// gets is saved.
    pub fn record(&mut self, target: Target, is_withdrawn: bool, now: ClockReading) {
        // A later command has the later time, also after a step back of the wall clock.
        let earlier_us = self.commands.get(&target).map_or(0, |known| known.command.given_at_us);
        let command = Command { is_withdrawn, given_at_us: now.wall_us.max(earlier_us + 1) };
        self.advance_revision();
        let known = KnownCommand { command, given_at: now.monotonic, revision: self.revision };
        self.commands.insert(target, known);
    }

    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn advance_revision(&mut self) {
        self.revision += 1;
        if self.file.is_none() {
            // There is nothing to save and no other process to share it with.
            self.saved_revision = self.revision;
        }
    }

    /// Whether the current revision is on disk.
    pub fn is_saved(&self) -> bool {
        self.saved_revision == self.revision
    }

    /// The number of commands that were given to this process and are not on disk.
    pub fn unsaved_count(&self) -> usize {
        self.commands.values().filter(|known| known.revision > self.saved_revision).count()
    }

    /// The file as it should be, if the one on disk is out of date. Releases past their retention are forgotten.
    pub fn draft(&mut self, now: ClockReading) -> Option<Draft> {
        let file = self.file.clone().filter(|_| !self.is_saved())?;
        let is_recent = |known: &KnownCommand| {
            now.monotonic.saturating_duration_since(known.given_at) < RELEASE_RETENTION
        };
        self.commands.retain(|_, known| known.command.is_withdrawn || is_recent(known));
        let stored = |(target, known): (&Target, &KnownCommand)| (target.stored_key(), known.command);
        let contents = StoredCommands {
            form: STORED_FORM,
            owner: self.owner.clone(),
            commands: self.commands.iter().map(stored).collect(),
        };
        // Its keys are text, so it can always be written as JSON.
        let text = serde_json::to_vec(&contents).unwrap_or_default();
        Some(Draft { revision: self.revision, file, text })
    }

    /// Notes that a revision is on disk.
    pub fn mark_saved(&mut self, revision: u64) {
        self.saved_revision = self.saved_revision.max(revision);
    }

    /// The commands that another process has written since the last poll, which are the latest from now on.
    pub fn poll(&mut self, now: ClockReading) -> Vec<(Target, Command)> {
        let Some(stored) = self.read_if_changed() else { return Vec::new() };
        if self.has_overwritten_command(&stored) {
            // Both processes replaced the file at once, so it has to be written again.
            self.advance_revision();
        }
        let received: Vec<_> = stored
            .into_iter()
            .map(|(key, command)| (Target::from_stored_key(&key), command))
            .filter(|(target, command)| self.is_later(target, command))
            .collect();
        for (target, command) in &received {
            let given_at = now.monotonic.checked_sub(command_age(*command, now)).unwrap_or(now.monotonic);
            let known = KnownCommand { command: *command, given_at, revision: 0 };
            self.commands.insert(target.clone(), known);
        }
        received
    }

    /// Whether a command that this process knows is missing in the file, or is an earlier one there.
    fn has_overwritten_command(&self, stored: &BTreeMap<String, Command>) -> bool {
        self.commands.iter().any(|(target, known)| {
            let stored = stored.get(&target.stored_key());
            stored.is_none_or(|stored| stored.given_at_us < known.command.given_at_us)
        })
    }

    fn is_later(&self, target: &Target, command: &Command) -> bool {
        let known = self.commands.get(target);
        known.is_none_or(|known| known.command.given_at_us < command.given_at_us)
    }

    /// The commands in the file, if it is acceptable and has been replaced since the last poll.
    fn read_if_changed(&mut self) -> Option<BTreeMap<String, Command>> {
        let file = self.file.as_ref()?;
        let text = match file::read(file) {
            // Without a file there are no commands.
            Ok(text) => text?,
            Err(error) => {
                if !std::mem::replace(&mut self.is_unreadable, true) {
                    tracing::warn!(target: "handover", "{} cannot be read: {error}", file.display());
                }
                return None;
            }
        };
        self.is_unreadable = false;
        if self.polled_text.as_ref() == Some(&text) {
            return None;
        }
        let parsed =
            file::parse::<StoredCommands>(&text, &self.owner, |found| self.owner.has_same_servers(found));
        self.polled_text = Some(text);
        parsed
            .map(|contents| contents.commands)
            .inspect_err(
                |error| tracing::warn!(target: "handover", "{} is not taken: {error}", file.display()),
            )
            .ok()
    }
}

/// How long ago a command was given, by the wall clock: all that one process can know of another one's command. At most
/// [`RELEASE_RETENTION`], whatever that clock has been set to since.
fn command_age(command: Command, now: ClockReading) -> Duration {
    Duration::from_micros(now.wall_us.saturating_sub(command.given_at_us)).min(RELEASE_RETENTION)
}

#[cfg(test)]
mod tests;
