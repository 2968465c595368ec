//! The command line.

use crate::check;
use crate::process::startup::{Startup, StartupError};
use crate::process::{self, ProcessError};
use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// A load-balancing agent: it sends the requests of the application beside it to the renderers that discovery lists.
///
/// Without a command it serves until SIGTERM and then answers the requests that it has accepted. SIGHUP reloads the
/// configuration's discovery address and the fleet file.
#[derive(Parser)]
#[command(name = "balancer-agent", version, after_help = VARIABLES)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

/// The end of the help text: environment variables and exit codes.
const VARIABLES: &str = "\
Variables:
  PROXY_CONFIG      the configuration, JSON, from the platform (required)
  PROXY_FLEET       the fleet file, TOML; without it the agent is standalone
  PROXY_LISTEN, PROXY_DISCOVERY, PROXY_OPERATOR, PROXY_NAME
                    override the same entries of the configuration
  PROXY_LOG         text (the default) or json
  PROXY_LOG_FILTER  what is logged: a level, or TARGET=LEVEL pairs separated by commas; info by default.
                    Targets are process, request, counts, decisions, discovery, handover and admin
  PROXY_LISTEN_FD   the descriptor of a listener to take over

Exit: 0 success; 2 error, described by one line on standard error.";

#[derive(Subcommand)]
enum Command {
    /// Read everything that a start reads, print what the agent would do, and exit
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

/// Why the program ended with an error.
#[derive(Debug, Error)]
enum CliError {
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error("cannot print: {0}")]
    Print(#[source] io::Error),
}

/// Exit code of an error that a line on standard error describes.
const EXIT_FAILURE: u8 = 2;

/// Runs the program. The exit codes are those that `--help` shows.
pub fn run(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.collect();
    // The usual start has no arguments and skips the parser, which would take 0.3 MB of memory in every agent.
    let cli = if arguments.len() < 2 { Ok(Cli { command: None }) } else { Cli::try_parse_from(arguments) };
    let result = match cli {
        Ok(Cli { command: None }) => process::run().map_err(CliError::from),
        Ok(Cli { command: Some(Command::Check(check)) }) => check.run(),
        Err(parse_error) => {
            // clap returns `--help` and `--version` as errors too. Standard output may be closed already.
            let _ = parse_error.print();
            return ExitCode::from(parse_error.exit_code() as u8);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Standard error may be closed; the exit code reports the failure all the same.
            let _ = writeln!(io::stderr(), "balancer-agent: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

impl Check {
    fn run(self) -> Result<(), CliError> {
        let startup = Startup::read(|variable| {
            let argument = match variable {
                "PROXY_CONFIG" => self.config.as_ref(),
                "PROXY_FLEET" => self.fleet.as_ref(),
                _ => None,
            };
            // The conversion loses nothing of the platform's own paths, which are valid UTF-8.
            argument.map(|path| path.to_string_lossy().into_owned()).or_else(|| std::env::var(variable).ok())
        })?;
        io::stdout().write_all(check::describe(&startup).as_bytes()).map_err(CliError::Print)
    }
}
