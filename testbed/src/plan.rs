//! A play with every figure drawn: the same scenario and seed make the same plan, to the byte, on any machine.

mod crowd;

pub use crowd::CrowdClient;

use crate::crowd::ServerPace;
use crate::draw::Seed;
use crate::renderer::{Choke, FallRule, Micros, Spec};
use crate::scenario::{Between, Effect, Kin, Scenario, Traffic, Way};
use serde::Serialize;

/// The whole play.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// For how long requests arrive.
    pub length_us: Micros,
    /// By what work, aims and deadlines were multiplied to meet the rate.
    pub scale: f64,
    /// Standard work that all renderers do in a microsecond.
    pub capacity: f64,
    /// First tries a second.
    pub rate: f64,
    /// Zones by place.
    pub zones: Vec<String>,
    /// The region of each zone.
    pub regions: Vec<usize>,
    /// One way between each two zones.
    pub ways_us: Vec<Vec<f64>>,
    /// The share by which a way varies.
    pub jitter: f64,
    /// Classes by place.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Renderers by place.
    pub renderers: Vec<Renderer>,
    /// The rule on cold ones.
    pub fall: FallRule,
    /// An idle connection to a renderer is closed after this.
    pub idle_us: Micros,
    /// Agents by place.
    pub agents: Vec<Agent>,
    /// Descriptors of an agent.
    pub sockets: usize,
    /// Memory of an agent.
    pub memory_mb: u32,
    /// The testbed stands between agents as well.
    pub peers: bool,
    /// What clients do.
    pub clients: Clients,
    /// Clients that use as much of an agent's memory as they can.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crowd: Vec<CrowdClient>,
    /// How each renderer treats the requests of these clients; empty without any.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<ServerPace>,
    /// What goes wrong, by its start.
    pub faults: Vec<Fault>,
    /// First tries, by when they are due.
    pub arrivals: Vec<Arrival>,
}

/// A class, scaled.
#[derive(Debug, Clone, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer is in time within this.
    pub aim_us: Micros,
    /// A client waits so long over all its tries.
    pub deadline_us: Micros,
    /// For each unit of work.
    pub worth: f64,
    /// The share that a late answer keeps.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// How long a repeat is dropped.
    pub window_us: Micros,
}

/// A renderer.
#[derive(Debug, Clone, Serialize)]
pub struct Renderer {
    /// Its name in the list.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u32,
    /// What it is like.
    pub spec: Spec,
}

/// An agent.
#[derive(Debug, Clone, Serialize)]
pub struct Agent {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its seed at its first start.
    pub seed: u64,
    /// How long the list's news takes to it.
    pub spread_us: Micros,
}

/// What clients do.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Clients {
    /// Most tries after the first, with the fraction as a chance of one more.
    pub retries: f64,
    /// The part of the deadline after which a try is given up.
    pub try_share: f64,
    /// The wait before the first repeat.
    pub backoff_us: f64,
    /// The share that heeds `Retry-After`.
    pub honour: f64,
    /// The share that leaves early.
    pub impatient: f64,
    /// The longest advice that is heeded.
    pub advice_most_us: Micros,
}

/// A fault with its victims.
#[derive(Debug, Clone, Serialize)]
pub struct Fault {
    /// What it is.
    pub kind: Kin,
    /// When it begins.
    pub start_us: Micros,
    /// When it ends.
    pub end_us: Micros,
    /// The zone, where it is one's.
    pub zone: Option<usize>,
    /// The renderers that it strikes.
    pub renderers: Vec<usize>,
    /// The agents that it strikes.
    pub agents: Vec<usize>,
    /// How bad it is.
    pub size: f64,
    /// How often it strikes.
    pub every_us: Micros,
    /// Which way of the links.
    pub way: Way,
    /// Between whom.
    pub between: Between,
    /// From its beginning to the list, where the list tells of it.
    pub notice_us: Micros,
    /// From its end to the list.
    pub add_us: Micros,
}

/// A first try.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Arrival {
    /// When it is due.
    pub due_us: Micros,
    /// At which agent.
    pub agent: usize,
    /// Its class.
    pub class: usize,
    /// Its work in standard microseconds.
    pub work_us: Micros,
    /// Its waits on others.
    pub apart_us: Micros,
}

/// Purposes of streams of draws: a new one goes to the end, so that the others' draws stay.
#[derive(Clone, Copy)]
enum Lane {
    Renderers,
    Agents,
    Links,
    Load,
    Arrivals,
    Faults,
    Clients,
    Crowd,
}

/// How one request's work varies around its class's mean; the brief's classes have a coefficient near one.
const WORK_CV: f64 = 1.0;
/// And one request's from attempt to attempt.
pub const ATTEMPT_CV: f64 = 0.2;
/// The share of the renderers that turn slower when crowded, where the scenario has them at all.
const CHOKE_SHARE: f64 = 0.6;
/// A machine that always runs flat out would be warm after this part of its longest time.
const WARM_BY_WORK: f64 = 0.5;
/// The rules of the brief.
pub const FALL_MULTIPLE: f64 = 4.0;
/// For this long.
pub const FALL_US: Micros = 1_500_000;
/// And on drains.
pub const DRAIN_GRACE_US: Micros = 400_000;
/// The longest deadline counts as this much at the most when SIGKILL follows SIGTERM (the protocol page),
pub const MAX_COUNTED_DEADLINE_US: Micros = 3_000_000;
/// and SIGKILL comes no sooner than this after it.
pub const KILL_SLACK_US: Micros = 700_000;
const KEYED_US: Micros = 4_000_000;
const ADVICE_MOST_US: Micros = 2_000_000;

fn micros(ms: f64) -> Micros {
    libm::round(ms * 1e3).max(0.0) as Micros
}

/// Draws a plan.
pub fn plan(name: &str, scenario: &Scenario, seed: u64) -> Plan {
    let lane = |lane: Lane| Seed(seed).fork(1 + lane as u64);
    let zones = scenario.zones.names.clone();
    let kinds = &scenario.renderers.kinds;
    let mut draw = lane(Lane::Renderers);
    let mut in_zone = vec![0u32; zones.len()];
    let renderers: Vec<Renderer> = deal(kinds.iter().map(|k| k.share), scenario.renderers.count, &mut draw)
        .into_iter()
        .enumerate()
        .map(|(place, kind)| {
            let zone = place % zones.len();
            let cell = zone as u32 * 1000 + in_zone[zone] / scenario.renderers.cell_size as u32;
            in_zone[zone] += 1;
            let spec = machine(&kinds[kind], scenario.renderers.choke, &mut draw);
            Renderer { name: format!("r-{:08x}", draw.bits() as u32), zone, kind, cell, spec }
        })
        .collect();
    let capacity: f64 = renderers.iter().map(|r| f64::from(r.spec.cores) * r.spec.speed).sum();

    let mut draw = lane(Lane::Load);
    let load = scenario.load.draw(&mut draw);
    let shares: Vec<f64> = scenario.classes.iter().map(|c| c.share).collect();
    let total: f64 = shares.iter().sum();
    let means: Vec<(f64, f64)> = scenario
        .classes
        .iter()
        .map(|c| (c.work_ms.draw(&mut draw) * 1e3, c.apart_ms.draw(&mut draw) * 1e3))
        .collect();
    let mean_work = means.iter().zip(&shares).map(|((work, _), share)| work * share / total).sum::<f64>();
    let natural = load * capacity / mean_work * 1e6;
    let rate = scenario.rate.unwrap_or(natural);
    let scale = natural / rate;
    let classes: Vec<Class> = scenario
        .classes
        .iter()
        .map(|c| Class {
            name: c.name.clone(),
            aim_us: micros(c.aim_ms * scale).max(1000),
            deadline_us: micros(c.deadline_ms * scale).max(1000),
            worth: c.worth,
            late_worth: c.late_worth,
            effect: c.effect,
            window_us: KEYED_US,
        })
        .collect();

    let mut draw = lane(Lane::Agents);
    let agents: Vec<Agent> = (0..scenario.agents.count)
        .map(|place| Agent {
            name: format!("n{place}"),
            zone: place % zones.len(),
            seed: draw.bits(),
            spread_us: micros(scenario.discovery.spread_ms.draw(&mut draw)),
        })
        .collect();
    let weights: Vec<f64> = agents
        .iter()
        .map(|_| match scenario.agents.traffic {
            Traffic::Even => 1.0,
            Traffic::Skewed => 0.2 + draw.exponential(0.8),
        })
        .collect();

    let mut draw = lane(Lane::Links);
    let mut ways_us: Vec<Vec<f64>> = Vec::new();
    for zone in 0..zones.len() {
        let back = ways_us.iter().map(|ways| ways[zone]).collect();
        ways_us.push(back);
        for other in zone..zones.len() {
            let range = if other == zone { scenario.zones.same_ms } else { scenario.zones.cross_ms };
            ways_us[zone].push(libm::round(range.draw(&mut draw) * 1e3));
        }
    }

    let length_us = micros(scenario.seconds * 1e3);
    let mut draw = lane(Lane::Arrivals);
    let mut arrivals = Vec::new();
    let mut at = draw.exponential(1e6 / rate);
    while at < length_us as f64 {
        let class = pick(&shares, &mut draw);
        let (work, apart) = means[class];
        arrivals.push(Arrival {
            due_us: at as Micros,
            agent: pick(&weights, &mut draw),
            class,
            work_us: (draw.lognormal(work, WORK_CV) * scale).max(1.0) as Micros,
            apart_us: (draw.exponential(apart) * scale) as Micros,
        });
        at += draw.exponential(1e6 / rate);
    }

    let mut draw = lane(Lane::Clients);
    let clients = Clients {
        retries: scenario.clients.retries.draw(&mut draw),
        try_share: scenario.clients.try_share.draw(&mut draw),
        backoff_us: scenario.clients.backoff_ms.draw(&mut draw) * 1e3,
        honour: scenario.clients.honour.draw(&mut draw),
        impatient: scenario.clients.impatient.draw(&mut draw),
        advice_most_us: ADVICE_MOST_US,
    };
    let mut draw = lane(Lane::Crowd);
    let limits = crowd::draw_limits(scenario, &mut draw);
    let crowd = crowd::draw_crowd(scenario, limits.sockets, &mut draw);
    let servers = if crowd.is_empty() { 0 } else { renderers.len() };
    let paces = crowd::draw_paces(servers, &mut draw);
    let mut plan = Plan {
        scenario: name.to_owned(),
        seed,
        length_us,
        scale,
        capacity,
        rate,
        regions: (0..zones.len()).map(|zone| scenario.region(zone)).collect(),
        zones,
        ways_us,
        jitter: scenario.zones.jitter,
        classes,
        kinds: kinds.iter().map(|k| k.name.clone()).collect(),
        renderers,
        fall: FallRule { multiple: FALL_MULTIPLE, window_us: FALL_US, mean_work: mean_work * scale },
        idle_us: micros(scenario.renderers.idle_s * 1e3),
        agents,
        sockets: limits.sockets,
        memory_mb: limits.memory_mb,
        peers: scenario.agents.peers,
        clients,
        crowd,
        paces,
        faults: Vec::new(),
        arrivals,
    };
    plan.faults = faults(scenario, &plan, lane(Lane::Faults));
    plan
}

impl Plan {
    /// When a signal to agents has had its effect: a process that is told to end has until SIGKILL.
    pub fn signal_end_us(&self, fault: &Fault) -> Micros {
        let longest = self.classes.iter().map(|class| class.deadline_us).max().unwrap_or(0);
        let kill_after_us = longest.min(MAX_COUNTED_DEADLINE_US) + KILL_SLACK_US;
        match fault.kind {
            Kin::AgentTerm | Kin::AgentUpgrade => fault.end_us + kill_after_us,
            _ => fault.end_us,
        }
    }
}

fn machine(kind: &crate::scenario::Kind, chokes: bool, draw: &mut Seed) -> Spec {
    let cores = f64::from(kind.cores);
    let speed = kind.speed.draw(draw);
    let whole = |figure: f64| libm::round(figure * cores).max(1.0) as u32;
    let cold_us = micros(kind.cold_s.draw(draw) * 1e3);
    let choked = draw.unit() < CHOKE_SHARE;
    let mut one = |low: f64, high: f64| low + (high - low) * draw.unit();
    let choke = Choke {
        at: one(4.0, 7.0),
        over_us: micros(one(1500.0, 2500.0)),
        slower: one(2.1, 3.3),
        rest_us: micros(one(2000.0, 5000.0)),
        most_us: micros(one(16_000.0, 35_000.0)),
    };
    let (full_tax, handshake_us, probe_us) = (one(0.19, 0.38), one(1400.0, 4000.0), one(230.0, 370.0));
    Spec {
        cores: kind.cores,
        speed,
        slots: whole(kind.slots_per_core.draw(draw)),
        queue: libm::round(kind.queue_per_core.draw(draw) * cores) as u32,
        cold_share: kind.cold_from.draw(draw),
        cold_us,
        warm_work: cores * speed * cold_us as f64 * WARM_BY_WORK,
        connections: whole(kind.connections_per_core.draw(draw)),
        full_tax,
        handshake_us,
        probe_us,
        stops_running: draw.unit() < 0.5,
        errors: kind.error_rate.draw(draw),
        choke: (chokes && choked).then_some(choke),
    }
}

/// Spreads `count` things over shares as evenly as whole numbers allow, in drawn order.
fn deal(shares: impl Iterator<Item = f64>, count: usize, draw: &mut Seed) -> Vec<usize> {
    let shares: Vec<f64> = shares.collect();
    let total: f64 = shares.iter().sum();
    let mut dealt = vec![0.0; shares.len()];
    let mut places: Vec<usize> = (1..=count)
        .map(|n| {
            let lack = |place: usize| shares[place] / total * n as f64 - dealt[place];
            let next = (0..shares.len()).max_by(|a, b| lack(*a).total_cmp(&lack(*b))).unwrap_or(0);
            dealt[next] += 1.0;
            next
        })
        .collect();
    for i in 0..places.len() {
        let other = i + draw.below(places.len() - i);
        places.swap(i, other);
    }
    places
}

fn pick(weights: &[f64], draw: &mut Seed) -> usize {
    let mut left = draw.unit() * weights.iter().sum::<f64>();
    for (place, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return place;
        }
    }
    weights.len() - 1
}

fn faults(scenario: &Scenario, plan: &Plan, lane: Seed) -> Vec<Fault> {
    let mut faults: Vec<Fault> = scenario
        .faults
        .iter()
        .enumerate()
        .map(|(place, def)| {
            let mut draw = lane.fork(place as u64);
            let seconds = |s: f64| micros(s * 1e3);
            let start_us = seconds(def.at_s.draw(&mut draw));
            let lasts = def.lasts_s.map_or(0.0, |range| range.draw(&mut draw));
            let zone = def.zone.as_ref().and_then(|zone| plan.zones.iter().position(|name| name == zone));
            let of: Vec<usize> = (0..plan.renderers.len())
                .filter(|r| zone.is_none_or(|zone| plan.renderers[*r].zone == zone))
                .collect();
            let part = def.part.map_or(1.0, |range| range.draw(&mut draw));
            // A part of some renderers is at least one of them.
            let n = libm::round(part * of.len() as f64).max(if part > 0.0 { 1.0 } else { 0.0 }) as usize;
            let renderers = draw.some(n, of.len()).into_iter().map(|place| of[place]).collect();
            let part = def.agents.map_or(1.0, |range| range.draw(&mut draw));
            let agents = plan.agents.len();
            let n = libm::round(part * agents as f64).max(if part > 0.0 { 1.0 } else { 0.0 }) as usize;
            let notice = match def.kind {
                Kin::Crash => scenario.discovery.notice_s,
                Kin::ZoneSilent => scenario.discovery.silent_notice_s,
                _ => crate::draw::Range::at(0.0),
            };
            Fault {
                kind: def.kind,
                start_us,
                end_us: start_us + seconds(lasts),
                zone,
                renderers,
                agents: draw.some(n, agents),
                size: def.size.map_or(0.0, |range| range.draw(&mut draw)),
                every_us: def.every_s.map_or(0, |range| seconds(range.draw(&mut draw))),
                way: def.way.unwrap_or_default(),
                between: match def.kind {
                    Kin::Doubles => Between::Agents,
                    _ => def.between.unwrap_or_default(),
                },
                notice_us: seconds(notice.draw(&mut draw)),
                add_us: seconds(scenario.discovery.add_s.draw(&mut draw)),
            }
        })
        .collect();
    faults.sort_by_key(|fault| fault.start_us);
    faults
}

#[cfg(test)]
mod tests;
