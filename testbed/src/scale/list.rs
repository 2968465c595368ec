//! One real agent by the servers that it knows: memory, processor time, and how long a call is held up.

mod discovery;
mod probe;

use super::fit::Point;
use super::{check_sizes, load, read, Figure, Scaled};
use crate::draw::Seed;
use crate::saturate::{cores, free, spawn, stand_in};
use crate::stage::directory::Health;
use crate::stage::processes::{is_ready, last_line, memory_mb, peak_memory_mb, scheduled, Scheduled};
use discovery::{Discovery, Server};
use indicatif::ProgressBar;
use probe::{Heard, Pace};
use serde::Deserialize;
use serde_json::json;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::process::Child;
use tokio::time::sleep;

const BUILT_IN: &str = include_str!("../../scales/list.toml");
/// Servers known at the most: some 45 MB of configuration.
const SIZE_MOST: usize = 300_000;
/// A third of these is one server that goes.
const SIZE_LEAST: usize = 3;
/// Listeners that the addresses of all servers lead to.
const LISTENERS: usize = 64;
/// Connections of the application, each with one call at a time.
const CONNECTIONS: usize = 8;
/// Connections of what looks for hold-ups: at 500 calls a second they last for 128 ms, and later calls are timed from when
/// they were due all the same.
const DENSE_CONNECTIONS: usize = 64;
/// What the agent may hold, by the deployment's example.
const SOCKETS: usize = 4096;
const MEMORY_MB: usize = 2048;
/// An agent that is not ready by then will not be.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// An agent that has just become ready finishes what it began.
const SETTLE: Duration = Duration::from_millis(500);
/// Seconds of calls straight to a renderer, which tell what is the testbed's own in a call's time.
const DIRECT_S: f64 = 0.6;
/// An event comes this far into the calls that look for its hold-up.
const LEAD: Duration = Duration::from_millis(300);
/// A part in which the testbed was late is measured so many times more.
const RETRIES: usize = 2;
const CLASS: &str = "search";

/// The file of this test.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Plan {
    sizes: Vec<usize>,
    repeats: usize,
    rate: f64,
    changes: f64,
    dense: f64,
    balancers: usize,
    zones: usize,
    zone: usize,
    idle_s: f64,
    quiet_s: f64,
    changes_s: f64,
    still_s: f64,
    zone_s: f64,
    whole_s: f64,
    wait_s: f64,
    late_most_ms: f64,
    retry_s: f64,
}

impl Plan {
    /// The error names file, key and value.
    fn read(file: Option<&Path>) -> Result<Self, String> {
        let plan: Plan = read(file, BUILT_IN)?;
        let name = file.map_or_else(|| "built in".to_owned(), |file| file.display().to_string());
        plan.check().map_err(|why| format!("{name}: {why}"))?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        check_sizes("sizes", &self.sizes, SIZE_MOST)?;
        if self.sizes[0] < SIZE_LEAST {
            return Err(format!("sizes holds {}, at least {SIZE_LEAST} was expected", self.sizes[0]));
        }
        let figures = [
            ("repeats", self.repeats as f64, 1.0, 100.0),
            ("rate", self.rate, 1.0, 5000.0),
            ("changes", self.changes, 0.1, 1000.0),
            ("dense", self.dense, 10.0, 5000.0),
            ("balancers", self.balancers as f64, 1.0, 1e6),
            ("zones", self.zones as f64, 2.0, 250.0),
            ("zone", self.zone as f64, 1.0, SIZE_MOST as f64),
            ("idle_s", self.idle_s, 0.1, 600.0),
            ("quiet_s", self.quiet_s, 0.1, 600.0),
            ("changes_s", self.changes_s, 0.1, 600.0),
            ("still_s", self.still_s, 0.1, 600.0),
            ("zone_s", self.zone_s, 0.1, 600.0),
            ("whole_s", self.whole_s, 0.1, 600.0),
            ("wait_s", self.wait_s, 0.1, 600.0),
            ("late_most_ms", self.late_most_ms, 0.1, 1e6),
            ("retry_s", self.retry_s, 0.0, 3600.0),
        ];
        let off = figures.into_iter().find(|(_, value, least, most)| !(least..=most).contains(&value));
        match off {
            Some((key, value, least, most)) => {
                Err(format!("{key} is {value}, a figure from {least} to {most} was expected"))
            }
            None => Ok(()),
        }
    }

    /// How many servers go at once.
    fn going(&self, size: usize) -> usize {
        self.zone.min(size / 3)
    }

    /// As a platform lists them: the first zone holds those that go, the others share the rest evenly. Most machines have
    /// been started within two weeks.
    fn servers(&self, size: usize, dials: &[SocketAddr]) -> Vec<Server> {
        let now = unix_ms();
        let going = self.going(size);
        (0..size)
            .map(|place| {
                let mut draw = Seed(size as u64).fork(place as u64);
                let zone = if place < going { 0 } else { 1 + (place - going) % (self.zones - 1) };
                Server {
                    // The place in it keeps it apart from all others.
                    host: format!("s-{:03x}{place:05x}", draw.bits() & 0xfff),
                    dial: dials[place % dials.len()],
                    site: site(zone),
                    block: place / 100,
                    health: Health::Up,
                    born_ms: now - 3_600_000 - draw.below(14 * 86_400_000) as u64,
                }
            })
            .collect()
    }
}

fn site(zone: usize) -> String {
    const REGIONS: [&str; 11] = [
        "annelinn",
        "jaamamoisa",
        "karlova",
        "lohkva",
        "maramaa",
        "raadi",
        "ropka",
        "supilinn",
        "tammelinn",
        "ulenurme",
        "veeriku",
    ];
    format!("{}-{zone:02}", REGIONS[zone % REGIONS.len()])
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What is measured, in the order of the table: name, words, unit.
const FIGURES: [(&str, &str, &str); 17] = [
    ("list_memory_bytes", "memory of an agent once it is ready", "bytes"),
    (
        "list_memory_most_bytes",
        "the most memory that an agent held, a zone's and a whole list's coming included",
        "bytes",
    ),
    ("list_ready_s", "from the start of an agent that knows the list until it is ready", "s"),
    ("list_idle_cpu_core", "share of a core with no request and no change", "cores"),
    ("list_change_cpu_s", "processor time of a change of one server", "s"),
    ("list_decision_cpu_s", "processor time of a request", "s"),
    ("list_quiet_p99_ms", "time added to a call at the 99th percentile while nothing changes", "ms"),
    ("list_quiet_worst_ms", "time added to a call at worst while nothing changes", "ms"),
    ("list_added_p99_ms", "time added to a call at the 99th percentile while single changes come", "ms"),
    ("list_added_worst_ms", "time added to a call at worst while single changes come", "ms"),
    (
        "list_still_stall_ms",
        "longest hold-up of a call, looked for as in the events, while nothing changes",
        "ms",
    ),
    ("list_zone_stall_ms", "longest hold-up of a call while a zone goes in one answer and returns", "ms"),
    ("list_whole_stall_ms", "longest hold-up of a call while a whole list arrives", "ms"),
    ("list_whole_taken_s", "from a whole list's first byte until the agent follows it", "s"),
    ("list_zone_cpu_s", "processor time of a zone that goes in one answer and returns", "s"),
    ("list_whole_cpu_s", "processor time of a whole list", "s"),
    ("list_whole_bytes", "the whole list as discovery words it", "bytes"),
];

/// Those that are told less the testbed's own time.
const ADDED: [&str; 4] =
    ["list_quiet_p99_ms", "list_quiet_worst_ms", "list_added_p99_ms", "list_added_worst_ms"];

/// Figures and notes as they come.
struct Sheet {
    figures: Vec<Figure>,
    notes: Vec<String>,
    /// The most descriptors of an agent.
    descriptors: usize,
    /// The longest that an agent waited for its core, as a share of a part, and where.
    waited: (f64, String),
    /// The testbed's own lateness at the 99th percentile, at worst, of what counts.
    late_ms: f64,
    /// The least median of calls straight to a renderer, in milliseconds: what of a call's time is the testbed's own.
    own_ms: f64,
    /// Seconds left for measuring anew what the testbed was late in.
    retry_s: f64,
}

impl Sheet {
    fn new(retry_s: f64) -> Self {
        let figure = |&(name, what, unit): &(&'static str, &'static str, &'static str)| Figure {
            name,
            what,
            unit,
            per: "server known",
            points: Vec::new(),
        };
        Sheet {
            figures: FIGURES.iter().map(figure).collect(),
            notes: Vec::new(),
            descriptors: 0,
            waited: (0.0, "nowhere".to_owned()),
            late_ms: 0.0,
            own_ms: f64::INFINITY,
            retry_s,
        }
    }

    fn add(&mut self, name: &str, size: usize, value: f64) {
        if let Some(figure) = self.figures.iter_mut().find(|figure| figure.name == name) {
            figure.points.push(Point { size: size as f64, value });
        }
    }

    fn note(&mut self, size: usize, what: impl std::fmt::Display) {
        self.notes.push(format!("at {size}: {what}"));
    }

    fn waited(&mut self, size: usize, part: &str, used: &Used) {
        let share = used.waited_s / used.over_s;
        if share > self.waited.0 {
            self.waited = (share, format!("at {size}, {part}"));
        }
    }
}

/// Measures an agent's program by the file, or by the testbed's own. One agent at a time, alone on the last core; the testbed
/// keeps to the others. Errors: bad input, or an agent that does not start.
pub async fn run(file: Option<&Path>, program: &Path) -> Result<Scaled, String> {
    let plan = Plan::read(file)?;
    let by = file.map_or_else(
        || "testbed scale list".to_owned(),
        |file| format!("testbed scale list {}", file.display()),
    );
    let program = program.to_owned();
    let load = load();
    // The runtime that this is called on has threads on every core: what is measured needs one that keeps off the agent's.
    // The agents end with the thread that starts them, which is this one.
    let measured = tokio::task::spawn_blocking(move || {
        let core = cores()?;
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        runtime.map_err(|e| format!("cannot start the runtime: {e}"))?.block_on(all(&plan, &program, core))
    });
    let sheet = measured.await.map_err(|e| format!("the measurement broke off: {e}"))??;
    Ok(Scaled { by, figures: sheet.figures, notes: sheet.notes, load })
}

/// Each size in turn, and that as often as asked.
async fn all(plan: &Plan, program: &Path, core: usize) -> Result<Sheet, String> {
    let mut sheet = Sheet::new(plan.retry_s);
    let bar = ProgressBar::new((plan.sizes.len() * plan.repeats) as u64);
    for _ in 0..plan.repeats {
        for &size in &plan.sizes {
            Stage::set_up(plan, program, core, size).await?.measure(&mut sheet).await?;
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    // Each was taken from when its call was due.
    let added = |figure: &&mut Figure| ADDED.contains(&figure.name);
    for figure in sheet.figures.iter_mut().filter(added) {
        figure.points.iter_mut().for_each(|point| point.value -= sheet.own_ms);
    }
    let (share, place) = &sheet.waited;
    let general = [
        format!(
            "one class of requests, safe to repeat, {} a second; {} balancers, {} zones, {SOCKETS} descriptors, no probes, \
             connections kept for a minute; renderers answer at once at {LISTENERS} addresses",
            plan.rate, plan.balancers, plan.zones
        ),
        format!(
            "a single change drains a server or calls it back warm, {} a second; a zone is {} servers, a third of all at \
             the most, removed in one answer and back cold in another",
            plan.changes, plan.zone
        ),
        format!(
            "time added is from when a call was due, less {:.3} ms, the median of calls straight to a renderer; hold-ups are \
             the worst of calls and of {} calls a second to the agent's own /ready, from when they were due",
            sheet.own_ms, plan.dense
        ),
        format!("agents held {} descriptors at the most", sheet.descriptors),
        format!(
            "an agent waited for its own core, where others run as well, for at most {:.1}% of a part ({place}); the testbed was \
             late by {:.2} ms at the 99th percentile at worst",
            share * 100.0,
            sheet.late_ms
        ),
    ];
    sheet.notes.splice(0..0, general);
    Ok(sheet)
}

/// What the scheduler gave a process over a while.
struct Used {
    ran_s: f64,
    waited_s: f64,
    over_s: f64,
}

/// What a part of the measurement came to.
struct Part<T> {
    used: Used,
    /// The testbed itself was not late.
    in_time: bool,
    done: T,
}

/// One agent with all around it.
struct Stage<'a> {
    plan: &'a Plan,
    size: usize,
    child: Child,
    discovery: Arc<Discovery>,
    agent: SocketAddr,
    renderer: SocketAddr,
    begun: Instant,
    log: PathBuf,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    _folder: tempfile::TempDir,
}

impl Drop for Stage<'_> {
    fn drop(&mut self) {
        self.tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

impl<'a> Stage<'a> {
    async fn set_up(plan: &'a Plan, program: &Path, core: usize, size: usize) -> Result<Self, String> {
        let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agent: {e}"))?;
        // A row of its own for each testbed that runs at the time.
        let own = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 201, own[2], own[3].max(1));
        let bind = || async move {
            let listener = TcpListener::bind((ip, 0)).await;
            let listener = listener.map_err(|e| format!("the testbed cannot listen on {ip}: {e}"))?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            Ok::<_, String>((listener, address))
        };
        let (mut tasks, mut dials) = (Vec::new(), Vec::new());
        for _ in 0..LISTENERS {
            let (listener, address) = bind().await?;
            tasks.push(tokio::spawn(stand_in(listener, "".into())));
            dials.push(address);
        }
        let discovery = Discovery::new(plan.servers(size, &dials));
        let (listener, address) = bind().await?;
        tasks.push(tokio::spawn(discovery.clone().serve(listener)));
        let agent = free(ip)?;
        let config = plan.config(agent, address, &discovery.whole())?;
        let file = folder.path().join("agent.json");
        std::fs::write(&file, config).map_err(|e| format!("{}: {e}", file.display()))?;
        let log = folder.path().join("agent.log");
        let out = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let begun = Instant::now();
        let child = spawn(program, &[], core, &file, out.into())?;
        let renderer = dials[0];
        Ok(Stage { plan, size, child, discovery, agent, renderer, begun, log, tasks, _folder: folder })
    }

    /// Seconds from the start until it takes calls; `None` if it does not.
    async fn ready(&mut self) -> Result<Option<f64>, String> {
        while !is_ready(self.agent).await {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!(
                    "an agent that knows {} servers did not start ({status}); {}",
                    self.size,
                    last_line(&self.log)
                ));
            }
            if self.begun.elapsed() > READY_WITHIN {
                return Ok(None);
            }
            sleep(Duration::from_millis(1)).await;
        }
        Ok(Some(self.begun.elapsed().as_secs_f64()))
    }

    fn id(&self) -> u32 {
        // It has been seen to run; if it has ended since, it has no number and uses nothing.
        self.child.id().unwrap_or(0)
    }

    fn scheduled(&self) -> Result<Scheduled, String> {
        scheduled(self.id()).ok_or_else(|| {
            format!("an agent that knows {} servers has ended; {}", self.size, last_line(&self.log))
        })
    }

    /// What the agent used while something went on.
    async fn used<T>(&self, part: impl std::future::Future<Output = T>) -> Result<(Used, T), String> {
        let (before, begun) = (self.scheduled()?, Instant::now());
        let done = part.await;
        let (after, over_s) = (self.scheduled()?, begun.elapsed().as_secs_f64());
        let used =
            Used { ran_s: after.ran_s - before.ran_s, waited_s: after.waited_s - before.waited_s, over_s };
        Ok((used, done))
    }

    fn calls(&self, seconds: f64) -> Pace {
        Pace {
            to: self.agent,
            path: format!("/{CLASS}/1"),
            class: CLASS,
            rate: self.plan.rate,
            seconds,
            connections: CONNECTIONS,
        }
    }

    /// Calls to the agent's own `/ready`, so many that a hold-up of a few milliseconds is hit.
    fn dense(&self, seconds: f64) -> Pace {
        let rate = self.plan.dense;
        Pace { path: "/ready".into(), rate, connections: DENSE_CONNECTIONS, ..self.calls(seconds) }
    }

    /// Measures until the testbed itself was in time, or as often as the file's time for that allows. What the agent used counts
    /// however late the testbed was; figures of time do not, and a note says so.
    async fn in_time<T, F>(
        &self,
        sheet: &mut Sheet,
        part: &str,
        mut measure: impl FnMut() -> F,
    ) -> Result<Part<T>, String>
    where
        F: std::future::Future<Output = (Vec<Heard>, T)>,
    {
        for tries in 1.. {
            let (used, (heard, done)) = self.used(measure()).await?;
            let late_ms = heard.iter().map(Heard::late_ms).fold(0.0, f64::max);
            let in_time = late_ms <= self.plan.late_most_ms;
            if !in_time && tries <= RETRIES && sheet.retry_s >= used.over_s {
                sheet.retry_s -= used.over_s;
                continue;
            }
            sheet.waited(self.size, part, &used);
            let unserved: u64 = heard.iter().map(|heard| heard.unserved).sum();
            if unserved > 0 {
                let all: u64 = heard.iter().map(|heard| heard.times.len()).sum();
                sheet.note(self.size, format!("{part}: {unserved} of {all} calls were not served"));
            }
            if in_time {
                sheet.late_ms = sheet.late_ms.max(late_ms);
            } else {
                let what = "no figure of time, the testbed was late itself by";
                sheet.note(
                    self.size,
                    format!("{part}: {what} {late_ms:.1} ms at the 99th percentile (try {tries})"),
                );
            }
            return Ok(Part { used, in_time, done });
        }
        unreachable!("the last try returns")
    }

    async fn measure(mut self, sheet: &mut Sheet) -> Result<(), String> {
        let (plan, size) = (self.plan, self.size);
        let Some(ready_s) = self.ready().await? else {
            sheet.note(
                size,
                format!("not ready within {} s; {}", READY_WITHIN.as_secs(), last_line(&self.log)),
            );
            return Ok(());
        };
        sheet.add("list_ready_s", size, ready_s);
        sheet.add("list_whole_bytes", size, self.discovery.whole().len() as f64);
        sleep(SETTLE).await;
        let (idle, ()) = self.used(sleep(Duration::from_secs_f64(plan.idle_s))).await?;
        let idle_core = idle.ran_s / idle.over_s;
        sheet.waited(size, "idle", &idle);
        sheet.add("list_idle_cpu_core", size, idle_core);
        sheet.add("list_memory_bytes", size, self.memory(memory_mb)?);

        let straight = Pace { to: self.renderer, seconds: DIRECT_S, ..self.calls(DIRECT_S) };
        sheet.own_ms = sheet.own_ms.min(hold(straight).await.ms(0.5));
        let quiet = self.in_time(sheet, "quiet", || async {
            let heard = hold(self.calls(plan.quiet_s)).await;
            let (p99, worst, n) = (heard.ms(0.99), heard.ms(1.0), heard.times.len());
            (vec![heard], (p99, worst, n))
        });
        let Part { used, in_time, done: (p99, worst, n) } = quiet.await?;
        sheet.add("list_decision_cpu_s", size, (used.ran_s - idle_core * used.over_s) / n as f64);
        if in_time {
            sheet.add("list_quiet_p99_ms", size, p99);
            sheet.add("list_quiet_worst_ms", size, worst);
        }

        let mut places = Changes::new(plan, size);
        let (used, changes) = self.used(places.come(&self.discovery, plan.changes_s)).await?;
        sheet.waited(size, "single changes", &used);
        sheet.add("list_change_cpu_s", size, (used.ran_s - idle_core * used.over_s) / changes as f64);
        let mixed = self.in_time(sheet, "calls among single changes", || {
            let (calls, mut places, discovery) = (self.calls(plan.quiet_s), places.clone(), &self.discovery);
            async move {
                let (heard, _) = tokio::join!(hold(calls), places.come(discovery, plan.quiet_s));
                let (p99, worst) = (heard.ms(0.99), heard.ms(1.0));
                (vec![heard], (p99, worst))
            }
        });
        let Part { in_time, done: (p99, worst), .. } = mixed.await?;
        if in_time {
            sheet.add("list_added_p99_ms", size, p99);
            sheet.add("list_added_worst_ms", size, worst);
        }

        let still = self.in_time(sheet, "still", || self.look(plan.still_s, async {}));
        let Part { in_time, done: (stall_ms, ()), .. } = still.await?;
        if in_time {
            sheet.add("list_still_stall_ms", size, stall_ms);
        }
        let (used, followed) = self.used(self.zone_goes_and_returns()).await?;
        if followed {
            sheet.add("list_zone_cpu_s", size, used.ran_s - idle_core * used.over_s);
        }
        let zone = self.in_time(sheet, "a zone goes and returns", || {
            self.look(2.0 * plan.zone_s, self.zone_goes_and_returns())
        });
        let Part { in_time, done: (stall_ms, followed), .. } = zone.await?;
        if in_time {
            sheet.add("list_zone_stall_ms", size, stall_ms);
        }
        if !followed {
            let within = plan.wait_s;
            sheet.note(size, format!("a zone that went or returned was not heard of within {within} s"));
        }
        self.whole_list(sheet).await?;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.id())).map_or(0, Iterator::count);
        sheet.descriptors = sheet.descriptors.max(descriptors);
        sheet.add("list_memory_most_bytes", size, self.memory(peak_memory_mb)?);
        Ok(())
    }

    fn memory(&self, of: impl Fn(u32) -> Option<f64>) -> Result<f64, String> {
        self.scheduled()?;
        let mb = of(self.id()).ok_or("the system does not tell an agent's memory")?;
        Ok(mb * 1024.0 * 1024.0)
    }

    /// The longest hold-up in milliseconds while something goes on.
    async fn look<T>(
        &self,
        seconds: f64,
        event: impl std::future::Future<Output = T>,
    ) -> (Vec<Heard>, (f64, T)) {
        let (calls, ready, done) =
            tokio::join!(hold(self.calls(seconds)), hold(self.dense(seconds)), async {
                sleep(LEAD).await;
                event.await
            });
        let stall_ms = calls.ms(1.0).max(ready.ms(1.0));
        (vec![calls, ready], (stall_ms, done))
    }

    /// False if the agent did not hear of it.
    async fn zone_goes_and_returns(&self) -> bool {
        let going = self.plan.going(self.size);
        let within = Duration::from_secs_f64(self.plan.wait_s);
        let gone = self.discovery.change(0..going, |server| server.health = Health::Removed);
        let heard = self.discovery.followed(gone, within).await;
        // What it does about that may come after it has heard.
        let half = Duration::from_secs_f64(self.plan.zone_s / 2.0);
        sleep(half).await;
        let back = self.discovery.change(0..going, |server| {
            (server.health, server.born_ms) = (Health::Up, unix_ms());
        });
        let followed = heard.is_some() && self.discovery.followed(back, within).await.is_some();
        sleep(half).await;
        followed
    }

    /// A whole list begins to be told; the version that it is of.
    fn forget(&self) -> u64 {
        // The last server is in no zone that goes.
        self.discovery.change_and_forget([self.size - 1], |server| server.born_ms += 1)
    }

    async fn whole_list(&self, sheet: &mut Sheet) -> Result<(), String> {
        let (plan, size) = (self.plan, self.size);
        let wait = Duration::from_secs_f64(plan.wait_s);
        let whole = self.in_time(sheet, "a whole list arrives", || {
            self.look(plan.whole_s, async {
                self.discovery.count_anew();
                let seq = self.forget();
                let (begun, followed) = (Instant::now(), self.discovery.followed(seq, wait).await);
                (begun, followed, self.discovery.asked())
            })
        });
        let Part { used, in_time, done: (stall_ms, (begun, followed, asked)) } = whole.await?;
        match (followed, asked.whole_at) {
            (Some(at), Some(first)) => {
                if in_time {
                    sheet.add("list_whole_stall_ms", size, stall_ms);
                }
                let still = Duration::from_secs_f64(plan.still_s / 2.0);
                let (before, ()) = self.used(sleep(still)).await?;
                let event = async {
                    let followed = self.discovery.followed(self.forget(), wait).await;
                    sleep(still).await;
                    followed
                };
                let (used, followed) = self.used(event).await?;
                if followed.is_some() {
                    let cpu_s = used.ran_s - before.ran_s / before.over_s * used.over_s;
                    sheet.add("list_whole_cpu_s", size, cpu_s);
                }
                sheet.add("list_whole_taken_s", size, at.saturating_duration_since(first).as_secs_f64());
                if asked.wholes > 1 {
                    sheet.note(
                        size,
                        format!("the whole list was sent {} times until it was taken", asked.wholes),
                    );
                }
            }
            _ => {
                let (times, over) = (asked.wholes, begun.elapsed().as_secs_f64().min(plan.wait_s));
                let bytes = self.discovery.whole().len();
                sheet.note(
                    size,
                    format!(
                        "the whole list was never taken ({bytes} bytes), asked again {} times in {over:.1} s, and the agent \
                         did not learn of the change in it; a call was held up for {stall_ms:.1} ms meanwhile, and it \
                         spent {:.1}% of a core; {}",
                        times.saturating_sub(1),
                        used.ran_s / used.over_s * 100.0,
                        last_line(&self.log)
                    ),
                );
            }
        }
        Ok(())
    }
}

/// Calls on threads of their own, away from the runtime's.
async fn hold(pace: Pace) -> Heard {
    tokio::task::spawn_blocking(move || pace.hold()).await.expect("no panic")
}

/// Single changes: a server is drained, and called back by the next change.
#[derive(Debug, Clone)]
struct Changes {
    rate: f64,
    size: usize,
    draw: Seed,
}

impl Changes {
    fn new(plan: &Plan, size: usize) -> Self {
        Changes { rate: plan.changes, size, draw: Seed(size as u64) }
    }

    /// Changes at an even pace; all is called back in the end. Returns how many there were.
    async fn come(&mut self, discovery: &Discovery, seconds: f64) -> usize {
        let pairs = ((seconds * self.rate / 2.0).round() as usize).max(1);
        let mut pace = tokio::time::interval(Duration::from_secs_f64(1.0 / self.rate));
        for _ in 0..pairs {
            let place = self.draw.below(self.size);
            for health in [Health::Draining, Health::Up] {
                pace.tick().await;
                discovery.change([place], |server| server.health = health);
            }
        }
        // The last of them takes its time like the others.
        pace.tick().await;
        2 * pairs
    }
}

impl Plan {
    /// The agent's configuration in the platform's form, with a list that is already worded.
    fn config(&self, listen: SocketAddr, discovery: SocketAddr, known: &[u8]) -> Result<String, String> {
        let known: serde_json::Value = serde_json::from_slice(known).map_err(|e| e.to_string())?;
        let zones: Vec<String> = (0..self.zones).map(site).collect();
        let config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
            "settings": {
                // The agent's own zone is not the one that goes.
                "balancers": self.balancers, "slotNo": 0, "zone": 1, "zones": zones, "kinds": ["m2"],
                "discovery": "pushed",
                "classes": [{"name": CLASS, "aimMs": 250.0, "deadlineMs": 1000.0, "effect": "idempotent",
                             "group": "all", "points": 1.0}],
                "limits": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": 60_000.0, "maxAttempts": 3},
                "rules": {"coldShare": 0.3, "warmAfterMs": 30_000.0, "fallMs": 1500.0, "overloadFactor": 4.0,
                          "stopSendingWithinMs": 450.0},
            },
        });
        Ok(config.to_string())
    }
}

#[cfg(test)]
mod tests;
