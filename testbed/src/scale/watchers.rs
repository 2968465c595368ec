//! One source of the list by the agents that watch it: what a change costs and how soon it is in force, what no change
//! costs, and how all of them come back at once.

use super::fit::Point;
use super::hollow::{self, Hollows};
use super::source::{Bytes, Source};
use super::{check_sizes, check_value, Figure, Scaled};
use crate::stage::processes::scheduled;
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// More have no room: each takes a descriptor here and one of its own, and half a megabyte.
const AGENTS_MOST: usize = 10_000;
/// Descriptors of the testbed that are not agents'.
const SPARE: usize = 200;
/// What is not in force by then is not measured.
const WITHIN: Duration = Duration::from_secs(30);
/// After the last agent has a change, its next call is under way within this.
const SETTLED: Duration = Duration::from_millis(200);

/// The file of this test.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    sizes: Vec<usize>,
    repeats: usize,
    servers: usize,
    agents_per_process: usize,
    rest_s: f64,
    changes: usize,
    apart_s: f64,
    outage_s: f64,
    cut_s: f64,
    cut_servers: usize,
}

impl File {
    fn read(file: Option<&Path>) -> Result<Self, String> {
        let read: File = super::read(file, include_str!("../../scales/watchers.toml"))?;
        check_sizes("sizes", &read.sizes, AGENTS_MOST)
            .map_err(|why| format!("{}: {why}", super::name(file)))?;
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let room = limit.map_or(usize::MAX, |limit| (limit as usize).saturating_sub(SPARE));
        if let Some(size) = read.sizes.iter().find(|&&size| size > room) {
            let name = super::name(file);
            return Err(format!("{name}: sizes holds {size}, the descriptors of this process allow {room}"));
        }
        for (key, value, least, most) in [
            ("repeats", read.repeats as f64, 1.0, 10.0),
            ("servers", read.servers as f64, 1.0, 20_000.0),
            ("agents_per_process", read.agents_per_process as f64, 1.0, 1000.0),
            ("rest_s", read.rest_s, 0.5, 60.0),
            ("changes", read.changes as f64, 1.0, 100.0),
            ("apart_s", read.apart_s, 0.01, 10.0),
            ("outage_s", read.outage_s, 0.1, 60.0),
            ("cut_s", read.cut_s, 0.1, 60.0),
            ("cut_servers", read.cut_servers as f64, 1.0, 20_000.0),
        ] {
            check_value(file, key, value, least, most)?;
        }
        Ok(read)
    }
}

/// Name, what it is, unit.
const FIGURES: [(&str, &str, &str); 15] = [
    ("watchers_in_force_s", "a change until the last agent has it, the worst of a run's changes", "s"),
    ("watchers_in_force_median_s", "a change until the median agent has it", "s"),
    ("watchers_source_bytes_per_change", "what the source sends for a change, in all", "bytes of HTTP"),
    ("watchers_source_cpu_s_per_change", "processor time of the source for a change", "s"),
    (
        "watchers_source_bytes_at_rest",
        "what the source sends and receives with no change",
        "bytes of HTTP a second",
    ),
    ("watchers_source_cpu_at_rest", "processor of the source with no change", "share of a core"),
    (
        "watchers_agent_bytes_at_rest",
        "what one agent sends and receives with no change",
        "bytes of HTTP a second",
    ),
    ("watchers_agent_cpu_at_rest", "processor of one hollow agent with no change", "share of a core"),
    (
        "watchers_reconnect_s",
        "from the source's return after an outage until the last agent has the list",
        "s",
    ),
    (
        "watchers_reconnect_worst_rate",
        "the most calls that the source then saw in a second",
        "calls a second",
    ),
    (
        "watchers_return_s",
        "from the source's return after an hour's cut until the last has the whole list",
        "s",
    ),
    ("watchers_return_source_bytes", "what the source sends for that return, in all", "bytes of HTTP"),
    ("watchers_return_source_cpu_s", "processor time of the source for that return", "s"),
    ("watchers_return_agent_cpu_s", "processor time of one hollow agent for that return", "s"),
    ("watchers_memory_bytes", "memory of one hollow agent", "bytes"),
];

/// What has been measured so far.
struct Test {
    file: File,
    scaled: Scaled,
}

/// What the source and the agents have used by a moment.
#[derive(Clone, Copy)]
struct Used {
    at: Instant,
    source_s: f64,
    agents_s: f64,
    bytes: Bytes,
}

impl Used {
    fn by_now(source: &Source, hollows: &Hollows) -> Self {
        let source_s = scheduled(std::process::id()).map_or(0.0, |of| of.ran_s);
        Used { at: Instant::now(), source_s, agents_s: hollows.cpu_s(), bytes: source.bytes() }
    }

    /// Seconds, processor seconds of the source, of the agents, bytes sent, bytes received, since an earlier moment.
    fn since(self, before: Used) -> (f64, f64, f64, f64, f64) {
        (
            (self.at - before.at).as_secs_f64(),
            self.source_s - before.source_s,
            self.agents_s - before.agents_s,
            (self.bytes.sent - before.bytes.sent) as f64,
            (self.bytes.received - before.bytes.received) as f64,
        )
    }
}

/// Seconds until the median and the last of them had it, or how many never did.
fn spread(known: &[u64], since: u64) -> Result<(f64, f64), usize> {
    let never = known.iter().filter(|&&at| at == 0).count();
    let mut after: Vec<f64> = known.iter().map(|&at| at.saturating_sub(since) as f64 / 1e6).collect();
    after.sort_by(f64::total_cmp);
    match (never, after.last()) {
        (0, Some(&last)) => Ok((after[after.len() / 2], last)),
        _ => Err(never),
    }
}

impl Test {
    fn add(&mut self, name: &str, size: usize, value: f64) {
        if let Some(figure) = self.scaled.figures.iter_mut().find(|figure| figure.name == name) {
            figure.points.push(Point { size: size as f64, value });
        }
    }

    fn apart(&self) -> Duration {
        Duration::from_secs_f64(self.file.apart_s)
    }

    fn note(&mut self, note: String) {
        self.scaled.notes.push(note);
    }

    /// What kept it from being faster: how busy the source and the agents' cores were.
    fn note_limit(
        &mut self,
        size: usize,
        what: &str,
        last_s: f64,
        (wall, source, agents): (f64, f64, f64),
        hollows: &Hollows,
    ) {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let processes = hollows.processes();
        // What each of the cores that they share had to do for them.
        let a_core = agents / processes.min(cores) as f64;
        let pace = match () {
            () if a_core.max(source) < last_s / 2.0 => {
                "most of it was no work of either: pauses between calls, or what else ran here"
            }
            () if a_core > source => {
                "the agents' shared cores set the pace: with a core each they are sooner"
            }
            () => "the source set the pace",
        };
        self.note(format!(
            "at {size}, {what}: {last_s:.3} s until the last; over {wall:.2} s the source used {source:.3} s of processor \
             and the agents {agents:.3} s in {processes} processes of one thread each on {cores} cores; {pace}"
        ));
    }

    async fn measure(&mut self, size: usize, last: bool) -> Result<(), String> {
        let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agents: {e}"))?;
        let source = Source::start(self.file.servers).await?;
        let config = folder.path().join("hollow.json");
        std::fs::write(&config, hollow::config(source.address))
            .map_err(|e| format!("{}: {e}", config.display()))?;
        let mut hollows = Hollows::start(&config, size, self.file.agents_per_process, None).await?;
        self.add("watchers_memory_bytes", size, hollows.bytes_each);

        // Once all of their first watches are under way.
        sleep(self.apart()).await;
        let before = Used::by_now(&source, &hollows);
        sleep(Duration::from_secs_f64(self.file.rest_s)).await;
        let (wall, source_s, agents_s, sent, received) = Used::by_now(&source, &hollows).since(before);
        let n = size as f64;
        self.add("watchers_source_bytes_at_rest", size, (sent + received) / wall);
        self.add("watchers_source_cpu_at_rest", size, source_s / wall);
        self.add("watchers_agent_bytes_at_rest", size, (sent + received) / wall / n);
        self.add("watchers_agent_cpu_at_rest", size, agents_s / wall / n);
        if last {
            let late = source.late_p99_ms();
            self.note(format!("at {size}, at rest: the source ended watches {late:.1} ms later than due at the 99th percentile"));
        }
        self.changes(size, last, &source, &mut hollows).await?;
        self.outage(size, last, &source, &mut hollows).await?;
        self.cut(size, last, &source, &mut hollows).await
    }

    async fn changes(
        &mut self,
        size: usize,
        last: bool,
        source: &Source,
        hollows: &mut Hollows,
    ) -> Result<(), String> {
        let (mut medians, mut worst) = (Vec::new(), 0.0_f64);
        let (mut bytes, mut cpu) = (0.0, 0.0);
        for change in 0..self.file.changes {
            let name = format!("change-{change}");
            let awaited = hollows.told(&name, WITHIN).await?;
            sleep(self.apart()).await;
            let before = Used::by_now(source, hollows);
            let at = source.add(&name);
            let known = hollows.known(awaited).await?;
            sleep(SETTLED).await;
            let used @ (wall, source_s, agents_s, sent, _) = Used::by_now(source, hollows).since(before);
            (bytes, cpu) = (bytes + sent, cpu + used.1);
            match spread(&known, at) {
                Ok((median, last_s)) => {
                    medians.push(median);
                    worst = worst.max(last_s);
                    if last && change + 1 == self.file.changes {
                        self.note_limit(size, "a change", last_s, (wall, source_s, agents_s), hollows);
                    }
                }
                Err(never) => {
                    self.note(format!("at {size}: {never} agents did not have a change within {WITHIN:?}; that run's times and costs of a change are left out"));
                    return Ok(());
                }
            }
        }
        medians.sort_by(f64::total_cmp);
        self.add("watchers_in_force_s", size, worst);
        self.add("watchers_in_force_median_s", size, medians[medians.len() / 2]);
        self.add("watchers_source_bytes_per_change", size, bytes / self.file.changes as f64);
        self.add("watchers_source_cpu_s_per_change", size, cpu / self.file.changes as f64);
        Ok(())
    }

    async fn outage(
        &mut self,
        size: usize,
        last: bool,
        source: &Source,
        hollows: &mut Hollows,
    ) -> Result<(), String> {
        source.down();
        sleep(Duration::from_secs_f64(self.file.outage_s)).await;
        // What the list has learned meanwhile shows who has it.
        source.add("meanwhile");
        let awaited = hollows.told("meanwhile", WITHIN).await?;
        source.note_calls();
        let before = Used::by_now(source, hollows);
        let at = source.up();
        let known = hollows.known(awaited).await?;
        let (wall, source_s, agents_s, ..) = Used::by_now(source, hollows).since(before);
        // The worst second may end after the last of them has the list.
        tokio::time::sleep_until(before.at + Duration::from_secs(1)).await;
        let rate = source.most_calls_a_second();
        match spread(&known, at) {
            Ok((_, last_s)) => {
                self.add("watchers_reconnect_s", size, last_s);
                self.add("watchers_reconnect_worst_rate", size, rate as f64);
                if last {
                    self.note_limit(
                        size,
                        "back after the outage",
                        last_s,
                        (wall, source_s, agents_s),
                        hollows,
                    );
                }
            }
            Err(never) => self.note(format!(
                "at {size}: {never} agents were not back {WITHIN:?} after the outage; that run is left out"
            )),
        }
        Ok(())
    }

    async fn cut(
        &mut self,
        size: usize,
        last: bool,
        source: &Source,
        hollows: &mut Hollows,
    ) -> Result<(), String> {
        source.down();
        sleep(Duration::from_secs_f64(self.file.cut_s)).await;
        source.renew(self.file.cut_servers, "renewed");
        let awaited = hollows.told("renewed", WITHIN).await?;
        let before = Used::by_now(source, hollows);
        let at = source.up();
        let known = hollows.known(awaited).await?;
        let (wall, source_s, agents_s, sent, _) = Used::by_now(source, hollows).since(before);
        match spread(&known, at) {
            Ok((_, last_s)) => {
                self.add("watchers_return_s", size, last_s);
                self.add("watchers_return_source_bytes", size, sent);
                self.add("watchers_return_source_cpu_s", size, source_s);
                self.add("watchers_return_agent_cpu_s", size, agents_s / size as f64);
                if last {
                    self.note_limit(
                        size,
                        "back after an hour's cut",
                        last_s,
                        (wall, source_s, agents_s),
                        hollows,
                    );
                }
            }
            Err(never) => self.note(format!(
                "at {size}: {never} agents had no whole list {WITHIN:?} after the cut; that run is left out"
            )),
        }
        Ok(())
    }
}

/// Measures it at each size. The agents are the testbed's own hollow ones, so no program is started.
pub async fn run(file: Option<&Path>, _program: &Path) -> Result<Scaled, String> {
    let file = File::read(file)?;
    let figure =
        |(name, what, unit)| Figure { name, what, unit, per: "agent that watches", points: Vec::new() };
    let scaled = Scaled {
        by: "testbed scale watchers".into(),
        figures: FIGURES.into_iter().map(figure).collect(),
        notes: Vec::new(),
        load: super::load(),
    };
    let mut test = Test { scaled, file };
    test.note(format!(
        "a list of {} servers, {} after the cut; agents are hollow: the program's own driver, discovery client, list and \
         module as they are built into testbed (--agent plays no part here), {} to a process of one thread, without requests",
        test.file.servers, test.file.cut_servers, test.file.agents_per_process
    ));
    test.note(
        "bytes are HTTP's own, and the source's answers have a type and a length as their only headers; TCP and IP add some 52 bytes to each segment. An hour's cut is played as a short one after \
         which the source counts a version far ahead and has another list: an agent's pauses between calls are those of a \
         short cut"
            .into(),
    );
    let (sizes, repeats) = (test.file.sizes.clone(), test.file.repeats);
    for repeat in 0..repeats {
        for &size in &sizes {
            let last = repeat + 1 == repeats && Some(&size) == sizes.last();
            test.measure(size, last).await?;
        }
    }
    Ok(test.scaled)
}
