//! Hollow agents: many of the program's own drivers in one process, each with its own discovery client, list and module,
//! and with its second address where that is asked for; without the application's side. A process of them is a child of
//! the testbed, so that what it uses is told apart from what the testbed's stand-ins use.

use crate::stage::processes::{bind_to_this, memory_mb, scheduled};
use balancer_agent::admin::listener;
use balancer_agent::admin::service::Admin;
use balancer_agent::{Config, Driver};
use serde_json::json;
use std::io::{BufRead, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::{sleep, timeout, Instant};

/// Connections to renderers that an agent may hold: what the program itself takes of 1,024 descriptors.
const BACKENDS: usize = 333;
/// How often a process looks whether its agents know a server.
const LOOK: Duration = Duration::from_millis(1);
/// A child that does not say what is due by then will not.
const SAID_WITHIN: Duration = Duration::from_secs(60);
/// The hollow agents' second addresses: 127.205.*.*, 250 to a row.
const STAFF_BLOCK: u8 = 205;
const ROW: usize = 250;

/// What a process of hollow agents is told.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// The configuration that all of them are started with
    #[arg(long)]
    config: PathBuf,
    /// The number of the first
    #[arg(long)]
    first: usize,
    /// How many there are
    #[arg(long)]
    count: usize,
    /// The port of their second addresses; without it they have none
    #[arg(long)]
    staff: Option<u16>,
}

/// The second address of a hollow agent.
pub fn staff_address(number: usize, port: u16) -> SocketAddr {
    let (row, column) = ((number / ROW) as u8 + 1, (number % ROW) as u8 + 1);
    (Ipv4Addr::new(127, STAFF_BLOCK, row, column), port).into()
}

/// Microseconds of Unix time: what processes of one machine can compare.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Starts one agent; all that ties this file to how the program holds an agent. Runs within a local set.
fn agent(args: &Args, number: usize) -> Result<Rc<Driver>, String> {
    let told = |name: &str| (name == "PROXY_CONFIG").then(|| args.config.display().to_string());
    let mut config = Config::load(told).map_err(|error| error.to_string())?;
    config.seed = number as u64;
    let (name, listen) = (format!("h{number}"), config.listen.to_string());
    let driver = Driver::start(config, BACKENDS).map_err(|e| e.to_string())?;
    driver.is_accepting.set(true);
    tokio::task::spawn_local(driver.clone().run());
    if let Some(port) = args.staff {
        let staff = Admin::new(driver.clone(), None, name, listen);
        tokio::task::spawn_local(listener::listen(staff, staff_address(number, port)));
    }
    Ok(driver)
}

fn say(line: &str) {
    // A testbed that has gone hears nothing, and its end ends this process as well.
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Holds the agents, and answers the testbed's lines, until there are no more of them.
pub async fn run(args: Args) -> Result<(), String> {
    tokio::task::LocalSet::new().run_until(hold(args)).await
}

async fn hold(args: Args) -> Result<(), String> {
    let (lines, mut told) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        let read = std::io::stdin().lock().lines().map_while(Result::ok);
        read.map(|line| lines.send(line)).take_while(Result::is_ok).for_each(drop);
    });
    let mut agents = Vec::new();
    say("up");
    while let Some(line) = told.recv().await {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["start"] => {
                for number in args.first..args.first + args.count {
                    agents.push(agent(&args, number)?);
                    tokio::task::yield_now().await;
                }
                say("started");
            }
            ["await", server, seconds] => {
                let seconds: u64 = seconds.parse().map_err(|_| format!("no time: {seconds}"))?;
                say("awaits");
                let known = knows(&agents, server, Duration::from_secs(seconds)).await;
                say(&json!(known).to_string());
            }
            _ => return Err(format!("no line of the testbed: {line}")),
        }
    }
    Ok(())
}

/// When each agent first knew a server, in Unix microseconds; 0 for one that did not in time.
async fn knows(agents: &[Rc<Driver>], server: &str, within: Duration) -> Vec<u64> {
    let until = Instant::now() + within;
    let mut known = vec![0; agents.len()];
    let mut waits: Vec<usize> = (0..agents.len()).collect();
    while !waits.is_empty() && Instant::now() < until {
        let now = now_us();
        waits.retain(|&n| {
            let knows = agents[n].view().server_id(server).is_some();
            if knows {
                known[n] = now;
            }
            !knows
        });
        sleep(LOOK).await;
    }
    known
}

/// What the hollow agents of a test are told at their start.
pub fn config(discovery: SocketAddr) -> String {
    json!({
        "name": "hollow", "listen": "127.204.0.2:8443", "discovery": discovery.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {"balancers": 1, "zone": 0, "zones": super::source::ZONES, "kinds": ["m"], "discovery": "pushed",
            "classes": [{"name": "read", "aimMs": 100.0, "deadlineMs": 1000.0, "effect": "idempotent",
                         "points": 1.0}],
            "limits": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": 60000.0, "maxAttempts": 3,
                       "probes": false}},
    })
    .to_string()
}

struct Process {
    child: Child,
    stdin: ChildStdin,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Process {
    async fn tell(&mut self, line: &str) -> Result<(), String> {
        let told = self.stdin.write_all(format!("{line}\n").as_bytes()).await;
        told.map_err(|e| format!("a process of hollow agents does not listen: {e}"))
    }

    async fn hear(&mut self, within: Duration) -> Result<String, String> {
        let line = timeout(within, self.lines.next_line()).await;
        let line = line.map_err(|_| "a process of hollow agents says nothing".to_owned())?;
        match line.map_err(|e| format!("a process of hollow agents: {e}"))? {
            Some(line) => Ok(line),
            None => Err("a process of hollow agents has ended; its last words stand above".into()),
        }
    }

    fn id(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }
}

/// Processes of hollow agents; they end with this.
pub struct Hollows {
    processes: Vec<Process>,
    /// Memory that each of the agents took, in bytes, once all have started.
    pub bytes_each: f64,
}

impl Hollows {
    /// Starts `count` agents, so many to a process, by the configuration in this file.
    pub async fn start(
        config: &Path,
        count: usize,
        per_process: usize,
        staff: Option<u16>,
    ) -> Result<Self, String> {
        let testbed =
            std::env::current_exe().map_err(|e| format!("the testbed does not find its own program: {e}"))?;
        let mut hollows = Hollows { processes: Vec::new(), bytes_each: 0.0 };
        for first in (0..count).step_by(per_process) {
            let mut command = Command::new(&testbed);
            command.arg("hollow").arg("--config").arg(config).args(["--first", &first.to_string()]);
            command.args(["--count", &per_process.min(count - first).to_string()]);
            if let Some(port) = staff {
                command.args(["--staff", &port.to_string()]);
            }
            command.env_clear().stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
            bind_to_this(&mut command, None);
            let mut child = command.spawn().map_err(|e| format!("{}: {e}", testbed.display()))?;
            let (Some(stdin), Some(stdout)) = (child.stdin.take(), child.stdout.take()) else {
                return Err("a process of hollow agents has no lines to the testbed".into());
            };
            hollows.processes.push(Process { child, stdin, lines: BufReader::new(stdout).lines() });
        }
        hollows.all_say("up").await?;
        let empty = hollows.memory_bytes();
        for process in &mut hollows.processes {
            process.tell("start").await?;
        }
        hollows.all_say("started").await?;
        let first = hollows.told(super::source::LAST, SAID_WITHIN).await?;
        let known = hollows.known(first).await?;
        if let Some(lacks) = known.iter().position(|&at| at == 0) {
            return Err(format!("hollow agent {lacks} of {count} had no list within {SAID_WITHIN:?}"));
        }
        hollows.bytes_each = (hollows.memory_bytes() - empty) / count as f64;
        Ok(hollows)
    }

    async fn all_say(&mut self, what: &str) -> Result<(), String> {
        for process in &mut self.processes {
            let said = process.hear(SAID_WITHIN).await?;
            if said != what {
                return Err(format!("a process of hollow agents says {said:.80?}, {what} was expected"));
            }
        }
        Ok(())
    }

    /// From now on they look for a server. Ask [`Hollows::known`] before anything else.
    pub async fn told(&mut self, server: &str, within: Duration) -> Result<Awaited, String> {
        for process in &mut self.processes {
            process.tell(&format!("await {server} {}", within.as_secs().max(1))).await?;
        }
        self.all_say("awaits").await?;
        Ok(Awaited { within })
    }

    /// When each agent knew that server, in Unix microseconds; 0 for one that did not in time.
    pub async fn known(&mut self, awaited: Awaited) -> Result<Vec<u64>, String> {
        let mut known = Vec::new();
        for process in &mut self.processes {
            let line = process.hear(awaited.within + SAID_WITHIN).await?;
            let times: Vec<u64> =
                serde_json::from_str(&line).map_err(|e| format!("a process of hollow agents: {e}"))?;
            known.extend(times);
        }
        Ok(known)
    }

    /// Processes.
    pub fn processes(&self) -> usize {
        self.processes.len()
    }

    /// Processor time of all of them so far, in seconds.
    pub fn cpu_s(&self) -> f64 {
        self.processes.iter().filter_map(|p| Some(scheduled(p.id())?.ran_s)).sum()
    }

    /// Memory that all of them hold, in bytes.
    fn memory_bytes(&self) -> f64 {
        self.processes.iter().filter_map(|p| memory_mb(p.id())).sum::<f64>() * f64::from(1 << 20)
    }
}

/// That they look for a server.
pub struct Awaited {
    within: Duration,
}
