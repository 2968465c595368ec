//! Passes the snapshot of the decisions from a process to the one that takes over from it.

use crate::driver::Driver;
use crate::peers::clock_reading::ClockReading;
use crate::peers::owner::Owner;
use crate::peers::snapshot::{self, SnapshotReader};
use crate::peers::writer::{Durability, Writer};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The folder that the processes of an agent share, and the thread that writes there.
#[derive(Clone)]
pub struct SharedFolder {
    /// Its path.
    pub path: PathBuf,
    /// Writes there.
    pub writer: Rc<Writer>,
}

impl SharedFolder {
    /// Starts the thread that writes. Without one, which is logged, this process is as one without a folder.
    pub fn open(path: PathBuf) -> Option<Self> {
        match Writer::start() {
            Ok(writer) => Some(SharedFolder { path, writer: Rc::new(writer) }),
            Err(error) => {
                tracing::warn!(target: "handover", "no state is stored for the next process: {error}");
                None
            }
        }
    }
}

/// The state of the writes of the snapshot.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// Nothing is being written.
    Idle,
    /// A write is in progress.
    Writing {
        /// The one before it failed.
        after_failure: bool,
    },
    /// The last write failed, and that has been logged.
    Failed,
}

/// Restores the snapshot of the earlier process, and stores this one's for the next.
pub struct Snapshots {
    driver: Rc<Driver>,
    owner: Owner,
    folder: SharedFolder,
    reader: RefCell<SnapshotReader>,
    write_state: Cell<WriteState>,
}

impl Snapshots {
    /// Reads and stores the owner's snapshots in this folder.
    pub fn new(driver: Rc<Driver>, owner: Owner, folder: SharedFolder) -> Self {
        let reader = SnapshotReader::new(&folder.path, owner.clone(), ClockReading::now());
        let (reader, write_state) = (RefCell::new(reader), Cell::new(WriteState::Idle));
        Snapshots { driver, owner, folder, reader, write_state }
    }

    /// Restores the snapshot of the earlier process, once it is known to be fresh.
    pub fn poll(&self) {
        let server_id = |name: &str| self.driver.view().server_id(name);
        let Some(snapshot) = self.reader.borrow_mut().poll(ClockReading::now(), server_id) else { return };
        tracing::info!(target: "handover", "starts with the snapshot of {} endpoints", snapshot.servers.len());
        self.driver.restore(snapshot);
    }

    /// Stores this process's snapshot, unless it says nothing yet or the last one is still being written.
    pub fn store(self: &Rc<Self>) {
        // What this process writes would pass for a sign that the earlier one still runs.
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

    async fn write(self: Rc<Self>, text: Vec<u8>, after_failure: bool) {
        let SharedFolder { path, writer } = &self.folder;
        let file = snapshot::path(path, &self.owner);
        let written = writer.replace(file, text, Durability::ProcessExit).await;
        log_first_result(&written, after_failure, path);
        self.write_state.set(if written.is_ok() { WriteState::Idle } else { WriteState::Failed });
    }
}

/// Logs the first write that fails, and the first that succeeds after it.
fn log_first_result(written: &io::Result<()>, after_failure: bool, folder: &Path) {
    match written {
        Err(error) if !after_failure => tracing::warn!(
            target: "handover",
            "the snapshot is not stored in {}: {error}; it is tried again each second",
            folder.display()
        ),
        Ok(()) if after_failure => tracing::info!(target: "handover", "the snapshot is stored again"),
        _ => {}
    }
}
