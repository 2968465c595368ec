//! The command-line arguments.

use crate::agent_file::{self, Agent};
use crate::error::CommandError;
use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Environment variable with the path of the agent file; used if the command line names no agents.
const AGENTS_VARIABLE: &str = "BELLCTL_AGENTS";

/// Calls the admin API of load-balancing agents, all concurrently, and prints their answers.
///
/// Exit status: 0 all agents accepted the call; 1 some rejected it; 2 usage error; 3 some gave no answer or a malformed
/// one. Standard error lists these agents and the reasons.
#[derive(Parser)]
#[command(name = "balancerctl", version, max_term_width = 110)]
pub struct Arguments {
    /// Which agents to call, and the output format.
    #[command(flatten)]
    pub options: Options,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The options of all commands.
#[derive(Args)]
pub struct Options {
    /// Admin address of an agent; can be given several times
    #[arg(long = "agent", value_name = "ADDRESS", global = true)]
    agent: Vec<SocketAddr>,
    /// File with agents: `ADDRESS` or `NAME ADDRESS` a line, or TOML with `NAME = "ADDRESS"` under `[agents]`
    #[arg(long, value_name = "FILE", global = true, env = AGENTS_VARIABLE)]
    agents: Option<PathBuf>,
    /// Time limit for each agent's complete answer, in milliseconds
    #[arg(long, value_name = "MS", global = true, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    timeout: u64,
    /// Print JSON instead of a table
    #[arg(long, global = true)]
    pub json: bool,
}

/// The commands; their descriptions are the help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Health, counters and zones: a row for each agent, and their sum
    Status {
        /// Show the status again every SECONDS seconds until interrupted
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2",
              value_parser = clap::value_parser!(u64).range(1..=3600))]
        watch: Option<u64>,
        /// With --watch, stop after showing the status N times
        #[arg(long, value_name = "N", requires = "watch", value_parser = clap::value_parser!(u64).range(1..))]
        times: Option<u64>,
    },
    /// Whether each agent accepts clients
    Health,
    /// Counters by class
    Counters,
    /// Each renderer, as all agents together see it
    Renderers,
    /// Each zone, as all agents together see it
    Zones,
    /// Take a renderer out of use at all agents
    Cordon {
        /// The renderer's name on the endpoint list
        renderer: String,
    },
    /// Bring a renderer back into use at all agents
    Uncordon {
        /// The renderer's name on the endpoint list
        renderer: String,
    },
    /// Leave a zone at all agents, or return to it
    Zone {
        /// Whether to leave the zone or to return to it
        action: ZoneAction,
        /// The zone's name on the endpoint list
        zone: String,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum ZoneAction {
    Leave,
    Return,
}

impl Options {
    /// The agents named on the command line, or otherwise by the environment variable.
    ///
    /// # Errors
    ///
    /// No agents are named, the command line has both `--agent` and `--agents`, or the agent file is not valid.
    pub fn agents(&self) -> Result<Vec<Agent>, CommandError> {
        if !self.agent.is_empty() {
            // --agent overrides the environment variable, but conflicts with --agents on the command line.
            if self.agents.is_some() && std::env::var_os(AGENTS_VARIABLE).is_none() {
                return Err(CommandError::TwoAgentSelections);
            }
            return Ok(self.agent.iter().copied().map(Agent::unnamed).collect());
        }
        let file = self.agents.as_ref().ok_or(CommandError::NoAgentSelection)?;
        Ok(agent_file::read(file)?)
    }

    /// The time limit for each agent's complete answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout)
    }
}
