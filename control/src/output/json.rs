//! JSON output. Operators' programs read it, so its keys and fixed values must not change.

use super::Page;
use crate::agent_file::Agent;
use crate::client::{CallError, CallResult};
use crate::queries::FleetAnswers;
use serde::Serialize;
use serde_json::{json, Value};

/// One line with each agent's answer or the reason why there is none, and with the sum of the answers if given.
pub fn json<T: Serialize>(answers: &FleetAnswers<T>, sum: Option<Value>) -> Page {
    let agents: Vec<Value> = answers.iter().map(|(agent, result)| agent_json(agent, result)).collect();
    let mut document = json!({ "agents": agents });
    if let Some(sum) = sum {
        document["sum"] = sum;
    }
    format!("{document}\n")
}

fn agent_json<T: Serialize>(agent: &Agent, result: &CallResult<T>) -> Value {
    let (name, address) = (&agent.name, agent.address);
    match result {
        Ok(answer) => json!({"agent": name, "address": address, "said": "yes", "answer": answer}),
        Err(CallError::Rejected(reason)) => {
            json!({"agent": name, "address": address, "said": "no", "why": reason})
        }
        Err(CallError::NoAnswer(reason)) => {
            json!({"agent": name, "address": address, "said": "nothing", "why": reason.to_string()})
        }
    }
}
