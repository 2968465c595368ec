//! The server list: reading it, watching it, asking for the whole of it.
//!
//! When to begin a watch and when to ask again after a failure is the balancer's to say
//! ([`balancer::Action::Watch`], [`balancer::Action::FetchEndpoints`]); a watch once begun is kept up here.

use crate::endpoint_list::{Envelope, Host, InvalidEntry, ListError, Reader};
use crate::traffic::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{timeout, timeout_at, Instant};

/// What a watch that has fallen silent misses counts as told this long after that (the operators' standing page), or,
/// if that is later, so long after its wait is over. By then another watch must have brought it.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// A call that has said nothing this long after it should have is silent: half of the time for finding that out, the
/// other half for opening a watch anew.
const SILENT: Duration = TOLD_AFTER_WAIT.checked_div(2).unwrap();
/// How long a watch waits for news: so short that a watch that falls silent, and the one in its place as well, are found
/// out before what both miss counts as told. A discovery that all agents ask answers those opened anew in turn, which
/// takes the rest of that time.
const WAIT: Duration = TOLD_AFTER_SILENCE.checked_div(2).unwrap().saturating_sub(SILENT);
/// A long answer gets this much more time for each so many bytes: as many as a body may have (the protocol page), which
/// have always had to come within that.
const PACE_BYTES: u32 = 64 << 10;
/// Entries of an answer that are read and taken in before requests have their turn again: a fraction of a millisecond.
pub const STEP: usize = 128;

/// What discovery says, in the order in which it comes.
#[derive(Debug)]
pub enum News {
    /// A call has been made; what an earlier answer began is no more.
    Called,
    /// Entries of an answer that is still coming, [`STEP`] at most.
    Entries(Vec<Result<Host, InvalidEntry>>),
    /// The answer has ended as it should.
    Whole(Envelope),
    /// There was more to be done for that than fits beside requests: the next step of it.
    GoOn,
    /// The call failed: it was refused, or nothing or half an answer came.
    Failed,
    /// The answer was of no use, and asking again at once would bring the same.
    Senseless,
}

/// Who hears what discovery says; whether there is more to be done, which is asked for by [`News::GoOn`].
pub type Listener = Rc<dyn Fn(News) -> bool>;

/// The calls to discovery; at most one watch and one call for the whole list at a time.
pub struct Discovery {
    place: Place,
    watch: Option<JoinHandle<()>>,
    fetch: Option<JoinHandle<()>>,
}

/// Where discovery is and how it is called.
#[derive(Clone, Copy)]
struct Place {
    address: SocketAddr,
    /// A connection that is still not made after this has failed.
    connect_timeout: Duration,
    /// Servers that an answer may name.
    servers_most: usize,
}

impl Discovery {
    /// Knows where discovery is; calls nobody yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration, servers_most: usize) -> Self {
        let place = Place { address, connect_timeout: connect_timeout.min(SILENT), servers_most };
        Discovery { place, watch: None, fetch: None }
    }

    /// Begins a watch for what is newer than `seq`, or with the whole list, or ends the one there is.
    pub fn follow(&mut self, news: &Listener, active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if active {
            let watch = watch(self.place, news.clone(), seq);
            self.watch = Some(tokio::task::spawn_local(watch));
        }
    }

    /// Calls another address from now on. What is on at the old one ends; a watch begins anew with the whole list.
    pub fn moved(&mut self, news: &Listener, address: SocketAddr) {
        self.place.address = address;
        let fetching = self.fetch.take().is_some_and(|fetch| {
            fetch.abort();
            !fetch.is_finished()
        });
        if self.watch.is_some() {
            self.follow(news, true, None);
        } else if fetching {
            self.fetch(news);
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, news: &Listener) {
        if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
            return;
        }
        let (place, news) = (self.place, news.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            let mut connection = None;
            // The listener has been told of all that came of it.
            let _ = call(place, &mut connection, "/v1/endpoints", Duration::ZERO, &news).await;
        }));
    }
}

/// Calls again as soon as the last call is answered, until one fails: then the watch is over, the balancer is
/// told, and begins another when it sees fit.
async fn watch(place: Place, news: Listener, mut seq: Option<u64>) {
    let mut connection = None;
    loop {
        let (path, wait) = match seq {
            Some(seq) => (format!("/v1/endpoints?after={seq}&wait_ms={}", WAIT.as_millis()), WAIT),
            None => ("/v1/endpoints".to_owned(), Duration::ZERO),
        };
        match call(place, &mut connection, &path, wait, &news).await {
            Some(version) => seq = Some(version),
            None => return,
        }
    }
}

type Connection = (SendRequest<Empty<Bytes>>, Ended);

/// Ends a connection's task with its last user.
struct Ended(JoinHandle<()>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a call came to nothing, for a person.
enum Failure {
    /// As [`News::Failed`].
    Broke(String),
    /// As [`News::Senseless`].
    Senseless(String),
}

/// One call, of which the listener hears; the version that it brought, `None` if it failed in any way. The connection is
/// kept for the next call only if all went well.
async fn call(
    place: Place,
    kept: &mut Option<Connection>,
    path: &str,
    wait: Duration,
    news: &Listener,
) -> Option<u64> {
    let asked = Instant::now();
    news(News::Called);
    let mut connection = kept.take();
    let mut reader = Reader::new(place.servers_most);
    let answer = exchange(place, &mut connection, path, asked + wait + SILENT, &mut reader, news).await;
    let entries = reader.entries();
    let answer = match answer {
        // Half an answer is no word of its own.
        Ok(()) if !reader.is_complete() => reader.end().map_err(|why| Failure::Broke(no_list(&why))),
        Ok(()) => reader.end().map_err(|why| Failure::Senseless(no_list(&why))),
        Err(failure) => Err(failure),
    };
    let after = asked.elapsed().as_secs_f64() * 1e3;
    match answer {
        Ok(envelope) => {
            // A watch that had nothing to tell says nothing here either.
            if envelope.is_complete || entries > 0 {
                let what = if envelope.is_complete { "the whole list" } else { "changes" };
                tracing::info!(target: "discovery", "{what} to {}, {entries} entries, after {after:.1} ms", envelope.seq);
            }
            let mut more = news(News::Whole(envelope));
            while more {
                yield_now().await;
                more = news(News::GoOn);
            }
            *kept = connection;
            Some(envelope.seq)
        }
        Err(failure) => {
            let (why, told) = match failure {
                Failure::Broke(why) => (why, News::Failed),
                Failure::Senseless(why) => (why, News::Senseless),
            };
            tracing::warn!(target: "discovery", "{path} failed after {after:.1} ms: {why}");
            news(told);
            None
        }
    }
}

fn no_list(why: &ListError) -> String {
    format!("its answer is no list: {why}")
}

/// Makes a call and reads its answer as it comes. Until `by` a call may be silent; after that, what comes has to go on
/// coming, and at the pace of [`PACE_BYTES`].
async fn exchange(
    place: Place,
    connection: &mut Option<Connection>,
    path: &str,
    by: Instant,
    reader: &mut Reader,
    news: &Listener,
) -> Result<(), Failure> {
    let broke = |why: &dyn Display| Failure::Broke(format!("no whole answer: {why:.80}"));
    let silent = |what: &str| Failure::Broke(format!("no {what}"));
    if connection.as_ref().is_none_or(|(sender, _)| sender.is_closed()) {
        let connect = timeout_at(by, timeout(place.connect_timeout, TcpStream::connect(place.address))).await;
        let stream =
            connect.map_err(|_| silent("connection"))?.map_err(io::Error::from).and_then(|stream| stream);
        let socket = Socket::new(stream.map_err(|why| silent(&format!("connection: {why}")))?);
        let (sender, driven) = handshake(TokioIo::new(socket)).await.map_err(|why| broke(&why))?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows at the sender.
            let _ = driven.await;
        });
        *connection = Some((sender, Ended(task)));
    }
    let Some((sender, _)) = connection.as_mut() else { return Err(silent("connection")) };
    let response = async {
        sender.ready().await.map_err(|why| broke(&why))?;
        let request = Request::get(path).header("host", place.address.to_string()).body(Empty::new());
        let request = request.map_err(|why| broke(&why))?;
        sender.send_request(request).await.map_err(|why| broke(&why))
    };
    // A cut-off discovery leaves its connection open and mute: no answer in time is a failure like any other.
    let response = timeout_at(by, response).await.map_err(|_| silent("answer"))??;
    if response.status() != StatusCode::OK {
        return Err(Failure::Broke(format!("status {}", response.status())));
    }
    let mut body = response.into_body();
    loop {
        let paced = by + SILENT.mul_f64(reader.bytes() as f64 / f64::from(PACE_BYTES));
        let until = by.max(paced.min(Instant::now() + SILENT));
        let frame = timeout_at(until, body.frame()).await.map_err(|_| silent("whole answer in time"))?;
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|why| broke(&why))?.into_data() else { continue };
        let senseless = |why: ListError| Failure::Senseless(no_list(&why));
        reader.push(&data).map_err(senseless)?;
        loop {
            let mut entries = Vec::new();
            let more = reader.read(STEP, &mut entries).map_err(senseless)?;
            if !entries.is_empty() {
                news(News::Entries(entries));
            }
            if !more {
                break;
            }
            yield_now().await;
        }
    }
}
