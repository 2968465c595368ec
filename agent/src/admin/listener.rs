//! The listener of the admin API. Each connection carries one call, which is a line of text, and one answer. The call
//! is read and the answer written here; [`Admin`] carries the call out.

use super::call::Call;
use super::callers::{Caller, Callers, ConnectionState};
use super::service::Admin;
use serde::Serialize;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// The length of the longest call. No server's name is nearly as long.
const MAX_LINE_BYTES: usize = 1024;
/// How long a caller has to send its call.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a caller has to read its answer and to close the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed bind or accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The size of the buffer with which a call is read.
const READ_BUFFER_BYTES: usize = 256;
/// The size of the buffer with which data after the call is read and discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// The answer to a command that was carried out, and to `health` while clients are served.
const DONE_ANSWER: &str = "done\n";

/// Why no call could be read from a connection.
#[derive(Debug, Error)]
enum ReadError {
    /// A line without a line feed may be truncated in the middle of a name, which could leave another valid name.
    #[error("the line has no end")]
    Unterminated,
    #[error("the line is no text")]
    InvalidUtf8(#[source] std::string::FromUtf8Error),
    #[error("the line is too long")]
    TooLong,
    #[error("no whole line in time")]
    TimedOut,
    #[error("too many callers")]
    Evicted,
}

/// Serves the admin API for as long as the agent runs. Binding the address is retried until it succeeds, as clients can
/// be served without the admin API.
pub async fn listen(admin: Rc<Admin>, address: SocketAddr) {
    let listener = bind(address).await;
    tracing::info!(target: "admin", "answers on {}", listener.local_addr().unwrap_or(address));
    let mut callers = Callers::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let Ok(caller) = callers.admit().await else { return };
        tokio::task::spawn_local(handle_connection(admin.clone(), stream, caller));
    }
}

/// Binds the address, and retries until it succeeds. Only the first failure is logged.
async fn bind(address: SocketAddr) -> TcpListener {
    let mut is_failure_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) if !is_failure_logged => {
                is_failure_logged = true;
                tracing::warn!(target: "admin", "cannot listen on {address} yet: {error}");
            }
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the call of one connection and answers it.
async fn handle_connection(admin: Rc<Admin>, mut stream: TcpStream, mut caller: Caller) {
    let answer = match read_call(&mut stream, &mut caller).await {
        Ok(Some(line)) => execute_call(&admin, &caller, &line).await,
        Ok(None) => return,
        Err(error) => error_line(&error),
    };
    // If this fails or times out, the caller has gone or is too slow, and gets no answer. What a caller still sends is
    // read until it closes its side: closing a socket with unread data resets the connection, and the caller might lose
    // the answer.
    let _ = timeout(ANSWER_TIMEOUT, write_answer(&mut stream, &mut caller, &answer)).await;
}

/// Reads the line of a connection as [`read_line`] does, unless it takes too long or the caller is evicted.
async fn read_call(stream: &mut TcpStream, caller: &mut Caller) -> Result<Option<String>, ReadError> {
    let evicted = async {
        caller.wait_for_eviction().await;
        // The runtime may not have polled the socket yet. A call that has already arrived is still answered.
        yield_now().await;
    };
    tokio::select! {
        biased;
        line = timeout(LINE_TIMEOUT, read_line(stream)) => line.unwrap_or(Err(ReadError::TimedOut)),
        () = evicted => Err(ReadError::Evicted),
    }
}

/// Reads the line of a connection, without its line feed; `None` if the caller closed the connection before it sent
/// anything, or if the connection broke.
async fn read_line(stream: &mut TcpStream) -> Result<Option<String>, ReadError> {
    let mut line = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let Ok(length) = stream.read(&mut buffer).await else { return Ok(None) };
        if length == 0 {
            return if line.is_empty() { Ok(None) } else { Err(ReadError::Unterminated) };
        }
        line.extend_from_slice(&buffer[..length]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return String::from_utf8(line).map(Some).map_err(ReadError::InvalidUtf8);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(ReadError::TooLong);
        }
    }
}

/// Carries a call out as soon as no other call is being carried out. The caller is not evicted before it
/// has its answer.
async fn execute_call(admin: &Admin, caller: &Caller, line: &str) -> String {
    caller.set_state(ConnectionState::Answering);
    let permit = caller.acquire_execution_permit().await;
    let mut answer = pin!(answer(admin, line));
    // The processor time is spent in the first poll. A call that is pending after it waits for the disk, and other
    // calls may be carried out meanwhile.
    let first_poll = poll_fn(|context| Poll::Ready(answer.as_mut().poll(context))).await;
    yield_now().await;
    drop(permit);
    match first_poll {
        Poll::Ready(answer) => answer,
        Poll::Pending => answer.await,
    }
}

/// Writes the answer, and waits until the caller closes its side or is evicted.
async fn write_answer(stream: &mut TcpStream, caller: &mut Caller, answer: &str) -> io::Result<()> {
    caller.set_state(ConnectionState::Answering);
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    caller.set_state(ConnectionState::Closing);
    tokio::select! {
        biased;
        result = discard(stream) => result,
        () = caller.wait_for_eviction() => Ok(()),
    }
}

/// Reads and discards what a caller sends after its call. Yields after each read, so that the other tasks of the
/// process run in between.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    while stream.read(&mut buffer).await? > 0 {
        yield_now().await;
    }
    Ok(())
}

/// Carries out the call in a line, and returns the complete answer.
async fn answer(admin: &Admin, line: &str) -> String {
    match Call::parse(line) {
        Ok(Call::Health) if admin.serves_clients() => DONE_ANSWER.to_owned(),
        Ok(Call::Health) => error_line(&"no clients are taken yet"),
        Ok(Call::Counters) => metrics_lines(&admin.counters()),
        Ok(Call::Renderers) => metrics_lines(&admin.renderers()),
        Ok(Call::Zones) => metrics_lines(&admin.zones()),
        Ok(Call::Command { target, is_withdrawn }) => match admin.execute(target, is_withdrawn).await {
            Ok(()) => DONE_ANSWER.to_owned(),
            Err(error) => error_line(&error),
        },
        Err(error) => error_line(&error),
    }
}

/// Formats an error as the answer to a call.
fn error_line(error: &impl std::fmt::Display) -> String {
    format!("error {error}\n")
}

/// Formats metrics as one line of JSON, followed by the line that ends the answer.
fn metrics_lines(metrics: &impl Serialize) -> String {
    // Serialization cannot fail, as all keys are strings.
    let line = serde_json::to_string(metrics).unwrap_or_default();
    format!("{line}\nend\n")
}
