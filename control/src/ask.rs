//! One call at many agents, side by side, each within its time limit.

use crate::agents::Agent;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Calls that are out at a time; a process has 1,024 descriptors where nobody gave it more.
const AT_ONCE: usize = 800;
/// The longest answer that is read: 2,000 renderers take a quarter of it.
const ANSWER_MOST: usize = 4 << 20;

/// Why there is no answer that says yes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The agent says no, for this reason.
    No(String),
    /// It did not answer, or not in a way that makes sense.
    Silent(String),
}

impl Fault {
    /// The reason, for a person.
    pub fn why(&self) -> &str {
        match self {
            Fault::No(why) | Fault::Silent(why) => why,
        }
    }
}

/// What an agent says to a call.
pub type Said<T> = Result<T, Fault>;

/// Asks all of them the same, side by side; each gives up after `limit`. The answers are in the agents' order.
pub async fn all<T, F>(agents: &[Agent], limit: Duration, ask: impl Fn(Agent) -> F) -> Vec<Said<T>>
where
    T: Send + 'static,
    F: Future<Output = Said<T>> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(AT_ONCE));
    let mut asked = JoinSet::new();
    for (place, agent) in agents.iter().enumerate() {
        let (room, asking) = (room.clone(), ask(agent.clone()));
        asked.spawn(async move {
            // The limit counts from when it is this one's turn. The semaphore is never closed.
            let _room = room.acquire_owned().await;
            let late = Fault::Silent(format!("no whole answer within {} ms", limit.as_millis()));
            (place, timeout(limit, asking).await.unwrap_or(Err(late)))
        });
    }
    let mut answers: Vec<Option<Said<T>>> = agents.iter().map(|_| None).collect();
    while let Some(answer) = asked.join_next().await {
        if let Ok((place, answer)) = answer {
            answers[place] = Some(answer);
        }
    }
    let lost = || Err(Fault::Silent("the call was lost".into()));
    answers.into_iter().map(|answer| answer.unwrap_or_else(lost)).collect()
}

/// One call that is answered `done`.
pub async fn done(agent: &Agent, call: &str) -> Said<()> {
    match said(agent, call).await?.as_str() {
        "done\n" => Ok(()),
        other => Err(nonsense(other)),
    }
}

/// One call that is answered by figures.
pub async fn figures<T: DeserializeOwned>(agent: &Agent, call: &str) -> Said<T> {
    let answer = said(agent, call).await?;
    let figures = answer.strip_suffix("\nend\n").ok_or_else(|| nonsense(&answer))?;
    serde_json::from_str(figures).map_err(|_| nonsense(&answer))
}

/// The whole answer to one call, unless it is a no.
async fn said(agent: &Agent, call: &str) -> Said<String> {
    let silent = |why: String| Fault::Silent(why);
    let stream = TcpStream::connect(agent.address).await;
    let mut stream = stream.map_err(|e| silent(format!("no connection: {e}")))?;
    let broken = |e: std::io::Error| silent(format!("the connection broke: {e}"));
    stream.write_all(format!("{call}\n").as_bytes()).await.map_err(broken)?;
    let mut answer = Vec::new();
    (&mut stream).take(ANSWER_MOST as u64 + 1).read_to_end(&mut answer).await.map_err(broken)?;
    if answer.len() > ANSWER_MOST {
        return Err(silent(format!("over {ANSWER_MOST} bytes of answer")));
    }
    let answer = String::from_utf8(answer).map_err(|e| nonsense(&String::from_utf8_lossy(e.as_bytes())))?;
    match answer.strip_prefix("error ") {
        // A no that has no end may have been cut short.
        Some(why) if why.ends_with('\n') => Err(Fault::No(shown(why))),
        _ => Ok(answer),
    }
}

fn nonsense(answer: &str) -> Fault {
    if answer.is_empty() {
        return Fault::Silent("it closed the connection without an answer".into());
    }
    Fault::Silent(format!("its answer makes no sense: {:?}", shown(answer)))
}

/// So much of an agent's words that they cannot spoil the page they are shown on.
fn shown(text: &str) -> String {
    text.trim_end().chars().take(120).map(|c| if c.is_control() { ' ' } else { c }).collect()
}
