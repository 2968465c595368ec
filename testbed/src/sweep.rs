//! Many plays of one scenario: a grid of settings, each with the same seeds, several side by side where cores allow.

use crate::compare::Sweep;
use crate::plan;
use crate::result::FIGURES;
use crate::scenario;
use serde_json::Value;
use std::collections::VecDeque;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

/// Plays of one call at most.
const PLAYS_MOST: usize = 10_000;
/// A play in which the testbed itself was late is played so often before the sweep gives up.
const TRIES: u32 = 3;
/// What a play wants of a machine: processor time of the testbed and the agents for each first try (measured at about a
/// millisecond in all, agents included), of which half a core's worth is kept free, and a core for what comes in bunches.
const CORE_S_PER_REQUEST: f64 = 0.002;
const CORES_AT_REST: f64 = 1.0;

/// Values that one key takes in turn.
pub type Axis = (String, Vec<String>);

/// Reads `load=0.5,0.7`: a comma within brackets does not part values.
pub fn axis(text: &str) -> Result<Axis, String> {
    let (key, values) = text.split_once('=').ok_or("KEY=VALUE[,VALUE...] was expected")?;
    let (mut parts, mut depth) = (vec![String::new()], 0i32);
    for c in values.chars() {
        depth += i32::from(c == '[') - i32::from(c == ']');
        match parts.last_mut() {
            Some(last) if c != ',' || depth > 0 => last.push(c),
            _ => parts.push(String::new()),
        }
    }
    if parts.iter().any(String::is_empty) {
        return Err(format!("{values:?} holds an empty value"));
    }
    Ok((key.to_owned(), parts))
}

/// Reads `1..8` (both included), `3`, or `1,4,9`.
pub fn seeds(text: &str) -> Result<Vec<u64>, String> {
    let number = |text: &str| {
        text.trim().parse::<u64>().map_err(|_| format!("{text:?}: seeds such as 1..8 or 1,4,9 were expected"))
    };
    let seeds: Vec<u64> = match text.split_once("..") {
        Some((from, to)) => {
            (number(from)?..=number(to.trim_start_matches('='))?).take(PLAYS_MOST + 1).collect()
        }
        None => text.split(',').map(number).collect::<Result<_, _>>()?,
    };
    match seeds.len() {
        0 => Err(format!("{text:?} holds no seed")),
        n if n > PLAYS_MOST => Err(format!("{text:?}: at most {PLAYS_MOST} seeds were expected")),
        _ => Ok(seeds),
    }
}

/// Every combination of the axes' values.
pub fn grid(axes: &[Axis]) -> Vec<Vec<(String, String)>> {
    axes.iter().fold(vec![Vec::new()], |points, (key, values)| {
        let with = |point: &Vec<(String, String)>, value: &String| {
            let mut point = point.clone();
            point.push((key.clone(), value.clone()));
            point
        };
        points.iter().flat_map(|point| values.iter().map(move |value| with(point, value))).collect()
    })
}

/// A point's name: what is set, or `as-is`.
pub fn name(point: &[(String, String)]) -> String {
    let parts: Vec<String> = point.iter().map(|(key, value)| format!("{key}={value}")).collect();
    if parts.is_empty() {
        "as-is".into()
    } else {
        parts.join(" ").replace(['/', '\0'], "_")
    }
}

/// A sweep as it is asked for.
pub struct Asked<'a> {
    /// The testbed's program.
    pub testbed: &'a Path,
    /// The scenario.
    pub scenario: &'a str,
    /// What is varied.
    pub axes: &'a [Axis],
    /// The seeds of each point.
    pub seeds: &'a [u64],
    /// The agents' programs: each play is played with each of them in turn.
    pub agents: &'a [PathBuf],
    /// Where the results go; with several agents, into a folder for each, `agent-1` and so on.
    pub out: &'a Path,
    /// Plays side by side; as many as cores allow if absent.
    pub jobs: Option<usize>,
}

struct Job {
    agent: PathBuf,
    point: Vec<(String, String)>,
    seed: u64,
    folder: PathBuf,
}

impl Asked<'_> {
    /// Plays them all and writes `sweep.json`. `tell` hears of each play that has ended. An error names the first play
    /// that could not be judged; what has been played stays.
    pub fn run(&self, tell: impl Fn(usize, usize) + Sync) -> Result<Vec<Sweep>, String> {
        let points = grid(self.axes);
        if points.len() * self.seeds.len() > PLAYS_MOST {
            return Err(format!(
                "{} points and {} seeds: at most {PLAYS_MOST} plays were expected",
                points.len(),
                self.seeds.len()
            ));
        }
        let mut cores = CORES_AT_REST;
        for point in &points {
            let (file, scenario) = scenario::find(self.scenario, point).map_err(|e| e.to_string())?;
            let plan = plan::plan(&file, &scenario, self.seeds[0]);
            cores = cores.max(CORES_AT_REST + plan.rate * CORE_S_PER_REQUEST);
        }
        let has = std::thread::available_parallelism().map_or(1, usize::from);
        let side_by_side = self.jobs.unwrap_or((has as f64 / cores) as usize).max(1);
        let mut jobs = VecDeque::new();
        // Seed by seed and agent by agent, so that a machine whose speed drifts does so under all alike; and every second
        // time the other way round, as one that is always the later of two costs 2% more CPU (measured).
        for (turn, seed) in self.seeds.iter().enumerate() {
            for point in &points {
                let mut agents: Vec<_> = self.agents.iter().enumerate().collect();
                if turn % 2 == 1 {
                    agents.reverse();
                }
                for (place, agent) in agents {
                    let folder = self.folder(place).join(name(point)).join(format!("seed-{seed}"));
                    jobs.push_back(Job { agent: agent.clone(), point: point.clone(), seed: *seed, folder });
                }
            }
        }
        let total = jobs.len();
        let (jobs, trouble, ended) = (Mutex::new(jobs), Mutex::new(None), Mutex::new(0));
        let said = |slot: &Mutex<Option<String>>| crate::lock(slot).clone();
        std::thread::scope(|scope| {
            for _ in 0..side_by_side {
                scope.spawn(|| loop {
                    let job = crate::lock(&jobs).pop_front();
                    let Some(job) = job.filter(|_| said(&trouble).is_none()) else { return };
                    if let Err(why) = self.play(&job) {
                        crate::lock(&trouble).get_or_insert(why);
                        return;
                    }
                    let mut ended = crate::lock(&ended);
                    *ended += 1;
                    tell(*ended, total);
                });
            }
        });
        if let Some(why) = said(&trouble) {
            return Err(why);
        }
        let sweeps = (0..self.agents.len()).map(|place| {
            let folder = self.folder(place);
            let sweep = Sweep::read(&folder)?;
            let text = serde_json::to_string_pretty(&sweep).map_err(|e| e.to_string())?;
            let file = folder.join("sweep.json");
            std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok(sweep)
        });
        sweeps.collect()
    }

    fn folder(&self, agent: usize) -> PathBuf {
        match self.agents.len() {
            1 => self.out.to_owned(),
            _ => self.out.join(format!("agent-{}", agent + 1)),
        }
    }

    fn play(&self, job: &Job) -> Result<(), String> {
        let mut tries = 0;
        loop {
            tries += 1;
            let mut run = Command::new(self.testbed);
            run.arg("run").arg(self.scenario).arg("--quiet").arg("--seed").arg(job.seed.to_string());
            run.arg("--agent").arg(&job.agent).arg("--out").arg(&job.folder);
            for (key, value) in &job.point {
                run.arg("--set").arg(format!("{key}={value}"));
            }
            run.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
            let output = run.output().map_err(|e| format!("{}: {e}", self.testbed.display()))?;
            match output.status.code() {
                // What was not expected is a result too.
                Some(0 | 1) => return Ok(()),
                // The testbed was late: its result is none, and it is played again.
                Some(3) if tries < TRIES => {}
                _ => {
                    let said = String::from_utf8_lossy(&output.stderr);
                    let why = said.lines().last().unwrap_or("it ended without a word");
                    return Err(format!("{}, seed {}: {why}", name(&job.point), job.seed));
                }
            }
        }
    }
}

/// The sweep as a table: each figure's median over the seeds, and its least and most.
pub fn table(sweep: &Sweep) -> String {
    let mut text = String::new();
    for (point, plays) in &sweep.points {
        let broken: u64 = plays.values().map(rules_broken).sum();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{point}: {} plays, rules broken {broken} times", plays.len());
        for figure in FIGURES {
            let mut values: Vec<f64> = plays.values().filter_map(|play| play[*figure].as_f64()).collect();
            if values.is_empty() {
                continue;
            }
            values.sort_by(f64::total_cmp);
            let median = crate::compare::median(&values);
            let _ = writeln!(
                text,
                "  {figure:<26} {median:>12.4}   {:.4} to {:.4}",
                values[0],
                values[values.len() - 1]
            );
        }
    }
    text
}

/// How often a play's rules were broken, crashes included.
pub fn rules_broken(play: &Value) -> u64 {
    let rules = play["rules"].as_object();
    let broken: u64 = rules.into_iter().flat_map(|rules| rules.values()).filter_map(Value::as_u64).sum();
    broken + play["crashes"].as_u64().unwrap_or(0)
}

#[cfg(test)]
mod tests;
