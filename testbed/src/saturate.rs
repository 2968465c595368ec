//! What an agent costs: one of it on one core, against renderers that answer at once, beside a bare relay.

use crate::clock::histogram;
use crate::draw::Seed;
use crate::scenario::{self, Scenario};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant as Wall};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::Semaphore;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Answers have to come within this at the 99th percentile, timed from when a request was due.
pub const P99_MS: f64 = 5.0;
/// And this share of them has to be served.
const SERVED: f64 = 0.999;
/// How long a rate is held, and how much of that is not counted.
const STEP: Duration = Duration::from_millis(1500);
const SETTLE: Duration = Duration::from_millis(400);
/// Rates are told apart to this part of themselves.
const CLOSE: f64 = 0.06;
const RATE_LEAST: f64 = 500.0;
const RATE_MOST: f64 = 64_000.0;
/// The rate at which the cost of a request is taken, which everything here can bear.
const COST_RATE: f64 = 2000.0;
/// A testbed that is so late with a request has lost the rate, and the rest of the step tells nothing.
const BEHIND: Duration = Duration::from_millis(100);
/// A step in which the testbed was late by this at the 99th percentile was missed by the testbed, and not by the agent. Its timers
/// go by whole milliseconds, so two are nothing.
const LAB_LATE_MS: f64 = 3.0;
/// Connections of clients at most, and how long one waits for its answer.
const CONNECTIONS: usize = 500;
const PATIENCE: Duration = Duration::from_millis(500);
/// Renderers beside the agent.
const RENDERERS: usize = 8;
/// Connections at which memory is looked at.
const KEPT: [usize; 3] = [10, 100, 1000];
/// Descriptors of the agent: enough for a thousand kept connections within the third that is the clients'.
const SOCKETS: usize = 4096;
const ANSWER: &[u8] = &[b'.'; 600];

/// What was measured of one program.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// Which.
    pub program: String,
    /// The highest rate that it passed with answers in time, requests a second.
    pub rate: f64,
    /// What kept it from more: the program, or the testbed, which then was late itself.
    pub held_back_by: &'static str,
    /// Its 99th percentile at that rate, in milliseconds.
    pub p99_ms: f64,
    /// The median of its times at the common rate, in milliseconds.
    pub p50_ms: f64,
    /// Processor time for each request at the common rate, in microseconds.
    pub cpu_us: f64,
    /// Memory at each number of kept connections, in MB.
    pub memory_mb: Vec<(usize, f64)>,
}

/// Serves what comes at once, on every path, as a renderer, as discovery, and as one that is ready.
pub(crate) async fn stand_in(listener: TcpListener, list: Arc<str>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let list = list.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let list = list.clone();
                async move {
                    let path = request.uri().path();
                    let (watch, calls) = (request.uri().query().is_some(), path == "/v1/endpoints");
                    if calls && watch {
                        // There is never news.
                        sleep(Duration::from_secs(2)).await;
                    }
                    let body = match calls {
                        true if watch => Bytes::from_static(b"{\"seq\":1,\"whole\":false,\"hosts\":[]}"),
                        true => Bytes::copy_from_slice(list.as_bytes()),
                        false => Bytes::from_static(ANSWER),
                    };
                    // A body is read to its end before it is answered.
                    let _ = request.into_body().collect().await;
                    Ok::<_, Infallible>(Response::new(Full::new(body)))
                }
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A relay of bytes between clients and the first renderer of its configuration, on one thread: the floor of what a hop
/// costs. It is told what an agent is told.
pub async fn relay() -> Result<(), String> {
    let file = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set")?;
    let text = std::fs::read(&file).map_err(|e| format!("{file}: {e}"))?;
    let config: serde_json::Value = serde_json::from_slice(&text).map_err(|e| format!("{file}: {e}"))?;
    let address = |value: &serde_json::Value| {
        let text = value.as_str().unwrap_or_default();
        text.parse::<SocketAddr>().map_err(|_| format!("{file}: {text:?} is no address"))
    };
    let listen = address(&config["listen"])?;
    let hosts = config["known"]["hosts"].as_array().cloned().unwrap_or_default();
    let dials = hosts.iter().map(|host| address(&host["dial"])).collect::<Result<Vec<_>, _>>()?;
    if dials.is_empty() {
        return Err(format!("{file}: known.hosts names no renderer"));
    }
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
    let mut turn = 0;
    loop {
        let Ok((mut client, _)) = listener.accept().await else { continue };
        turn += 1;
        let dial = dials[turn % dials.len()];
        tokio::spawn(async move {
            let Ok(mut renderer) = TcpStream::connect(dial).await else { return };
            let _ = (client.set_nodelay(true), renderer.set_nodelay(true));
            // Either side's end ends both.
            let _ = tokio::io::copy_bidirectional(&mut client, &mut renderer).await;
        });
    }
}

struct Bench {
    agent: SocketAddr,
    child: Child,
    class: String,
    _folder: tempfile::TempDir,
}

fn bind() -> Result<(std::net::TcpListener, SocketAddr), String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no port is free: {e}"))?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, address))
}

/// A core for the agent alone; the testbed takes the others. Where there is but one, they share it.
pub fn cores() -> Result<usize, String> {
    let set =
        rustix::thread::sched_getaffinity(None).map_err(|e| format!("the cores cannot be told: {e}"))?;
    let own: Vec<usize> = (0..rustix::thread::CpuSet::MAX_CPU).filter(|cpu| set.is_set(*cpu)).collect();
    let last = own.last().copied().ok_or("this process has no core")?;
    if own.len() > 1 {
        let mut rest = rustix::thread::CpuSet::new();
        own.iter().filter(|cpu| **cpu != last).for_each(|cpu| rest.set(*cpu));
        rustix::thread::sched_setaffinity(None, &rest)
            .map_err(|e| format!("the cores cannot be parted: {e}"))?;
    }
    Ok(last)
}

/// Starts a program that is told this configuration, with a folder of its own beside it, on one core. It ends with the
/// testbed, and must be started from a thread that lives as long as it shall.
pub(crate) fn spawn(
    program: &Path,
    args: &[&str],
    core: usize,
    config: &Path,
    log: Stdio,
) -> Result<Child, String> {
    let mut command = Command::new(program);
    command.args(args).env_clear().env("PROXY_CONFIG", config);
    command.env("TMPDIR", config.parent().unwrap_or(Path::new("/")));
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
    crate::stage::processes::bind_to_this(&mut command, None);
    let child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
    let mut set = rustix::thread::CpuSet::new();
    set.set(core);
    let pid = child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
    rustix::thread::sched_setaffinity(pid, &set)
        .map_err(|e| format!("{} cannot be held to core {core}: {e}", program.display()))?;
    Ok(child)
}

/// An address on the loopback network whose port is free a moment before whoever is told of it takes it.
pub(crate) fn free(ip: std::net::Ipv4Addr) -> Result<SocketAddr, String> {
    let probe = std::net::TcpListener::bind((ip, 0));
    probe.and_then(|probe| probe.local_addr()).map_err(|e| format!("no port is free at {ip}: {e}"))
}

impl Bench {
    async fn start(program: &Path, args: &[&str], core: usize, settings: &Scenario) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agent: {e}"))?;
        let bound = (0..RENDERERS).map(|_| bind()).collect::<Result<Vec<_>, _>>()?;
        let hosts: Vec<_> = bound
            .iter()
            .enumerate()
            .map(|(place, (_, address))| {
                json!({"host": format!("r{place}"), "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
                       "health": "up", "share": 1.0, "born_ms": 0})
            })
            .collect();
        let known = json!({"seq": 1, "whole": true, "hosts": hosts});
        let list: Arc<str> = known.to_string().into();
        for (listener, _) in bound {
            let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
            tokio::spawn(stand_in(listener, list.clone()));
        }
        let (listener, discovery) = bind()?;
        tokio::spawn(stand_in(TcpListener::from_std(listener).map_err(|e| e.to_string())?, list));
        // On an address that nothing else here uses.
        let block = std::process::id().to_be_bytes();
        let agent = free(std::net::Ipv4Addr::new(127, 250, block[2], block[3].max(1)))?;
        let class = &settings.classes[0];
        let file = folder.path().join("agent.json");
        let config = json!({
            "name": "n0", "listen": agent.to_string(), "discovery": discovery.to_string(), "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}, "known": known,
            "settings": {"balancers": 1, "zone": 0, "zones": ["a"], "kinds": ["m"], "discovery": "pushed",
                "classes": [{"name": class.name, "aimMs": class.aim_ms, "deadlineMs": class.deadline_ms,
                             "effect": "idempotent", "points": 1.0}],
                "limits": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": 60000.0, "maxAttempts": 3}},
        });
        std::fs::write(&file, config.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let child = spawn(program, args, core, &file, Stdio::null())?;
        let bench = Bench { agent, child, class: class.name.clone(), _folder: folder };
        let deadline = Wall::now() + Duration::from_secs(10);
        while !matches!(timeout(Duration::from_secs(1), bench.ask_once("/ready")).await, Ok(Some(true))) {
            if Wall::now() > deadline {
                return Err(format!("{} is not ready after 10 s", program.display()));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(bench)
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.agent).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Its end shows at the sender.
            let _ = connection.await;
        });
        Some(sender)
    }

    async fn ask_once(&self, path: &str) -> Option<bool> {
        let mut sender = self.connect().await?;
        self.ask(&mut sender, path).await
    }

    /// Whether a request is served; `None` if its connection broke.
    async fn ask(&self, sender: &mut SendRequest<Full<Bytes>>, path: &str) -> Option<bool> {
        static NUMBER: AtomicU64 = AtomicU64::new(1);
        let request = Request::get(path)
            .header("host", "service.internal")
            .header("x-request-id", format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed)))
            .header("x-priority-class", &self.class)
            .header("x-timeout", "1000m")
            .body(Full::default())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let served = response.status().is_success();
        response.into_body().collect().await.ok()?;
        Some(served)
    }

    fn cpu_s(&self) -> f64 {
        self.child.id().and_then(crate::stage::processes::cpu_s).unwrap_or(0.0)
    }

    /// Holds a rate for a while.
    async fn hold(self: &Arc<Self>, rate: f64) -> Held {
        let times = Arc::new(Mutex::new((histogram(60_000_000), 0u64, 0u64)));
        let pool: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>> = Arc::default();
        let places = Arc::new(Semaphore::new(CONNECTIONS));
        let begun = Instant::now();
        let mut draw = Seed(7);
        let mut at = 0.0;
        let mut cpu = None;
        let mut tasks = tokio::task::JoinSet::new();
        let mut late = histogram(60_000_000);
        while at < STEP.as_secs_f64() {
            at += draw.exponential(1.0 / rate);
            let due = begun + Duration::from_secs_f64(at);
            if Instant::now() < due {
                sleep_until(due).await;
            }
            late.saturating_record(due.elapsed().as_micros().max(1) as u64);
            if due.elapsed() > BEHIND {
                break;
            }
            let counts = at >= SETTLE.as_secs_f64();
            if counts && cpu.is_none() {
                cpu = Some((self.cpu_s(), Instant::now()));
            }
            let (bench, pool, times, places) = (self.clone(), pool.clone(), times.clone(), places.clone());
            tasks.spawn(async move {
                let asked = timeout(PATIENCE, async {
                    let _place = places.acquire().await.ok()?;
                    let kept = crate::lock(&pool).pop();
                    let mut sender = match kept.filter(|sender| sender.is_ready()) {
                        Some(sender) => sender,
                        None => bench.connect().await?,
                    };
                    let served = bench.ask(&mut sender, &format!("/{}/1", bench.class)).await?;
                    crate::lock(&pool).push(sender);
                    Some(served)
                });
                let served = asked.await.ok().flatten() == Some(true);
                if counts {
                    let us = due.elapsed().as_micros() as u64;
                    let mut times = crate::lock(&times);
                    times.0.saturating_record(us.max(1));
                    times.1 += 1;
                    times.2 += u64::from(served);
                }
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        let times = crate::lock(&times);
        let n = times.1.max(1) as f64;
        let used = cpu.map_or(0.0, |(before, _)| self.cpu_s() - before);
        let at = |q: f64| times.0.value_at_quantile(q) as f64 / 1e3;
        Held {
            served: times.2 as f64 / n,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            cpu_us: used * 1e6 / n,
            lab_late: late.value_at_quantile(0.99) as f64 / 1e3 > LAB_LATE_MS,
        }
    }
}

/// What holding a rate came to.
struct Held {
    /// The share that was served.
    served: f64,
    p50_ms: f64,
    p99_ms: f64,
    /// Processor time of a request in microseconds.
    cpu_us: f64,
    lab_late: bool,
}

impl Held {
    fn passed(&self) -> bool {
        self.served >= SERVED && self.p99_ms <= P99_MS
    }
}

/// Measures one program; `args` go to it.
pub async fn measure(
    name: &str,
    program: &Path,
    args: &[&str],
    core: usize,
    tell: impl Fn(&str),
) -> Result<Cost, String> {
    let (_, settings) = scenario::find("quickstart", &[]).map_err(|e| e.to_string())?;
    let bench = Arc::new(Bench::start(program, args, core, &settings).await?);
    tell(&format!("{name}: the cost of a request at {COST_RATE} a second"));
    // Once for the limits to find their level.
    bench.hold(COST_RATE).await;
    let Held { p50_ms, cpu_us, .. } = bench.hold(COST_RATE).await;
    let (mut rate, mut p99_ms, mut next) = (0.0, 0.0, RATE_LEAST);
    let mut held_back_by = "nothing";
    let mut failed = f64::INFINITY;
    while next <= RATE_MOST && next < failed * (1.0 - CLOSE / 2.0) {
        tell(&format!("{name}: {next:.0} a second"));
        // One miss may be the machine's: it takes two.
        let mut held = bench.hold(next).await;
        if !held.passed() {
            held = bench.hold(next).await;
        }
        if held.passed() {
            (rate, p99_ms) = (next, held.p99_ms);
        } else {
            (failed, held_back_by) = (next, if held.lab_late { "the testbed" } else { "the program" });
        }
        next = if failed.is_finite() { (rate + failed) / 2.0 } else { next * 2.0 };
        if failed.is_finite() && failed - rate < rate * CLOSE {
            break;
        }
        if failed.is_finite() && rate == 0.0 {
            break;
        }
    }
    drop(bench);
    let mut memory_mb = Vec::new();
    for kept in KEPT {
        tell(&format!("{name}: memory at {kept} connections"));
        let bench = Bench::start(program, args, core, &settings).await?;
        let mut senders = Vec::new();
        for _ in 0..kept {
            let Some(mut sender) = bench.connect().await else { break };
            let path = format!("/{}/1", bench.class);
            if timeout(Duration::from_secs(2), bench.ask(&mut sender, &path)).await.ok().flatten().is_none() {
                break;
            }
            senders.push(sender);
        }
        if senders.len() == kept {
            let mb = bench.child.id().and_then(crate::stage::processes::memory_mb);
            memory_mb.extend(mb.map(|mb| (kept, mb)));
        }
    }
    Ok(Cost { program: name.to_owned(), rate, held_back_by, p99_ms, p50_ms, cpu_us, memory_mb })
}

/// The costs side by side.
pub fn table(costs: &[Cost]) -> String {
    let mut text = format!(
        "{:<24} {:>14} {:<12} {:>9} {:>9} {:>12}  memory MB at {} connections\n",
        "one core",
        "rate a second",
        "held back by",
        "p99 ms",
        "p50 ms",
        "CPU us",
        KEPT.map(|n| n.to_string()).join(", ")
    );
    for cost in costs {
        let memory: Vec<String> = cost.memory_mb.iter().map(|(_, mb)| format!("{mb:.1}")).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<24} {:>14.0} {:<12} {:>9.2} {:>9.2} {:>12.0}  {}",
            cost.program,
            cost.rate,
            cost.held_back_by,
            cost.p99_ms,
            cost.p50_ms,
            cost.cpu_us,
            memory.join(", ")
        );
    }
    text
}
