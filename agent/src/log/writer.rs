//! The thread that writes the log, and the bounded queue of its lines.

use super::left_out;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that are is_queued while the reader is slow; more are left out.
pub(super) const MAX_QUEUED_LINES: usize = 1024;
/// How long the process waits at its end for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before the next write to a non-blocking output that would block.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A message to the log's thread.
pub(super) enum LogMessage {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to confirm that all earlier lines were written.
    Flush(SyncSender<()>),
}

/// Starts the log's thread, which writes to standard error.
pub(super) fn spawn() -> io::Result<(LogGuard, LineWriter)> {
    let (queue, messages) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_messages(&messages))?;
    Ok((LogGuard(queue.clone()), LineWriter(queue)))
}

fn write_messages(messages: &Receiver<LogMessage>) {
    for message in messages {
        match message {
            // A closed output must not end the agent.
            LogMessage::Line(line) => {
                if write_all_blocking(&mut io::stderr(), &line).is_err() {
                    left_out::count_line();
                }
            }
            LogMessage::Flush(confirmation) => {
                // The receiver may have timed out.
                let _ = confirmation.send(());
            }
        }
    }
}

/// Writes a line completely. Another process that shares the descriptor may have made it non-blocking, so a write that
/// would block is retried.
fn write_all_blocking(output: &mut impl Write, mut line: &[u8]) -> io::Result<()> {
    while !line.is_empty() {
        match output.write(line) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => line = &line[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(WRITE_RETRY_INTERVAL),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Keeps the log running. Dropping it waits for the last lines to be written, but not longer than `FLUSH_TIMEOUT`.
pub struct LogGuard(pub(super) SyncSender<LogMessage>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        left_out::report(|left_out| {
            if left_out > 0 {
                tracing::info!(target: "counts", left_out, "the log ends");
            }
        });
        let (confirmation, flushed) = sync_channel(1);
        // If the queue is full the reader has stopped, and waiting would be in vain.
        if self.0.try_send(LogMessage::Flush(confirmation)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Queues lines for the log's thread without blocking, each line completely or not at all.
#[derive(Clone)]
pub(super) struct LineWriter(pub(super) SyncSender<LogMessage>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_queued = self.0.try_send(LogMessage::Line(line.to_vec())).is_ok();
        left_out::record_line(is_queued);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        self.clone()
    }
}
