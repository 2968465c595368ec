//! What an agent needs at the usual size of a fleet and at many times its renderers, held against what the operators
//! allow in their letter "Beyond the bench: fleets of other sizes" (issue 29).
//!
//! Both plays have the same agents, limits, arrivals and capacity in all: beside `factor` times the renderers each of
//! them has a `factor`th of the speed.

use crate::exit;
use crate::folder::{write_json, PlayFolder};
use crate::plan::{self, Plan};
use crate::play::{self, End};
use crate::result::Played;
use crate::scenario::{Expect, Scenario};
use crate::scenario_args::ScenarioArgs;
use serde::Serialize;
use std::fmt::Write;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What the command takes.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    which: ScenarioArgs,
    /// So many times the renderers
    #[arg(long, default_value_t = FACTOR, value_parser = clap::value_parser!(u32).range(2..=i64::from(FACTOR_MOST)))]
    factor: u32,
    /// The agent's program; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Where the results go
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

/// The operators' own factor.
const FACTOR: u32 = 16;
const FACTOR_MOST: u32 = 64;
/// Bytes of a KB of lists; the operators' figures are read as the smaller of the two usual units.
const KB: f64 = 1000.0;

/// What an agent may need of something: a multiple of its need at the usual size, and some more.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Allowance {
    times: f64,
    plus: f64,
    plus_per_thousand_renderers: f64,
}

// The operators' figures, from the table of issue 29.
const CPU_S: Allowance = Allowance { times: 1.4, plus: 0.02, plus_per_thousand_renderers: 0.03 };
const PEAK_MEMORY_MB: Allowance = Allowance { times: 1.5, plus: 8.0, plus_per_thousand_renderers: 4.0 };
const DESCRIPTORS: Allowance = Allowance { times: 2.0, plus: 40.0, plus_per_thousand_renderers: 0.0 };
const CONNECTIONS: Allowance = Allowance { times: 2.5, plus: 40.0, plus_per_thousand_renderers: 0.0 };
const LIST_KB: Allowance = Allowance { times: 2.0, plus: 64.0, plus_per_thousand_renderers: 500.0 };
/// The least share served, as a part of that at the usual size.
const SERVED_LEAST: f64 = 0.85;

/// Something that the table has a line for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Processor time of an agent, its start included.
    CpuSeconds,
    /// The most memory that an agent held.
    PeakMemoryMb,
    /// The most descriptors that an agent held.
    Descriptors,
    /// Connections that an agent made to renderers, for requests and probes.
    Connections,
    /// What an agent read of lists from discovery.
    ListKb,
    /// The share of the requests that were served within their deadline.
    ServedShare,
}

impl Measure {
    const ALL: [Measure; 6] = [
        Measure::CpuSeconds,
        Measure::PeakMemoryMb,
        Measure::Descriptors,
        Measure::Connections,
        Measure::ListKb,
        Measure::ServedShare,
    ];

    fn name(self) -> &'static str {
        match self {
            Measure::CpuSeconds => "CPU seconds",
            Measure::PeakMemoryMb => "peak memory, MB",
            Measure::Descriptors => "descriptors",
            Measure::Connections => "connections to renderers",
            Measure::ListKb => "lists from discovery, KB",
            Measure::ServedShare => "share served (at least)",
        }
    }

    /// Its value in a play, in the mean for each agent.
    fn of(self, played: &Played) -> f64 {
        let agents = played.agents.len().max(1) as f64;
        match self {
            Measure::CpuSeconds => played.agents.iter().map(|a| a.cpu_s).sum::<f64>() / agents,
            Measure::PeakMemoryMb => played.agents.iter().map(|a| a.peak_memory_mb).sum::<f64>() / agents,
            Measure::Descriptors => played.agents.iter().map(|a| a.descriptors as f64).sum::<f64>() / agents,
            Measure::Connections => played.renderer_connections as f64 / agents,
            Measure::ListKb => played.list_bytes as f64 / KB / agents,
            Measure::ServedShare => played.in_time + played.late,
        }
    }

    fn allowance(self) -> Option<Allowance> {
        match self {
            Measure::CpuSeconds => Some(CPU_S),
            Measure::PeakMemoryMb => Some(PEAK_MEMORY_MB),
            Measure::Descriptors => Some(DESCRIPTORS),
            Measure::Connections => Some(CONNECTIONS),
            Measure::ListKb => Some(LIST_KB),
            Measure::ServedShare => None,
        }
    }
}

/// The bound on a measure beside so many renderers, where it is `usual` at the usual size: the most that is allowed, or
/// the least for the share served.
pub fn allowed(measure: Measure, usual: f64, renderers: usize) -> f64 {
    match measure.allowance() {
        Some(a) => a.times * usual + a.plus + a.plus_per_thousand_renderers * renderers as f64 / 1000.0,
        None => SERVED_LEAST * usual,
    }
}

/// A line of the table.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// What was measured.
    pub measure: Measure,
    /// At the usual size.
    pub usual: f64,
    /// Beside many times the renderers.
    pub enlarged: f64,
    /// What that may be.
    pub allowed: f64,
    /// Whether it is.
    pub held: bool,
}

impl Line {
    fn new(measure: Measure, usual: f64, enlarged: f64, renderers: usize) -> Self {
        let allowed = allowed(measure, usual, renderers);
        let held = match measure {
            Measure::ServedShare => enlarged >= allowed,
            _ => enlarged <= allowed,
        };
        Line { measure, usual, enlarged, allowed, held }
    }
}

/// All lines of the table.
pub fn lines(usual: &Played, enlarged: &Played, renderers: usize) -> Vec<Line> {
    let line = |measure: Measure| Line::new(measure, measure.of(usual), measure.of(enlarged), renderers);
    Measure::ALL.into_iter().map(line).collect()
}

/// The table as it is printed. A check that the testbed was too late for has no verdicts.
pub fn table(lines: &[Line], factor: u32, judged: bool) -> String {
    let enlarged = format!("{factor} times");
    let mut text = format!(
        "{:<26} {:>12} {enlarged:>12} {:>12}  verdict\n",
        "mean of an agent", "usual size", "allowed"
    );
    for line in lines {
        let verdict = match (judged, line.held) {
            (false, _) => "none",
            (true, true) => "held",
            (true, false) => "OVER",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<26} {:>12.3} {:>12.3} {:>12.3}  {verdict}",
            line.measure.name(),
            line.usual,
            line.enlarged,
            line.allowed
        );
    }
    text
}

/// The scenario with `factor` times the renderers, of the same capacity together and with the same first tries.
fn enlarged(name: &str, scenario: &Scenario, usual: &Plan, factor: u32) -> Result<Scenario, String> {
    let mut enlarged = scenario.clone();
    enlarged.renderers.count *= factor as usize;
    enlarged.rate = Some(usual.rate);
    slow_down(&mut enlarged, f64::from(factor));
    // Which speeds are drawn depends on how many there are: what they come to together is made the same.
    let drawn = plan::plan(name, &enlarged, usual.seed).capacity;
    slow_down(&mut enlarged, drawn / usual.capacity);
    enlarged.check().map_err(|why| format!("{name} with {factor} times the renderers: {why}"))?;
    Ok(enlarged)
}

fn slow_down(scenario: &mut Scenario, times: f64) {
    for kind in &mut scenario.renderers.kinds {
        kind.speed.low /= times;
        kind.speed.high /= times;
    }
}

/// Plays both sizes, prints the table and returns the exit code. `stopped` ends a play early and says why.
pub async fn run<F>(args: Args, stopped: impl Fn() -> F) -> Result<u8, String>
where
    F: Future<Output = String>,
{
    let (scenario, usual) = args.which.planned()?;
    let enlarged = enlarged(&usual.scenario, &scenario, &usual, args.factor)?;
    let enlarged = plan::plan(&usual.scenario, &enlarged, usual.seed);
    let program = play::program(args.agent.as_deref())?;
    let default = || PathBuf::from("target/testbed").join(format!("{}-{}-size", usual.scenario, usual.seed));
    let out = args.out.unwrap_or_else(default);
    let renderers = enlarged.renderers.len();
    let title = title(&usual, renderers, args.factor);

    let mut ends = Vec::new();
    for (name, plan) in [("usual", usual), ("enlarged", enlarged)] {
        let end = play_into(&out.join(name), plan, &program, stopped()).await?;
        if let Some(why) = &end.broken_off {
            eprintln!(
                "testbed: broken off after {:.1} s of the play at {name} size: {why}",
                end.played.played_s
            );
            return Ok(exit::BROKEN_OFF);
        }
        ends.push((name, end.played));
    }
    let lines = lines(&ends[0].1, &ends[1].1, renderers);
    write_json(&out.join("size-check.json"), &lines)?;
    let late = too_late(&ends, scenario.late_p99_most_ms);
    say(&format!("{title}\n{}", table(&lines, args.factor, late.is_empty())));
    if !late.is_empty() {
        late.iter().for_each(|line| eprintln!("testbed: no verdict: {line}"));
        return Ok(exit::LATE);
    }
    let short = falls_short(&lines, &ends, scenario.expect.rules);
    short.iter().for_each(|line| eprintln!("testbed: {line}"));
    Ok(if short.is_empty() { exit::HELD } else { exit::FELL_SHORT })
}

async fn play_into(
    path: &Path,
    plan: Plan,
    program: &Path,
    stop: impl Future<Output = String>,
) -> Result<End, String> {
    let plan = Arc::new(plan);
    let folder = PlayFolder::create(path, &plan)?;
    let end = play::play(plan.clone(), program, &folder.logs(), stop, |_| {}).await?;
    folder.write_end(&plan, &end)?;
    Ok(end)
}

fn title(usual: &Plan, renderers: usize, factor: u32) -> String {
    format!(
        "{}, seed {}: {} agents, {:.0} first tries a second for {:.0} s; {} renderers, and {renderers} of 1/{factor} of \
         the speed",
        usual.scenario,
        usual.seed,
        usual.agents.len(),
        usual.rate,
        usual.length_us as f64 / 1e6,
        usual.renderers.len(),
    )
}

/// The plays in which the testbed itself ran late, a line each.
fn too_late(ends: &[(&str, Played)], late_p99_most_ms: f64) -> Vec<String> {
    let late = ends.iter().filter(|(_, played)| played.late_p99_ms > late_p99_most_ms);
    late.map(|(name, played)| {
        let ms = played.late_p99_ms;
        format!("at {name} size the testbed itself ran late, {ms:.1} ms at the 99th percentile, over {late_p99_most_ms} ms")
    })
    .collect()
}

/// What is over its bound, and the rules that were broken, a line each.
fn falls_short(lines: &[Line], ends: &[(&str, Played)], rules: bool) -> Vec<String> {
    let over = lines.iter().filter(|line| !line.held).map(|line| {
        format!("{}: {:.3}, where {:.3} is allowed", line.measure.name(), line.enlarged, line.allowed)
    });
    // The scenario's other expectations are those of its usual size.
    let expect = Expect { rules, ..Expect::default() };
    let broken = ends.iter().flat_map(|(name, played)| {
        played.falls_short(&expect).into_iter().map(move |line| format!("at {name} size, {line}"))
    });
    over.chain(broken).collect()
}

/// Writes to standard output; whoever reads it may have left, which is no reason to panic.
fn say(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}

#[cfg(test)]
mod tests;
