//! The testbed's command. Exit codes: 0 all held, 1 something that was expected did not, 2 bad input, 3 the testbed
//! itself ran late, 130 broken off.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use testbed::exit::{BAD_INPUT, BROKEN_OFF, FELL_SHORT, HELD, LATE};
use testbed::folder::PlayFolder;
use testbed::play::{self, End, Stage, Tick};
use testbed::result::Played;
use testbed::scenario::{self, Scenario};
use testbed::scenario_args::ScenarioArgs;
use testbed::{saturate, scale, size_check, soak, sweep, table};

/// Plays real agents between stand-ins for renderers, discovery, clients and the network, and judges them.
#[derive(Parser)]
#[command(name = "testbed", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and writes plan.json, result.json and report.html
    Run(Run),
    /// Sets a scenario's world up and holds it open, with a request line to try
    Up(Up),
    /// Says what is wrong with a scenario, or what it would play
    Check(Check),
    /// Lists the scenarios that come with the testbed
    List,
    /// Plays a scenario over a grid of settings and seeds
    Sweep(SweepArgs),
    /// Pairs the plays of two sweeps by point and seed, and says how they differ
    Compare(Compare),
    /// Holds what an agent needs beside many times the renderers against what the operators allow
    SizeCheck(size_check::Args),
    /// Plays a scenario with one seed after another, and names those with which something did not hold
    Soak(soak::Args),
    /// Finds what an agent on one core bears and costs, beside a bare relay
    Saturate(Saturate),
    /// Works out the tables of docs/CAPACITY.md, or holds the page against them
    Capacity(testbed::capacity::Args),
    /// Measures what something costs at several sizes, and fits a slope
    #[command(subcommand)]
    Scale(Scale),
    /// The bare relay
    #[command(hide = true)]
    Relay,
    /// Hollow agents, for the scale tests
    #[command(hide = true)]
    Hollow(scale::hollow::Args),
}

#[derive(Args)]
struct Run {
    #[command(flatten)]
    which: ScenarioArgs,
    /// The agent's program; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Where the results go
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Says nothing but what went wrong
    #[arg(long)]
    quiet: bool,
}

#[derive(Args)]
struct Up {
    #[command(flatten)]
    which: ScenarioArgs,
    /// The agent's program; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Ends by itself after so many seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 3600)]
    seconds: u64,
}

#[derive(Args)]
struct Check {
    #[command(flatten)]
    which: ScenarioArgs,
    /// Prints the plan as JSON
    #[arg(long)]
    plan: bool,
}

#[derive(Args)]
struct SweepArgs {
    /// A scenario of `testbed list`, or a file
    scenario: String,
    /// The seeds of each point, as in 1..8 or 1,4,9
    #[arg(long, default_value = "1..8")]
    seeds: String,
    /// Values for a key, as in `load=0.5,0.7`; several make a grid
    #[arg(long = "set", value_name = "KEY=VALUE,...")]
    sets: Vec<String>,
    /// An agent's program, named more than once to play builds in turn; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Vec<PathBuf>,
    /// Where the results go
    #[arg(long, value_name = "FOLDER")]
    out: PathBuf,
    /// Plays side by side; as many as the cores allow if absent
    #[arg(long)]
    jobs: Option<usize>,
}

#[derive(Args)]
struct Compare {
    /// The folder of a sweep, or of one play
    base: PathBuf,
    /// The folder that is held against it
    new: PathBuf,
}

#[derive(Args)]
struct Saturate {
    /// An agent's program, named more than once to compare builds; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Vec<PathBuf>,
    /// Writes the figures as JSON too
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// What is measured by size.
#[derive(Subcommand)]
enum Scale {
    /// An agent by the servers that it knows
    List(ScaleArgs),
    /// A renderer by the agents that call it
    Renderer(ScaleArgs),
    /// A call by the agents that it goes through
    Depth(ScaleArgs),
    /// Discovery by the agents that watch it
    Watchers(ScaleArgs),
    /// `balancerctl` by the agents that it asks
    Staff(ScaleArgs),
}

#[derive(Args)]
struct ScaleArgs {
    /// A TOML file with sizes and repeats; the testbed's own if absent
    file: Option<PathBuf>,
    /// The agent's program; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Writes the slopes in the words that `testbed capacity` reads
    #[arg(long, value_name = "FILE")]
    slopes: Option<PathBuf>,
}

/// Writes to standard output; whoever reads it may have heard enough and left, which is no reason to panic.
fn say(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::Run(args) => on_runtime(run(args)),
        Command::Up(args) => on_runtime(up(args)),
        Command::Check(args) => check(&args),
        Command::List => {
            list();
            Ok(HELD)
        }
        Command::Sweep(args) => sweep(&args),
        Command::Compare(args) => compare(&args),
        Command::SizeCheck(args) => on_runtime(size_check::run(args, stopped)),
        Command::Soak(args) => args.run(say),
        Command::Saturate(args) => saturate(&args),
        Command::Capacity(args) => testbed::capacity::run(&args),
        Command::Scale(which) => on_runtime(scale(which)),
        Command::Relay => on_thread(saturate::relay()),
        Command::Hollow(args) => on_thread(scale::hollow::run(args)),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("testbed: {why}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// On this thread alone, as an agent runs.
fn on_thread(work: impl std::future::Future<Output = Result<(), String>>) -> Result<u8, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the runtime: {e}"))?;
    runtime.block_on(work).map(|()| HELD)
}

fn on_runtime(work: impl std::future::Future<Output = Result<u8, String>>) -> Result<u8, String> {
    // A play holds a listener for each pair of agent and renderer: as many descriptors as this process may have.
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let raised = rustix::process::Rlimit { current: limit.maximum, maximum: limit.maximum };
    // Where it may not have more, a listener that finds none says so.
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, raised);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|e| format!("cannot start the runtime: {e}"))?.block_on(work)
}

fn list() {
    for (name, text) in scenario::BUILT_IN {
        let about = scenario::read(name, text, &[]).map_or_else(|e| e.to_string(), |s| s.about);
        say(&format!("{name:<14} {about}\n"));
    }
}

fn check(args: &Check) -> Result<u8, String> {
    let (_, plan) = args.which.planned()?;
    if args.plan {
        say(&(serde_json::to_string(&plan).map_err(|e| e.to_string())? + "\n"));
    } else {
        say(&table::plan(&plan));
    }
    Ok(HELD)
}

/// Ctrl-C, or a word to end.
async fn told_to_end() -> String {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = int.recv() => "Ctrl-C".into(),
        _ = term.recv() => "SIGTERM".into(),
    }
}

/// A panic anywhere in the testbed breaks the play off instead of leaving it without one of its parts.
async fn panicked() -> String {
    use std::sync::OnceLock;
    static PANICKED: OnceLock<tokio::sync::watch::Sender<bool>> = OnceLock::new();
    let panicked = PANICKED.get_or_init(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            before(info);
            if let Some(panicked) = PANICKED.get() {
                panicked.send_replace(true);
            }
        }));
        tokio::sync::watch::Sender::new(false)
    });
    // The sender is never dropped.
    let _ = panicked.subscribe().wait_for(|panicked| *panicked).await;
    "a panic in the testbed".into()
}

/// What no input brings about is brought about by the tests of a debug build: a panic in one of the testbed's tasks.
#[cfg(debug_assertions)]
fn panic_if_asked() {
    let after = std::env::var("LAB_PANIC_AFTER_MS").ok().and_then(|ms| ms.parse().ok());
    if let Some(ms) = after {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            panic!("asked for by LAB_PANIC_AFTER_MS");
        });
    }
}

async fn stopped() -> String {
    tokio::select! {
        why = told_to_end() => why,
        why = panicked() => why,
    }
}

async fn run(args: Run) -> Result<u8, String> {
    let (scenario, plan) = args.which.planned()?;
    let plan = Arc::new(plan);
    let program = play::program(args.agent.as_deref())?;
    let default = || PathBuf::from("target/testbed").join(format!("{}-{}", plan.scenario, plan.seed));
    let out = args.out.unwrap_or_else(default);
    let folder = PlayFolder::create(&out, &plan)?;
    if !args.quiet {
        say(&table::plan(&plan));
    }
    let bar = if args.quiet { ProgressBar::hidden() } else { ProgressBar::new(plan.length_us / 1000) };
    let style = "{bar:30} {msg}";
    bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
    let total = plan.length_us as f64 / 1e6;
    let tell = |tick: Tick| {
        let Tick::Progress { at_s, ended, served, rules } = tick;
        bar.set_position((at_s * 1000.0) as u64);
        let rules = if rules.kept() { "rules kept" } else { "RULES BROKEN" };
        bar.set_message(format!(
            "{:.0} of {total:.0} s, {ended} ended, {served} served, {rules}",
            at_s.min(total)
        ));
    };
    #[cfg(debug_assertions)]
    panic_if_asked();
    let end = play::play(plan.clone(), &program, &folder.logs(), stopped(), tell).await;
    bar.finish_and_clear();
    let end = end?;
    folder.write_end(&plan, &end)?;
    let End { played, breaches, broken_off } = end;
    if !args.quiet {
        say(&table::played(&played));
        say(&format!("report: {}\n", folder.report().display()));
    }
    for breach in &breaches {
        eprintln!("testbed: rule broken at {:.3} s: {}", breach.at_us as f64 / 1e6, breach.what);
    }
    verdict(&scenario, &played, broken_off)
}

fn verdict(scenario: &Scenario, played: &Played, broken_off: Option<String>) -> Result<u8, String> {
    if let Some(why) = broken_off {
        eprintln!("testbed: broken off after {:.1} s: {why}", played.played_s);
        return Ok(BROKEN_OFF);
    }
    if played.late_p99_ms > scenario.late_p99_most_ms {
        eprintln!(
            "testbed: no verdict: the testbed itself ran late, {:.1} ms at the 99th percentile, over {} ms",
            played.late_p99_ms, scenario.late_p99_most_ms
        );
        return Ok(LATE);
    }
    let short = played.falls_short(&scenario.expect);
    for line in &short {
        eprintln!("testbed: {line}");
    }
    Ok(if short.is_empty() { HELD } else { FELL_SHORT })
}

async fn up(args: Up) -> Result<u8, String> {
    let (_, plan) = args.which.planned()?;
    let plan = Arc::new(plan);
    let program = play::program(args.agent.as_deref())?;
    let folder = tempfile::tempdir().map_err(|e| format!("no folder for the agents: {e}"))?;
    let stage = Stage::set_up(plan.clone(), &program, folder.path()).await?;
    stage.world.clock.begin();
    say(&table::addresses(&stage));
    say("Ctrl-C ends it.\n");
    tokio::select! {
        _ = stopped() => {}
        why = stage.world.broken_off() => eprintln!("testbed: {why}"),
        () = tokio::time::sleep(Duration::from_secs(args.seconds)) => {}
    }
    stage.take_down().await;
    Ok(HELD)
}

fn sweep(args: &SweepArgs) -> Result<u8, String> {
    let axes = args.sets.iter().map(|set| sweep::axis(set).map_err(|why| format!("--set {set}: {why}")));
    let axes = axes.collect::<Result<Vec<_>, _>>()?;
    let seeds = sweep::seeds(&args.seeds).map_err(|why| format!("--seeds {why}"))?;
    let testbed =
        std::env::current_exe().map_err(|e| format!("the testbed does not find its own program: {e}"))?;
    let agents = programs(&args.agent)?;
    let asked = sweep::Asked {
        testbed: &testbed,
        scenario: &args.scenario,
        axes: &axes,
        seeds: &seeds,
        agents: &agents,
        out: &args.out,
        jobs: args.jobs,
    };
    let bar = ProgressBar::new(1);
    let swept = asked.run(|ended, total| {
        bar.set_length(total as u64);
        bar.set_position(ended as u64);
    });
    bar.finish_and_clear();
    let swept = swept?;
    for (agent, sweep) in agents.iter().zip(&swept) {
        say(&format!("{}\n", agent.display()));
        say(&sweep::table(sweep));
    }
    for (agent, sweep) in agents.iter().zip(&swept).skip(1) {
        say(&format!("{} against {}\n", agent.display(), agents[0].display()));
        say(&testbed::compare::compare(&swept[0], sweep)?);
    }
    Ok(HELD)
}

/// The programs that are named, or the agent beside the testbed.
fn programs(named: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    match named.is_empty() {
        true => Ok(vec![play::program(None)?]),
        false => named.iter().map(|agent| play::program(Some(agent))).collect(),
    }
}

/// Prints what a scale test came to, and writes its slopes where that is asked for.
async fn scale(which: Scale) -> Result<u8, String> {
    let (Scale::List(args)
    | Scale::Renderer(args)
    | Scale::Depth(args)
    | Scale::Watchers(args)
    | Scale::Staff(args)) = &which;
    let (file, agent) = (args.file.as_deref(), play::program(args.agent.as_deref())?);
    let scaled = match which {
        Scale::List(_) => scale::list::run(file, &agent).await?,
        Scale::Renderer(_) => scale::renderer::run(file, &agent).await?,
        Scale::Depth(_) => scale::depth::run(file, &agent).await?,
        Scale::Watchers(_) => scale::watchers::run(file, &agent).await?,
        Scale::Staff(_) => scale::staff::run(file, &agent).await?,
    };
    say(&scaled.table());
    if let Some(file) = &args.slopes {
        std::fs::write(file, scaled.slopes()).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(HELD)
}

fn compare(args: &Compare) -> Result<u8, String> {
    use testbed::compare::{compare, Sweep};
    say(&compare(&Sweep::read(&args.base)?, &Sweep::read(&args.new)?)?);
    Ok(HELD)
}

fn saturate(args: &Saturate) -> Result<u8, String> {
    let agents = programs(&args.agent)?;
    let testbed =
        std::env::current_exe().map_err(|e| format!("the testbed does not find its own program: {e}"))?;
    let core = saturate::cores()?;
    on_runtime(async {
        let bar = ProgressBar::new_spinner();
        let tell = |text: &str| {
            bar.set_message(text.to_owned());
            bar.tick();
        };
        let mut costs = vec![saturate::measure("a bare relay", &testbed, &["relay"], core, tell).await?];
        for agent in &agents {
            costs.push(saturate::measure(&agent.display().to_string(), agent, &[], core, tell).await?);
        }
        bar.finish_and_clear();
        say(&saturate::table(&costs));
        if let Some(file) = &args.json {
            let text = serde_json::to_string_pretty(&costs).map_err(|e| e.to_string())?;
            std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        Ok(HELD)
    })
}
