//! Calls of the admin API: one call at one agent, and the same at many agents concurrently.

use crate::admin_call::AdminCall;
use crate::agent_file::Agent;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Concurrent calls at most, each with one descriptor: a process has 1,024 of them by default.
const MAX_CONCURRENT_CALLS: usize = 800;
/// The longest answer that is read, in bytes: the one on 2,000 renderers takes a quarter of it.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Characters of an agent's text that are shown at most.
const MAX_EXCERPT_CHARS: usize = 120;

/// Why an agent did not accept a call.
#[derive(Debug, Error)]
pub enum CallError {
    /// It answered with an error, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// It did not answer, or not in the expected form: its state is unknown.
    #[error(transparent)]
    NoAnswer(#[from] NoAnswer),
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum NoAnswer {
    /// The answer was not complete in time.
    #[error("no whole answer within {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The connection was not established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed during the call.
    #[error("the connection broke: {0}")]
    Connection(#[source] io::Error),
    /// The answer is longer than an answer can be.
    #[error("over {MAX_ANSWER_BYTES} bytes of answer")]
    TooLong,
    /// The agent closed the connection at once.
    #[error("it closed the connection without an answer")]
    Empty,
    /// The answer is not in the form of the call, or is cut short; its first characters.
    #[error("its answer makes no sense: {0:?}")]
    Malformed(String),
    /// The task that made the call has failed.
    #[error("the call was lost")]
    TaskFailed,
}

/// An agent's answer to a call.
pub type CallResult<T> = Result<T, CallError>;

/// Calls all agents concurrently; each has `limit` for its complete answer, from when its call starts. The results
/// are in the order of `agents`.
pub async fn call_all<T, F>(
    agents: &[Agent],
    limit: Duration,
    call: impl Fn(Agent) -> F,
) -> Vec<CallResult<T>>
where
    T: Send + 'static,
    F: Future<Output = CallResult<T>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut calls = JoinSet::new();
    for (index, agent) in agents.iter().enumerate() {
        let permits = permits.clone();
        let answer = call(agent.clone());
        calls.spawn(async move {
            // The semaphore is never closed, so a permit is always granted.
            let _permit = permits.acquire_owned().await;
            let timed_out = Err(NoAnswer::TimedOut(limit).into());
            (index, timeout(limit, answer).await.unwrap_or(timed_out))
        });
    }
    let mut results: Vec<CallResult<T>> = agents.iter().map(|_| Err(NoAnswer::TaskFailed.into())).collect();
    while let Some(joined) = calls.join_next().await {
        if let Ok((index, result)) = joined {
            results[index] = result;
        }
    }
    results
}

/// Makes a call that is answered `done`.
pub async fn call_done(agent: &Agent, call: &AdminCall) -> CallResult<()> {
    let answer = call_text(agent, call).await?;
    match answer.as_str() {
        "done\n" => Ok(()),
        other => Err(malformed(other).into()),
    }
}

/// Makes a call that is answered with one line of JSON and `end`.
pub async fn call_json<T: DeserializeOwned>(agent: &Agent, call: &AdminCall) -> CallResult<T> {
    let answer = call_text(agent, call).await?;
    let json = answer.strip_suffix("\nend\n").ok_or_else(|| malformed(&answer))?;
    serde_json::from_str(json).map_err(|_| malformed(&answer).into())
}

/// The complete text of an answer that is not an error.
async fn call_text(agent: &Agent, call: &AdminCall) -> CallResult<String> {
    let answer = exchange(agent, call).await?;
    let answer =
        String::from_utf8(answer).map_err(|error| malformed(&String::from_utf8_lossy(error.as_bytes())))?;
    match answer.strip_prefix("error ") {
        // Without its end the reason may have been cut short.
        Some(reason) if reason.ends_with('\n') => Err(CallError::Rejected(excerpt(reason))),
        _ => Ok(answer),
    }
}

/// Writes the call's line to a new connection and reads until the agent closes it.
async fn exchange(agent: &Agent, call: &AdminCall) -> Result<Vec<u8>, NoAnswer> {
    let mut stream = TcpStream::connect(agent.address).await.map_err(NoAnswer::Connect)?;
    stream.write_all(format!("{call}\n").as_bytes()).await.map_err(NoAnswer::Connection)?;
    let mut answer = Vec::new();
    let mut bounded = (&mut stream).take(MAX_ANSWER_BYTES as u64 + 1);
    bounded.read_to_end(&mut answer).await.map_err(NoAnswer::Connection)?;
    if answer.len() > MAX_ANSWER_BYTES {
        return Err(NoAnswer::TooLong);
    }
    Ok(answer)
}

fn malformed(answer: &str) -> NoAnswer {
    if answer.is_empty() {
        return NoAnswer::Empty;
    }
    NoAnswer::Malformed(excerpt(answer))
}

/// The start of an agent's text, without control characters that could change the terminal it is shown on.
fn excerpt(text: &str) -> String {
    let characters = text.trim_end().chars().take(MAX_EXCERPT_CHARS);
    characters.map(|character| if character.is_control() { ' ' } else { character }).collect()
}
