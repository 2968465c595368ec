//! Types of the simulator's protocol, one JSON object per line. Variants are named as in the protocol. Fields have
//! conventional names; `serde` attributes map them to the protocol's keys. [`crate::host`] handles the events.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// One line of input: events for some of the instances.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    /// The current time on the simulator's clock, in milliseconds.
    #[serde(rename = "tMs")]
    pub now_ms: f64,
    /// The number of the batch; the reply has the same number.
    pub round: u64,
    /// The events, grouped by instance.
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

/// The events of one instance, in order.
#[derive(Debug, Deserialize)]
pub struct Part<'a> {
    /// The id of the instance.
    #[serde(rename = "who")]
    pub instance_id: u32,
    /// The events, in the order in which they are handled.
    #[serde(borrow, rename = "inbox")]
    pub events: Vec<WireEvent<'a>>,
}

/// An event for an instance.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WireEvent<'a> {
    /// A new process of the instance starts.
    Attach(Attach),
    /// The process of the instance ends.
    Retire {},
    /// Defines a list of servers for all instances; REGISTRY refers to it by id.
    #[serde(borrow)]
    Catalog(Catalogue<'a>),
    /// The endpoint list of the instance changes, or a poll of it fails.
    Registry {
        /// How the list relates to the previous one.
        form: Form,
        /// The version of the list; unused, but the protocol requires it.
        #[serde(rename = "rev")]
        _version: i64,
        /// The id of the catalogue with the entries; not used if the form is `Error`.
        #[serde(default, rename = "ref")]
        catalogue_id: Option<u32>,
    },
    /// A client has sent a request.
    #[serde(borrow)]
    Request(ClientRequest<'a>),
    /// A streamed response has started.
    FirstByte {
        /// The name of the request.
        #[serde(borrow, rename = "ticket")]
        request: Cow<'a, str>,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    #[serde(borrow)]
    Done(AttemptEnd<'a>),
    /// The client has disconnected.
    Aborted {
        /// The name of the request.
        #[serde(borrow, rename = "ticket")]
        request: Cow<'a, str>,
    },
    /// A timer has expired.
    Elapsed {
        /// The balancer's id of the timer.
        #[serde(rename = "keyBack")]
        timer: u64,
    },
    /// A health check has ended.
    #[serde(borrow)]
    Probed(HealthCheckEnd<'a>),
    /// Another instance has sent a gossip message.
    Mail {
        /// The id of the sending instance.
        #[serde(rename = "srcPeer")]
        from: u32,
        /// The message as hexadecimal digits.
        #[serde(borrow, rename = "raw")]
        payload: Cow<'a, str>,
    },
}

/// The parameters of a new process.
#[derive(Debug, Deserialize)]
pub struct Attach {
    /// The seed of the balancer's random number generator.
    #[serde(rename = "salt")]
    pub seed: u64,
    /// The balancer's settings.
    pub params: Box<balancer_settings::Params>,
}

/// A list of servers that REGISTRY events refer to by id.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Catalogue<'a> {
    /// The id; a later catalogue with the same id replaces this one.
    #[serde(rename = "ref")]
    pub id: u32,
    /// One entry for each server.
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
    /// The index of the tenant in the settings; `None` if the request has no tenant.
    #[serde(default, rename = "party")]
    pub tenant: Option<usize>,
    /// The index of the request class in the settings.
    #[serde(rename = "cls")]
    pub class: usize,
    /// The affinity key, if the request has one.
    #[serde(borrow, default, rename = "affinity")]
    pub affinity_key: Option<Cow<'a, str>>,
    /// The client's estimate of the work, in milliseconds; ignored unless [`ClientRequest::HAS_ESTIMATE`] is set.
    #[serde(default)]
    pub estimate_ms: Option<f64>,
    /// Bitwise OR of [`ClientRequest::HAS_ESTIMATE`] and [`ClientRequest::IS_RETRY`]; `None` means no flags.
    #[serde(default, rename = "opts")]
    pub flags: Option<u64>,
    /// How long the client will wait for the response, in milliseconds.
    #[serde(rename = "expiresInMs")]
    pub time_left_ms: f64,
}

impl ClientRequest<'_> {
    /// Flag: `estimate_ms` is valid.
    pub const HAS_ESTIMATE: u64 = 1;
    /// Flag: the request is a retry by the client.
    pub const IS_RETRY: u64 = 2;

    /// Whether `flag` is set.
    pub fn has_flag(&self, flag: u64) -> bool {
        self.flags.unwrap_or(0) & flag != 0
    }
}

/// The result of an attempt.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptEnd<'a> {
    /// The name of the request.
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
    /// The request has ended along with the attempt.
    #[serde(rename = "finished")]
    pub request_finished: bool,
    /// The duration of the attempt, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The outcome.
    pub ending: Ending,
    /// The number of the attempt within the request, from 0.
    pub attempt: u32,
    /// The server's load report, if it sent one.
    #[serde(default, rename = "gauge")]
    pub report: Option<Vec<f64>>,
}

/// The result of a health check.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct HealthCheckEnd<'a> {
    /// The name of the server.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// The outcome.
    pub ending: Ending,
    /// The duration of the health check, in milliseconds.
    #[serde(rename = "timeTakenMs")]
    pub elapsed_ms: f64,
    /// The server's load report, if it sent one.
    #[serde(default, rename = "gauge")]
    pub report: Option<Vec<f64>>,
}

/// How an endpoint list relates to the previous one.
#[derive(Debug, Clone, Copy, Deserialize)]
pub enum Form {
    /// Only the entries that have changed.
    Partial,
    /// All entries.
    Complete,
    /// All entries as stored before a restart; they may be stale.
    Persisted,
    /// No entries: the poll or the watch failed.
    Error,
}

/// A server in a catalogue.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry<'a> {
    /// The name of the server.
    #[serde(borrow, rename = "backend")]
    pub server: Cow<'a, str>,
    /// The id of the server's zone.
    #[serde(default, rename = "campus")]
    pub zone: u32,
    /// The id of the server's kind of machine.
    #[serde(default, rename = "classOfHost")]
    pub kind: u32,
    /// The id of the server's cell.
    #[serde(default, rename = "cluster")]
    pub cell: u32,
    /// Whether the server accepts requests.
    pub status: EntryStatus,
    /// The relative weight of the server; `None` means the default.
    #[serde(default, rename = "units")]
    pub weight: Option<f64>,
    /// When the server's process started, in milliseconds on the simulator's clock; zero or less means unknown.
    #[serde(default, rename = "lastStartMs")]
    pub started_ms: Option<f64>,
}

/// Whether a server accepts requests.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EntryStatus {
    /// Accepts requests.
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// Has been removed.
    Deleted,
}

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ending {
    /// A successful response.
    Done,
    /// An error response from the server.
    Err,
    /// The server rejected the request without processing it.
    Busy,
    /// Timed out.
    Etimedout,
    /// The connection could not be established.
    Econnrefused,
    /// The connection was reset.
    Econnreset,
    /// Cancelled by the balancer.
    Ecanceled,
    /// Not sent.
    Skipped,
}

/// One line of output: the reply to a batch.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// The round number of the batch.
    pub round: u64,
    /// The actions, grouped by instance; instances without an action are left out.
    pub parts: Vec<ReplyPart>,
}

/// The actions of one instance, in order.
#[derive(Debug, Serialize)]
pub struct ReplyPart {
    /// The id of the instance.
    #[serde(rename = "who")]
    pub instance_id: u32,
    /// The actions, in the order in which the balancer issued them.
    #[serde(rename = "outbox")]
    pub actions: Vec<WireAction>,
}

/// An action of a balancer. Times are in milliseconds; `until_ms` and `at_ms` are on the simulator's clock, and
/// `retry_after_ms` is a duration.
#[derive(Debug, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum WireAction {
    /// Send an attempt to a server; the attempt times out at `until_ms`.
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
    /// Reject a request because of overload; `retry_after_ms` is the delay for the Retry-After header, if any.
    OverloadReply {
        #[serde(rename = "ticket")]
        request: String,
        #[serde(rename = "notBeforeForMs")]
        retry_after_ms: Option<f64>,
    },
    /// End a request with an error.
    Abort {
        #[serde(rename = "ticket")]
        request: String,
    },
    /// Set a timer: the simulator sends ELAPSED at `at_ms`.
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
    /// Send a gossip message, as hexadecimal digits, to an instance, or to all instances if `to` is -1.
    Announce {
        to: i64,
        #[serde(rename = "raw")]
        payload: String,
    },
    /// Start (`active`) or stop watching the endpoint list.
    Follow { active: bool },
    /// Write a line to the log.
    NoteDown {
        #[serde(rename = "what")]
        text: String,
    },
    /// Report a bug in the balancer.
    Bug {
        #[serde(rename = "what")]
        text: String,
    },
}
