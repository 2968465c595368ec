//! The files by which a process hands its endpoint list over to the one that replaces it.
//!
//! The new process writes a request with an identifier of its own, and the running one answers it with its list. The
//! identifier shows that the answer is not older than the request, whatever the clocks say, and that its writer is
//! running. So nothing is written while no other process starts, and what an ended process has left is never used.
//!
//! The earlier version of the agent neither reads nor writes these files.

use super::file::{read_up_to, temporary_path};
use crate::endpoint_list::{Health, ServerEntry};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::fs;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The format version of these files.
const FORMAT_VERSION: u32 = 1;
/// Prefix of the names of these files. No other shared file begins with it.
const FILE_NAME_PREFIX: &str = "balancer-agent-";
/// The longest presence or request, and the longest first line of a list.
const MAX_HEADER_BYTES: u64 = 8 << 20;

/// The agent that a file belongs to. Unlike a snapshot, a list names zones and kinds instead of counting them, so that
/// it is also valid for a process with other settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The agent's name.
    pub agent: String,
    /// The address on which it accepts its application's connections.
    pub listen: String,
}

/// Identifies a request; no two processes make the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestId(String);

impl RequestId {
    /// An identifier that no other process makes.
    pub fn random() -> Self {
        RequestId(format!("{}-{:016x}", std::process::id(), RandomState::new().hash_one(0)))
    }
}

/// Written by the process that accepts clients.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    form: u32,
    of: Identity,
    /// The id of the process.
    pub pid: u32,
}

/// Written by a process that starts, and removed once it needs no list any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    form: u32,
    of: Identity,
    /// The id of the process that asks.
    pub pid: u32,
    /// Identifies the request.
    pub request: RequestId,
}

/// The first line of a list that is handed over. The list itself follows in discovery's form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListHeader {
    form: u32,
    of: Identity,
    /// The id of the process that hands the list over.
    pub pid: u32,
    /// The request that it answers.
    pub request: RequestId,
    /// The discovery that the list comes from.
    pub discovery: SocketAddr,
    /// Whether the list has a version of that discovery; otherwise it is that of an earlier one.
    pub has_version: bool,
    /// How many milliseconds before it was written discovery last confirmed it; `None` if it never has.
    pub confirmed_ms_ago: Option<u64>,
    /// How many milliseconds before it was written the servers started that the list gives a start time, by name.
    /// Their start times are readings of a wall clock that may have been stepped since.
    pub started_ms_ago: BTreeMap<String, u64>,
}

/// Where a list that is handed over comes from.
#[derive(Debug, Clone, Copy)]
pub struct ListOrigin {
    /// See [`ListHeader::discovery`].
    pub discovery: SocketAddr,
    /// See [`ListHeader::has_version`].
    pub has_version: bool,
    /// See [`ListHeader::confirmed_ms_ago`].
    pub confirmed_ms_ago: Option<u64>,
}

/// Why a file is not used.
#[derive(Debug, Error)]
pub enum HandoverFileError {
    /// It cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Its first line is too long or not ended.
    #[error("it has no first line of at most {MAX_HEADER_BYTES} bytes")]
    NoHeader,
    /// It is not JSON with the expected fields.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
    /// It has another format version.
    #[error("its format version is {0}, not {FORMAT_VERSION}")]
    UnsupportedFormat(u32),
    /// It was written for another agent.
    #[error("it was written for agent {agent:.80} at {listen:.80}", agent = .0.agent, listen = .0.listen)]
    WrongAgent(Identity),
}

/// The files of one agent in the folder that its processes share.
#[derive(Clone)]
pub struct HandoverFiles {
    folder: PathBuf,
    identity: Identity,
    stem: String,
}

impl HandoverFiles {
    /// The files of the agent `identity` in `folder`.
    pub fn new(folder: &Path, identity: Identity) -> Self {
        let hash = balancer_settings::fnv1a(&format!("{}\0{}", identity.agent, identity.listen));
        HandoverFiles { folder: folder.to_owned(), identity, stem: format!("{FILE_NAME_PREFIX}{hash:016x}-") }
    }

    fn path(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("{}{kind}.json", self.stem))
    }

    /// The presence of the process that accepts clients.
    pub fn presence_path(&self) -> PathBuf {
        self.path("process")
    }

    /// The request of the process that started last.
    pub fn request_path(&self) -> PathBuf {
        self.path("request")
    }

    /// The list that answers a request for the `sequence`th time. It is written once the one before has been removed.
    pub fn list_path(&self, request: &RequestId, sequence: u64) -> PathBuf {
        self.path(&format!("endpoints-{}-{sequence}", request.0))
    }

    /// The attempts that a process records for the other one.
    pub fn attempts_path(&self, pid: u32) -> PathBuf {
        self.folder.join(format!("{}attempts-{pid}.log", self.stem))
    }

    /// The text of this process's presence.
    pub fn encode_presence(&self) -> Vec<u8> {
        encode(&Presence { form: FORMAT_VERSION, of: self.identity.clone(), pid: std::process::id() })
    }

    /// The text of a request of this process.
    pub fn encode_request(&self, request: &RequestId) -> Vec<u8> {
        let (of, pid) = (self.identity.clone(), std::process::id());
        encode(&Request { form: FORMAT_VERSION, of, pid, request: request.clone() })
    }

    /// The text of the first line of a list, without the line break.
    pub fn encode_header(
        &self,
        request: &RequestId,
        origin: ListOrigin,
        started_ms_ago: BTreeMap<String, u64>,
    ) -> Vec<u8> {
        let ListOrigin { discovery, has_version, confirmed_ms_ago } = origin;
        let (of, pid, request) = (self.identity.clone(), std::process::id(), request.clone());
        let form = FORMAT_VERSION;
        encode(&ListHeader {
            form,
            of,
            pid,
            request,
            discovery,
            has_version,
            confirmed_ms_ago,
            started_ms_ago,
        })
    }

    /// Reads the presence; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or was not written for this agent.
    pub fn read_presence(&self) -> Result<Option<Presence>, HandoverFileError> {
        let Some(text) = read_up_to(&self.presence_path(), MAX_HEADER_BYTES)? else { return Ok(None) };
        let presence: Presence = serde_json::from_slice(&text)?;
        self.check(presence.form, &presence.of).map(|()| Some(presence))
    }

    /// Reads the request; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or was not written for this agent.
    pub fn read_request(&self) -> Result<Option<Request>, HandoverFileError> {
        let Some(text) = read_up_to(&self.request_path(), MAX_HEADER_BYTES)? else { return Ok(None) };
        let request: Request = serde_json::from_slice(&text)?;
        self.check(request.form, &request.of).map(|()| Some(request))
    }

    /// Splits the text of a list into its header and the list in discovery's form.
    ///
    /// # Errors
    ///
    /// If the header is invalid, or the list was not written for this agent.
    pub fn parse_list<'a>(&self, text: &'a [u8]) -> Result<(ListHeader, &'a [u8]), HandoverFileError> {
        let end = text.iter().position(|byte| *byte == b'\n').filter(|end| *end as u64 <= MAX_HEADER_BYTES);
        let end = end.ok_or(HandoverFileError::NoHeader)?;
        let header: ListHeader = serde_json::from_slice(&text[..end])?;
        self.check(header.form, &header.of)?;
        Ok((header, &text[end + 1..]))
    }

    fn check(&self, form: u32, of: &Identity) -> Result<(), HandoverFileError> {
        if form != FORMAT_VERSION {
            return Err(HandoverFileError::UnsupportedFormat(form));
        }
        if *of != self.identity {
            return Err(HandoverFileError::WrongAgent(of.clone()));
        }
        Ok(())
    }

    /// Removes the lists, attempts and temporary files that processes of this agent have left, but for those of the process
    /// that is `running`. Must be called before this process makes its request. A file that cannot be removed stays.
    pub fn remove_abandoned(&self, running: Option<u32>) {
        let Ok(entries) = fs::read_dir(&self.folder) else { return };
        let mut kept = vec![self.presence_path(), self.request_path()];
        kept.extend(running.map(|pid| self.attempts_path(pid)));
        for path in entries.flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str());
            if name.is_some_and(|name| name.starts_with(&self.stem)) && !kept.contains(&path) {
                let _ = fs::remove_file(path);
            }
        }
    }

    /// Removes the request of this process and the list that answers it, if they are there.
    pub fn remove_request(&self, request: &RequestId, sequence: u64) {
        let list = self.list_path(request, sequence);
        for path in [self.request_path(), temporary_path(&list), list] {
            let _ = fs::remove_file(path);
        }
    }
}

fn encode(contents: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail, as all keys are strings.
    serde_json::to_vec(contents).unwrap_or_default()
}

/// Appends the beginning of a complete list in discovery's form.
pub fn begin_list(version: u64, text: &mut Vec<u8>) {
    text.extend_from_slice(format!(r#"{{"seq":{version},"whole":true,"hosts":["#).as_bytes());
}

/// Appends an entry in discovery's form.
pub fn append_entry(entry: &ServerEntry, is_first: bool, text: &mut Vec<u8>) {
    #[derive(Serialize)]
    struct Entry<'a> {
        host: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        dial: Option<SocketAddr>,
        site: &'a str,
        class: &'a str,
        block: u32,
        health: &'a str,
        share: f64,
        born_ms: f64,
    }
    if !is_first {
        text.push(b',');
    }
    let ServerEntry { name, dial, zone, kind, cell, health, weight, born_ms } = entry;
    let health = match health {
        Health::Up => "up",
        Health::Draining => "draining",
        Health::Removed => "removed",
    };
    let entry = Entry {
        host: name,
        dial: *dial,
        site: zone,
        class: kind,
        block: *cell,
        health,
        share: *weight,
        born_ms: *born_ms,
    };
    text.extend_from_slice(&encode(&entry));
}

/// Appends the end of a list.
pub fn end_list(text: &mut Vec<u8>) {
    text.extend_from_slice(b"]}");
}

#[cfg(test)]
mod tests;
