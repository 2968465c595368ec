//! Answers as JSON. Programs of the operators read it: its keys and words stay as they are.

use super::Page;
use crate::agent_file::Agent;
use crate::client::{CallError, CallResult};
use crate::queries::FleetAnswers;
use serde::Serialize;
use serde_json::{json, Value};

/// One line: each agent's answer, or why there is none; and the sum of the answers if they have one.
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
