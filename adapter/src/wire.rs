//! The simulator's lines of JSON, typed. Variants have the names of the protocol; fields have the field's terms, with the
//! protocol's keys by `serde`. What to do about an event is for [`crate::host`].

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// One line of input: what has happened to some of the instances by now.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The simulator's clock, in milliseconds.
    #[serde(rename = "tMs")]
    pub now_ms: f64,
    /// The number of the batch, which its reply repeats.
    pub round: u64,
    /// The events, grouped by instance.
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

/// The events of one instance, in order.
#[derive(Debug, Deserialize)]
pub struct Part<'a> {
    /// The number of the instance.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its events.
    #[serde(borrow, rename = "inbox")]
    pub events: Vec<WireEvent<'a>>,
}

/// An event as it is written.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEvent<'a> {
    /// A new process of the instance starts.
    Attach(Attach),
    /// The process of the instance ends.
    Retire {},
    /// A list of servers gets a number, by which REGISTRY names it.
    #[serde(borrow)]
    Catalog(Catalogue<'a>),
    /// The endpoint list of the instance changes, or a poll of it fails.
    Registry {
        /// How the list relates to the one before it.
        form: Form,
        /// The version of the list; not used, but it must be there.
        #[serde(rename = "rev")]
        _version: i64,
        /// The number of the catalogue; none for an error.
        #[serde(default, rename = "ref")]
        catalogue: Option<u32>,
    },
    /// A client has sent a request.
    #[serde(borrow)]
    Request(ClientRequest<'a>),
    /// A streamed response has started.
    FirstByte {
        /// The request.
        #[serde(borrow, rename = "ticket")]
        request: Cow<'a, str>,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    #[serde(borrow)]
    Done(AttemptEnd<'a>),
    /// The client no longer waits.
    Aborted {
        /// The request.
        #[serde(borrow, rename = "ticket")]
        request: Cow<'a, str>,
    },
    /// A timer is due.
    Elapsed {
        /// The balancer's number of the timer.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// A health check has ended.
    #[serde(borrow)]
    Probed(HealthCheckEnd<'a>),
    /// Another instance has sent a gossip message.
    Mail {
        /// The number of that instance.
        #[serde(rename = "srcPeer")]
        from: u32,
        /// The message, in hexadecimal digits.
        #[serde(borrow, rename = "raw")]
        payload: Cow<'a, str>,
    },
}

/// What an instance starts with.
#[derive(Debug, Deserialize)]
pub struct Attach {
    /// The seed of its random numbers.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// Its settings.
    pub params: Box<balancer_settings::Params>,
}

/// A numbered list of servers.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Catalogue<'a> {
    /// Its number; a later list of the same number replaces it.
    #[serde(rename = "ref")]
    pub number: u32,
    /// The servers.
    #[serde(borrow, rename = "membersList")]
    pub entries: Vec<Entry<'a>>,
}

/// A request of a client.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClientRequest<'a> {
    /// The name of the request.
    #[serde(borrow, rename = "ticket")]
    pub name: Cow<'a, str>,
    /// The tenant, by its place in the settings.
    #[serde(default, rename = "party")]
    pub tenant: Option<usize>,
    /// The class, by its place in the settings.
    #[serde(rename = "cls")]
    pub class: usize,
    /// The affinity key.
    #[serde(borrow, default, rename = "affinity")]
    pub affinity_key: Option<Cow<'a, str>>,
    /// The client's estimate of the work, in milliseconds; holds if [`ClientRequest::HAS_ESTIMATE`] is set.
    #[serde(default)]
    pub estimate_ms: Option<f64>,
    /// Flags; see the constants.
    #[serde(default, rename = "opts")]
    pub flags: Option<u64>,
    /// The client waits no longer than this.
    #[serde(rename = "expiresInMs")]
    pub time_left_ms: f64,
}

impl ClientRequest<'_> {
    /// The flag of a request with an estimate of its work.
    pub const HAS_ESTIMATE: u64 = 1;
    /// The flag of a request that its client repeats.
    pub const IS_REPEAT: u64 = 2;

    /// Whether a flag is set.
    pub fn has_flag(&self, flag: u64) -> bool {
        self.flags.unwrap_or(0) & flag != 0
    }
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptEnd<'a> {
    /// The request.
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
    /// The request is answered and closed as well.
    #[serde(rename = "finished")]
    pub closed: bool,
    /// How long the attempt took.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// How it ended.
    pub ending: Ending,
    /// Its number, from 0.
    pub attempt: u32,
    /// The server's load report.
    #[serde(default, rename = "gauge")]
    pub report: Option<Vec<f64>>,
}

/// The end of a health check.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HealthCheckEnd<'a> {
    /// The name of the server.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The server's load report.
    #[serde(default, rename = "gauge")]
    pub report: Option<Vec<f64>>,
}

/// How an endpoint list relates to the one before it.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    /// Only entries that changed.
    Partial,
    /// All entries.
    Complete,
    /// All entries as they were stored before a restart; may be stale.
    Persisted,
    /// There is no list: the poll or the watch failed.
    Error,
}

/// A server in a catalogue.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry<'a> {
    /// The name of the server.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// The number of its zone.
    #[serde(default, rename = "campus")]
    pub zone: u32,
    /// The number of its kind of machine.
    #[serde(default, rename = "classOfHost")]
    pub kind: u32,
    /// The number of its cell.
    #[serde(default, rename = "cluster")]
    pub cell: u32,
    /// Whether it takes requests.
    pub status: EntryStatus,
    /// Its weight.
    #[serde(default, rename = "units")]
    pub weight: Option<f64>,
    /// When its process started, in milliseconds on the simulator's clock; zero or less is not known.
    #[serde(default, rename = "lastStartMs")]
    pub started_ms: Option<f64>,
}

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EntryStatus {
    /// It does.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It is removed.
    Deleted,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    /// With a good response.
    Done,
    /// With an error of the server.
    Err,
    /// Rejected unprocessed.
    Busy,
    /// Not in time.
    Etimedout,
    /// Without a connection.
    Econnrefused,
    /// With a connection that was reset.
    Econnreset,
    /// Cancelled by the balancer.
    Ecanceled,
    /// It was not sent.
    Skipped,
}

/// One line of output.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The number of the batch.
    pub round: u64,
    /// The actions, grouped by instance; instances without an action are left out.
    pub parts: Vec<ReplyPart>,
}

/// The actions of one instance, in order.
#[derive(Debug, Serialize)]
pub struct ReplyPart {
    /// The number of the instance.
    #[serde(rename = "who")]
    pub instance: u32,
    /// Its actions.
    #[serde(rename = "outbox")]
    pub actions: Vec<WireAction>,
}

/// An action as it is written. Times are in milliseconds, on the simulator's clock where they are moments.
#[derive(Debug, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum WireAction {
    /// Send an attempt to a server, which is given up at `until_ms`.
    Route {
        #[serde(rename = "ticket")]
        request: String,
        #[serde(rename = "backend")]
        server: String,
        until_ms: f64,
    },
    /// Cancel an attempt.
    Abandon {
        #[serde(rename = "ticket")]
        request: String,
        attempt: u32,
    },
    /// Reject a request, with the Retry-After.
    OverloadReply {
        #[serde(rename = "ticket")]
        request: String,
        #[serde(rename = "notBeforeForMs")]
        retry_after_ms: Option<f64>,
    },
    /// Fail a request.
    Abort {
        #[serde(rename = "ticket")]
        request: String,
    },
    /// Send ELAPSED at `at_ms`.
    Timer {
        at_ms: f64,
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// Check the health of a server.
    HealthCheck {
        #[serde(rename = "backend")]
        server: String,
    },
    /// Close idle connections to a server.
    CloseIdle {
        #[serde(rename = "backend")]
        server: String,
    },
    /// Send a gossip message, in hexadecimal digits, to an instance, or to all if `to` is -1.
    Announce {
        to: i64,
        #[serde(rename = "raw")]
        payload: String,
    },
    /// Start or stop the watch of the endpoint list.
    Follow { active: bool },
    /// Poll the endpoint list.
    Pull {},
    /// Write a line to the log.
    NoteDown {
        #[serde(rename = "what")]
        text: String,
    },
    /// Report a fault of the balancer itself.
    Bug {
        #[serde(rename = "what")]
        text: String,
    },
}
