//! Discovery for one agent, with a list of any size: the whole list, a watch, and a history that can be forgotten.

use crate::stage::directory::{asked, Health, WAIT_MOST};
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant as Wall};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// The first version, which the agent knows from its configuration.
const FIRST: u64 = 41;

/// One server of the list.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its name.
    pub host: String,
    /// Where it answers.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its cell.
    pub block: usize,
    /// What the list says of it.
    pub health: Health,
    /// When it last started, in Unix milliseconds.
    pub born_ms: u64,
}

impl Server {
    fn told(&self) -> Value {
        let health = match self.health {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        };
        json!({"host": self.host, "dial": self.dial.to_string(), "site": self.site, "class": "m2",
               "block": self.block, "health": health, "share": 1.0, "born_ms": self.born_ms})
    }
}

struct Held {
    seq: u64,
    servers: Vec<Server>,
    /// Versions and the places of the servers that they changed, rising.
    news: Vec<(u64, usize)>,
    /// Whoever is behind this is told the whole list.
    kept_from: u64,
    /// The whole list as it was put together last, and its version.
    whole: (u64, Bytes),
}

/// What the agent has asked for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Asked {
    /// The newest version that a watch of it named.
    pub after: Option<u64>,
    /// When it first did.
    pub at: Option<Wall>,
    /// Whole lists that it has been sent.
    pub wholes: u64,
    /// When the first of them began to go out.
    pub whole_at: Option<Wall>,
    /// Answers with changes that it has been sent.
    pub changes: u64,
}

/// The list and who asks for it.
pub struct Discovery {
    held: Mutex<Held>,
    seq: watch::Sender<u64>,
    asked: watch::Sender<Asked>,
}

fn list(seq: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

impl Held {
    fn whole(&mut self) -> Bytes {
        if self.whole.0 != self.seq {
            let there = self.servers.iter().filter(|server| server.health != Health::Removed);
            let text = list(self.seq, true, there.map(Server::told).collect()).to_string();
            self.whole = (self.seq, text.into());
        }
        self.whole.1.clone()
    }

    /// What is newer than a version, if the history goes back so far.
    fn since(&self, after: u64) -> Option<Value> {
        if after < self.kept_from || after > self.seq {
            return None;
        }
        let mut places: Vec<usize> =
            self.news.iter().rev().take_while(|(seq, _)| *seq > after).map(|(_, place)| *place).collect();
        places.sort_unstable();
        places.dedup();
        let hosts = places.into_iter().map(|place| self.servers[place].told()).collect();
        Some(list(self.seq, false, hosts))
    }
}

impl Discovery {
    /// With these servers at the first version.
    pub fn new(servers: Vec<Server>) -> Arc<Self> {
        let held = Held { seq: FIRST, servers, news: Vec::new(), kept_from: FIRST, whole: (0, Bytes::new()) };
        Arc::new(Discovery {
            held: Mutex::new(held),
            seq: watch::Sender::new(FIRST),
            asked: watch::Sender::new(Asked::default()),
        })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        crate::lock(&self.held)
    }

    /// The whole list as it stands.
    pub fn whole(&self) -> Bytes {
        self.held().whole()
    }

    /// Changes servers in one version and returns it.
    pub fn change(&self, places: impl IntoIterator<Item = usize>, how: impl Fn(&mut Server)) -> u64 {
        self.tell(places, how, false)
    }

    /// The same, and the history before it is forgotten: whoever watches is told the whole list.
    pub fn change_and_forget(
        &self,
        places: impl IntoIterator<Item = usize>,
        how: impl Fn(&mut Server),
    ) -> u64 {
        self.tell(places, how, true)
    }

    fn tell(&self, places: impl IntoIterator<Item = usize>, how: impl Fn(&mut Server), forget: bool) -> u64 {
        let mut held = self.held();
        held.seq += 1;
        let seq = held.seq;
        for place in places {
            how(&mut held.servers[place]);
            held.news.push((seq, place));
        }
        if forget {
            (held.kept_from, held.news) = (seq, Vec::new());
            // Put together before anybody waits for it.
            held.whole();
        }
        drop(held);
        self.seq.send_replace(seq);
        seq
    }

    /// What the agent has asked for so far.
    pub fn asked(&self) -> Asked {
        *self.asked.borrow()
    }

    /// Counts what is sent from anew.
    pub fn count_anew(&self) {
        self.asked.send_modify(|asked| {
            (asked.wholes, asked.whole_at, asked.changes) = (0, None, 0);
        });
    }

    /// Waits until the agent watches for what is newer than a version, which says that it has taken that; returns when it
    /// first named it or a newer one, `None` if it has not within this time.
    pub async fn followed(&self, seq: u64, within: Duration) -> Option<Wall> {
        let mut asked = self.asked.subscribe();
        let named = asked.wait_for(|asked| asked.after.is_some_and(|after| after >= seq));
        // The sender lives as long as this.
        let named = tokio::time::timeout(within, named).await.ok()?.ok()?.at;
        named
    }

    /// Answers until the listener's end; never ends by itself.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let discovery = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                    let discovery = discovery.clone();
                    async move {
                        let body = discovery.answer(&request.uri().to_string()).await;
                        Ok::<_, Infallible>(Response::new(Full::new(body)))
                    }
                });
                // An error is the agent's leaving.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    pub(super) async fn answer(&self, uri: &str) -> Bytes {
        let after = asked(uri, "after");
        let until = Instant::now() + Duration::from_millis(asked(uri, "wait_ms").unwrap_or(0)).min(WAIT_MOST);
        if after.is_some() {
            self.asked.send_modify(|asked| {
                if asked.after < after {
                    (asked.after, asked.at) = (after, Some(Wall::now()));
                }
            });
        }
        let mut seq = self.seq.subscribe();
        if let Some(after) = after {
            // Either the time is over or there is news.
            let _ = tokio::time::timeout_at(until, seq.wait_for(|seq| *seq > after)).await;
        }
        let mut held = self.held();
        let changes = after.and_then(|after| held.since(after));
        let body = match &changes {
            Some(changes) => changes.to_string().into(),
            None => held.whole(),
        };
        drop(held);
        self.asked.send_modify(|asked| match &changes {
            Some(changes) => {
                let any = changes["hosts"].as_array().is_some_and(|hosts| !hosts.is_empty());
                asked.changes += u64::from(any);
            }
            None => {
                asked.wholes += 1;
                asked.whole_at.get_or_insert_with(Wall::now);
            }
        });
        body
    }
}
