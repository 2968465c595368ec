//! The admin calls that each command makes, and the agents' answers.

use crate::admin_call::{AdminCall, OperatorCommand};
use crate::agent_file::Agent;
use crate::client::{call_all, call_done, call_json, CallError, CallResult};
use crate::exit_status::ExitStatus;
use balancer_agent::admin_api::{Counters, Renderers, Zones};
use serde::de::DeserializeOwned;
use serde::{Serialize, Serializer};
use std::time::Duration;

/// Whether an agent accepts clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Health {
    /// It accepts clients.
    Serving,
    /// It does not accept clients, for this reason.
    NotServing(String),
}

/// Written as `{"Ok": null}` or `{"Err": REASON}`, which consumers of `status --json` depend on.
impl Serialize for Health {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Health::Serving => serializer.serialize_newtype_variant("Health", 0, "Ok", &()),
            Health::NotServing(reason) => serializer.serialize_newtype_variant("Health", 1, "Err", reason),
        }
    }
}

/// The state of one agent.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Whether it accepts clients.
    pub health: Health,
    /// The agent's own counters.
    pub counters: Counters,
    /// The zones as the agent sees them; `None` if it rejects the call, as agents of earlier versions do.
    pub zones: Option<Zones>,
}

/// The results of one call at many agents.
pub struct FleetAnswers<T> {
    /// The agents that were called.
    pub agents: Vec<Agent>,
    /// Each agent's result, in the order of `agents`.
    pub results: Vec<CallResult<T>>,
}

impl<T> FleetAnswers<T> {
    /// Each agent with its result.
    pub fn iter(&self) -> impl Iterator<Item = (&Agent, &CallResult<T>)> {
        self.agents.iter().zip(&self.results)
    }

    /// The agents that accepted the call, each with its answer.
    pub fn accepted(&self) -> impl Iterator<Item = (&Agent, &T)> {
        self.iter().filter_map(|(agent, result)| result.as_ref().ok().map(|answer| (agent, answer)))
    }

    /// The answers of the agents that accepted the call.
    pub fn answers(&self) -> impl Iterator<Item = &T> {
        self.accepted().map(|(_, answer)| answer)
    }

    /// The agents that did not accept the call, each with the reason.
    pub fn failed(&self) -> impl Iterator<Item = (&Agent, &CallError)> {
        self.iter().filter_map(|(agent, result)| result.as_ref().err().map(|error| (agent, error)))
    }

    /// The exit status for these results: one missing answer takes precedence over any number of rejections.
    pub fn exit_status(&self) -> ExitStatus {
        let mut status = ExitStatus::Success;
        for (_, error) in self.failed() {
            match error {
                CallError::NoAnswer(_) => return ExitStatus::NoAnswer,
                CallError::Rejected(_) => status = ExitStatus::Rejected,
            }
        }
        status
    }
}

/// Asks each agent for its health, counters and zones.
pub async fn status(agents: &[Agent], time_limit: Duration) -> FleetAnswers<Status> {
    let results = call_all(agents, time_limit, |agent| async move { agent_status(&agent).await }).await;
    FleetAnswers { agents: agents.to_vec(), results }
}

async fn agent_status(agent: &Agent) -> CallResult<Status> {
    let health = match call_done(agent, &AdminCall::Health).await {
        Ok(()) => Health::Serving,
        Err(CallError::Rejected(reason)) => Health::NotServing(reason),
        Err(error @ CallError::NoAnswer(_)) => return Err(error),
    };
    let counters = call_json(agent, &AdminCall::Counters).await?;
    let zones = match call_json(agent, &AdminCall::Zones).await {
        Ok(zones) => Some(zones),
        Err(CallError::Rejected(_)) => None,
        Err(error @ CallError::NoAnswer(_)) => return Err(error),
    };
    Ok(Status { health, counters, zones })
}

/// Asks each agent for its health.
pub async fn health(agents: &[Agent], time_limit: Duration) -> FleetAnswers<()> {
    query_done(agents, time_limit, AdminCall::Health).await
}

/// Sends an operator command to each agent.
pub async fn command(agents: &[Agent], time_limit: Duration, command: &OperatorCommand) -> FleetAnswers<()> {
    query_done(agents, time_limit, AdminCall::Command(command.clone())).await
}

/// Asks each agent for its counters.
pub async fn counters(agents: &[Agent], time_limit: Duration) -> FleetAnswers<Counters> {
    query_json(agents, time_limit, AdminCall::Counters).await
}

/// Asks each agent for the renderers as it sees them.
pub async fn renderers(agents: &[Agent], time_limit: Duration) -> FleetAnswers<Renderers> {
    query_json(agents, time_limit, AdminCall::Renderers).await
}

/// Asks each agent for the zones as it sees them.
pub async fn zones(agents: &[Agent], time_limit: Duration) -> FleetAnswers<Zones> {
    query_json(agents, time_limit, AdminCall::Zones).await
}

async fn query_done(agents: &[Agent], time_limit: Duration, call: AdminCall) -> FleetAnswers<()> {
    let make_call = |agent| {
        let call = call.clone();
        async move { call_done(&agent, &call).await }
    };
    let results = call_all(agents, time_limit, make_call).await;
    FleetAnswers { agents: agents.to_vec(), results }
}

async fn query_json<T>(agents: &[Agent], time_limit: Duration, call: AdminCall) -> FleetAnswers<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let make_call = |agent| {
        let call = call.clone();
        async move { call_json(&agent, &call).await }
    };
    let results = call_all(agents, time_limit, make_call).await;
    FleetAnswers { agents: agents.to_vec(), results }
}
