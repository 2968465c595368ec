//! Replaces files on a separate thread, so that a slow or full disk does not delay the clients' requests.

use super::file::temporary_path;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use tokio::sync::oneshot;

/// What the new text of a file must survive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The end of the process.
    ProcessExit,
    /// A power failure: the file and its directory entry are synced.
    PowerLoss,
}

/// A request to replace a file.
struct ReplaceRequest {
    file: PathBuf,
    text: Vec<u8>,
    durability: Durability,
    result: oneshot::Sender<io::Result<()>>,
}

/// A handle to the writer thread. The process does not wait for that thread when it exits.
pub struct Writer {
    requests: Sender<ReplaceRequest>,
}

impl Writer {
    /// Starts the writer thread.
    pub fn start() -> io::Result<Self> {
        let (requests, receiver) = channel();
        thread::Builder::new().name("files".into()).spawn(move || handle_requests(&receiver))?;
        Ok(Writer { requests })
    }

    /// Replaces a file atomically, after all replacements that were requested before.
    ///
    /// # Errors
    ///
    /// Those of [`replace`], or if the writer thread has ended.
    pub async fn replace(&self, file: PathBuf, text: Vec<u8>, durability: Durability) -> io::Result<()> {
        let (result, result_receiver) = oneshot::channel();
        let thread_ended = || io::Error::other("the file writer thread has ended");
        let request = ReplaceRequest { file, text, durability, result };
        self.requests.send(request).map_err(|_| thread_ended())?;
        result_receiver.await.unwrap_or_else(|_| Err(thread_ended()))
    }
}

/// Handles requests until all senders are dropped.
fn handle_requests(receiver: &Receiver<ReplaceRequest>) {
    for ReplaceRequest { file, text, durability, result } in receiver {
        // Sending fails if the requester has stopped waiting.
        let _ = result.send(replace(&file, &text, durability));
    }
}

/// Replaces a file atomically: a reader finds either the old text or the new one, even after a failure at any step.
///
/// # Errors
///
/// If the text cannot be written, synced or renamed into place, in which case the temporary file is removed; or if the
/// folder cannot be synced after the rename.
pub fn replace(file: &Path, text: &[u8], durability: Durability) -> io::Result<()> {
    let temporary_file = temporary_path(file);
    let replaced =
        write_file(&temporary_file, text, durability).and_then(|()| fs::rename(&temporary_file, file));
    if replaced.is_err() {
        // A full disk may be why it failed, so the space is freed.
        let _ = fs::remove_file(&temporary_file);
        return replaced;
    }
    match file.parent() {
        Some(folder) if durability == Durability::PowerLoss => sync_folder(folder),
        _ => Ok(()),
    }
}

/// Writes a file, and syncs it if it must survive a power failure.
fn write_file(path: &Path, text: &[u8], durability: Durability) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(text)?;
    match durability {
        Durability::ProcessExit => Ok(()),
        Durability::PowerLoss => file.sync_all(),
    }
}

/// Syncs a folder, as a power failure could otherwise undo the rename. Some file systems do not support this and return
/// `EINVAL`, which is not treated as a failure.
fn sync_folder(folder: &Path) -> io::Result<()> {
    match File::open(folder)?.sync_all() {
        Err(error) if error.kind() == io::ErrorKind::InvalidInput => Ok(()),
        sync_result => sync_result,
    }
}

#[cfg(test)]
mod tests;
