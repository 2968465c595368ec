//! The thread that writes the log, and the bounded queue of lines that wait for it.

use super::left_out;
use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for a slow reader; more are left out.
pub(super) const MAX_QUEUED_LINES: usize = 1024;
/// How long the end of the process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before the next write to an output that takes nothing at the moment.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// What the log's thread receives.
pub(super) enum LogMessage {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to confirm that all lines before it were written.
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
            // An output that is closed must not end the agent.
            LogMessage::Line(line) => {
                if write_all_blocking(&mut io::stderr(), &line).is_err() {
                    left_out::count_line();
                }
            }
            LogMessage::Flush(confirmation) => {
                // The process may have stopped waiting for it.
                let _ = confirmation.send(());
            }
        }
    }
}

/// Writes a line completely. Another process that shares the descriptor may have made it non-blocking: the write is
/// then retried.
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

/// Keeps the log of a process; when it is dropped the last lines are written, if their reader is fast enough.
pub struct LogGuard(pub(super) SyncSender<LogMessage>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        left_out::report(|left_out| {
            if left_out > 0 {
                tracing::info!(target: "counts", left_out, "the log ends");
            }
        });
        let (confirmation, flushed) = sync_channel(1);
        // A full queue has no reader: there is nothing to wait for.
        if self.0.try_send(LogMessage::Flush(confirmation)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Queues lines for the log's thread, each completely or not at all, and never waits.
#[derive(Clone)]
pub(super) struct LineWriter(pub(super) SyncSender<LogMessage>);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let queued = self.0.try_send(LogMessage::Line(line.to_vec())).is_ok();
        left_out::record_line(queued);
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
