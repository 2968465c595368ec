//! The admin address: one call a connection, as a line, and one answer. It reads the call and writes the answer, and
//! [`Admin`] carries the call out.

use super::call::Call;
use super::callers::{Caller, Callers, Stage};
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

/// The longest call; no server's name is nearly as long.
const MAX_LINE_BYTES: usize = 1024;
/// A call that is not complete by then is given up.
const LINE_TIMEOUT: Duration = Duration::from_secs(6);
/// What a caller gets to read its answer and to close.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a bind or an accept that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// What is read at a time of the call.
const READ_BYTES: usize = 256;
/// What is read and discarded at a time after the answer.
const DISCARD_BYTES: usize = 4 << 10;
/// The answer to a command that was carried out, and to `health` while clients are served.
const DONE: &str = "done\n";

/// Why no call was read from a connection.
#[derive(Debug, Error)]
enum ReadError {
    /// Half of a name may be another name, so a call without the end of its line is not carried out.
    #[error("the line has no end")]
    Unterminated,
    #[error("the line is no text")]
    NotText(#[source] std::string::FromUtf8Error),
    #[error("the line is too long")]
    TooLong,
    #[error("no whole line in time")]
    TimedOut,
    #[error("too many callers")]
    Evicted,
}

/// Listens at the address for as long as the agent runs. It is tried again until it can be bound, as clients are served
/// without it.
pub async fn listen(admin: Rc<Admin>, address: SocketAddr) {
    let listener = bind(address).await;
    tracing::info!(target: "admin", "answers on {}", listener.local_addr().unwrap_or(address));
    let mut callers = Callers::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let Ok(caller) = callers.admit().await else { return };
        tokio::task::spawn_local(converse(admin.clone(), stream, caller));
    }
}

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
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads one call and answers it.
async fn converse(admin: Rc<Admin>, mut stream: TcpStream, mut caller: Caller) {
    let answer = match read_call(&mut stream, &mut caller).await {
        Ok(Some(line)) => answer_in_turn(&admin, &caller, &line).await,
        Ok(None) => return,
        Err(error) => error_line(&error),
    };
    // A caller that has gone gets no answer; one that still sends is read to its end, or the close would discard the
    // answer on its side.
    let _ = timeout(ANSWER_TIMEOUT, write_answer(&mut stream, &mut caller, &answer)).await;
}

/// The line of a connection; `None` if its caller closed before it sent anything.
async fn read_call(stream: &mut TcpStream, caller: &mut Caller) -> Result<Option<String>, ReadError> {
    let evicted = async {
        caller.wait_for_eviction().await;
        // The runtime may not have polled the socket yet: a call that has arrived by now is answered.
        yield_now().await;
    };
    tokio::select! {
        biased;
        line = timeout(LINE_TIMEOUT, read_line(stream)) => line.unwrap_or(Err(ReadError::TimedOut)),
        () = evicted => Err(ReadError::Evicted),
    }
}

/// The one line of a connection, without its end. A connection that breaks is as one that closed without a call.
async fn read_line(stream: &mut TcpStream) -> Result<Option<String>, ReadError> {
    let mut line = Vec::new();
    let mut piece = [0; READ_BYTES];
    loop {
        let Ok(length) = stream.read(&mut piece).await else { return Ok(None) };
        if length == 0 {
            return if line.is_empty() { Ok(None) } else { Err(ReadError::Unterminated) };
        }
        line.extend_from_slice(&piece[..length]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return String::from_utf8(line).map(Some).map_err(ReadError::NotText);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(ReadError::TooLong);
        }
    }
}

/// Carries a call out when it is its turn. From here on its caller keeps its place.
async fn answer_in_turn(admin: &Admin, caller: &Caller, line: &str) -> String {
    caller.enter(Stage::Answering);
    let turn = caller.wait_for_turn().await;
    let mut answer = pin!(answer(admin, line));
    // The first poll takes the processor time; a call that goes on waits for the disk, and others have their turn.
    let first_poll = poll_fn(|context| Poll::Ready(answer.as_mut().poll(context))).await;
    yield_now().await;
    drop(turn);
    match first_poll {
        Poll::Ready(answer) => answer,
        Poll::Pending => answer.await,
    }
}

async fn write_answer(stream: &mut TcpStream, caller: &mut Caller, answer: &str) -> io::Result<()> {
    caller.enter(Stage::Answering);
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    caller.enter(Stage::Closing);
    tokio::select! {
        biased;
        ended = discard(stream) => ended,
        () = caller.wait_for_eviction() => Ok(()),
    }
}

/// Reads and discards what a caller sends after its call, in turn with everything else that the process does.
async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut piece = [0; DISCARD_BYTES];
    while stream.read(&mut piece).await? > 0 {
        yield_now().await;
    }
    Ok(())
}

/// The complete answer to a line.
async fn answer(admin: &Admin, line: &str) -> String {
    match Call::parse(line) {
        Ok(Call::Health) if admin.serves_clients() => DONE.to_owned(),
        Ok(Call::Health) => error_line(&"no clients are taken yet"),
        Ok(Call::Counters) => metrics_lines(&admin.counters()),
        Ok(Call::Renderers) => metrics_lines(&admin.renderers()),
        Ok(Call::Zones) => metrics_lines(&admin.zones()),
        Ok(Call::Command { target, is_withdrawn }) => match admin.execute(target, is_withdrawn).await {
            Ok(()) => DONE.to_owned(),
            Err(error) => error_line(&error),
        },
        Err(error) => error_line(&error),
    }
}

/// An error as the answer to a call.
fn error_line(error: &impl std::fmt::Display) -> String {
    format!("error {error}\n")
}

/// Metrics as one line of JSON, and the line that ends them.
fn metrics_lines(metrics: &impl Serialize) -> String {
    // The keys of all metrics are text, so they can always be written as JSON.
    let line = serde_json::to_string(metrics).unwrap_or_default();
    format!("{line}\nend\n")
}
