//! Replaces files on a thread of its own: a disk that is slow, or full, holds up no request.

use super::file::temporary;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use tokio::sync::oneshot;

/// What a replaced file has to outlive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlives {
    /// The process.
    Process,
    /// The machine's power as well: the file and its name are synced.
    Power,
}

/// A file that is to be replaced.
struct Job {
    file: PathBuf,
    text: Vec<u8>,
    outlives: Outlives,
    done: oneshot::Sender<io::Result<()>>,
}

/// The thread that writes. It is not waited for at the end of the process.
pub struct Writer {
    jobs: Sender<Job>,
}

impl Writer {
    /// Starts it.
    pub fn start() -> io::Result<Self> {
        let (jobs, next) = channel();
        thread::Builder::new().name("files".into()).spawn(move || work(&next))?;
        Ok(Writer { jobs })
    }

    /// Replaces a file whole, after all that was asked for before.
    pub async fn replace(&self, file: PathBuf, text: Vec<u8>, outlives: Outlives) -> io::Result<()> {
        let (done, result) = oneshot::channel();
        let gone = || io::Error::other("the thread that writes has ended");
        self.jobs.send(Job { file, text, outlives, done }).map_err(|_| gone())?;
        result.await.unwrap_or_else(|_| Err(gone()))
    }
}

fn work(jobs: &Receiver<Job>) {
    for Job { file, text, outlives, done } in jobs {
        // One who no longer waits needs no answer.
        let _ = done.send(replace(&file, &text, outlives));
    }
}

/// Replaces a file whole: who reads it finds the old text or the new one, also after a failure at any step.
pub fn replace(file: &Path, text: &[u8], outlives: Outlives) -> io::Result<()> {
    let new = temporary(file);
    let replaced = write(&new, text, outlives).and_then(|()| fs::rename(&new, file));
    if replaced.is_err() {
        // What it takes up may be what the disk lacks.
        let _ = fs::remove_file(&new);
        return replaced;
    }
    match file.parent() {
        Some(folder) if outlives == Outlives::Power => sync_folder(folder),
        _ => Ok(()),
    }
}

fn write(new: &Path, text: &[u8], outlives: Outlives) -> io::Result<()> {
    let mut file = File::create(new)?;
    file.write_all(text)?;
    match outlives {
        Outlives::Process => Ok(()),
        Outlives::Power => file.sync_all(),
    }
}

/// Without this a name may be lost with the power. Some file systems have no such call and say that it is invalid.
fn sync_folder(folder: &Path) -> io::Result<()> {
    match File::open(folder)?.sync_all() {
        Err(why) if why.kind() == io::ErrorKind::InvalidInput => Ok(()),
        synced => synced,
    }
}

#[cfg(test)]
mod tests;
