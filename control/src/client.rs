//! Client of the admin API: makes a call to one agent, or to many agents concurrently.

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

/// Each call uses one file descriptor; a process may have 1,024 by default.
const MAX_CONCURRENT_CALLS: usize = 800;
/// Longest answer that is accepted. The largest expected one, with 2,000 renderers, takes a quarter of it.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How much of an agent's text is shown in an error.
const MAX_EXCERPT_CHARS: usize = 120;

/// Why an agent did not accept a call.
#[derive(Debug, Error)]
pub enum CallError {
    /// The agent answered with an error; its reason.
    #[error("{0}")]
    Rejected(String),
    /// The agent did not answer or its answer is malformed, so its state is unknown.
    #[error(transparent)]
    NoAnswer(#[from] NoAnswer),
}

/// Why there is no usable answer.
#[derive(Debug, Error)]
pub enum NoAnswer {
    /// The answer was not complete within this time limit.
    #[error("no complete answer within {} ms", .0.as_millis())]
    TimedOut(Duration),
    /// The connection was not established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed during the call.
    #[error("connection lost during the call: {0}")]
    Connection(#[source] io::Error),
    /// The answer exceeds [`MAX_ANSWER_BYTES`].
    #[error("the answer is longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The agent closed the connection without sending anything.
    #[error("the agent closed the connection without an answer")]
    Empty,
    /// The answer does not have the format of the call's answers, or is truncated. Holds its first characters.
    #[error("malformed answer: {0:?}")]
    Malformed(String),
    /// The task that made the call panicked or was cancelled.
    #[error("internal error: the task of the call failed")]
    TaskFailed,
}

/// An agent's answer to a call.
pub type CallResult<T> = Result<T, CallError>;

/// Calls all agents concurrently, [`MAX_CONCURRENT_CALLS`] at a time. Each has `time_limit` for its complete answer,
/// counted from the start of its own call. The results are in the order of `agents`.
pub async fn call_all<T, F>(
    agents: &[Agent],
    time_limit: Duration,
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
            let timed_out = Err(NoAnswer::TimedOut(time_limit).into());
            (index, timeout(time_limit, answer).await.unwrap_or(timed_out))
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

/// Makes a call and returns the text of the answer unless it is an error.
async fn call_text(agent: &Agent, call: &AdminCall) -> CallResult<String> {
    let answer = exchange(agent, call).await?;
    let answer =
        String::from_utf8(answer).map_err(|error| malformed(&String::from_utf8_lossy(error.as_bytes())))?;
    match answer.strip_prefix("error ") {
        // Without the final newline the reason may be truncated.
        Some(reason) if reason.ends_with('\n') => Err(CallError::Rejected(excerpt(reason))),
        _ => Ok(answer),
    }
}

/// Sends the call's line over a new connection and reads until the agent closes it.
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

/// The start of an agent's text, with control characters replaced by spaces as they could alter the terminal.
fn excerpt(text: &str) -> String {
    let characters = text.trim_end().chars().take(MAX_EXCERPT_CHARS);
    characters.map(|character| if character.is_control() { ' ' } else { character }).collect()
}
