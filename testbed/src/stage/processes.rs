//! The agents' processes: started with what the deployment tells an agent, signalled, watched, and never left behind.

use super::World;
use crate::plan::{KILL_SLACK_US, MAX_COUNTED_DEADLINE_US};
use crate::renderer::Micros;
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use serde_json::{json, Value};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{timeout, Instant};

/// An agent that is not ready by then will not be.
const READY_WITHIN: Duration = Duration::from_secs(15);
/// Processes are looked at this often.
const SAMPLE: Duration = Duration::from_millis(250);
/// And this often where a crowd may make their memory grow within milliseconds.
const CROWD_SAMPLE: Duration = Duration::from_millis(5);
/// The descriptor at which a process finds the inherited listener.
const LISTENER: RawFd = 7;
/// Clock ticks a second in /proc: the kernel's figure for user space on every architecture that Linux has.
const TICKS: f64 = 100.0;
const PAGE_KB: f64 = 4.0;

/// What an agent used.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Used {
    /// Its name.
    pub name: String,
    /// Processor time of all its processes, in seconds.
    pub cpu_s: f64,
    /// The most within a second.
    pub cpu_most_in_a_second: f64,
    /// The most memory that its processes held together, in MB.
    pub memory_mb: f64,
    /// The most that the peaks of its processes (`VmHWM`) came to together, in MB.
    pub peak_memory_mb: f64,
    /// The most descriptors.
    pub descriptors: u64,
    /// Processes that it ran in.
    pub processes: u64,
    /// Processes that ended unasked, with how, and the first time that their memory was over the limit.
    pub crashes: Vec<String>,
    /// Whether their memory has been over the limit, so that the platform would have killed them.
    pub is_over_memory: bool,
}

struct Process {
    child: Child,
    number: usize,
    asked: bool,
    cpu_s: f64,
}

#[derive(Default)]
struct Held {
    processes: Vec<Process>,
    used: Used,
    second: Option<(Instant, f64)>,
    ended_cpu_s: f64,
}

/// One agent.
pub struct Agent {
    held: Mutex<Held>,
    /// The listening socket that the platform holds for it, where it does.
    listener: Option<OwnedFd>,
}

/// All agents.
pub struct Agents {
    program: PathBuf,
    folder: PathBuf,
    agents: Vec<Agent>,
    inherit: bool,
    memory_mb: f64,
    sample: Duration,
}

/// Each process is started with its own number, counted over the agent's life.
fn log_file(folder: &Path, name: &str, number: usize) -> PathBuf {
    folder.join(format!("{name}.{number}.log"))
}

/// The last line of a file, for a message.
pub(crate) fn last_line(path: &Path) -> String {
    let mut text = String::new();
    let read = File::open(path).and_then(|mut file| {
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(length.saturating_sub(2000)))?;
        file.take(2000).read_to_string(&mut text)
    });
    match read {
        Ok(_) => text
            .trim_end()
            .lines()
            .last()
            .map_or("it printed nothing".into(), |l| format!("its last line: {l}")),
        Err(e) => format!("its log cannot be read: {e}"),
    }
}

impl Agents {
    /// Of this program, with their files in this folder. On days with upgrades the platform holds the listening sockets.
    pub fn new(world: &World, program: &Path, folder: &Path, inherit: bool) -> Result<Self, String> {
        let held = |place: usize| -> Result<Option<OwnedFd>, String> {
            if !inherit {
                return Ok(None);
            }
            let address = world.addresses.agent(place);
            let listener = std::net::TcpListener::bind(address);
            listener
                .map(|l| Some(l.into()))
                .map_err(|e| format!("the testbed cannot listen on {address}: {e}"))
        };
        let agents = (0..world.plan.agents.len())
            .map(|place| {
                let used = Used { name: world.plan.agents[place].name.clone(), ..Used::default() };
                Ok(Agent { held: Mutex::new(Held { used, ..Held::default() }), listener: held(place)? })
            })
            .collect::<Result<_, String>>()?;
        let sample = if world.plan.crowd.is_empty() { SAMPLE } else { CROWD_SAMPLE };
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Ok(Agents { program, folder, agents, inherit, memory_mb: world.plan.memory_mb.into(), sample })
    }

    fn held(&self, agent: usize) -> MutexGuard<'_, Held> {
        crate::lock(&self.agents[agent].held)
    }

    fn config_file(&self, world: &World, agent: usize) -> PathBuf {
        self.folder.join(format!("{}.json", world.plan.agents[agent].name))
    }

    fn write_config(&self, world: &World, agent: usize, number: usize) -> Result<PathBuf, String> {
        let file = self.config_file(world, agent);
        let text = config(world, agent, number).to_string();
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(file)
    }

    /// Starts a process of an agent and returns its number.
    pub fn start(&self, world: &World, agent: usize) -> Result<usize, String> {
        let name = &world.plan.agents[agent].name;
        let number = self.held(agent).used.processes as usize;
        let config = self.write_config(world, agent, number)?;
        let folder = self.folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let log = log_file(&self.folder, name, number);
        let out = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let err = out.try_clone().map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("PROXY_CONFIG", config)
            .env("PROXY_NAME", name)
            .env("PROXY_LISTEN", world.addresses.agent(agent).to_string())
            .env(
                "PROXY_DISCOVERY",
                world.addresses.discovery(agent, world.directory.moved(agent)).to_string(),
            )
            .env("PROXY_OPERATOR", world.addresses.operator(agent, number).to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true);
        let listener = self.agents[agent].listener.as_ref().map(AsRawFd::as_raw_fd);
        if listener.is_some() {
            command.env("PROXY_LISTEN_FD", LISTENER.to_string());
        }
        bind_to_this(&mut command, listener);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        let mut held = self.held(agent);
        held.used.processes += 1;
        held.processes.push(Process { child, number, asked: false, cpu_s: 0.0 });
        Ok(number)
    }

    /// Waits until an agent's newest process takes clients.
    pub async fn ready(&self, world: &World, agent: usize, number: usize) -> Result<(), String> {
        let name = &world.plan.agents[agent].name;
        let began = Instant::now();
        loop {
            // Behind an inherited listener another process may answer: then the second address tells.
            let ready = if self.inherit && number > 0 {
                call(world.addresses.operator(agent, number), "health")
                    .await
                    .is_some_and(|a| a.starts_with("done"))
            } else {
                is_ready(world.addresses.agent(agent)).await
            };
            if ready {
                return Ok(());
            }
            let log = log_file(&self.folder, name, number);
            let ended = {
                let mut held = self.held(agent);
                // One that was told to end while it was starting is awaited no longer than the next one.
                let process = held.processes.iter_mut().find(|p| p.number == number && !p.asked);
                process.and_then(|p| p.child.try_wait().ok().flatten())
            };
            if let Some(status) = ended {
                return Err(format!(
                    "{} {name} did not start ({status}); {}",
                    self.program.display(),
                    last_line(&log)
                ));
            }
            if began.elapsed() > READY_WITHIN {
                let within = READY_WITHIN.as_secs();
                return Err(format!(
                    "{} {name} is not ready after {within} s; {}",
                    self.program.display(),
                    last_line(&log)
                ));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a signal to the newest process of an agent, or to all before it. Where it may end by that, its end is no
    /// crash.
    pub fn signal(&self, agent: usize, signal: Signal, older: bool) {
        // What it used until now is not known once it has ended.
        self.sample(agent);
        let mut held = self.held(agent);
        let newest = held.processes.last().map(|p| p.number);
        for process in held.processes.iter_mut().filter(|p| (Some(p.number) != newest) == older) {
            process.asked |= signal == Signal::KILL || signal == Signal::TERM;
            if let Some(pid) = process.child.id().and_then(|id| Pid::from_raw(id as i32)) {
                // One that has just ended needs no signal.
                let _ = kill_process(pid, signal);
            }
        }
    }

    /// Tells an agent to end, and kills it once its time is over. `older`: not its newest process but those before.
    pub async fn end(&self, world: &World, agent: usize, older: bool) {
        self.signal(agent, Signal::TERM, older);
        let longest = world.plan.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0);
        let longest = longest.min(MAX_COUNTED_DEADLINE_US);
        let until = Instant::now() + Duration::from_micros(longest + KILL_SLACK_US);
        while Instant::now() < until && self.asked(agent) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if self.asked(agent) {
            self.signal(agent, Signal::KILL, older);
        }
        // Its address is free once it has ended.
        while self.asked(agent) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Whether a process that was asked to end still runs.
    fn asked(&self, agent: usize) -> bool {
        self.sample(agent);
        self.held(agent).processes.iter().any(|p| p.asked)
    }

    /// A new configuration, and the word that there is one.
    pub fn reconfigure(&self, world: &World, agent: usize) -> Result<(), String> {
        let number = self.held(agent).used.processes.saturating_sub(1) as usize;
        self.write_config(world, agent, number)?;
        self.signal(agent, Signal::HUP, false);
        Ok(())
    }

    /// The second address of the newest process.
    pub fn operator(&self, world: &World, agent: usize) -> std::net::SocketAddr {
        world.addresses.operator(agent, self.held(agent).used.processes.saturating_sub(1) as usize)
    }

    /// Looks at an agent's processes and takes out those that have ended.
    fn sample(&self, agent: usize) {
        let mut held = self.held(agent);
        let (mut memory, mut peak, mut descriptors, mut ended, mut crashes) = (0.0, 0.0, 0, 0.0, Vec::new());
        let mut highest: f64 = 0.0;
        held.processes.retain_mut(|process| match process.child.try_wait() {
            Ok(None) => {
                if let Some(id) = process.child.id() {
                    process.cpu_s = cpu_s(id).unwrap_or(process.cpu_s);
                    memory += memory_mb(id).unwrap_or(0.0);
                    let own_peak = peak_memory_mb(id).unwrap_or(0.0);
                    highest = highest.max(own_peak);
                    peak += own_peak;
                    descriptors +=
                        std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |d| d.count() as u64);
                }
                true
            }
            status => {
                ended += process.cpu_s;
                if !process.asked {
                    crashes.push(status.ok().flatten().map_or("ended".into(), |status| status.to_string()));
                }
                false
            }
        });
        held.ended_cpu_s += ended;
        let cpu: f64 = held.ended_cpu_s + held.processes.iter().map(|p| p.cpu_s).sum::<f64>();
        let now = Instant::now();
        match held.second {
            Some((since, before)) if now - since >= Duration::from_secs(1) => {
                let rate = (cpu - before) / (now - since).as_secs_f64();
                held.used.cpu_most_in_a_second = held.used.cpu_most_in_a_second.max(rate);
                held.second = Some((now, cpu));
            }
            Some(_) => {}
            None => held.second = Some((now, cpu)),
        }
        let used = &mut held.used;
        used.cpu_s = cpu;
        used.memory_mb = used.memory_mb.max(memory);
        used.peak_memory_mb = used.peak_memory_mb.max(peak);
        used.descriptors = used.descriptors.max(descriptors);
        used.crashes.extend(crashes);
        // One process is judged by its peak, two at a time by what they hold together.
        let most = highest.max(memory);
        if most > self.memory_mb && !used.is_over_memory {
            used.is_over_memory = true;
            used.crashes.push(format!("{most:.1} MB resident of {} MB", self.memory_mb));
        }
    }

    /// Looks at all processes now and then; never ends.
    pub async fn watch(self: Arc<Self>) {
        loop {
            for agent in 0..self.agents.len() {
                self.sample(agent);
            }
            tokio::time::sleep(self.sample).await;
        }
    }

    /// What each agent has used.
    pub fn used(&self) -> Vec<Used> {
        (0..self.agents.len())
            .map(|agent| {
                self.sample(agent);
                self.held(agent).used.clone()
            })
            .collect()
    }

    /// Ends all that still runs, with a word first; returns once all is gone.
    pub async fn end_all(&self, world: &World) {
        for agent in 0..self.agents.len() {
            // One that is stopped would not hear.
            self.signal(agent, Signal::CONT, false);
        }
        let ends = (0..self.agents.len()).map(|agent| self.end(world, agent, false));
        join_all(ends.collect()).await;
        for agent in 0..self.agents.len() {
            self.signal(agent, Signal::KILL, true);
            self.signal(agent, Signal::KILL, false);
        }
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until && (0..self.agents.len()).any(|agent| self.asked(agent)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Runs them all side by side on this task.
async fn join_all<F: std::future::Future<Output = ()>>(futures: Vec<F>) {
    let mut futures: Vec<_> = futures.into_iter().map(|f| Some(Box::pin(f))).collect();
    std::future::poll_fn(move |cx| {
        for slot in &mut futures {
            if slot.as_mut().is_some_and(|future| future.as_mut().poll(cx).is_ready()) {
                *slot = None;
            }
        }
        if futures.iter().all(Option::is_none) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

/// The child dies with the testbed, however that ends, and finds the inherited listener where it expects it.
#[allow(unsafe_code)]
pub fn bind_to_this(command: &mut Command, listener: Option<RawFd>) {
    let parent = rustix::process::getpid();
    let prepare = move || -> io::Result<()> {
        rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
        // The testbed may have ended before the word was given to the kernel.
        if rustix::process::getppid() != Some(parent) {
            return Err(io::Error::other("the testbed has ended"));
        }
        if let Some(listener) = listener {
            // SAFETY: the testbed keeps the listener open for as long as it starts processes.
            let listener = unsafe { std::os::fd::BorrowedFd::borrow_raw(listener) };
            // SAFETY: nothing in the child owns the descriptor's number: it is about to run another program.
            let mut inherited = unsafe { <OwnedFd as std::os::fd::FromRawFd>::from_raw_fd(LISTENER) };
            let moved = rustix::io::dup2(listener, &mut inherited);
            std::mem::forget(inherited);
            moved?;
        }
        Ok(())
    };
    // SAFETY: between fork and exec the closure makes system calls alone; it allocates only to report that one failed.
    unsafe { command.pre_exec(prepare) };
}

pub(crate) async fn is_ready(address: std::net::SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: testbed\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(&head == b"HTTP/1.1 200")
    };
    timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or(false)
}

/// A call at a second address; `None` if there is no answer in time.
pub async fn call(address: std::net::SocketAddr, call: &str) -> Option<String> {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.take(1 << 20).read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    timeout(Duration::from_secs(1), asked).await.ok().flatten()
}

/// Processor time of a process so far, in seconds.
pub fn cpu_s(id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name may hold blanks: what counts comes after it.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS)
}

/// What the scheduler says of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scheduled {
    /// Processor time of its threads that still run, in seconds, to the nanosecond and not to a clock tick; of its first
    /// one where it has ended and nobody has been told.
    pub ran_s: f64,
    /// How long they stood ready without a core, in seconds.
    pub waited_s: f64,
}

/// Of a process by its number; `None` where the system does not tell.
pub fn scheduled(id: u32) -> Option<Scheduled> {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).ok()?;
    // A thread may end meanwhile.
    let of = |thread: io::Result<std::fs::DirEntry>| {
        let text = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
        let mut ns = text.split_whitespace().map(str::parse::<f64>);
        Some((ns.next()?.ok()?, ns.next()?.ok()?))
    };
    let (ran, waited) = threads.filter_map(of).fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
    Some(Scheduled { ran_s: ran / 1e9, waited_s: waited / 1e9 })
}

/// Memory that a process holds, in MB.
pub fn memory_mb(id: u32) -> Option<f64> {
    let pages = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    Some(pages.split(' ').nth(1)?.parse::<f64>().ok()? * PAGE_KB / 1024.0)
}

/// The most memory that a process has held at any time (`VmHWM`), in MB.
pub fn peak_memory_mb(id: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    Some(line.split_whitespace().next()?.parse::<f64>().ok()? / 1024.0)
}

/// Processor time of the testbed itself, in seconds.
pub fn own_cpu_s() -> f64 {
    cpu_s(std::process::id()).unwrap_or(0.0)
}

/// What an agent is told, in the platform's form.
fn config(world: &World, agent: usize, number: usize) -> Value {
    let plan = &world.plan;
    let ms = |us: Micros| us as f64 / 1e3;
    let classes: Vec<Value> = plan
        .classes
        .iter()
        .map(|c| {
            let (effect, group) = match c.effect {
                crate::scenario::Effect::Safe => ("idempotent", "all"),
                crate::scenario::Effect::Keyed => ("deduplicated", "cell"),
                crate::scenario::Effect::Unsafe => ("at_most_once", "all"),
            };
            json!({"name": c.name, "aimMs": ms(c.aim_us), "deadlineMs": ms(c.deadline_us), "effect": effect,
                   "group": group, "dedupWindowMs": ms(c.window_us), "lateWorth": c.late_worth, "points": c.worth,
                   "stream": false})
        })
        .collect();
    let coldest = plan.renderers.iter().map(|r| r.spec.cold_share).fold(1.0, f64::min);
    let longest = plan.renderers.iter().map(|r| r.spec.cold_us).max().unwrap_or(0);
    let settings = json!({
        "balancers": plan.agents.len(), "slotNo": agent, "zone": plan.agents[agent].zone, "zones": plan.zones,
        "kinds": plan.kinds, "classes": classes, "discovery": "pushed", "parties": [], "weights": "silent",
        "worthBy": "work", "periodMs": 1.0, "overShareWorth": 1.0,
        "feedback": {"source": "pull", "fields": ["inflight", "queue"]},
        "goal": {"whole": 0.7, "worstWindow": 0.1, "worstClass": 0.2, "worstTenant": 0.0},
        "limits": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": ms(plan.idle_us),
                   "maxAttempts": crate::oracle::ATTEMPTS_MOST, "maxRetryAfterMs": ms(plan.clients.advice_most_us),
                   "peers": false, "probes": true, "retryAfter": true, "secondCopies": true},
        "penalties": {"crossZone": 0.12, "lateFail": 0.15, "probe": 0.004, "waste": 0.021},
        "rules": {"askWithinMs": 10000.0, "coldShare": coldest, "warmAfterMs": ms(longest),
                  "fallMs": ms(plan.fall.window_us), "overloadFactor": plan.fall.multiple,
                  "stopSendingWithinMs": ms(crate::plan::DRAIN_GRACE_US)},
    });
    json!({
        "name": plan.agents[agent].name,
        "listen": world.addresses.agent(agent).to_string(),
        "discovery": world.addresses.discovery(agent, world.directory.moved(agent)).to_string(),
        "operator": world.addresses.operator(agent, number).to_string(),
        "seed": format!("{:016x}", plan.agents[agent].seed.wrapping_add(number as u64)),
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "known": world.directory.known(world, agent),
        "settings": settings,
    })
}
