//! The command line.

use crate::agent_file::{self, Agent};
use crate::error::CommandError;
use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Names the agent file where the command line names no agents.
const AGENTS_VARIABLE: &str = "BELLCTL_AGENTS";

/// Calls the admin API of load-balancing agents, all concurrently, and prints their answers.
///
/// Exit: 0 all accepted; 1 some rejected the call; 2 wrong use; 3 some did not answer, or not in the expected form.
/// Which agents, and why, is on standard error.
#[derive(Parser)]
#[command(name = "balancerctl", version, max_term_width = 110)]
pub struct Arguments {
    /// Which agents, and in which form.
    #[command(flatten)]
    pub options: Options,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The options that all commands take.
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
        /// Show it again every so many seconds, until interrupted
        #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "2",
              value_parser = clap::value_parser!(u64).range(1..=3600))]
        watch: Option<u64>,
        /// With --watch, end after so many times
        #[arg(long, value_name = "N", requires = "watch", value_parser = clap::value_parser!(u64).range(1..))]
        times: Option<u64>,
    },
    /// Whether each agent takes clients
    Health,
    /// Counters by class
    Counters,
    /// Each renderer, as all agents together see it
    Renderers,
    /// Each zone, as all agents together see it
    Zones,
    /// Take a renderer out of use at all agents
    Cordon {
        /// Its name on the endpoint list
        renderer: String,
    },
    /// Bring a renderer back into use at all agents
    Uncordon {
        /// Its name on the endpoint list
        renderer: String,
    },
    /// Leave a zone at all agents, or return to it
    Zone {
        /// What to do
        action: ZoneAction,
        /// Its name on the endpoint list
        zone: String,
    },
    /// Print completions for a shell
    Completions {
        /// Which shell
        shell: Shell,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum ZoneAction {
    Leave,
    Return,
}

impl Options {
    /// The agents that the command line names, or else the environment.
    ///
    /// # Errors
    ///
    /// No agents are named, or in two ways on the command line; or their file is not valid.
    pub fn agents(&self) -> Result<Vec<Agent>, CommandError> {
        if !self.agent.is_empty() {
            // --agent wins over the variable, but not over --agents beside it.
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
