//! A renderer by the agents that call it: connections, handshakes and probes that it bears, and what it is sent while it
//! is cold, under the sum of all agents.
//!
//! A play with few renderers of one kind, which every agent knows. Each agent has the same small rate, so that the whole
//! grows with the agents. Once the connections have settled they are looked at; then one renderer dies and comes back
//! cold. What that one may be sent within the rule's window is N + 2 root N + 2 requests, N being the multiple that
//! the settings allow of what it can do then.

use super::{check_sizes, fit::Point, load, read, Figure, Scaled};
use crate::play::Stage;
use crate::scenario;
use crate::stage::clients::Clients;
use crate::stage::directory::Directory;
use crate::stage::faults::Faults;
use crate::stage::machine::Borne;
use crate::stage::World;
use indicatif::ProgressBar;
use serde::Deserialize;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep_until;

const BUILT_IN: &str = include_str!("../../scales/renderer.toml");
/// What the machine holds: as many as a scenario may have.
const AGENTS_MOST: usize = 300;
const RENDERERS_MOST: usize = 50;
const REPEATS_MOST: usize = 20;
const SECONDS_MOST: f64 = 600.0;
/// The seed of the first repeat; each more has the next.
const SEED: u64 = 1;
/// How often connections are counted.
const LOOK: Duration = Duration::from_millis(100);
/// Over which time handshakes are worst.
const SECOND: usize = 10;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    agents: Vec<usize>,
    repeats: usize,
    renderers: usize,
    rate: f64,
    load: f64,
    idle_s: f64,
    settle_s: f64,
    steady_s: f64,
    away_s: f64,
    cold_s: f64,
}

impl Asked {
    fn check(&self) -> Result<(), String> {
        check_sizes("agents", &self.agents, AGENTS_MOST)?;
        let whole =
            [("repeats", self.repeats, 1, REPEATS_MOST), ("renderers", self.renderers, 2, RENDERERS_MOST)];
        for (key, value, least, most) in whole {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} is {value}, {least} to {most} was expected"));
            }
        }
        for (key, value, least, most) in [
            ("rate", self.rate, 0.1, 50.0),
            ("load", self.load, 0.05, 1.0),
            ("idle_s", self.idle_s, 0.1, SECONDS_MOST),
            ("settle_s", self.settle_s, 0.0, SECONDS_MOST),
            ("steady_s", self.steady_s, 0.5, SECONDS_MOST),
            ("away_s", self.away_s, 0.1, SECONDS_MOST),
            ("cold_s", self.cold_s, 0.5, SECONDS_MOST),
        ] {
            // What is no number is outside as well.
            if !(least..=most).contains(&value) {
                return Err(format!("{key} is {value}, {least} to {most} was expected"));
            }
        }
        Ok(())
    }

    /// When the renderer dies, in seconds.
    fn dies_s(&self) -> f64 {
        self.settle_s + self.steady_s
    }

    fn seconds(&self) -> f64 {
        self.dies_s() + self.away_s + self.cold_s
    }

    fn scenario(&self, agents: usize) -> String {
        let most = self.agents[self.agents.len() - 1];
        format!(
            "about = \"agents on a few renderers\"\nseconds = {}\nload = {}\nrate = {}\n\
             [zones]\nnames = [\"a\"]\n\
             [renderers]\ncount = {}\nidle_s = {}\n\
             [[renderers.kind]]\nname = \"one\"\nshare = 1\ncores = 2\nspeed = 1.2\nslots_per_core = 16\n\
             queue_per_core = 30\ncold_from = 0.2\ncold_s = 15\nerror_rate = 0\nconnections_per_core = 700\n\
             [agents]\ncount = {agents}\ntraffic = \"even\"\n\
             [clients]\nretries = 0\ntry_share = 1\n\
             [discovery]\nnotice_s = 0.8\nadd_s = 0.3\n\
             [[fault]]\nkind = \"crash\"\nat_s = {}\nlasts_s = {}\npart = {}\n",
            self.seconds(),
            self.load * agents as f64 / most as f64,
            self.rate * agents as f64,
            self.renderers,
            self.idle_s,
            self.dies_s(),
            self.away_s,
            // Of so few, a part as small as this is one.
            0.1 / self.renderers as f64,
        )
    }
}

/// What the renderers bore at one moment.
type Row = Vec<Borne>;

struct Seen {
    /// Every [`LOOK`] from the end of the settling on.
    rows: Vec<Row>,
    /// Requests that the cold one was sent, and the share of what is allowed, in the worst window.
    cold: (f64, f64),
    fell: bool,
    served: f64,
    late_ms: f64,
    problem: Option<String>,
}

async fn look(world: Arc<World>, from: Duration, rows: Arc<std::sync::Mutex<Vec<Row>>>) {
    let begun = world.clock.instant(0) + from;
    for n in 0.. {
        sleep_until(begun + LOOK * n).await;
        let row = world.machines.iter().map(|machine| machine.borne()).collect();
        crate::lock(&rows).push(row);
    }
}

async fn measure(asked: &Asked, agents: usize, seed: u64, program: &Path) -> Result<Seen, String> {
    let text = asked.scenario(agents);
    let scenario = scenario::read("the agents' renderers", &text, &[]).map_err(|e| e.to_string())?;
    let plan = Arc::new(crate::plan::plan("renderer", &scenario, seed));
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agents: {e}"))?;
    let stage = Stage::set_up(plan.clone(), program, folder.path()).await?;
    let world = stage.world.clone();
    let clients = Clients::new(&world);
    let rows: Arc<std::sync::Mutex<Vec<Row>>> = Arc::default();
    world.clock.begin();
    // What is spawned here ends with the set.
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(Directory::insist(world.clone()));
    tasks.spawn(look(world.clone(), Duration::from_secs_f64(asked.settle_s), rows.clone()));
    tasks.spawn(clients.arrive(world.clone()));
    let faults = Faults::new(world.clone(), stage.agents.clone()).begin();
    let broken = tokio::select! {
        () = sleep_until(world.clock.instant(plan.length_us)) => None,
        why = world.broken_off() => Some(why),
    };
    faults.iter().for_each(tokio::task::JoinHandle::abort);
    let struck = plan.faults.first().and_then(|fault| fault.renderers.first()).copied().unwrap_or(0);
    let cold = world.machines[struck].with(|renderer| renderer.cold_most);
    let fell = world.machines[struck].fallen();
    let late_ms = world.clock.late_ms(0.99);
    let (served, breach) = {
        let ledger = world.ledger();
        let ended: Vec<_> = ledger.outcomes.iter().flatten().collect();
        let served = ended.iter().filter(|outcome| outcome.served_us.is_some()).count();
        (served as f64 / ended.len().max(1) as f64, ledger.breaches.first().map(|breach| breach.what.clone()))
    };
    drop(tasks);
    let used = stage.take_down().await;
    if let Some(why) = broken {
        return Err(format!("{agents} agents: broken off: {why}"));
    }
    let crashed = used.into_iter().find(|used| !used.crashes.is_empty());
    if let Some(used) = crashed {
        return Err(format!("{agents} agents: {} ended unasked: {}", used.name, used.crashes.join(", ")));
    }
    let rows = std::mem::take(&mut *crate::lock(&rows));
    // One that is sent nothing has no window.
    let cold = cold.map_or((0.0, 0.0), |window| (window.requests as f64, window.share()));
    Ok(Seen { rows, cold, fell, served, late_ms, problem: breach })
}

impl Seen {
    /// The rows of the steady time, and those after it.
    fn parts(&self, asked: &Asked) -> (&[Row], &[Row]) {
        let steady = (asked.steady_s / LOOK.as_secs_f64()) as usize;
        self.rows.split_at(steady.min(self.rows.len()))
    }
}

/// Connections open on the mean and at worst, and how many were made and probes answered on a renderer each second.
fn steady(rows: &[Row]) -> Option<[f64; 4]> {
    let (first, last) = (rows.first()?, rows.last()?);
    let seconds = LOOK.as_secs_f64() * (rows.len().checked_sub(1)?) as f64;
    let count = |row: &Row, of: &dyn Fn(&Borne) -> u64| row.iter().map(of).sum::<u64>() as f64;
    let renderers = first.len() as f64;
    let open = |borne: &Borne| u64::from(borne.connections);
    let each = |of: &dyn Fn(&Borne) -> u64| (count(last, of) - count(first, of)) / renderers / seconds;
    let mean = rows.iter().map(|row| count(row, &open)).sum::<f64>() / renderers / rows.len() as f64;
    let worst = rows.iter().flatten().map(open).max()? as f64;
    Some([mean, worst, each(&|borne| borne.handshakes), each(&|borne| borne.probes)])
}

/// The most connections made to one renderer within a second.
fn burst(rows: &[Row]) -> Option<f64> {
    let ends = rows.iter().zip(rows.iter().skip(SECOND.min(rows.len().saturating_sub(1))));
    let made =
        ends.flat_map(|(from, to)| from.iter().zip(to).map(|(from, to)| to.handshakes - from.handshakes));
    made.max().map(|made| made as f64)
}

const FIGURES: [(&str, &str, &str); 7] = [
    ("renderer_connections", "connections open on one renderer, mean", "connections"),
    ("renderer_connections_worst", "connections open on one renderer, worst", "connections"),
    ("renderer_handshakes_per_s", "connections made to one renderer, mean", "a second"),
    ("renderer_probes_per_s", "probes that one renderer answers, mean", "a second"),
    (
        "renderer_handshakes_cold",
        "connections made to one renderer while one is away and cold, worst second",
        "a second",
    ),
    ("renderer_cold_requests", "requests to a cold renderer within the rule's window, worst", "requests"),
    ("renderer_cold_share", "the same as a share of what the settings allow, N + 2 root N + 2", "share"),
];

/// Measures what renderers bear by the agents that call them.
pub async fn run(file: Option<&Path>, program: &Path) -> Result<Scaled, String> {
    let asked: Asked = read(file, BUILT_IN)?;
    let name = file.map_or("built in".into(), |file| file.display().to_string());
    asked.check().map_err(|why| format!("{name}: {why}"))?;
    let figures =
        FIGURES.map(|(name, what, unit)| Figure { name, what, unit, per: "agent", points: Vec::new() });
    let mut scaled = Scaled {
        by: "testbed scale renderer".into(),
        figures: figures.into(),
        load: load(),
        ..Scaled::default()
    };
    let bar = ProgressBar::new((asked.repeats * asked.agents.len()) as u64);
    for repeat in 0..asked.repeats {
        for &agents in &asked.agents {
            let seen = measure(&asked, agents, SEED + repeat as u64, program).await?;
            take(&mut scaled, &asked, agents, &seen);
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    let most = asked.agents[asked.agents.len() - 1];
    scaled.notes.push(format!(
        "real agents alone, {most} at most: what lies beyond is extrapolated. Each sends {} requests a second over {} \
         renderers that close what is idle for {} s; an agent with more requests to a renderer keeps more connections",
        asked.rate, asked.renderers, asked.idle_s
    ));
    Ok(scaled)
}

/// The figures of one play.
fn take(scaled: &mut Scaled, asked: &Asked, agents: usize, seen: &Seen) {
    let (before, after) = seen.parts(asked);
    let mut values = Vec::new();
    values.extend(steady(before).map_or([None; 4], |values| values.map(Some)));
    values.extend([burst(after), Some(seen.cold.0), Some(seen.cold.1)]);
    for (figure, value) in scaled.figures.iter_mut().zip(values) {
        match value {
            Some(value) => figure.points.push(Point { size: agents as f64, value }),
            None => scaled.notes.push(format!("{agents} agents: {} could not be measured", figure.name)),
        }
    }
    let fell = if seen.fell { ", the cold renderer fell over" } else { "" };
    scaled.notes.push(format!(
        "{agents} agents: served {:.1}%, the testbed was late by {:.2} ms at the 99th percentile{fell}",
        100.0 * seen.served,
        seen.late_ms
    ));
    if let Some(what) = &seen.problem {
        scaled.notes.push(format!("{agents} agents: a rule was broken: {what}"));
    }
}
