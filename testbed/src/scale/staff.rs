//! `balancerctl status` by the agents that it asks: real processes of the program, and past them hollow agents with second
//! addresses of their own.

use super::fit::{fit, Point};
use super::hollow::{self, staff_address, Hollows};
use super::source::{Source, ZONES};
use super::{check_sizes, check_value, Figure, Scaled};
use crate::play::{self, Stage};
use crate::stage::processes::{bind_to_this, call, scheduled};
use crate::{plan, scenario};
use serde::Deserialize;
use std::fmt::Write;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{sleep, Instant};

/// Agents that are asked at most: the hollow ones' addresses end there.
const AGENTS_MOST: usize = 10_000;
/// Real ones at most: processes, and a listener for each of them and each renderer.
const REAL_MOST: usize = 100;
/// The list is on three zones of real stand-ins: a listener each for every real agent.
const SERVERS_MOST: usize = 100;
/// All second addresses answer by then.
const ANSWER_WITHIN: Duration = Duration::from_secs(30);
/// What `status` asks of each agent.
const CALLS: [&str; 3] = ["health", "counters", "zones"];

/// The file of this test.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    sizes: Vec<usize>,
    repeats: usize,
    real: usize,
    servers: usize,
    agents_per_process: usize,
    timeout_ms: u64,
    planned: usize,
}

impl File {
    fn read(file: Option<&Path>) -> Result<Self, String> {
        let read: File = super::read(file, include_str!("../../scales/staff.toml"))?;
        check_sizes("sizes", &read.sizes, AGENTS_MOST)
            .map_err(|why| format!("{}: {why}", super::name(file)))?;
        for (key, value, least, most) in [
            ("repeats", read.repeats, 1, 10),
            ("real", read.real, 1, REAL_MOST),
            ("servers", read.servers, ZONES.len(), SERVERS_MOST),
            ("agents_per_process", read.agents_per_process, 1, 1000),
            ("timeout_ms", read.timeout_ms as usize, 100, 60_000),
            ("planned", read.planned, 1, 100_000),
        ] {
            check_value(file, key, value as f64, least as f64, most as f64)?;
        }
        Ok(read)
    }
}

/// Name, what it is, unit.
const FIGURES: [(&str, &str, &str); 3] = [
    ("staff_status_s", "time of balancerctl status, from its start to its end", "s"),
    ("staff_status_bytes", "what status and the agents send each other", "bytes"),
    ("staff_status_cpu_s", "processor time of balancerctl status", "s"),
];

/// What one call of balancerctl came to.
struct Told {
    seconds: f64,
    cpu_s: f64,
    code: Option<i32>,
    printed: usize,
    /// The first line on standard error.
    fault: String,
}

struct Balancerctl {
    program: PathBuf,
    timeout_ms: u64,
}

impl Balancerctl {
    /// Runs `status` over the agents of a file.
    async fn status(&self, agents: &Path) -> Result<Told, String> {
        let mut command = Command::new(&self.program);
        command.arg("status").arg("--agents").arg(agents);
        command.args(["--timeout", &self.timeout_ms.to_string()]);
        command.env_clear().stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        bind_to_this(&mut command, None);
        let program = self.program.display().to_string();
        let at = move |e: std::io::Error| format!("{program}: {e}");
        let ran = move || {
            let begun = Instant::now();
            let child = command.as_std_mut().spawn().map_err(&at)?;
            told(child, begun).map_err(&at)
        };
        tokio::task::spawn_blocking(ran).await.map_err(|e| format!("balancerctl was not waited for: {e}"))?
    }
}

/// Waits for it, and looks at its processor time before it is gone.
fn told(mut child: Child, begun: Instant) -> std::io::Result<Told> {
    use rustix::process::{waitid, Pid, WaitId, WaitIdOptions};
    let err = child.stderr.take();
    let faults = std::thread::spawn(move || {
        let mut text = String::new();
        // What is no text is no fault that could be shown.
        let _ = err.map(|mut err| err.read_to_string(&mut text));
        text
    });
    let mut page = Vec::new();
    child.stdout.take().map(|mut out| out.read_to_end(&mut page)).transpose()?;
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT)?;
    }
    let seconds = begun.elapsed().as_secs_f64();
    let cpu_s = scheduled(child.id()).map_or(f64::NAN, |of| of.ran_s);
    let code = child.wait()?.code();
    let faults = faults.join().unwrap_or_default();
    let fault = faults.lines().next().unwrap_or_default().to_owned();
    Ok(Told { seconds, cpu_s, code, printed: page.len(), fault })
}

/// The fleet that is asked.
struct Fleet {
    stage: Stage,
    source: Source,
    hollows: Option<Hollows>,
    /// Second addresses by name: the real agents' first.
    agents: Vec<(String, SocketAddr)>,
    real: usize,
    _port: TcpListener,
}

impl Fleet {
    async fn start(file: &File, program: &Path, folder: &Path) -> Result<Self, String> {
        let most = file.sizes.iter().copied().max().unwrap_or(0);
        let real = file.real.min(most);
        let text = format!(
            "about = \"a fleet that stands idle\"\nseconds = 5\nload = 0.3\nrate = 10\n[zones]\nnames = {ZONES:?}\n\
             [renderers]\ncount = {}\n[agents]\ncount = {real}\n",
            file.servers
        );
        let scenario = scenario::read("staff", &text, &[]).map_err(|e| e.to_string())?;
        let plan = Arc::new(plan::plan("staff", &scenario, 1));
        let stage = Stage::set_up(plan, program, folder).await?;
        stage.world.clock.begin();
        let mut agents: Vec<(String, SocketAddr)> =
            (0..real).map(|n| (format!("n{n}"), stage.agents.operator(&stage.world, n))).collect();
        let claim = TcpListener::bind((Ipv4Addr::new(127, 205, 0, 1), 0));
        let claim = claim.map_err(|e| format!("the testbed cannot listen on 127.205.0.1: {e}"))?;
        let port = claim.local_addr().map_err(|e| format!("the testbed has no port: {e}"))?.port();
        let source = Source::start(file.servers).await?;
        let config = folder.join("hollow.json");
        std::fs::write(&config, hollow::config(source.address))
            .map_err(|e| format!("{}: {e}", config.display()))?;
        let hollow = most - real;
        let hollows = match hollow {
            0 => None,
            _ => Some(Hollows::start(&config, hollow, file.agents_per_process, Some(port)).await?),
        };
        agents.extend((0..hollow).map(|n| (format!("h{n}"), staff_address(n, port))));
        let fleet = Fleet { stage, source, hollows, agents, real, _port: claim };
        fleet.answers().await?;
        Ok(fleet)
    }

    /// Waits until every second address says that its agent takes clients.
    async fn answers(&self) -> Result<(), String> {
        let until = Instant::now() + ANSWER_WITHIN;
        for (name, address) in &self.agents {
            while call(*address, "health").await.as_deref() != Some("done\n") {
                if Instant::now() > until {
                    return Err(format!("{name} at {address} takes no clients after {ANSWER_WITHIN:?}"));
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// A file with some of the agents.
    fn file(&self, folder: &Path, some: std::ops::Range<usize>) -> Result<PathBuf, String> {
        let mut text = String::new();
        for (name, address) in &self.agents[some.clone()] {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {address}");
        }
        let file = folder.join(format!("agents-{}-{}", some.start, some.end));
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(file)
    }

    /// What `status` says to some agents, and they to it, each call asked once more by the testbed.
    async fn bytes(&self, some: std::ops::Range<usize>) -> Result<f64, String> {
        let mut bytes = 0;
        for (name, address) in &self.agents[some] {
            for asked in CALLS {
                let said = call(*address, asked).await;
                let said = said.ok_or_else(|| format!("{name} at {address} does not answer {asked}"))?;
                bytes += asked.len() + 1 + said.len();
            }
        }
        Ok(bytes as f64)
    }
}

/// Measures it at each size.
pub async fn run(file: Option<&Path>, program: &Path) -> Result<Scaled, String> {
    let file = File::read(file)?;
    let balancerctl = Balancerctl { program: play::beside("balancerctl")?, timeout_ms: file.timeout_ms };
    let load = super::load();
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agents: {e}"))?;
    let fleet = Fleet::start(&file, program, folder.path()).await?;
    let measured = measure(&file, &balancerctl, &fleet, folder.path(), load).await;
    drop((fleet.hollows, fleet.source));
    fleet.stage.take_down().await;
    measured
}

async fn measure(
    file: &File,
    balancerctl: &Balancerctl,
    fleet: &Fleet,
    folder: &Path,
    load: f64,
) -> Result<Scaled, String> {
    let figure = |(name, what, unit)| Figure { name, what, unit, per: "agent asked", points: Vec::new() };
    let mut figures = FIGURES.map(figure);
    let mut notes = vec![format!(
        "the first {} agents are processes of the program, the other {} are hollow: the program's own driver, list, \
         module and second address, {} to a process of one thread; all stand idle with {} renderers in {} zones",
        fleet.real,
        fleet.agents.len() - fleet.real,
        file.agents_per_process,
        file.servers,
        ZONES.len()
    )];
    let mut printed = 0;
    for _ in 0..file.repeats {
        for &size in &file.sizes {
            let told = balancerctl.status(&fleet.file(folder, 0..size)?).await?;
            if told.code != Some(0) {
                notes.push(format!(
                    "at {size}: a status ended with {:?} after {:.2} s and is left out: {}",
                    told.code, told.seconds, told.fault
                ));
                continue;
            }
            let bytes = fleet.bytes(0..size).await?;
            printed = told.printed;
            for (figure, value) in figures.iter_mut().zip([told.seconds, bytes, told.cpu_s]) {
                figure.points.push(Point { size: size as f64, value });
            }
        }
    }
    notes.push(format!("at the last size it prints {printed} bytes"));
    notes.extend(hollow_beside_real(file, balancerctl, fleet, folder).await?);
    let at = file.planned;
    for figure in &figures {
        if let Ok(fit) = fit(&figure.points) {
            let value = super::short(fit.at_zero + fit.slope * at as f64);
            let far = at as f64 / fit.to;
            let (name, unit, most) = (figure.name, figure.unit, fit.to);
            notes.push(format!(
                "{name} at {at} would be {value} {unit}, extrapolated {far:.0} times past {most}"
            ));
        }
    }
    notes.push(refusal(file, balancerctl, folder).await?);
    Ok(Scaled { by: "testbed scale staff".into(), figures: figures.into(), notes, load })
}

/// Whether hollow agents stand for real ones: as many of each, in turn.
async fn hollow_beside_real(
    file: &File,
    balancerctl: &Balancerctl,
    fleet: &Fleet,
    folder: &Path,
) -> Result<Option<String>, String> {
    let size = file.sizes[0].min(fleet.real).min(fleet.agents.len() - fleet.real);
    if size == 0 {
        return Ok(None);
    }
    let hollows = fleet.real..fleet.real + size;
    let (real, hollow) = (fleet.file(folder, 0..size)?, fleet.file(folder, hollows.clone())?);
    let (mut of_real, mut of_hollow) = (Vec::new(), Vec::new());
    for _ in 0..file.repeats {
        of_real.push(balancerctl.status(&real).await?);
        of_hollow.push(balancerctl.status(&hollow).await?);
    }
    let least = |told: &[Told], of: fn(&Told) -> f64| told.iter().map(of).fold(f64::INFINITY, f64::min);
    Ok(Some(format!(
        "status over {size} real agents took {:.4} s, {:.4} s of processor and {} bytes, over {size} hollow ones {:.4} s, \
         {:.4} s and {} bytes (the least of {} each)",
        least(&of_real, |t| t.seconds),
        least(&of_real, |t| t.cpu_s),
        fleet.bytes(0..size).await?,
        least(&of_hollow, |t| t.seconds),
        least(&of_hollow, |t| t.cpu_s),
        fleet.bytes(hollows).await?,
        file.repeats
    )))
}

/// What balancerctl says to a file with as many agents as are planned, none of which is there.
async fn refusal(file: &File, balancerctl: &Balancerctl, folder: &Path) -> Result<String, String> {
    let mut text = String::new();
    for n in 0..file.planned {
        // Writing to a string cannot fail. Nobody listens on the first port of any address.
        let _ = writeln!(text, "p{n} 127.205.{}.{}:1", 100 + n / 250 % 150, n % 250 + 1);
    }
    let agents = folder.join("planned");
    std::fs::write(&agents, text).map_err(|e| format!("{}: {e}", agents.display()))?;
    let told = balancerctl.status(&agents).await?;
    let fault = told.fault.replace(&*folder.to_string_lossy(), "");
    let code = told.code.map_or("by a signal".to_owned(), |code| code.to_string());
    Ok(format!("a file of {} agents, none of them there: exit {code}, {fault}", file.planned))
}
