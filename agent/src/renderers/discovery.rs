//! The server list: reading it, watching it, asking for the whole of it.
//!
//! When to begin a watch and when to ask again after a failure is the balancer's to say
//! ([`micasail::Action::Follow`], [`micasail::Action::FetchList`]); a watch once begun is kept up here.

use crate::list::{parse_list, List};
use crate::traffic::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::fmt::Display;
use std::io;
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
    let (asked, reached) = (Instant::now(), Cell::new(false));
    let broke = |why: &dyn Display| format!("no whole answer: {why:.80}");
    let exchange = async {
        if connection.as_mut().is_none_or(|(sender, _)| sender.is_closed()) {
            let connect = timeout(place.connect_timeout, TcpStream::connect(place.address)).await;
            let stream = connect.map_err(io::Error::from).and_then(|stream| stream);
            let socket = Socket::new(stream.map_err(|why| format!("no connection: {why}"))?);
            let (sender, driven) = handshake(TokioIo::new(socket)).await.map_err(|why| broke(&why))?;
            let task = tokio::task::spawn_local(async move {
                // Its end shows at the sender.
                let _ = driven.await;
            });
            connection = Some((sender, Ended(task)));
        }
        reached.set(true);
        let Some((sender, _)) = connection.as_mut() else { return Err("no connection".to_owned()) };
        sender.ready().await.map_err(|why| broke(&why))?;
        let request = Request::get(path).header("host", place.address.to_string()).body(Empty::new());
        let request = request.map_err(|why| broke(&why))?;
        let response = sender.send_request(request).await.map_err(|why| broke(&why))?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), LIST_MOST).collect().await;
        let body = body.map_err(|why| broke(&why))?.to_bytes();
        let odd = |why: String| format!("its answer is no list: {why}");
        let value = serde_json::from_slice(&body).map_err(|why| odd(why.to_string()))?;
        parse_list(&value).map_err(odd)
    };
    // A cut-off discovery leaves its connection open and mute: no answer in time is a failure like any other.
    let silent = || Err(if reached.get() { "no answer" } else { "no connection" }.to_owned());
    let answer = timeout(wait + SILENT, exchange).await.unwrap_or_else(|_| silent());
    let after = asked.elapsed().as_secs_f64() * 1e3;
    match &answer {
        // A watch that had nothing to tell says nothing here either.
        Ok(list) if list.whole || !list.hosts.is_empty() => {
            let what = if list.whole { "the whole list" } else { "changes" };
            tracing::info!(target: "discovery", "{what} to {}, {} entries, after {after:.1} ms", list.seq, list.hosts.len());
        }
        Ok(_) => {}
        Err(why) => tracing::warn!(target: "discovery", "{path} failed after {after:.1} ms: {why}"),
    }
    if answer.is_ok() {
        *kept = connection;
    }
    answer.ok()
}
