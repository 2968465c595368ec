//! Draws the crowd of a plan, and the limits under which the agents run.

use crate::crowd::{Client, Method, ServerPace};
use crate::draw::Seed;
use crate::scenario::crowd::Limits;
use crate::scenario::{Effect, Scenario};
use serde::Serialize;

/// Proper requests use this part of the descriptors at the most (the terms), and the crowd leaves some of it to the load.
const PROPER_DIVISOR: usize = 4;
/// The chance of a server to be slow or to hang.
const BAD_SERVER_CHANCE: f64 = 0.15;

/// One client of a crowd.
#[derive(Debug, Clone, Serialize)]
pub struct CrowdClient {
    /// The agent that it uses.
    pub agent: usize,
    /// What it does.
    pub client: Client,
    /// The classes of its requests.
    pub method: Method,
}

/// The limits of every agent: those of the scenario, or some that are drawn from its list.
pub fn draw_limits(scenario: &Scenario, draw: &mut Seed) -> Limits {
    let agents = &scenario.agents;
    let place = draw.below(agents.limits.len());
    let usual = Limits { memory_mb: agents.memory_mb, sockets: agents.sockets };
    agents.limits.get(place).copied().unwrap_or(usual)
}

/// How each of `servers` servers treats the requests of a crowd.
pub fn draw_paces(servers: usize, draw: &mut Seed) -> Vec<ServerPace> {
    let mut pace = || {
        let is_bad = draw.unit() < BAD_SERVER_CHANCE;
        let bad = ServerPace::ALL[1 + draw.below(ServerPace::ALL.len() - 1)];
        if is_bad {
            bad
        } else {
            ServerPace::Fast
        }
    };
    (0..servers).map(|_| pace()).collect()
}

/// The clients of all agents' crowds.
pub fn draw_crowd(scenario: &Scenario, sockets: usize, draw: &mut Seed) -> Vec<CrowdClient> {
    let Some(crowd) = &scenario.crowd else { return Vec::new() };
    let is_full = draw.unit() < crowd.full_chance;
    let drawn = crowd.clients.draw(draw) as usize;
    let clients = if is_full { sockets } else { drawn.min(sockets) };
    let kinds = (crowd.kinds.draw(draw) as usize).max(1);
    let class_of = |effect: &[Effect]| {
        let class = scenario.classes.iter().find(|class| effect.contains(&class.effect));
        class.map_or_else(String::new, |class| class.name.clone())
    };
    let kinds: Vec<(Client, Method)> = (0..kinds)
        .map(|_| {
            let client = Client::draw(draw);
            let effect = [Effect::Keyed, Effect::Unsafe][draw.below(2)];
            let method = Method {
                get_class: class_of(&[Effect::Safe]),
                post_class: class_of(&[effect]),
                fields: "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n".into(),
            };
            (client, method)
        })
        .collect();
    let agents = 0..scenario.agents.count;
    agents
        .flat_map(|agent| {
            let kinds = &kinds;
            let mut proper = 0;
            (0..clients).filter_map(move |number| {
                let (client, method) = kinds[number % kinds.len()].clone();
                proper += usize::from(client.is_proper());
                let is_allowed = !client.is_proper() || proper <= sockets / PROPER_DIVISOR;
                is_allowed.then_some(CrowdClient { agent, client, method })
            })
        })
        .collect()
}
