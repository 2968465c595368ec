//! Carries the commands out: calls the agents, prints their answers and tells the exit status.

use crate::admin_call::{Name, OperatorCommand};
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

/// Runs the command that `arguments` name, the program's own name first. Its page goes to `out`; errors, and the agents
/// that did not accept the call, go to `err`.
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
            // The exit status tells the same where standard error is closed.
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
    // The exit status tells the same where the output is closed.
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
            session.command(OperatorCommand::Cordon(Name::parse(renderer)?)).await
        }
        Command::Uncordon { renderer } => {
            let mut session = Session::new(options, out, err)?;
            session.command(OperatorCommand::Uncordon(Name::parse(renderer)?)).await
        }
        Command::Zone { action, zone } => {
            let mut session = Session::new(options, out, err)?;
            let zone = Name::parse(zone)?;
            session.command(zone_command(*action, zone)).await
        }
        Command::Completions { shell } => print_completions(*shell, out),
    }
}

fn zone_command(action: ZoneAction, zone: Name) -> OperatorCommand {
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

/// The agents that a command calls, and where and how it prints.
struct Session<'a, Out, Err> {
    agents: Vec<Agent>,
    limit: Duration,
    json: bool,
    out: &'a mut Out,
    err: &'a mut Err,
}

impl<'a, Out: Write, Err: Write> Session<'a, Out, Err> {
    fn new(options: &Options, out: &'a mut Out, err: &'a mut Err) -> Result<Self, CommandError> {
        let agents = options.agents()?;
        Ok(Session { agents, limit: options.timeout(), json: options.json, out, err })
    }

    async fn status(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::status(&self.agents, self.limit).await;
        let sum = aggregate::sum_counters(answers.answers().map(|status| &status.counters));
        let status = self.show(&answers, output::status(&answers), Some(json!(sum)))?;
        let all_serving = answers.answers().all(|status| status.health == Health::Serving);
        if status == ExitStatus::Success && !all_serving {
            return Ok(ExitStatus::Rejected);
        }
        Ok(status)
    }

    /// Shows the status every `interval`, `times` times or until it is interrupted. The exit status is the last page's.
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

    /// A page replaces the one before it on a terminal, and elsewhere follows a blank line. JSON has a line a page.
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
        let answers = queries::health(&self.agents, self.limit).await;
        self.show(&answers, output::health(&answers), None)
    }

    async fn counters(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::counters(&self.agents, self.limit).await;
        let sum = aggregate::sum_counters(answers.answers());
        self.show(&answers, output::counters(&answers), Some(json!(sum)))
    }

    async fn renderers(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::renderers(&self.agents, self.limit).await;
        self.show(&answers, output::renderers(&answers), None)
    }

    async fn zones(&mut self) -> Result<ExitStatus, CommandError> {
        let answers = queries::zones(&self.agents, self.limit).await;
        self.show(&answers, output::zones(&answers), None)
    }

    /// Gives all agents a command. The page itself names the agents that did not accept it.
    async fn command(&mut self, command: OperatorCommand) -> Result<ExitStatus, CommandError> {
        let answers = queries::command(&self.agents, self.limit, &command).await;
        let page = if self.json {
            output::json(&answers, None)
        } else {
            output::operator_command(&answers, &command)
        };
        print(self.out, page.as_bytes())?;
        Ok(answers.exit_status())
    }

    /// Prints the page, or the answers and their sum as JSON, and the agents that did not accept the call.
    fn show<T: Serialize>(
        &mut self,
        answers: &FleetAnswers<T>,
        page: Page,
        sum: Option<Value>,
    ) -> Result<ExitStatus, CommandError> {
        let page = if self.json { output::json(answers, sum) } else { page };
        print(self.out, page.as_bytes())?;
        // The exit status tells the same where standard error is closed.
        let _ = self.err.write_all(output::failures(answers).as_bytes());
        Ok(answers.exit_status())
    }
}

/// Writes all of `text`. A closed pipe is not an error: its reader, such as `head`, has seen enough.
fn print(out: &mut impl Write, text: &[u8]) -> Result<(), CommandError> {
    match out.write_all(text).and_then(|()| out.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Print(error)),
        _ => Ok(()),
    }
}
