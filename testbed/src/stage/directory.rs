//! Discovery: the list of renderers as each agent is told it, and the watch call.

use super::gate::bind;
use super::World;
use crate::plan::Plan;
use crate::renderer::Micros;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The longest wait of a watch.
pub(crate) const WAIT_MOST: Duration = Duration::from_millis(60_000);
/// After a move the old address keeps its open connections for this long.
const MOVED: Duration = Duration::from_millis(1500);
/// What an agent does not come to hear counts as told this much later all the same.
const TOLD_AFTER: Micros = 6_000_000;

/// A figure that a call names, as `after` in `?after=41`.
pub(crate) fn asked(uri: &str, name: &str) -> Option<u64> {
    let query = uri.split_once('?').map_or("", |(_, query)| query);
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    pair.and_then(|figure| figure.parse().ok())
}

/// What the list says of a renderer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

#[derive(Debug, Clone, Copy)]
struct News {
    /// When the list had it.
    at: Micros,
    renderer: usize,
    health: Health,
    /// When its process started, in Unix milliseconds; 0 for long ago.
    born_ms: f64,
}

/// How discovery treats an agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    /// As it should.
    Well,
    /// It takes calls and says nothing.
    Silent,
    /// It takes no calls.
    Down,
}

#[derive(Debug, Clone, Copy)]
struct View {
    mood: Mood,
    /// What is added to its news.
    stale: Micros,
    /// News that it has been sent; that stays so, whatever is added later.
    reached: usize,
    /// News up to here have been written to it, or count as told as time enough has passed.
    heard: usize,
    /// It is to call the other address.
    moved: bool,
    /// The renderers that its list holds: from, and up to but without.
    part: (usize, usize),
}

/// Discovery.
pub struct Directory {
    news: Mutex<Vec<News>>,
    /// Counts the news.
    told: watch::Sender<u64>,
    views: Vec<watch::Sender<View>>,
    spread: Vec<Micros>,
    /// Bytes of the lists that agents were answered with.
    list_bytes: AtomicU64,
}

/// The version of the list before any news.
const FIRST: u64 = 1;

impl Directory {
    /// All renderers are up, and all agents know.
    pub fn new(plan: &Plan) -> Self {
        let part = (0, plan.renderers.len());
        let view = View { mood: Mood::Well, stale: 0, reached: 0, heard: 0, moved: false, part };
        Directory {
            news: Mutex::new(Vec::new()),
            told: watch::Sender::new(0),
            views: plan.agents.iter().map(|_| watch::Sender::new(view)).collect(),
            spread: plan.agents.iter().map(|a| a.spread_us).collect(),
            list_bytes: AtomicU64::new(0),
        }
    }

    /// Bytes of the lists that all agents were answered with so far, without what HTTP adds.
    pub fn list_bytes(&self) -> u64 {
        self.list_bytes.load(Ordering::Relaxed)
    }

    fn news(&self) -> MutexGuard<'_, Vec<News>> {
        crate::lock(&self.news)
    }

    /// The list has news of a renderer now.
    pub fn tell(&self, at: Micros, renderer: usize, health: Health, born_ms: f64) {
        let mut news = self.news();
        let at = news.last().map_or(at, |last| last.at.max(at));
        news.push(News { at, renderer, health, born_ms });
        drop(news);
        self.told.send_modify(|told| *told += 1);
    }

    /// A renderer's process has ended; the list has it after a while.
    pub fn ended(&self, world: &Arc<World>, renderer: usize, after: Micros) {
        self.later(world, renderer, after, Health::Removed);
    }

    /// A renderer's process has started.
    pub fn started(&self, world: &Arc<World>, renderer: usize, after: Micros) {
        self.later(world, renderer, after, Health::Up);
    }

    fn later(&self, world: &Arc<World>, renderer: usize, after: Micros, health: Health) {
        let (now, mut seen) = (world.clock.now(), world.machines[renderer].seen());
        let process = *seen.borrow_and_update();
        let born_ms = if health == Health::Up { world.clock.unix_ms(now) } else { 0.0 };
        let world = world.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(after)).await;
            // What is no longer so is no news.
            if *seen.borrow() == process {
                world.directory.tell(world.clock.now(), renderer, health, born_ms);
            }
        });
    }

    /// Treats an agent like this from now on.
    pub fn treat(&self, agent: usize, mood: Option<Mood>, stale: Option<Micros>) {
        self.views[agent].send_modify(|view| {
            view.mood = mood.unwrap_or(view.mood);
            view.stale = stale.unwrap_or(view.stale);
        });
    }

    /// An agent's list holds these renderers alone, from before its first start on.
    pub fn narrow(&self, agent: usize, part: std::ops::Range<usize>) {
        self.views[agent].send_modify(|view| view.part = (part.start, part.end));
    }

    /// Moves to the other address for an agent.
    pub fn moves(&self, agent: usize) {
        self.views[agent].send_modify(|view| view.moved = !view.moved);
    }

    /// Whether an agent is to call the other address.
    pub fn moved(&self, agent: usize) -> bool {
        self.views[agent].borrow().moved
    }

    /// How much of the news an agent's machine has by now.
    fn reach(&self, agent: usize, now: Micros) -> usize {
        let news = self.news();
        let mut reached = 0;
        self.views[agent].send_if_modified(|view| {
            let due = |n: &News| n.at + self.spread[agent] + view.stale <= now;
            view.reached += news[view.reached..].iter().take_while(|n| due(n)).count();
            reached = view.reached;
            false
        });
        reached
    }

    fn hears(&self, agent: usize, news: usize) {
        self.views[agent].send_if_modified(|view| {
            view.heard = view.heard.max(news);
            false
        });
    }

    fn entry(world: &World, agent: usize, renderer: usize, health: Health, born_ms: f64) -> Value {
        let r = &world.plan.renderers[renderer];
        json!({
            "host": r.name,
            "dial": world.addresses.renderer(renderer, agent).to_string(),
            "site": world.plan.zones[r.zone],
            "class": world.plan.kinds[r.kind],
            "block": r.cell,
            "health": match health { Health::Up => "up", Health::Draining => "draining", Health::Removed => "removed" },
            "share": 1.0,
            "born_ms": born_ms,
        })
    }

    /// When the next of the news that an agent's machine does not have yet comes there.
    fn due(&self, agent: usize) -> Option<Micros> {
        let view = *self.views[agent].borrow();
        self.news().get(view.reached).map(|news| news.at + self.spread[agent] + view.stale)
    }

    /// The list as an agent has it by the news up to `reached`: what has changed since `after`, or all of it.
    fn list(&self, world: &World, agent: usize, reached: usize, after: Option<usize>) -> Value {
        let mut state: BTreeMap<usize, (Health, f64)> = BTreeMap::new();
        let (from, to) = self.views[agent].borrow().part;
        if after.is_none() {
            state.extend((from..to).map(|r| (r, (Health::Up, 0.0))));
        }
        let of_it = |news: &&News| (from..to).contains(&news.renderer);
        for news in self.news()[after.unwrap_or(0)..reached].iter().filter(of_it) {
            state.insert(news.renderer, (news.health, news.born_ms));
        }
        if after.is_none() {
            state.retain(|_, (health, _)| *health != Health::Removed);
        }
        let hosts: Vec<Value> =
            state.iter().map(|(r, (health, born))| Self::entry(world, agent, *r, *health, *born)).collect();
        let now = world.clock.now();
        self.hears(agent, reached);
        let mut ledger = world.ledger();
        if after.is_none() {
            for renderer in (from..to).filter(|r| !state.contains_key(r)) {
                ledger.told(now, agent, renderer, false);
            }
        }
        for (renderer, (health, _)) in &state {
            ledger.told(now, agent, *renderer, *health == Health::Up);
        }
        json!({"seq": FIRST + reached as u64, "whole": after.is_none(), "hosts": hosts})
    }

    /// The list that an agent's configuration knows.
    pub fn known(&self, world: &World, agent: usize) -> Value {
        let reached = self.reach(agent, world.clock.now());
        self.list(world, agent, reached, None)
    }

    /// News that an agent has not come to hear in time count as told; never ends.
    pub async fn insist(world: Arc<World>) {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = world.clock.now();
            for (agent, view) in world.directory.views.iter().enumerate() {
                world.directory.reach(agent, now);
                let View { reached, heard, .. } = *view.borrow();
                let news: Vec<News> = world.directory.news()[heard..reached]
                    .iter()
                    .take_while(|news| now >= news.at + world.directory.spread[agent] + TOLD_AFTER)
                    .copied()
                    .collect();
                let mut ledger = world.ledger();
                for news in &news {
                    ledger.told(now, agent, news.renderer, news.health == Health::Up);
                }
                drop(ledger);
                world.directory.hears(agent, heard + news.len());
            }
        }
    }

    /// Answers one agent at one of its addresses until the play ends.
    pub async fn serve(world: Arc<World>, agent: usize, moved: bool) {
        let view = &world.directory.views[agent];
        let mut changes = view.subscribe();
        let here = |view: &View| view.moved == moved && view.mood != Mood::Down;
        loop {
            if changes.wait_for(|view| here(view)).await.is_err() {
                return;
            }
            let listener = match bind(world.addresses.discovery(agent, moved)).await {
                Ok(listener) => listener,
                Err(why) => return world.break_off(why),
            };
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(Self::connection(world.clone(), agent, moved, stream));
                        }
                    }
                    away = changes.wait_for(|view| !here(view)) => {
                        if away.is_err() {
                            return;
                        }
                        break;
                    }
                }
            }
        }
    }

    async fn connection(world: Arc<World>, agent: usize, moved: bool, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut changes = world.directory.views[agent].subscribe();
        let service = {
            let world = world.clone();
            service_fn(move |request: Request<hyper::body::Incoming>| {
                let world = world.clone();
                async move { Ok::<_, Infallible>(Self::answer(&world, agent, request.uri().to_string()).await) }
            })
        };
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let ended = async {
            let why = changes.wait_for(|view| view.mood == Mood::Down || view.moved != moved).await;
            if why.is_ok_and(|view| view.mood != Mood::Down) {
                tokio::time::sleep(MOVED).await;
            }
        };
        tokio::select! {
            // An error is the agent's leaving.
            _ = served => {}
            () = ended => {}
        }
    }

    async fn answer(world: &Arc<World>, agent: usize, uri: String) -> Response<Full<Bytes>> {
        let directory = &world.directory;
        let mut changes = directory.views[agent].subscribe();
        // The testbed answers as long as it lives.
        let _ = changes.wait_for(|view| view.mood != Mood::Silent).await;
        if !uri.starts_with("/v1/endpoints") {
            let mut response = Response::new(Full::new(Bytes::from_static(b"no such path\n")));
            *response.status_mut() = hyper::StatusCode::NOT_FOUND;
            return response;
        }
        let since = asked(&uri, "after");
        let wait = Duration::from_millis(asked(&uri, "wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let until = tokio::time::Instant::now() + wait;
        let mut told = directory.told.subscribe();
        let list = loop {
            let silent = changes.borrow().mood == Mood::Silent;
            let reached = directory.reach(agent, world.clock.now());
            // A version of another count, or of before a restart of this one, is told the whole list.
            let after = since
                .and_then(|since| since.checked_sub(FIRST))
                .map(|after| after as usize)
                .filter(|after| *after <= reached);
            let news = after.is_none_or(|after| after < reached);
            let over = tokio::time::Instant::now() >= until;
            if !silent && (news || over) {
                break directory.list(world, agent, reached, after);
            }
            let due = directory.due(agent).map_or(until, |due| world.clock.instant(due).min(until));
            tokio::select! {
                () = tokio::time::sleep_until(if silent { until + WAIT_MOST } else { due }) => {}
                // Both are told for as long as the play lasts.
                _ = changes.changed() => {}
                _ = told.changed() => {}
            }
        };
        let list = Bytes::from(list.to_string());
        directory.list_bytes.fetch_add(list.len() as u64, Ordering::Relaxed);
        let mut response = Response::new(Full::new(list));
        let json = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
        response
    }
}

#[cfg(test)]
mod tests;
