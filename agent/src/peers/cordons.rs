//! The operators' latest commands on servers and zones, and the file in which the processes of one agent share them.
//!
//! During an upgrade two processes of one agent run side by side, so a command given to either must take effect in
//! both. They share a small file in `$TMPDIR` with the latest command on each target and the time it was given. Of two
//! commands on a target the later one wins, whichever process received it.

use super::clock_reading::ClockReading;
use super::command::{Command, Target};
use super::file::{self, Contents, FORMAT_VERSION};
use super::owner::Owner;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How often a process polls the file for commands that were given to the other process.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a command that put a target back in use is kept. The other process has read it long before, as no two
/// processes run side by side for nearly as long.
const UNCORDON_RETENTION: Duration = Duration::from_secs(600);
/// The kind in the name of the file, which is part of the file format.
const FILE_KIND: &str = "cordons";

/// The contents of the file. The previous version of the agent reads it too, so the JSON keys must not change.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredCommands {
    /// The format version, [`FORMAT_VERSION`].
    form: u32,
    #[serde(rename = "of")]
    owner: Owner,
    /// Keyed by [`Target::stored_key`].
    #[serde(rename = "words")]
    commands: BTreeMap<String, Command>,
}

impl Contents for StoredCommands {
    fn format_version(&self) -> u32 {
        self.form
    }

    fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// A command that this process received or read from the file.
#[derive(Clone, Copy)]
struct KnownCommand {
    command: Command,
    /// When it was given, by this process's monotonic clock.
    given_at: Instant,
    /// The revision that this process assigned to it; 0 if it was read from the file.
    revision: u64,
}

/// A new version of the file that is not written yet.
pub struct PendingWrite {
    /// The latest revision that it includes.
    pub revision: u64,
    /// The file to replace.
    pub file: PathBuf,
    /// The new text of the file.
    pub text: Vec<u8>,
}

/// The operators' latest commands on all targets, shared with another process of the agent through a file.
pub struct Cordons {
    file: Option<PathBuf>,
    owner: Owner,
    commands: BTreeMap<Target, KnownCommand>,
    /// The text of the file at the last poll, to detect a change. Modification time and inode number would not do: an
    /// inode number may be reused, and a modification time may repeat when the wall clock is stepped.
    last_polled_text: Option<Vec<u8>>,
    /// Whether a failure to read the file has been logged since it was last read.
    is_read_error_logged: bool,
    /// The number of changes so far that have to be written to the file.
    revision: u64,
    /// The latest revision that is on disk.
    saved_revision: u64,
}

impl Cordons {
    /// Creates an empty set of commands, which is shared through a file in `folder` if one is given.
    pub fn new(folder: Option<PathBuf>, owner: Owner) -> Self {
        Cordons {
            file: folder.map(|folder| folder.join(owner.file_name(FILE_KIND))),
            owner,
            commands: BTreeMap::new(),
            last_polled_text: None,
            is_read_error_logged: false,
            revision: 0,
            saved_revision: 0,
        }
    }

    /// Whether the latest command on a target cordoned or evacuated it.
    pub fn is_withdrawn(&self, target: &Target) -> bool {
        self.commands.get(target).is_some_and(|known| known.command.is_withdrawn)
    }

    /// Whether a command on a target is known.
    pub fn has_command(&self, target: &Target) -> bool {
        self.commands.contains_key(target)
    }

    /// Records a command that was given to this process and assigns it a new revision. The other process cannot read it
    /// until that revision is saved.
    pub fn record(&mut self, target: Target, is_withdrawn: bool, now: ClockReading) {
        // The new time must exceed that of the previous command even if the wall clock was stepped back.
        let earlier_us = self.commands.get(&target).map_or(0, |known| known.command.given_at_us);
        let command = Command { is_withdrawn, given_at_us: now.wall_us.max(earlier_us + 1) };
        self.advance_revision();
        let known = KnownCommand { command, given_at: now.monotonic, revision: self.revision };
        self.commands.insert(target, known);
    }

    /// The current revision, which [`Cordons::is_saved`] compares with the one on disk.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn advance_revision(&mut self) {
        self.revision += 1;
        if self.file.is_none() {
            // Without a file there is nothing to save.
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

    /// The new version of the file, if the one on disk is out of date. Drops the commands that put a target back in use
    /// more than `UNCORDON_RETENTION` ago.
    pub fn pending_write(&mut self, now: ClockReading) -> Option<PendingWrite> {
        let file = self.file.clone().filter(|_| !self.is_saved())?;
        let is_recent = |known: &KnownCommand| {
            now.monotonic.saturating_duration_since(known.given_at) < UNCORDON_RETENTION
        };
        self.commands.retain(|_, known| known.command.is_withdrawn || is_recent(known));
        let to_stored = |(target, known): (&Target, &KnownCommand)| (target.stored_key(), known.command);
        let contents = StoredCommands {
            form: FORMAT_VERSION,
            owner: self.owner.clone(),
            commands: self.commands.iter().map(to_stored).collect(),
        };
        // Serialization cannot fail, as all keys are strings.
        let text = serde_json::to_vec(&contents).unwrap_or_default();
        Some(PendingWrite { revision: self.revision, file, text })
    }

    /// Records that a revision is on disk.
    pub fn mark_saved(&mut self, revision: u64) {
        self.saved_revision = self.saved_revision.max(revision);
    }

    /// Reads the file, and adopts and returns the commands in it that are later than those known so far.
    pub fn poll(&mut self, now: ClockReading) -> Vec<(Target, Command)> {
        let Some(stored) = self.read_if_changed() else { return Vec::new() };
        if self.has_overwritten_command(&stored) {
            // The other process replaced the file without having read this process's command: write it again.
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

    /// Whether the file lacks a command that this process knows, or has an earlier one on the same target.
    fn has_overwritten_command(&self, stored: &BTreeMap<String, Command>) -> bool {
        self.commands.iter().any(|(target, known)| {
            let stored = stored.get(&target.stored_key());
            stored.is_none_or(|stored| stored.given_at_us < known.command.given_at_us)
        })
    }

    /// Whether a command is later than the known one on its target, if there is one.
    fn is_later(&self, target: &Target, command: &Command) -> bool {
        let known = self.commands.get(target);
        known.is_none_or(|known| known.command.given_at_us < command.given_at_us)
    }

    /// The commands in the file, if it is valid and its text has changed since the last poll.
    fn read_if_changed(&mut self) -> Option<BTreeMap<String, Command>> {
        let file = self.file.as_ref()?;
        let text = match file::read(file) {
            // A missing file means that there are no commands yet.
            Ok(text) => text?,
            Err(error) => {
                if !std::mem::replace(&mut self.is_read_error_logged, true) {
                    tracing::warn!(target: "handover", "{} cannot be read: {error}", file.display());
                }
                return None;
            }
        };
        self.is_read_error_logged = false;
        if self.last_polled_text.as_ref() == Some(&text) {
            return None;
        }
        let parsed =
            file::parse::<StoredCommands>(&text, &self.owner, |found| self.owner.has_same_targets(found));
        self.last_polled_text = Some(text);
        parsed
            .map(|contents| contents.commands)
            .inspect_err(|error| tracing::warn!(target: "handover", "{} is ignored: {error}", file.display()))
            .ok()
    }
}

/// How long ago a command was given by the wall clock, the only clock that two processes share. Capped at
/// [`UNCORDON_RETENTION`], in case that clock has been stepped forward since.
fn command_age(command: Command, now: ClockReading) -> Duration {
    Duration::from_micros(now.wall_us.saturating_sub(command.given_at_us)).min(UNCORDON_RETENTION)
}

#[cfg(test)]
mod tests;
