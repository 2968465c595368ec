//! The server list: reading it, watching it, asking for the whole of it.
//!
//! When to begin a watch and when to ask again after a failure is the balancer's to say
//! ([`micasail::Action::Follow`], [`micasail::Action::FetchList`]); a watch once begun is kept up here.

use crate::list::{parse_list, List};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

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
/// The longest list that is read.
const LIST_MOST: usize = 4 << 20;

/// Who hears what discovery says; `None` for a call that failed.
pub type News = Rc<dyn Fn(Option<List>)>;

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
}

impl Discovery {
    /// Knows where discovery is; calls nobody yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let place = Place { address, connect_timeout: connect_timeout.min(SILENT) };
        Discovery { place, watch: None, fetch: None }
    }

    /// Begins a watch for what is newer than `seq`, or with the whole list, or ends the one there is.
    pub fn follow(&mut self, news: &News, active: bool, seq: Option<u64>) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if active {
            let watch = watch(self.place, news.clone(), seq);
            self.watch = Some(tokio::task::spawn_local(watch));
        }
    }

    /// Calls another address from now on. What is on at the old one ends; a watch begins anew with the whole list.
    pub fn moved(&mut self, news: &News, address: SocketAddr) {
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
    pub fn fetch(&mut self, news: &News) {
        if self.fetch.as_ref().is_some_and(|f| !f.is_finished()) {
            return;
        }
        let (place, news) = (self.place, news.clone());
        self.fetch = Some(tokio::task::spawn_local(async move {
            let mut connection = None;
            news(call(place, &mut connection, "/v1/endpoints", Duration::ZERO).await);
        }));
    }
}

/// Calls again as soon as the last call is answered, until one fails: then the watch is over, the balancer is
/// told, and begins another when it sees fit.
async fn watch(place: Place, news: News, mut seq: Option<u64>) {
    let mut connection = None;
    loop {
        let (path, wait) = match seq {
            Some(seq) => (format!("/v1/endpoints?after={seq}&wait_ms={}", WAIT.as_millis()), WAIT),
            None => ("/v1/endpoints".to_owned(), Duration::ZERO),
        };
        let answer = call(place, &mut connection, &path, wait).await;
        let failed = answer.is_none();
        if let Some(list) = &answer {
            seq = Some(list.seq);
        }
        news(answer);
        if failed {
            return;
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

/// One call; `None` if it failed in any way. The connection is kept for the next call only if all went well.
async fn call(place: Place, kept: &mut Option<Connection>, path: &str, wait: Duration) -> Option<List> {
    let mut connection = kept.take();
    let (asked, reached, answered) = (Instant::now(), Cell::new(false), Cell::new(None));
    let exchange = async {
        if connection.as_mut().is_none_or(|(sender, _)| sender.is_closed()) {
            let stream =
                timeout(place.connect_timeout, TcpStream::connect(place.address)).await.ok()?.ok()?;
            // It spares waits; a connection without it is good all the same.
            let _ = stream.set_nodelay(true);
            let (sender, driven) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::task::spawn_local(async move {
                // Its end shows at the sender.
                let _ = driven.await;
            });
            connection = Some((sender, Ended(task)));
        }
        reached.set(true);
        let (sender, _) = connection.as_mut()?;
        sender.ready().await.ok()?;
        let request = Request::get(path).header("host", place.address.to_string()).body(Empty::new()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        answered.set(Some(response.status()));
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
        parse_list(&serde_json::from_slice(&body).ok()?)
    };
    // A cut-off discovery leaves its connection open and mute: no answer in time is a failure like any other.
    let answer = timeout(wait + SILENT, exchange).await.ok().flatten();
    let after = asked.elapsed().as_secs_f64() * 1e3;
    match &answer {
        // A watch that had nothing to tell says nothing here either.
        Some(list) if list.whole || !list.hosts.is_empty() => {
            let what = if list.whole { "the whole list" } else { "changes" };
            tracing::info!(target: "discovery", "{what} to {}, {} entries, after {after:.1} ms", list.seq, list.hosts.len());
        }
        Some(_) => {}
        None => {
            let status = answered.get().map_or("no answer".to_owned(), |status| format!("status {status}"));
            let how = if reached.get() { status } else { "no connection".to_owned() };
            tracing::warn!(target: "discovery", "{path} failed after {after:.1} ms: {how}");
        }
    }
    if answer.is_some() {
        *kept = connection;
    }
    answer
}
