//! A call by the agents that it goes through: what they add to its time, how often the deepest level is tried for one
//! call when it is ill, and what it works for callers that have gone.
//!
//! A chain has an agent for each level and some renderers below each. A renderer of a level above the last one is an
//! application: it makes a request of its own (with an id of its own) for each that it gets, and sends it through the
//! next level's agent. Of what it does:
//!
//! - It passes the deadline on in `X-Timeout`, less what it has spent, and no answer by then is a failure of its own.
//! - Where its caller's connection closes, it closes its own call's.
//! - It makes one call, and repeats nothing. What does repeat here are the agents.
//! - A failure below is one of its own: 500. A refusal below (429 or 503 from the agent, which says by the protocol page
//!   that a further try is harmless) passes on as 503. That carries `X-Not-Processed: 1` where nothing of this call has
//!   run at the deepest by then, by any attempt: the testbed knows. An agent refuses also what has run and may be repeated, and
//!   an application that cannot tell the two apart would have to leave the word off.
//!
//! Times are counted from when a call was due. The chain is also called without its agents, each renderer straight to one
//! of the next level, for what the testbed's own part of a hop takes.

use super::{check_sizes, fit::Point, load, read, Figure, Scaled};
use crate::draw::Seed;
use crate::renderer::Micros;
use crate::scenario;
use crate::stage::directory::Directory;
use crate::stage::gate::wait_us;
use crate::stage::processes::Agents;
use crate::stage::World;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indicatif::ProgressBar;
use rustix::process::Signal;
use serde::Deserialize;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

const BUILT_IN: &str = include_str!("../../scales/depth.toml");
/// As deep as one machine holds without its processes waiting on each other.
const DEPTH_MOST: usize = 64;
const RENDERERS_MOST: usize = 16;
const REPEATS_MOST: usize = 20;
const CALLS_MOST: usize = 100_000;
const RATE_MOST: f64 = 2000.0;
const MS_MOST: f64 = 60_000.0;
/// The later part of the calls, which is steady: what a budget of further attempts held at first is spent by then.
const STEADY: f64 = 0.5;
/// And the part of them over which the worst is told: as many calls in a row.
const WORST: f64 = 0.1;
/// The classes, which differ by what a repeat does.
const SAFE: &str = "fetch";
const KEYED: &str = "store";
/// The longest body or answer that is read.
const BODY_MOST: usize = 64 << 10;
/// No timer is closer than this; the rest until a call is due is waited awake.
const AWAKE: Duration = Duration::from_micros(1500);
/// After the last call's deadline what is under way may end.
const REST: Duration = Duration::from_millis(250);
/// At this lateness at the 99th percentile, in milliseconds, the testbed was late by more than an agent adds.
const LATE_MS: f64 = 3.0;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    depths: Vec<usize>,
    repeats: usize,
    /// Which of the looks are taken.
    states: Vec<String>,
    renderers: usize,
    rate: f64,
    calls: usize,
    warm_calls: usize,
    deadline_ms: f64,
    work_ms: f64,
    slow_ms: f64,
    leaving_work_ms: f64,
    leaves_after_ms: f64,
    slack_ms: f64,
}

impl Asked {
    fn check(&self) -> Result<(), String> {
        check_sizes("depths", &self.depths, DEPTH_MOST)?;
        let known = LOOKS.map(|look| look.name);
        if let Some(odd) = self.states.iter().find(|state| !known.contains(&state.as_str())) {
            return Err(format!("states holds {odd:?}, some of {} were expected", known.join(", ")));
        }
        if self.states.is_empty() {
            return Err(format!("states is empty, some of {} were expected", known.join(", ")));
        }
        for (key, value, most) in [
            ("repeats", self.repeats, REPEATS_MOST),
            ("renderers", self.renderers, RENDERERS_MOST),
            ("calls", self.calls, CALLS_MOST),
            ("warm_calls", self.warm_calls, CALLS_MOST),
        ] {
            if !(1..=most).contains(&value) {
                return Err(format!("{key} is {value}, 1 to {most} was expected"));
            }
        }
        for (key, value, least, most) in [
            ("rate", self.rate, 1.0, RATE_MOST),
            ("deadline_ms", self.deadline_ms, 10.0, MS_MOST),
            ("work_ms", self.work_ms, 0.0, self.deadline_ms / 2.0),
            ("slow_ms", self.slow_ms, self.deadline_ms, MS_MOST),
            ("leaving_work_ms", self.leaving_work_ms, 1.0, self.deadline_ms),
            ("leaves_after_ms", self.leaves_after_ms, 1.0, self.leaving_work_ms),
            ("slack_ms", self.slack_ms, 0.0, MS_MOST),
        ] {
            // What is no number is outside as well.
            if !(least..=most).contains(&value) {
                return Err(format!("{key} is {value}, {least} to {most} was expected"));
            }
        }
        Ok(())
    }

    /// The chain's agents and renderers in a scenario's words: the settings are those of every play.
    fn scenario(&self, depth: usize) -> String {
        let class = |name: &str, effect: &str| {
            format!(
                "[[class]]\nname = \"{name}\"\nshare = 1\nwork_ms = 5\napart_ms = 0\naim_ms = {}\n\
                 deadline_ms = {}\nworth = 1\neffect = \"{effect}\"\n",
                self.deadline_ms / 2.0,
                self.deadline_ms
            )
        };
        format!(
            "about = \"agents in a chain\"\nseconds = 1\nload = 0.1\n[zones]\nnames = [\"a\"]\n[renderers]\n\
             count = {}\n[agents]\ncount = {depth}\nsockets = 1024\n{}{}",
            depth * self.renderers,
            class(SAFE, "safe"),
            class(KEYED, "keyed")
        )
    }
}

/// How the deepest level is, once the chain is warm.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Well,
    /// It answers 500 after its work.
    Fails,
    /// It answers half of its attempts so, by chance.
    Half,
    /// It answers 503 at once, and says that nothing has run.
    Refuses,
    /// It takes longer than the client waits.
    Slow,
    /// It is well, with more to do, and every other client leaves.
    Left,
}

/// What a chain is measured for.
#[derive(Debug, Clone, Copy)]
struct Look {
    state: State,
    class: &'static str,
    /// The chain has its agents, and is not the testbed alone.
    agents: bool,
    name: &'static str,
    what: &'static str,
    /// Its figures with what they are.
    attempts: Named,
    worst: Named,
    factor: Named,
}

/// A figure's name, and what it is.
type Named = (&'static str, &'static str);

macro_rules! look {
    ($name:literal, $state:expr, $class:expr, $what:literal) => {
        Look {
            state: $state,
            class: $class,
            agents: true,
            name: $name,
            what: $what,
            attempts: (
                concat!("depth_attempts_", $name),
                concat!("attempts at the deepest for a call while it ", $what, ", later half of the calls"),
            ),
            worst: (
                concat!("depth_attempts_", $name, "_worst"),
                concat!(
                    "attempts at the deepest for a call while it ",
                    $what,
                    ", worst tenth of them in a row"
                ),
            ),
            factor: (
                concat!("depth_factor_", $name),
                concat!("factor a hop, attempts^(1/depth), while the deepest ", $what),
            ),
        }
    };
}

const LOOKS: [Look; 9] = [
    Look {
        attempts: ("depth_attempts_well", "attempts at the deepest for a call while it is well"),
        ..look!("well", State::Well, SAFE, "is well")
    },
    Look { agents: false, ..look!("testbed", State::Well, SAFE, "is well, without agents") },
    look!("fail", State::Fails, SAFE, "fails"),
    look!("refuse", State::Refuses, SAFE, "refuses"),
    look!("slow", State::Slow, SAFE, "is slow"),
    look!("fail_half", State::Half, SAFE, "fails half of its attempts"),
    look!("fail_keyed", State::Fails, KEYED, "fails a keyed class"),
    look!("left", State::Left, SAFE, "is well and clients leave"),
    Look {
        agents: false,
        ..look!("left_lab", State::Left, SAFE, "is well and clients leave, without agents")
    },
];

/// A piece of work at the deepest level.
#[derive(Debug, Clone, Copy)]
struct Work {
    call: usize,
    began: Micros,
    /// None while it is under way.
    ended: Option<Micros>,
}

/// How a call ended for the client at the top.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Answer(StatusCode),
    /// No whole answer.
    None,
    /// The client left.
    Left,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    due: Micros,
    at: Micros,
    end: End,
}

/// One side's connections to a listener, kept between requests.
struct Caller {
    to: Vec<SocketAddr>,
    kept: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    turn: AtomicUsize,
}

impl Caller {
    fn new(to: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Caller { to, kept: Mutex::default(), turn: AtomicUsize::new(0) })
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let stream = TcpStream::connect(self.to[turn % self.to.len()]).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Its end shows at the sender; a sender that is dropped under a request ends it.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Makes a call; dropped before its end, it closes its connection.
    async fn call(&self, class: &str, call: usize, wait: Duration) -> Option<StatusCode> {
        static REQUESTS: AtomicU64 = AtomicU64::new(1);
        let keyed = class == KEYED;
        let id = format!("{:016x}", REQUESTS.fetch_add(1, Ordering::Relaxed));
        let request = || {
            let mut request = Request::builder()
                .method(if keyed { Method::POST } else { Method::GET })
                .uri(format!("/{class}/{call}"))
                .header("host", "service.internal")
                .header("x-request-id", &id)
                .header("x-priority-class", class)
                .header("x-timeout", format!("{}u", wait.as_micros().max(1)));
            if keyed {
                request = request.header("idempotency-key", format!("{call:016x}"));
            }
            request.body(Full::new(Bytes::from_static(if keyed { b"x" } else { b"" }))).ok()
        };
        loop {
            let kept = crate::lock(&self.kept).pop().filter(|sender| sender.is_ready());
            let reused = kept.is_some();
            let mut sender = match kept {
                Some(sender) => sender,
                None => self.connect().await?,
            };
            match sender.send_request(request()?).await {
                Ok(response) => {
                    let status = response.status();
                    Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?;
                    crate::lock(&self.kept).push(sender);
                    return Some(status);
                }
                // The close crossed a request that was not written: it goes once more, on another connection.
                Err(e) if reused && e.is_canceled() => {}
                Err(_) => return None,
            }
        }
    }
}

/// All that the stand-ins of a chain share.
struct Chain {
    world: Arc<World>,
    asked: Asked,
    look: Look,
    depth: usize,
    /// The way to each level.
    callers: Vec<Arc<Caller>>,
    works: Mutex<Vec<Work>>,
    /// The calls that have run at the deepest, by whatever attempt.
    ran: Vec<AtomicBool>,
}

/// A piece of work ends when it is done, or when nobody waits for it any more.
struct AtWork<'a>(&'a Chain, usize);

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        let now = self.0.world.clock.now();
        crate::lock(&self.0.works)[self.1].ended = Some(now);
    }
}

fn answer(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Turned away: nothing has run.
fn away() -> Response<Full<Bytes>> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    response.headers_mut().insert("x-not-processed", hyper::header::HeaderValue::from_static("1"));
    response
}

impl Chain {
    /// Serves one renderer of a level.
    async fn serve(self: Arc<Self>, level: usize, listener: TcpListener) {
        let in_flight = Arc::new(AtomicUsize::new(0));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (chain, in_flight) = (self.clone(), in_flight.clone());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let (chain, in_flight) = (chain.clone(), in_flight.clone());
                    async move { Ok::<_, Infallible>(chain.answer(level, &in_flight, request).await) }
                });
                // An error is the caller's leaving, which ends what is under way for it.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    async fn answer(
        &self,
        level: usize,
        in_flight: &AtomicUsize,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        struct Held<'a>(&'a AtomicUsize);
        impl Drop for Held<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        let came = Instant::now();
        let (head, body) = request.into_parts();
        match head.uri.path() {
            "/health" => return answer(StatusCode::OK, "ok"),
            "/status/load" => {
                let text = format!("TEXT inflight={}, queue=0", in_flight.load(Ordering::Relaxed));
                return Response::new(Full::new(Bytes::from(text)));
            }
            _ => {}
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let _held = Held(in_flight);
        let call = head.uri.path().rsplit('/').next().and_then(|call| call.parse::<usize>().ok());
        let (Some(call), Ok(_)) = (call, Limited::new(body, BODY_MOST).collect().await) else {
            return answer(StatusCode::NOT_FOUND, "no client has sent this\n");
        };
        if level + 1 == self.depth {
            return self.work(call).await;
        }
        let told = head.headers.get("x-timeout").and_then(|value| wait_us(value.to_str().ok()?));
        let left = Duration::from_micros(told.unwrap_or((self.asked.deadline_ms * 1e3) as Micros))
            .saturating_sub(came.elapsed());
        match timeout(left, self.callers[level + 1].call(self.look.class, call, left)).await {
            Ok(Some(StatusCode::OK)) => answer(StatusCode::OK, "served\n"),
            Ok(Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)) => {
                if self.ran(call) {
                    answer(StatusCode::SERVICE_UNAVAILABLE, "refused below\n")
                } else {
                    away()
                }
            }
            _ => answer(StatusCode::INTERNAL_SERVER_ERROR, "failed below\n"),
        }
    }

    /// What the deepest level does for a call.
    async fn work(&self, call: usize) -> Response<Full<Bytes>> {
        let state = if call < self.asked.warm_calls { State::Well } else { self.look.state };
        let place = {
            let mut works = crate::lock(&self.works);
            works.push(Work { call, began: self.world.clock.now(), ended: None });
            works.len() - 1
        };
        let _at_work = AtWork(self, place);
        if let Some(ran) = self.ran.get(call).filter(|_| state != State::Refuses) {
            ran.store(true, Ordering::Relaxed);
        }
        let ms = match state {
            State::Well | State::Fails | State::Half => self.asked.work_ms,
            State::Refuses => 0.0,
            State::Slow => self.asked.slow_ms,
            State::Left => self.asked.leaving_work_ms,
        };
        if ms > 0.0 {
            sleep(Duration::from_secs_f64(ms / 1e3)).await;
        }
        let unlucky = Seed(place as u64).fork(call as u64).unit() < 0.5;
        match state {
            State::Half if !unlucky => answer(StatusCode::OK, "served\n"),
            State::Fails | State::Half => answer(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
            State::Refuses => away(),
            _ => answer(StatusCode::OK, "served\n"),
        }
    }

    fn ran(&self, call: usize) -> bool {
        self.ran.get(call).is_some_and(|ran| ran.load(Ordering::Relaxed))
    }

    fn leaves(&self, call: usize) -> bool {
        self.look.state == State::Left && call >= self.asked.warm_calls && call % 2 == 1
    }

    /// Sends all calls when they are due, and waits for their ends.
    async fn calls(self: &Arc<Self>) -> Vec<Call> {
        let clock = &self.world.clock;
        let mut tasks = JoinSet::new();
        for call in 0..self.asked.warm_calls + self.asked.calls {
            let due = (1e6 * (call + 1) as f64 / self.asked.rate) as Micros;
            sleep_until(clock.instant(due) - AWAKE).await;
            while clock.now() < due {
                tokio::task::yield_now().await;
            }
            clock.did(due);
            let chain = self.clone();
            tasks.spawn(async move {
                let wait = Duration::from_secs_f64(chain.asked.deadline_ms / 1e3);
                let leave = Duration::from_secs_f64(chain.asked.leaves_after_ms / 1e3);
                let stays = if chain.leaves(call) { leave } else { wait };
                let asked = chain.callers[0].call(chain.look.class, call, wait);
                let end = match timeout(stays, asked).await {
                    Ok(Some(status)) => End::Answer(status),
                    Ok(None) => End::None,
                    Err(_) if chain.leaves(call) => End::Left,
                    Err(_) => End::None,
                };
                (call, Call { due, at: chain.world.clock.now(), end })
            });
        }
        let mut calls: Vec<(usize, Call)> = Vec::new();
        while let Some(done) = tasks.join_next().await {
            // A panic breaks the testbed off.
            calls.extend(done.ok());
        }
        sleep(REST).await;
        calls.sort_by_key(|(call, _)| *call);
        calls.into_iter().map(|(_, call)| call).collect()
    }
}

/// What a chain came to.
struct Seen {
    calls: Vec<Call>,
    works: Vec<Work>,
    /// When the look was over; what still was at work then ends there.
    over: Micros,
    late_ms: f64,
}

async fn measure(asked: &Asked, depth: usize, look: Look, program: &Path) -> Result<Seen, String> {
    let text = asked.scenario(depth);
    let scenario = scenario::read("the chain", &text, &[]).map_err(|e| e.to_string())?;
    let world = World::new(Arc::new(crate::plan::plan("depth", &scenario, scenario.seed)))?;
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agents: {e}"))?;
    let below = |level: usize| level * asked.renderers..(level + 1) * asked.renderers;
    let dials =
        |level: usize| below(level).map(|r| world.addresses.renderer(r, level)).collect::<Vec<SocketAddr>>();
    let way = |level: usize| if look.agents { vec![world.addresses.agent(level)] } else { dials(level) };
    let callers = (0..depth).map(|level| Caller::new(way(level))).collect();
    let chain = Arc::new(Chain {
        world: world.clone(),
        asked: asked.clone(),
        look,
        depth,
        callers,
        works: Mutex::default(),
        ran: (0..asked.warm_calls + asked.calls).map(|_| AtomicBool::new(false)).collect(),
    });
    // What is spawned here ends with the set.
    let mut tasks = JoinSet::new();
    for level in 0..depth {
        world.directory.narrow(level, below(level));
        for dial in dials(level) {
            tasks.spawn(chain.clone().serve(level, crate::stage::gate::bind(dial).await?));
        }
        tasks.spawn(Directory::serve(world.clone(), level, false));
    }
    let agents = Agents::new(&world, program, folder.path(), false)?;
    if look.agents {
        let numbers = (0..depth).map(|level| agents.start(&world, level)).collect::<Result<Vec<_>, _>>()?;
        for (level, number) in numbers.into_iter().enumerate() {
            agents.ready(&world, level, number).await?;
        }
    }
    world.clock.begin();
    let calls = chain.calls().await;
    let over = world.clock.now();
    let mut crashed = Vec::new();
    if look.agents {
        crashed = agents.used().into_iter().flat_map(|used| used.crashes).collect();
        (0..depth).for_each(|level| agents.signal(level, Signal::KILL, false));
    }
    if let Some(how) = crashed.first() {
        return Err(format!("an agent of {depth} ended unasked while the deepest {}: {how}", look.what));
    }
    let works = crate::lock(&chain.works).clone();
    Ok(Seen { calls, works, over, late_ms: world.clock.late_ms(0.99) })
}

/// The figure at a quantile of what is sorted here; none of nothing.
fn quantile(values: &mut [f64], q: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(((values.len().checked_sub(1)?) as f64 * q).round() as usize).copied()
}

impl Seen {
    /// Attempts at the deepest level for each of the counted calls.
    fn attempts(&self, asked: &Asked) -> Vec<f64> {
        let mut made = vec![0.0; asked.calls];
        let counted = self.works.iter().filter_map(|work| work.call.checked_sub(asked.warm_calls));
        counted.for_each(|call| made[call] += 1.0);
        made
    }

    /// Milliseconds of each served call beside what the deepest took for it.
    fn added(&self, asked: &Asked) -> Vec<f64> {
        let mut own: Vec<Option<Micros>> = vec![None; self.calls.len()];
        // The first that was done is the one whose answer went up.
        let mut done: Vec<(Micros, Work)> = self.works.iter().filter_map(|w| Some((w.ended?, *w))).collect();
        done.sort_by_key(|(ended, _)| *ended);
        for (ended, work) in done {
            if let Some(own) = own.get_mut(work.call) {
                own.get_or_insert(ended - work.began);
            }
        }
        let served = |call: &Call| call.end == End::Answer(StatusCode::OK);
        let both = self.calls.iter().zip(own).skip(asked.warm_calls).filter(|(call, _)| served(call));
        both.filter_map(|(call, own)| Some((call.at - call.due).saturating_sub(own?) as f64 / 1e3)).collect()
    }

    /// Of the attempts at the deepest for clients that left, the share that began, or still were at work, later than the
    /// slack after it; and the milliseconds worked after the leaving, for each such client.
    fn wasted(&self, asked: &Asked) -> (f64, f64) {
        let slack = (asked.slack_ms * 1e3) as Micros;
        let left = self.calls.iter().filter(|call| call.end == End::Left).count();
        let (mut attempts, mut late, mut after) = (0u32, 0u32, 0);
        for work in &self.works {
            let Some(Call { at, end: End::Left, .. }) = self.calls.get(work.call) else { continue };
            let ended = work.ended.unwrap_or(self.over);
            attempts += 1;
            late += u32::from(work.began.max(ended) > at + slack);
            after += ended.saturating_sub(work.began.max(*at));
        }
        (f64::from(late) / f64::from(attempts.max(1)), after as f64 / 1e3 / left.max(1) as f64)
    }

    /// The share of the counted calls that ended so.
    fn share(&self, asked: &Asked, ended: impl Fn(End) -> bool) -> f64 {
        let counted = self.calls.iter().skip(asked.warm_calls);
        counted.filter(|call| ended(call.end)).count() as f64 / asked.calls as f64
    }

    /// Percentages of how the counted calls ended, for a person.
    fn ends(&self, asked: &Asked) -> String {
        let percent = |ended: &dyn Fn(End) -> bool| 100.0 * self.share(asked, ended);
        format!(
            "served {:.0}%, refused {:.0}%, failed {:.0}%, no answer {:.0}%",
            percent(&|end| end == End::Answer(StatusCode::OK)),
            percent(&|end| matches!(end, End::Answer(s) if s.as_u16() == 503 || s.as_u16() == 429)),
            percent(&|end| matches!(end, End::Answer(s) if !matches!(s.as_u16(), 200 | 429 | 503))),
            percent(&|end| end == End::None),
        )
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Takes a measurement into its figure.
fn note(figures: &mut Vec<Figure>, (name, what): Named, unit: &'static str, at: (usize, f64)) {
    let point = Point { size: at.0 as f64, value: at.1 };
    match figures.iter_mut().find(|figure| figure.name == name) {
        Some(figure) => figure.points.push(point),
        None => figures.push(Figure { name, what, unit, per: "hop", points: vec![point] }),
    }
}

const ADDED: [Named; 2] = [
    ("depth_added_p50_ms", "what agents and stand-ins add to a call, median"),
    ("depth_added_p99_ms", "what agents and stand-ins add to a call, 99th percentile"),
];
const LAB: [Named; 2] = [
    ("depth_lab_p50_ms", "what stand-ins alone, without agents, add to a call, median"),
    ("depth_lab_p99_ms", "what stand-ins alone, without agents, add to a call, 99th percentile"),
];
const WASTED: [Named; 2] = [
    (
        "depth_wasted_share",
        "attempts at the deepest that began or worked on after their client had left and the slack",
    ),
    ("depth_wasted_ms", "work at the deepest after its client had left, for each that left"),
];
const LAB_WASTED: [Named; 2] = [
    (
        "depth_lab_wasted_share",
        "the same share in a chain of stand-ins alone, which all give up with their caller",
    ),
    ("depth_lab_wasted_ms", "work at the deepest after its client had left, in a chain of stand-ins alone"),
];

/// Measures chains of agents by their depth.
pub async fn run(file: Option<&Path>, program: &Path) -> Result<Scaled, String> {
    let asked: Asked = read(file, BUILT_IN)?;
    let name = file.map_or("built in".into(), |file| file.display().to_string());
    asked.check().map_err(|why| format!("{name}: {why}"))?;
    let mut scaled = Scaled { by: "testbed scale depth".into(), load: load(), ..Scaled::default() };
    let bar = ProgressBar::new((asked.repeats * asked.depths.len() * asked.states.len()) as u64);
    let mut late = 0.0f64;
    for repeat in 0..asked.repeats {
        for &depth in &asked.depths {
            // A keyed class and the testbed alone are looked at once, for what they differ.
            let taken = LOOKS.into_iter().filter(|look| asked.states.iter().any(|state| state == look.name));
            for look in taken.filter(|look| repeat == 0 || look.class == SAFE && look.agents) {
                bar.set_message(format!("{depth} deep, the deepest {}", look.what));
                let seen = measure(&asked, depth, look, program).await?;
                if look.state == State::Well {
                    late = late.max(seen.late_ms);
                }
                take(&mut scaled, &asked, depth, look, &seen, repeat == 0);
                bar.inc(1);
            }
        }
    }
    bar.finish_and_clear();
    conclude(&mut scaled, &asked, late);
    Ok(scaled)
}

/// The figures of one chain.
fn take(scaled: &mut Scaled, asked: &Asked, depth: usize, look: Look, seen: &Seen, first: bool) {
    let figures = &mut scaled.figures;
    match look.state {
        State::Well => {
            let mut added = seen.added(asked);
            for (figure, q) in (if look.agents { ADDED } else { LAB }).into_iter().zip([0.5, 0.99]) {
                if let Some(ms) = quantile(&mut added, q) {
                    note(figures, figure, "ms", (depth, ms));
                }
            }
            if look.agents {
                note(figures, look.attempts, "attempts", (depth, mean(&seen.attempts(asked))));
            }
            if seen.share(asked, |end| end == End::Answer(StatusCode::OK)) < 1.0 {
                scaled.notes.push(format!("{depth} deep, the deepest {}: {}", look.what, seen.ends(asked)));
            }
        }
        State::Left => {
            let (share, ms) = seen.wasted(asked);
            let [first, second] = if look.agents { WASTED } else { LAB_WASTED };
            note(figures, first, "share", (depth, share));
            note(figures, second, "ms", (depth, ms));
        }
        _ => {
            let made = seen.attempts(asked);
            let in_a_row = ((asked.calls as f64 * WORST) as usize).max(1);
            let worst = made.windows(in_a_row).map(mean).fold(0.0, f64::max);
            let steady = mean(&made[(asked.calls as f64 * STEADY) as usize..]);
            note(figures, look.attempts, "attempts", (depth, steady));
            note(figures, look.worst, "attempts", (depth, worst));
            note(figures, look.factor, "factor", (depth, steady.powf(1.0 / depth as f64)));
            if first {
                scaled.notes.push(format!("{depth} deep, the deepest {}: {}", look.what, seen.ends(asked)));
            }
        }
    }
}

/// What is to be known beside the figures.
fn conclude(scaled: &mut Scaled, asked: &Asked, late: f64) {
    for look in LOOKS {
        let (name, _) = look.worst;
        let Some(figure) = scaled.figures.iter().find(|figure| figure.name == name) else { continue };
        let worst = figure.points.iter().max_by(|a, b| a.value.total_cmp(&b.value));
        let Some(Point { size, value }) = worst else { continue };
        let factor = value.powf(1.0 / size);
        scaled.notes.push(format!("{name}: at most {value:.2} a call, at {size}: {factor:.3} a hop"));
    }
    let deepest = asked.depths[asked.depths.len() - 1];
    scaled.notes.push(format!(
        "stand-ins repeat nothing: an application that tries a failed or refused call once more multiplies what it \
         sends by up to 2 at its level, and one at each of {deepest} levels by up to {:.1e}, but for what agents turn away",
        2f64.powi(deepest as i32)
    ));
    scaled.notes.push(format!(
        "the testbed was late by {late:.2} ms at the 99th percentile of the worst well chain, counted in the added times{}",
        if late > LATE_MS { ": they are the testbed's as much as the agents'" } else { "" }
    ));
    scaled.notes.push("growth of attempts over hops is no line: the factor a hop is what to take".into());
}
