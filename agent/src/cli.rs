//! The command line.

use crate::check;
use crate::process::{self, Start};
use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing agent: it sends the requests of the application beside it to the renderers that discovery lists.
///
/// Without a command it serves until SIGTERM and then answers what it has taken. SIGHUP reads the configuration's
/// discovery address and the fleet file again.
#[derive(Parser)]
#[command(name = "balancer-agent", version, after_help = VARIABLES)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

const VARIABLES: &str = "\
Variables:
  PROXY_CONFIG      the configuration, JSON, from the platform (needed)
  PROXY_FLEET       the fleet file, TOML; without it the agent is alone
  PROXY_LISTEN, PROXY_DISCOVERY, PROXY_OPERATOR, PROXY_NAME
                    win over the same entries of the configuration
  PROXY_LOG         text (the default) or json
  PROXY_LOG_FILTER  what is logged: a level, or TARGET=LEVEL with commas between; info by default. Targets are
                    process, request, counts, decisions, discovery, handover and admin
  PROXY_LISTEN_FD   the descriptor of a listener to take over

Exit: 0 all was answered or all is well; 2 the one line on standard error says what is wrong.";

#[derive(Subcommand)]
enum Command {
    /// Read all that a start would read, say what it would do, and end
    Check(Check),
}

#[derive(Args)]
struct Check {
    /// Configuration to read instead of PROXY_CONFIG's
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Fleet file to read instead of PROXY_FLEET's
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
}

/// Runs the program.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.collect();
    // The usual start has nothing to read, and what would read it would take 0.3 MB of every agent.
    let cli = if arguments.len() < 2 { Ok(Cli { command: None }) } else { Cli::try_parse_from(arguments) };
    let done = match cli {
        Ok(Cli { command: None }) => process::run(),
        Ok(Cli { command: Some(Command::Check(check)) }) => check.run(),
        Err(other) => {
            // Help and version come this way as well. One who no longer reads them needs no word of it.
            let _ = other.print();
            return ExitCode::from(other.exit_code() as u8);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            // Nobody may listen; the exit code tells all the same.
            let _ = writeln!(std::io::stderr(), "balancer-agent: {why}");
            ExitCode::from(2)
        }
    }
}

impl Check {
    fn run(self) -> Result<(), String> {
        let start = Start::read(|name| {
            let given = match name {
                "PROXY_CONFIG" => self.config.as_ref(),
                "PROXY_FLEET" => self.fleet.as_ref(),
                _ => None,
            };
            // The platform's own names are text; a path that is none cannot be theirs.
            given.map(|path| path.to_string_lossy().into_owned()).or_else(|| std::env::var(name).ok())
        })?;
        std::io::stdout()
            .write_all(check::describe(&start).as_bytes())
            .map_err(|e| format!("cannot print: {e}"))
    }
}
