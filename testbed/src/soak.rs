//! Plays a scenario with one seed after another, and names each seed with which something did not hold.

use crate::exit::{BAD_INPUT, FELL_SHORT, HELD, LATE};
use crate::{play, sweep};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

/// A play in which the testbed ran late has no verdict, and is played again so often.
const MAX_PLAYS_PER_SEED: usize = 3;

/// The arguments of the command.
#[derive(clap::Args)]
pub struct Args {
    /// A scenario of `testbed list`, or a file
    #[arg(default_value = "soak")]
    scenario: String,
    /// The seeds, as in 1..50 or 1,4,9
    #[arg(long, default_value = "1..50")]
    seeds: String,
    /// Plays side by side
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// The agent's program; `balancer-agent` beside this one if absent
    #[arg(long, value_name = "PATH")]
    agent: Option<PathBuf>,
    /// Where the results go
    #[arg(long, value_name = "FOLDER", default_value = "target/testbed/soak")]
    out: PathBuf,
}

/// How a play with one seed ended.
struct Ended {
    seed: u64,
    status: Option<u8>,
    /// What the play printed on standard error.
    problems: String,
}

impl Args {
    /// Plays all seeds and prints a line for each that failed, with the command that plays it again. Returns the exit code.
    ///
    /// # Errors
    ///
    /// If the seeds or the agent's program cannot be used.
    pub fn run(&self, print: impl Fn(&str) + Sync) -> Result<u8, String> {
        let seeds = sweep::seeds(&self.seeds)?;
        let agent = play::program(self.agent.as_deref())?;
        let testbed =
            std::env::current_exe().map_err(|e| format!("the testbed does not find its own program: {e}"))?;
        let waiting = Mutex::new(VecDeque::from(seeds));
        let failed = Mutex::new(Vec::new());
        let played = Mutex::new(0usize);
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let next = crate::lock(&waiting).pop_front();
                    let Some(seed) = next else { return };
                    let ended = self.play(&testbed, &agent, seed);
                    *crate::lock(&played) += 1;
                    if ended.status != Some(HELD) {
                        print(&self.describe(&ended));
                        crate::lock(&failed).push(ended);
                    }
                });
            }
        });
        let (played, failed) = (*crate::lock(&played), crate::lock(&failed));
        print(&format!("{}: {played} seeds played, {} failed\n", self.scenario, failed.len()));
        let is_unusable = failed.iter().any(|ended| !matches!(ended.status, Some(FELL_SHORT | LATE)));
        Ok(match failed.is_empty() {
            true => HELD,
            false if is_unusable => BAD_INPUT,
            false => FELL_SHORT,
        })
    }

    fn play(&self, testbed: &Path, agent: &Path, seed: u64) -> Ended {
        let mut ended = Ended { seed, status: None, problems: String::new() };
        for _ in 0..MAX_PLAYS_PER_SEED {
            let mut run = Command::new(testbed);
            run.args(["run", &self.scenario, "--quiet", "--seed", &seed.to_string(), "--agent"]).arg(agent);
            run.arg("--out").arg(self.out.join(format!("{}-{seed}", self.scenario.replace('/', "_"))));
            run.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
            match run.output() {
                Ok(output) => {
                    ended.status = output.status.code().and_then(|code| u8::try_from(code).ok());
                    ended.problems = String::from_utf8_lossy(&output.stderr).into_owned();
                }
                Err(error) => ended.problems = format!("{}: {error}\n", testbed.display()),
            }
            if ended.status != Some(LATE) {
                break;
            }
        }
        ended
    }

    fn describe(&self, ended: &Ended) -> String {
        let Ended { seed, status, problems } = ended;
        let status = status.map_or_else(|| "no exit code".to_owned(), |status| format!("exit {status}"));
        format!("testbed run {} --seed {seed}: {status}\n{problems}", self.scenario)
    }
}
