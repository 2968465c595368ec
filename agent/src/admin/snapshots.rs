//! Passes the snapshot of what the balancer has learned from a process to the one that replaces it.

use crate::driver::Driver;
use crate::peers::clock_reading::ClockReading;
use crate::peers::owner::Owner;
use crate::peers::snapshot::{self, SnapshotReader};
use crate::peers::writer::{Durability, Writer};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The folder in which the processes of an agent share files.
#[derive(Clone)]
pub struct SharedFolder {
    /// The path of the folder.
    pub path: PathBuf,
    /// The thread that replaces files in the folder.
    pub writer: Rc<Writer>,
}

impl SharedFolder {
    /// Starts the writer thread. If that fails, logs the error and returns `None`, and this process runs as if no
    /// folder were shared.
    pub fn open(path: PathBuf) -> Option<Self> {
        match Writer::start() {
            Ok(writer) => Some(SharedFolder { path, writer: Rc::new(writer) }),
            Err(error) => {
                tracing::warn!(
                    target: "handover",
                    "cannot start the file writer thread, so no state is stored for the next process: {error}"
                );
                None
            }
        }
    }
}

/// The state of the writes of this process's snapshot.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// No write is in progress, and none has failed since the last success.
    Idle,
    /// A write is in progress.
    Writing {
        /// Whether the write before this one failed.
        after_failure: bool,
    },
    /// The last write failed, and that has been logged.
    Failed,
}

/// Restores the snapshot of the earlier process, and stores this process's own for the next one.
pub struct Snapshots {
    driver: Rc<Driver>,
    owner: Owner,
    folder: SharedFolder,
    reader: RefCell<SnapshotReader>,
    write_state: Cell<WriteState>,
}

impl Snapshots {
    /// Creates an instance that reads and stores the owner's snapshot in `folder`.
    pub fn new(driver: Rc<Driver>, owner: Owner, folder: SharedFolder) -> Self {
        let reader = SnapshotReader::new(&folder.path, owner.clone(), ClockReading::now());
        let (reader, write_state) = (RefCell::new(reader), Cell::new(WriteState::Idle));
        Snapshots { driver, owner, folder, reader, write_state }
    }

    /// Restores the snapshot of the earlier process once it is known to be fresh.
    pub fn poll(&self) {
        let server_id = |name: &str| self.driver.view().server_id(name);
        let Some(snapshot) = self.reader.borrow_mut().poll(ClockReading::now(), server_id) else { return };
        tracing::info!(target: "handover", "starts with the snapshot of {} endpoints", snapshot.servers.len());
        self.driver.restore(snapshot);
    }

    /// Stores this process's snapshot, unless no server in it has a sample yet or the last one is still being written.
    pub fn store(self: &Rc<Self>) {
        // The reader takes a replaced file as a sign that the earlier process still runs, so this process must not
        // replace it while the reader waits.
        if self.reader.borrow().is_waiting() {
            return;
        }
        let after_failure = match self.write_state.get() {
            WriteState::Writing { .. } => return,
            WriteState::Failed => true,
            WriteState::Idle => false,
        };
        let snapshot = self.driver.view().snapshot();
        if snapshot.servers.iter().all(|server| server.samples == 0) {
            return;
        }
        let server_name =
            |server| Some(self.driver.view().server_name(server)).filter(|name| !name.is_empty());
        let text = snapshot::encode(&snapshot, &self.owner, ClockReading::now(), server_name);
        self.write_state.set(WriteState::Writing { after_failure });
        tokio::task::spawn_local(self.clone().write(text, after_failure));
    }

    /// Writes an encoded snapshot, logs the result and updates the state.
    async fn write(self: Rc<Self>, text: Vec<u8>, after_failure: bool) {
        let SharedFolder { path, writer } = &self.folder;
        let file = snapshot::path(path, &self.owner);
        let result = writer.replace(file, text, Durability::ProcessExit).await;
        log_if_changed(&result, after_failure, path);
        self.write_state.set(if result.is_ok() { WriteState::Idle } else { WriteState::Failed });
    }
}

/// Logs the first failed write, and the first successful one after it.
fn log_if_changed(result: &io::Result<()>, after_failure: bool, folder: &Path) {
    match result {
        Err(error) if !after_failure => tracing::warn!(
            target: "handover",
            "cannot store the snapshot in {}: {error}; retrying every second",
            folder.display()
        ),
        Ok(()) if after_failure => tracing::info!(target: "handover", "the snapshot is stored again"),
        _ => {}
    }
}
