//! What agents say, put together.

use crate::agents::Agent;
use crate::ask::{self, Fault, Said};
use crate::{ALL_YES, NO_ANSWER, SOME_NO};
use balancer_agent::admin_api::{Counters, Renderers, Zones};
use serde::Serialize;
use std::time::Duration;

/// What one agent says of itself.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// It takes clients; or why not.
    pub health: Result<(), String>,
    /// Its counts.
    pub counters: Counters,
    /// Its zones; an agent of an earlier version has no answer to that.
    pub zones: Option<Zones>,
}

/// All that agents say to one question, in their order.
pub struct Answers<T> {
    /// Who was asked.
    pub agents: Vec<Agent>,
    /// What each said.
    pub said: Vec<Said<T>>,
}

impl<T> Answers<T> {
    /// Each agent and what it said.
    pub fn each(&self) -> impl Iterator<Item = (&Agent, &Said<T>)> {
        self.agents.iter().zip(&self.said)
    }

    /// Those that said yes.
    pub fn good(&self) -> impl Iterator<Item = (&Agent, &T)> {
        self.each().filter_map(|(agent, said)| said.as_ref().ok().map(|good| (agent, good)))
    }

    /// Those that did not, and why.
    pub fn faults(&self) -> impl Iterator<Item = (&Agent, &Fault)> {
        self.each().filter_map(|(agent, said)| said.as_ref().err().map(|fault| (agent, fault)))
    }

    /// The exit code: silence weighs more than a no, as nobody knows what holds there.
    pub fn code(&self) -> u8 {
        let silent = |(_, fault): (_, &Fault)| matches!(fault, Fault::Silent(_));
        match (self.faults().any(silent), self.faults().next().is_some()) {
            (true, _) => NO_ANSWER,
            (false, true) => SOME_NO,
            (false, false) => ALL_YES,
        }
    }
}

/// Health, counts and zones of each.
pub async fn status(agents: &[Agent], limit: Duration) -> Answers<Status> {
    let said = ask::all(agents, limit, |agent| async move {
        let health = match ask::done(&agent, "health").await {
            Ok(()) => Ok(()),
            Err(Fault::No(why)) => Err(why),
            Err(silent) => return Err(silent),
        };
        let counters = ask::figures(&agent, "counters").await?;
        let zones = match ask::figures(&agent, "zones").await {
            Ok(zones) => Some(zones),
            Err(Fault::No(_)) => None,
            Err(silent) => return Err(silent),
        };
        Ok(Status { health, counters, zones })
    })
    .await;
    Answers { agents: agents.to_vec(), said }
}

/// A call that is answered `done`.
pub async fn done(agents: &[Agent], limit: Duration, call: &str) -> Answers<()> {
    let ask = |agent| {
        let call = call.to_owned();
        async move { ask::done(&agent, &call).await }
    };
    Answers { agents: agents.to_vec(), said: ask::all(agents, limit, ask).await }
}

/// The counts of each.
pub async fn counters(agents: &[Agent], limit: Duration) -> Answers<Counters> {
    let ask = |agent| async move { ask::figures(&agent, "counters").await };
    Answers { agents: agents.to_vec(), said: ask::all(agents, limit, ask).await }
}

/// The renderers as each sees them.
pub async fn renderers(agents: &[Agent], limit: Duration) -> Answers<Renderers> {
    let ask = |agent| async move { ask::figures(&agent, "renderers").await };
    Answers { agents: agents.to_vec(), said: ask::all(agents, limit, ask).await }
}

/// The zones as each sees them.
pub async fn zones(agents: &[Agent], limit: Duration) -> Answers<Zones> {
    let ask = |agent| async move { ask::figures(&agent, "zones").await };
    Answers { agents: agents.to_vec(), said: ask::all(agents, limit, ask).await }
}

/// The counts of all agents together. Renderers are not added up: all agents see the same ones, or should.
pub fn sum<'a>(counters: impl Iterator<Item = &'a Counters>) -> Counters {
    let mut sum = Counters::default();
    for one in counters {
        for (total, part) in [
            (&mut sum.answered, &one.answered),
            (&mut sum.deferred, &one.deferred),
            (&mut sum.errored, &one.errored),
        ] {
            for (class, n) in part {
                let total = total.entry(class.clone()).or_default();
                *total = total.saturating_add(*n);
            }
        }
        sum.sends = sum.sends.saturating_add(one.sends);
        sum.current = sum.current.saturating_add(one.current);
        sum.cluster_size = sum.cluster_size.max(one.cluster_size);
        sum.cluster_unhealthy = sum.cluster_unhealthy.max(one.cluster_unhealthy);
    }
    sum
}
