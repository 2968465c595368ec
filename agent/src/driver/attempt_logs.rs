//! The logs by which the two processes of an agent notify each other of attempts that may be made only once.

use crate::peers::attempt_log::{AttemptLogReader, AttemptLogWriter};
use balancer::OtherProcessEvent;
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};

/// The logs of this process and of the other one; both empty while this process runs alone.
#[derive(Default)]
pub struct AttemptLogs {
    own: RefCell<Option<AttemptLogWriter>>,
    other: RefCell<Option<AttemptLogReader>>,
}

impl AttemptLogs {
    /// Begins this process's log with these records.
    pub fn start(&self, path: PathBuf, records: &[OtherProcessEvent]) {
        let created = AttemptLogWriter::create(path).and_then(|mut log| log.append(records).map(|()| log));
        match created {
            Ok(log) => *self.own.borrow_mut() = Some(log),
            Err(error) => log_failure(&error),
        }
    }

    /// Begins to read the log of the other process.
    pub fn follow(&self, path: &Path) {
        match AttemptLogReader::open(path) {
            Ok(log) => *self.other.borrow_mut() = Some(log),
            Err(error) => log_failure(&error),
        }
    }

    /// Ends and removes both logs. Returns whether there was one of the other process.
    pub fn remove(&self) -> bool {
        if let Some(own) = self.own.borrow_mut().take() {
            own.remove();
        }
        self.other.borrow_mut().take().map(AttemptLogReader::remove).is_some()
    }

    /// Records something for the other process, if there is one.
    pub fn record(&self, record: OtherProcessEvent) {
        let mut own = self.own.borrow_mut();
        let Some(log) = own.as_mut() else { return };
        if let Err(error) = log.append(&[record]) {
            log_failure(&error);
            *own = None;
        }
    }

    /// What the other process has recorded since the last call.
    pub fn read_other(&self) -> Vec<OtherProcessEvent> {
        let mut other = self.other.borrow_mut();
        let records = other.as_mut().map(AttemptLogReader::read);
        records
            .transpose()
            .unwrap_or_else(|error| {
                log_failure(&error);
                *other = None;
                None
            })
            .unwrap_or_default()
    }
}

fn log_failure(error: &io::Error) {
    tracing::warn!(target: "handover", "a request that comes again to the other process may be executed again: {error}");
}
