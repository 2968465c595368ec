//! The command line, and what each command does.

use crate::agents::{self, Agent};
use crate::say::{self, Answers, Status};
use crate::{print, ALL_YES, SOME_NO, WRONG_USE};
use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use serde::Serialize;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Asks load-balancing agents at their second addresses, all side by side, and prints what they say.
///
/// Exit: 0 all said yes; 1 some said no; 2 wrong use; 3 some did not answer, or not in a way that makes sense. Who, and
/// why, is on standard error.
#[derive(Parser)]
#[command(name = "balancerctl", version, max_term_width = 110)]
struct Cli {
    #[command(flatten)]
    whom: Whom,
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Whom {
    /// Second address of an agent; can be given several times
    #[arg(long = "agent", value_name = "ADDRESS", global = true)]
    agent: Vec<SocketAddr>,
    /// File with agents: `ADDRESS` or `NAME ADDRESS` a line, or TOML with `NAME = "ADDRESS"` under [agents]
    #[arg(long, value_name = "FILE", global = true, env = "BELLCTL_AGENTS")]
    agents: Option<PathBuf>,
    /// How long each agent has for its whole answer, in milliseconds
    #[arg(long, value_name = "MS", global = true, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    timeout: u64,
    /// Print JSON instead of a table
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Health, counts and zones: a row for each agent, and what they add up to
    Status {
        /// Show it again every so many seconds, until interrupted
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2",
              value_parser = clap::value_parser!(u64).range(1..=3600))]
        watch: Option<u64>,
        /// With --watch, end after so many times
        #[arg(long, value_name = "N", requires = "watch", value_parser = clap::value_parser!(u64).range(1..))]
        times: Option<u64>,
    },
    /// Whether each takes clients
    Health,
    /// Counts by class
    Counters,
    /// Each renderer, as all agents together see it
    Renderers,
    /// Each zone, as all agents together see it
    Zones,
    /// Take a renderer out of use at all agents
    Cordon {
        /// Its name on the server list
        renderer: String,
    },
    /// Bring a renderer back into use at all agents
    Uncordon {
        /// Its name on the server list
        renderer: String,
    },
    /// Leave a zone at all agents, or return to it
    Zone {
        /// What to do
        #[arg(value_parser = ["leave", "return"])]
        word: String,
        /// Its name on the server list
        zone: String,
    },
    /// Print completions for a shell
    Completions {
        /// Which shell
        shell: Shell,
    },
}

impl Whom {
    fn agents(&self) -> Result<Vec<Agent>, String> {
        match (&self.agents, self.agent.is_empty()) {
            // What is said on the command line wins over the variable; both said there is a mistake.
            (Some(_), false) if std::env::var_os("BELLCTL_AGENTS").is_none() => {
                Err("--agent and --agents are both given; one of them was expected".into())
            }
            (_, false) => Ok(self.agent.iter().copied().map(Agent::at).collect()),
            (Some(file), true) => agents::read(file),
            (None, true) => Err("no agent is named; --agent ADDRESS or --agents FILE was expected".into()),
        }
    }
}

/// Runs the command; the exit code. What is said goes to `out`, who did not say yes to `err`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> u8 {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(other) => {
            let text = other.render().to_string();
            // Nobody may read it; the code tells all the same.
            let _ = if other.use_stderr() {
                err.write_all(text.as_bytes())
            } else {
                out.write_all(text.as_bytes())
            };
            return other.exit_code() as u8;
        }
    };
    match command(&cli, out, err).await {
        Ok(code) => code,
        Err(why) => {
            let _ = writeln!(err, "balancerctl: {why}");
            WRONG_USE
        }
    }
}

async fn command(cli: &Cli, out: &mut impl Write, err: &mut impl Write) -> Result<u8, String> {
    if let Command::Completions { shell } = cli.command {
        let mut text = Vec::new();
        clap_complete::generate(shell, &mut Cli::command(), "balancerctl", &mut text);
        return written(out, &text).map(|()| ALL_YES);
    }
    let agents = cli.whom.agents()?;
    let limit = Duration::from_millis(cli.whom.timeout);
    match &cli.command {
        Command::Status { watch, times } => watched(cli, &agents, limit, *watch, *times, out, err).await,
        Command::Health => {
            let answers = say::done(&agents, limit, "health").await;
            let page = format!("{} of {} agents take clients\n", answers.good().count(), agents.len());
            show(cli, &answers, page, None, out, err)
        }
        Command::Counters => {
            let answers = say::counters(&agents, limit).await;
            let sum = json!(say::sum(answers.good().map(|(_, counters)| counters)));
            show(cli, &answers, print::counters(&answers), Some(sum), out, err)
        }
        Command::Renderers => {
            let answers = say::renderers(&agents, limit).await;
            show(cli, &answers, print::renderers(&answers), None, out, err)
        }
        Command::Zones => {
            let answers = say::zones(&agents, limit).await;
            show(cli, &answers, print::zones(&answers), None, out, err)
        }
        Command::Cordon { renderer } => say_to_all(cli, &agents, limit, "cordon", renderer, out).await,
        Command::Uncordon { renderer } => say_to_all(cli, &agents, limit, "uncordon", renderer, out).await,
        Command::Zone { word, zone } => {
            say_to_all(cli, &agents, limit, &format!("zone {word}"), zone, out).await
        }
        Command::Completions { .. } => Ok(ALL_YES),
    }
}

async fn say_to_all(
    cli: &Cli,
    agents: &[Agent],
    limit: Duration,
    word: &str,
    renderer: &str,
    out: &mut impl Write,
) -> Result<u8, String> {
    // A call is words on one line: such a name would be another call.
    if renderer.is_empty() || renderer.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Err(format!("{renderer:?} is no name; one without spaces was expected"));
    }
    let answers = say::done(agents, limit, &format!("{word} {renderer}")).await;
    let page =
        if cli.whom.json { print::json(&answers, None) } else { print::taken(&answers, word, renderer) };
    written(out, page.as_bytes()).map(|()| answers.code())
}

fn show<T: Serialize>(
    cli: &Cli,
    answers: &Answers<T>,
    page: String,
    sum: Option<Value>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<u8, String> {
    let page = if cli.whom.json { print::json(answers, sum) } else { page };
    written(out, page.as_bytes())?;
    // Who is missing is said even where nobody reads the page.
    let _ = err.write_all(print::faults(answers).as_bytes());
    Ok(answers.code())
}

async fn watched(
    cli: &Cli,
    agents: &[Agent],
    limit: Duration,
    watch: Option<u64>,
    times: Option<u64>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<u8, String> {
    let mut shown = 0;
    let mut code = ALL_YES;
    let Some(seconds) = watch else { return status(cli, agents, limit, out, err).await };
    let mut next = tokio::time::interval(Duration::from_secs(seconds));
    next.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while times.is_none_or(|times| shown < times) {
        tokio::select! {
            _ = next.tick() => {}
            // The last page's code is the answer.
            _ = tokio::signal::ctrl_c() => break,
        }
        if !cli.whom.json && std::io::stdout().is_terminal() {
            // Home and clear; nothing else of the terminal is touched.
            written(out, b"\x1b[H\x1b[2J")?;
        } else if shown > 0 && !cli.whom.json {
            written(out, b"\n")?;
        }
        code = status(cli, agents, limit, out, err).await?;
        shown += 1;
    }
    Ok(code)
}

async fn status(
    cli: &Cli,
    agents: &[Agent],
    limit: Duration,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<u8, String> {
    let answers = say::status(agents, limit).await;
    let sum = json!(say::sum(answers.good().map(|(_, status)| &status.counters)));
    let (page, all) =
        (print::status(&answers), answers.good().all(|(_, Status { health, .. })| health.is_ok()));
    let code = show(cli, &answers, page, Some(sum), out, err)?;
    Ok(if code == ALL_YES && !all { SOME_NO } else { code })
}

fn written(out: &mut impl Write, text: &[u8]) -> Result<(), String> {
    match out.write_all(text).and_then(|()| out.flush()) {
        // A reader that has seen enough, such as `head`, is no mistake.
        Err(why) if why.kind() != std::io::ErrorKind::BrokenPipe => Err(format!("cannot print: {why}")),
        _ => Ok(()),
    }
}
