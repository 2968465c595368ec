//! Replaces files on a separate thread, so that a slow or full disk delays no request.

use super::file::temporary_path;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use tokio::sync::oneshot;

/// What a replaced file has to survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The end of the process.
    ProcessExit,
    /// A power failure: the file and its directory entry are synced.
    PowerLoss,
}

/// A request to replace a file.
struct Replacement {
    file: PathBuf,
    text: Vec<u8>,
    durability: Durability,
    result: oneshot::Sender<io::Result<()>>,
}

/// A handle to the thread that writes. The process does not wait for that thread when it ends.
pub struct Writer {
    replacements: Sender<Replacement>,
}

impl Writer {
    /// Starts the thread.
    pub fn start() -> io::Result<Self> {
        let (replacements, requested) = channel();
        thread::Builder::new().name("files".into()).spawn(move || replace_requested(&requested))?;
        Ok(Writer { replacements })
    }

    /// Replaces a file atomically, after all replacements that were requested before.
    ///
    /// # Errors
    ///
    /// Those of [`replace`], or that the thread has ended.
    pub async fn replace(&self, file: PathBuf, text: Vec<u8>, durability: Durability) -> io::Result<()> {
        let (result, replaced) = oneshot::channel();
        let thread_ended = || io::Error::other("the thread that writes has ended");
        let replacement = Replacement { file, text, durability, result };
        self.replacements.send(replacement).map_err(|_| thread_ended())?;
        replaced.await.unwrap_or_else(|_| Err(thread_ended()))
    }
}

fn replace_requested(requested: &Receiver<Replacement>) {
    for Replacement { file, text, durability, result } in requested {
        // The requester may have stopped waiting.
        let _ = result.send(replace(&file, &text, durability));
    }
}

/// Replaces a file atomically: a reader finds the old text or the new one, also after a failure at any step.
///
/// # Errors
///
/// If the text cannot be written, synced or moved into place; the temporary file is removed.
pub fn replace(file: &Path, text: &[u8], durability: Durability) -> io::Result<()> {
    let temporary = temporary_path(file);
    let replaced = write(&temporary, text, durability).and_then(|()| fs::rename(&temporary, file));
    if replaced.is_err() {
        // Its space may be what the disk lacks.
        let _ = fs::remove_file(&temporary);
        return replaced;
    }
    match file.parent() {
        Some(folder) if durability == Durability::PowerLoss => sync_folder(folder),
        _ => Ok(()),
    }
}

fn write(path: &Path, text: &[u8], durability: Durability) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(text)?;
    match durability {
        Durability::ProcessExit => Ok(()),
        Durability::PowerLoss => file.sync_all(),
    }
}

/// Syncs a folder, as a new directory entry may be lost with the power otherwise. Some file systems cannot and answer
/// that the call is invalid, which is no failure.
fn sync_folder(folder: &Path) -> io::Result<()> {
    match File::open(folder)?.sync_all() {
        Err(error) if error.kind() == io::ErrorKind::InvalidInput => Ok(()),
        synced => synced,
    }
}

#[cfg(test)]
mod tests;
