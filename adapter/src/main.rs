//! Hosts balancers behind the simulator's line protocol: reads batches of events from standard input, one per line, and
//! writes a line of actions for each. `deploy/balancer.toml` runs this program as `sim`.

mod error;
mod hex;
mod host;
mod instance;
mod requests;
mod servers;
mod wire;

use error::{AdapterError, Position};
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Batch, Reply};

/// The exit code if the input is invalid or cannot be read, or if a reply cannot be written.
const EXIT_FAILURE: u8 = 2;

/// Reads batches and writes a reply to each until the input ends.
fn run(input: &mut dyn BufRead, output: &mut dyn Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut position = Position::FirstRound;
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Read)? == 0 {
            return Ok(());
        }
        let batch: Batch<'_> =
            serde_json::from_slice(&line).map_err(|error| AdapterError::NotABatch { position, error })?;
        let round = batch.round;
        position = Position::After(round);
        let reply = host.handle_batch(batch).map_err(|error| AdapterError::Batch { round, error })?;
        write_reply(&reply, output)?;
    }
}

fn write_reply(reply: &Reply, output: &mut dyn Write) -> Result<(), AdapterError> {
    let round = reply.round;
    let mut line = serde_json::to_vec(reply).map_err(|error| AdapterError::Encode { round, error })?;
    line.push(b'\n');
    output
        .write_all(&line)
        .and_then(|()| output.flush())
        .map_err(|error| AdapterError::Write { round, error })
}

fn main() -> ExitCode {
    // A panic in the balancer is reported as a BUG action; the default hook would print it to standard error as well.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

#[cfg(test)]
mod tests;
