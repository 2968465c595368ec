//! Hands the endpoint list of this process over to the one that replaces it, and takes over that of the process that this
//! one replaces: in an upgrade both are one agent, and what one was notified of the other has to know. So it is with
//! attempts that may be made only once, which both record for each other for as long as they run side by side.

use crate::driver::Driver;
use crate::endpoint_list::{Envelope, ListError, Reader};
use crate::peers::file::read_up_to;
use crate::peers::list_handover::{
    append_entry, begin_list, end_list, HandoverFileError, HandoverFiles, Identity, ListHeader, ListOrigin,
    Request, RequestId,
};
use crate::peers::writer::{Durability, Writer};
use crate::upstream::discovery::{CallNumber, MAX_ENTRIES_PER_STEP};
use balancer::{HandedOverList, Span, Takeover};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

/// How often the files are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a process that starts leaves clients to the running one while it waits for its list. A process that says yes
/// 6 s after its start still has half of that time for everything else.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a list that changes is handed over again. The process that hands it over has ended by then.
const HAND_OVER_PERIOD: Duration = Duration::from_secs(60);
/// The pause after a list for the same process is this many times as long as it took to write, so that a long list that
/// changes all the time does not keep this process from its requests.
const PAUSE_FACTOR: u32 = 9;
/// The longest such pause: a quarter of the time after which a change counts as notified.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// How long a process that is about to end waits for the other one to read what is handed over.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the files are polled meanwhile.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How often a process checks that the next one will find it.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// A file that is longer than this for each allowed server is not read to its end, and so not used.
const MAX_LIST_BYTES_PER_SERVER: u64 = 1 << 10;
/// A list is parsed in pieces of this size.
const READ_BYTES: usize = 64 << 10;

/// Hands lists over between this process and others of its agent.
pub struct ListHandover {
    driver: Rc<Driver>,
    files: HandoverFiles,
    writer: Rc<Writer>,
    /// Whether this process need not wait for a list any more.
    is_settled: Cell<bool>,
    /// Whether this process is about to end.
    is_ending: Cell<bool>,
    /// Whether all changes have been handed over since [`Self::flush`] was called.
    is_flushed: Cell<bool>,
    /// The process with which attempts are exchanged.
    partner: Cell<Option<u32>>,
}

/// A request that this process answers.
struct AnsweredRequest {
    request: Request,
    since: Instant,
    /// The number of the list that was written last.
    sequence: u64,
    /// The revision of the endpoint list that was written last.
    revision: u64,
    next_due_at: Instant,
    /// Whether a failed write has been logged.
    is_failure_logged: bool,
}

impl ListHandover {
    /// Creates the hand-over of an agent whose processes share `folder`.
    pub fn new(driver: Rc<Driver>, folder: &Path, writer: Rc<Writer>, identity: Identity) -> Rc<Self> {
        let files = HandoverFiles::new(folder, identity);
        let [is_settled, is_ending, is_flushed] = [const { Cell::new(false) }; 3];
        Rc::new(ListHandover {
            driver,
            files,
            writer,
            is_settled,
            is_ending,
            is_flushed,
            partner: Cell::new(None),
        })
    }

    /// Hands over what has changed last, before this process ends.
    pub async fn flush(&self) {
        self.is_ending.set(true);
        let flushed = async {
            while !self.is_flushed.get() {
                sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(FLUSH_TIMEOUT, flushed).await;
    }

    /// Whether this process has taken over a list, or need not wait for one.
    pub fn is_settled(&self) -> bool {
        self.is_settled.get()
    }

    /// Takes over the list of a running process, and hands this process's list over to later ones. Never returns.
    pub async fn run(self: Rc<Self>) {
        let running = self.running_process();
        self.files.remove_abandoned(running);
        let take_over = async {
            if let Some(pid) = running {
                self.take_over(pid).await;
            }
            self.settle().await;
        };
        tokio::join!(take_over, self.hand_over());
    }

    /// Lets this process accept clients, and tells later ones that it runs.
    async fn settle(&self) {
        if !self.is_settled.get() {
            self.announce().await;
            self.is_settled.set(true);
        }
    }

    async fn announce(&self) {
        let presence = self.replace(self.files.presence_path(), self.files.encode_presence()).await;
        if let Err(error) = presence {
            tracing::warn!(target: "handover", "the next process will not know that this one runs: {error}");
        }
    }

    /// Announces this process again if a later one has, and ended: then this one still serves.
    async fn announce_after_failed_upgrade(&self) {
        let is_replaced = |pid| pid != std::process::id() && !is_running(pid);
        let presence = self.files.read_presence().ok().flatten();
        if self.driver.is_accepting.get() && presence.is_some_and(|presence| is_replaced(presence.pid)) {
            self.announce().await;
        }
    }

    async fn replace(&self, file: PathBuf, text: Vec<u8>) -> io::Result<()> {
        self.writer.replace(file, text, Durability::ProcessExit).await
    }

    /// The id of the process that accepts clients, if one is running.
    fn running_process(&self) -> Option<u32> {
        let presence = match self.files.read_presence() {
            Ok(presence) => presence?,
            Err(error) => {
                log_ignored(&self.files.presence_path(), &error);
                return None;
            }
        };
        is_running(presence.pid).then_some(presence.pid)
    }

    // The process that starts.

    /// Asks the running process for its list, and takes it over each time that it has changed, until discovery has answered
    /// this process. Exchanges attempts with the other process until that ends.
    async fn take_over(&self, pid: u32) {
        let request = RequestId::random();
        let asked_at = Instant::now();
        self.partner.set(Some(pid));
        self.driver.start_recording_attempts(self.files.attempts_path(std::process::id()));
        if let Err(error) = self.replace(self.files.request_path(), self.files.encode_request(&request)).await
        {
            tracing::warn!(target: "handover", "cannot ask process {pid} for its endpoint list: {error}");
            return self.end_exchange(pid);
        }
        let (mut sequence, mut needs_list) = (0, true);
        loop {
            let has_ended = !is_running(pid);
            if needs_list && self.take_over_list(&request, sequence + 1, asked_at).await {
                sequence += 1;
            } else if has_ended {
                break;
            }
            if !self.is_settled.get() && (sequence > 0 || asked_at.elapsed() >= TAKEOVER_TIMEOUT) {
                if sequence == 0 {
                    tracing::warn!(target: "handover", "process {pid} has not handed over its endpoint list in time");
                }
                if self.partner.get() == Some(pid) {
                    self.driver.follow_attempts(&self.files.attempts_path(pid));
                }
                self.settle().await;
            }
            let is_current = self.driver.has_discovery_answered() || asked_at.elapsed() >= HAND_OVER_PERIOD;
            if needs_list && is_current && self.is_settled.get() {
                needs_list = false;
                self.files.remove_request(&request, sequence + 1);
            }
            sleep(POLL_INTERVAL).await;
        }
        self.files.remove_request(&request, sequence + 1);
        self.end_exchange(pid);
    }

    /// Ends the exchange of attempts with a process that has ended, unless it is with a later one by now.
    fn end_exchange(&self, pid: u32) {
        if self.partner.get() == Some(pid) {
            self.partner.set(None);
            self.driver.end_exchange();
        }
    }

    /// Takes over the list with this number if it is there; false if it is not.
    async fn take_over_list(&self, request: &RequestId, sequence: u64, asked_at: Instant) -> bool {
        let path = self.files.list_path(request, sequence);
        let max_bytes = MAX_LIST_BYTES_PER_SERVER * self.driver.max_servers() as u64;
        let text = match read_up_to(&path, max_bytes) {
            Ok(None) => return false,
            Ok(Some(text)) => Ok(text),
            Err(error) => Err(TakeoverError::Io(error)),
        };
        let taken_over = match text {
            Ok(text) => self.apply_list(request, sequence, &text, asked_at).await,
            Err(error) => Err(error),
        };
        if let Err(error) = taken_over {
            log_ignored(&path, &error);
        }
        // The other process may write the next one.
        let _ = std::fs::remove_file(&path);
        true
    }

    /// Applies a list in steps, and other tasks run between them.
    async fn apply_list(
        &self,
        request: &RequestId,
        sequence: u64,
        text: &[u8],
        asked_at: Instant,
    ) -> Result<(), TakeoverError> {
        let (header, list) = self.files.parse_list(text)?;
        if header.request != *request {
            return Err(TakeoverError::OtherRequest);
        }
        let waited = Span(asked_at.elapsed().as_micros() as u64);
        let confirmed_ago =
            header.confirmed_ms_ago.map(|ms| balancer::confirmed_ago(Span::from_ms(ms as f64), waited));
        let is_version_valid = header.has_version && header.discovery == self.driver.discovery_address();
        let handed_over = HandedOverList { confirmed_ago, is_version_valid };
        match handed_over.assess(self.driver.has_discovery_answered()) {
            Takeover::ListAndVersion | Takeover::ListOnly => {}
            Takeover::DiscoveryAnswered => return Ok(()),
            Takeover::Unconfirmed => return Err(TakeoverError::Unconfirmed),
        }
        let call = self.driver.begin_takeover(sequence, &header.started_ms_ago, is_version_valid);
        let (envelope, entries) = match self.apply_entries(call, list).await {
            Ok(read) => read,
            Err(error) => {
                self.driver.abandon_takeover(call);
                return Err(error.into());
            }
        };
        self.driver.end_takeover(call, envelope, confirmed_ago);
        while self.driver.apply_takeover(call) {
            yield_now().await;
        }
        log_taken_over(&header, envelope.seq, entries, confirmed_ago);
        if !is_version_valid {
            self.driver.ask_for_complete_list();
        }
        Ok(())
    }

    /// Applies the entries of a list, which is in discovery's form. Returns its other fields and the number of entries.
    async fn apply_entries(&self, call: CallNumber, list: &[u8]) -> Result<(Envelope, usize), ListError> {
        let mut reader = Reader::new(self.driver.max_servers());
        for piece in list.chunks(READ_BYTES) {
            reader.push(piece)?;
            let mut has_more = true;
            while has_more {
                let mut entries = Vec::new();
                has_more = reader.read(MAX_ENTRIES_PER_STEP, &mut entries)?;
                self.driver.take_over_entries(call, entries);
                yield_now().await;
            }
        }
        let entries = reader.entries();
        Ok((reader.end()?, entries))
    }

    // The running process.

    /// Answers the requests of processes that start. Never returns.
    async fn hand_over(&self) {
        let mut answered: Option<AnsweredRequest> = None;
        let mut is_error_logged = false;
        let mut announced_at = Instant::now();
        loop {
            sleep(if self.is_ending.get() { FLUSH_POLL_INTERVAL } else { POLL_INTERVAL }).await;
            if announced_at.elapsed() >= ANNOUNCE_INTERVAL {
                self.announce_after_failed_upgrade().await;
                announced_at = Instant::now();
            }
            if let Some(pid) = self.partner.get().filter(|pid| !is_running(*pid)) {
                self.end_exchange(pid);
            }
            let request = match self.files.read_request() {
                Ok(request) => request.filter(|request| is_running(request.pid)),
                Err(error) => {
                    if !std::mem::replace(&mut is_error_logged, true) {
                        log_ignored(&self.files.request_path(), &error);
                    }
                    continue;
                }
            };
            is_error_logged = false;
            answered = match (request, answered.take()) {
                (Some(request), Some(answered)) if answered.request == request => Some(answered),
                (request, earlier) => {
                    earlier.iter().for_each(|earlier| self.remove_list(earlier));
                    request.and_then(|request| self.accept_request(request))
                }
            };
            if let Some(pid) = answered.as_ref().map(|answered| answered.request.pid) {
                self.begin_exchange(pid);
            }
            if let Some(answered) = answered.as_mut().filter(|answered| self.is_list_due(answered)) {
                self.write_list(answered).await;
            }
            let is_current = |answered: &AnsweredRequest| answered.revision == self.driver.list_revision();
            self.is_flushed.set(self.is_ending.get() && answered.as_ref().is_none_or(is_current));
        }
    }

    /// Begins to answer a request, unless another process accepts clients now and answers it.
    fn accept_request(&self, request: Request) -> Option<AnsweredRequest> {
        let running = self.files.read_presence().ok().flatten().map_or(0, |presence| presence.pid);
        let is_answered_here = running == std::process::id() || running == request.pid;
        let now = Instant::now();
        is_answered_here.then_some(AnsweredRequest {
            request,
            since: now,
            sequence: 0,
            revision: 0,
            next_due_at: now,
            is_failure_logged: false,
        })
    }

    /// Exchanges attempts with the process that has asked for the list, from before it is answered: it accepts clients
    /// only then.
    fn begin_exchange(&self, pid: u32) {
        if self.partner.replace(Some(pid)) == Some(pid) {
            return;
        }
        self.driver.start_recording_attempts(self.files.attempts_path(std::process::id()));
        self.driver.follow_attempts(&self.files.attempts_path(pid));
    }

    /// Removes the list that was written last, if the other process has not read it.
    fn remove_list(&self, answered: &AnsweredRequest) {
        let _ = std::fs::remove_file(self.list_path(answered));
    }

    fn list_path(&self, answered: &AnsweredRequest) -> PathBuf {
        self.files.list_path(&answered.request.request, answered.sequence)
    }

    /// Whether the list has changed since it was written last, and the other process has read that one.
    fn is_list_due(&self, answered: &AnsweredRequest) -> bool {
        if answered.sequence == 0 {
            return true;
        }
        let is_changed = self.driver.list_revision() != answered.revision;
        is_changed
            && answered.since.elapsed() < HAND_OVER_PERIOD
            && (self.is_ending.get() || Instant::now() >= answered.next_due_at)
            && !self.list_path(answered).exists()
    }

    async fn write_list(&self, answered: &mut AnsweredRequest) {
        let begun = Instant::now();
        let revision = self.driver.list_revision();
        let (text, entries) = self.encode_list(&answered.request.request).await;
        let (pid, bytes) = (answered.request.pid, text.len());
        let path = self.files.list_path(&answered.request.request, answered.sequence + 1);
        let result = self.replace(path, text).await;
        answered.next_due_at = Instant::now() + MAX_PAUSE.min(begun.elapsed() * PAUSE_FACTOR);
        let elapsed_ms = begun.elapsed().as_secs_f64() * 1e3;
        match result {
            Ok(()) => {
                (answered.sequence, answered.revision) = (answered.sequence + 1, revision);
                tracing::info!(target: "handover", "hands the endpoint list over to process {pid}: {entries} entries, {bytes} bytes, after {elapsed_ms:.1} ms");
            }
            Err(error) => {
                if !std::mem::replace(&mut answered.is_failure_logged, true) {
                    tracing::warn!(target: "handover", "cannot hand the endpoint list over to process {pid}: {error}; retrying");
                }
                // The disk may be full for a while.
                sleep(MAX_PAUSE).await;
            }
        }
    }

    /// Encodes the list in steps, and other tasks run between them. A change meanwhile is a new revision, which is handed
    /// over after this one. Returns the text and the number of entries.
    async fn encode_list(&self, request: &RequestId) -> (Vec<u8>, usize) {
        let version = self.driver.list_version();
        let servers = self.driver.listed_servers();
        let (mut list, mut started_ms_ago) = (Vec::new(), BTreeMap::new());
        let mut entries = 0;
        begin_list(version.unwrap_or(0), &mut list);
        for step in servers.chunks(MAX_ENTRIES_PER_STEP) {
            for listed in self.driver.list_entries(step) {
                append_entry(&listed.entry, entries == 0, &mut list);
                entries += 1;
                if let Some(ago) = listed.started_ago {
                    started_ms_ago.insert(listed.entry.name, ago.0 / 1_000);
                }
            }
            yield_now().await;
        }
        end_list(&mut list);
        let origin = ListOrigin {
            discovery: self.driver.discovery_address(),
            has_version: version.is_some(),
            confirmed_ms_ago: self.driver.list_confirmed_ago().map(|ago| ago.0 / 1_000),
        };
        let mut text = self.files.encode_header(request, origin, started_ms_ago);
        text.push(b'\n');
        text.append(&mut list);
        (text, entries)
    }
}

/// Why a list that another process wrote is not taken over.
#[derive(Debug, thiserror::Error)]
enum TakeoverError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    File(#[from] HandoverFileError),
    #[error("malformed endpoint list: {0}")]
    List(#[from] ListError),
    #[error("it answers the request of another process")]
    OtherRequest,
    #[error("discovery has never confirmed it")]
    Unconfirmed,
}

fn log_ignored(file: &Path, error: &dyn std::error::Error) {
    tracing::warn!(target: "handover", "{} is ignored: {error}", file.display());
}

fn log_taken_over(header: &ListHeader, version: u64, entries: usize, confirmed_ago: Option<Span>) {
    let (pid, discovery) = (header.pid, header.discovery);
    let confirmed_s = confirmed_ago.unwrap_or(Span::ZERO).as_ms() / 1e3;
    tracing::info!(target: "handover", "takes over the endpoint list of process {pid}: version {version} of {discovery}, {entries} entries, confirmed {confirmed_s:.1} s ago");
}

/// Whether a process of this id is running. An id that this process has itself belonged to an ended one before.
fn is_running(pid: u32) -> bool {
    pid != std::process::id() && Path::new("/proc").join(pid.to_string()).exists()
}
