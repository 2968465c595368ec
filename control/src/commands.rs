//! Runs the commands: calls the agents, prints their answers and returns the exit status.

use crate::admin_call::{OperatorCommand, TargetName};
use crate::agent_file::Agent;
use crate::aggregate;
use crate::arguments::{Arguments, Command, Options, ZoneAction};
use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::output::{self, Page};
use crate::queries::{self, FleetAnswers, Health};
use clap::{CommandFactory, Parser};
use clap_complete::Shell;
use serde::Serialize;
use serde_json::{json, Value};
use std::ffi::OsString;
use std::io::{ErrorKind, IsTerminal, Write};
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Moves the cursor home and clears the terminal.
const CLEAR_TERMINAL: &[u8] = b"\x1b[H\x1b[2J";

/// Runs the command in `arguments`, which begin with the program's name. The output goes to `out`; errors, and the
/// agents that did not accept the call, go to `err`.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> ExitStatus {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(help_or_error) => return print_help_or_error(&help_or_error, out, err),
    };
    match execute(&arguments, out, err).await {
        Ok(status) => status,
        Err(error) => {
            // If standard error is closed, the exit status still reports the failure.
            let _ = writeln!(err, "balancerctl: {error}");
            ExitStatus::UsageError
        }
    }
}

fn print_help_or_error(
    help_or_error: &clap::Error,
    out: &mut impl Write,
    err: &mut impl Write,
) -> ExitStatus {
    let text = help_or_error.render().to_string();
    // If the output is closed, the exit status still reports the outcome.
    if help_or_error.use_stderr() {
        let _ = err.write_all(text.as_bytes());
        ExitStatus::UsageError
    } else {
        let _ = out.write_all(text.as_bytes());
        ExitStatus::Success
    }
}

async fn execute(
    arguments: &Arguments,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<ExitStatus, CommandError> {
    let options = &arguments.options;
    match &arguments.command {
        Command::Status { watch: None, .. } => Session::new(options, out, err)?.status().await,
        Command::Status { watch: Some(seconds), times } => {
            let interval = Duration::from_secs(*seconds);
            Session::new(options, out, err)?.watch_status(interval, *times).await
        }
        Command::Health => Session::new(options, out, err)?.health().await,
        Command::Counters => Session::new(options, out, err)?.counters().await,
        Command::Renderers => Session::new(options, out, err)?.renderers().await,
        Command::Zones => Session::new(options, out, err)?.zones().await,
        Command::Cordon { renderer } => {
            let mut session = Session::new(options, out, err)?;
            session.command(OperatorCommand::Cordon(TargetName::parse(renderer)?)).await
        }
        Command::Uncordon { renderer } => {
            let mut session = Session::new(options, out, err)?;
            session.command(OperatorCommand::Uncordon(TargetName::parse(renderer)?)).await
        }
        Command::Zone { action, zone } => {
            let mut session = Session::new(options, out, err)?;
            let zone = TargetName::parse(zone)?;
            session.command(zone_command(*action, zone)).await
        }
        Command::Completions { shell } => print_completions(*shell, out),
    }
}

fn zone_command(action: ZoneAction, zone: TargetName) -> OperatorCommand {
    match action {
        ZoneAction::Leave => OperatorCommand::LeaveZone(zone),
        ZoneAction::Return => OperatorCommand::ReturnToZone(zone),
    }
}

fn print_completions(shell: Shell, out: &mut impl Write) -> Result<ExitStatus, CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "balancerctl", &mut script);
    print(out, &script)?;
    Ok(ExitStatus::Success)
}

/// The agents that a command calls, and its output streams and format.
struct Session<'a, Out, Err> {
    agents: Vec<Agent>,
    time_limit: Duration,
    json: bool,
    out: &'a mut Out,
    err: &'a mut Err,
}

impl<'a, Out: Write, Err: Write> Session<'a, Out, Err> {
    fn new(options: &Options, out: &'a mut Out, err: &'a mut Err) -> Result<Self, CommandError> {
        let agents = options.agents()?;
        Ok(Session { agents, time_limit: options.timeout(), json: options.json, out, err })
    }

    async fn status(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::status(&self.agents, self.time_limit).await;
        let sum = aggregate::sum_counters(answers.answers().map(|status| &status.counters));
        let status = self.show(&answers, output::status(&answers), Some(json!(sum)))?;
        let all_serving = answers.answers().all(|status| status.health == Health::Serving);
        if status == ExitStatus::Success && !all_serving {
            return Ok(ExitStatus::Rejected);
        }
        Ok(status)
    }

    /// Shows the status every `interval`, until it was shown `times` times or the user interrupts it. Returns the exit
    /// status of the last page.
    async fn watch_status(
        &mut self,
        interval: Duration,
        times: Option<u64>,
    ) -> Result<ExitStatus, CommandError> {
        let mut shown = 0;
        let mut status = ExitStatus::Success;
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while times.is_none_or(|times| shown < times) {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = tokio::signal::ctrl_c() => break,
            }
            self.separate_pages(shown == 0)?;
            status = self.status().await?;
            shown += 1;
        }
        Ok(status)
    }

    /// Separates a page from the previous one: clears a terminal, and prints a blank line elsewhere. JSON needs no
    /// separator, as each page is one line.
    fn separate_pages(&mut self, is_first: bool) -> Result<(), CommandError> {
        if self.json {
            return Ok(());
        }
        if std::io::stdout().is_terminal() {
            return print(self.out, CLEAR_TERMINAL);
        }
        if is_first {
            return Ok(());
        }
        print(self.out, b"\n")
    }

    async fn health(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::health(&self.agents, self.time_limit).await;
        self.show(&answers, output::health(&answers), None)
    }

    async fn counters(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::counters(&self.agents, self.time_limit).await;
        let sum = aggregate::sum_counters(answers.answers());
        self.show(&answers, output::counters(&answers), Some(json!(sum)))
    }

    async fn renderers(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::renderers(&self.agents, self.time_limit).await;
        self.show(&answers, output::renderers(&answers), None)
    }

    async fn zones(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::zones(&self.agents, self.time_limit).await;
        self.show(&answers, output::zones(&answers), None)
    }

    /// Sends a command to all agents. The agents that did not accept it are listed in the page, not on standard error.
    async fn command(&mut self, command: OperatorCommand) -> Result<ExitStatus, CommandError> {
        let answers = queries::command(&self.agents, self.time_limit, &command).await;
        let page = if self.json {
            output::json(&answers, None)
        } else {
            output::operator_command(&answers, &command)
        };
        print(self.out, page.as_bytes())?;
        Ok(answers.exit_status())
    }

    /// Prints the page, or the answers and their sum as JSON; lists the agents that did not accept the call on `err`.
    fn show<T: Serialize>(
        &mut self,
        answers: &FleetAnswers<T>,
        page: Page,
        sum: Option<Value>,
    ) -> Result<ExitStatus, CommandError> {
        let page = if self.json { output::json(answers, sum) } else { page };
        print(self.out, page.as_bytes())?;
        // If standard error is closed, the exit status still reports the failure.
        let _ = self.err.write_all(output::failures(answers).as_bytes());
        Ok(answers.exit_status())
    }
}

/// Writes all of `text`. A closed pipe is not an error: a reader such as `head` may exit early.
fn print(out: &mut impl Write, text: &[u8]) -> Result<(), CommandError> {
    match out.write_all(text).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Print(error)),
        _ => Ok(()),
    }
}
