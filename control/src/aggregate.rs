//! Combines the answers of many agents.
//!
//! All agents see the same renderers, so values that describe the endpoint list are not added: the largest is used.
//! Each agent keeps its own counts, so they are added; the sums saturate instead of wrapping.

use balancer_agent::admin_api::{Counters, Renderer, Renderers, Zone, Zones};
use std::collections::BTreeMap;

/// The combined counters of all agents.
pub fn sum_counters<'a>(counters: impl Iterator<Item = &'a Counters>) -> Counters {
    let mut sum = Counters::default();
    for agent_counters in counters {
        add_by_class(&mut sum.answered, &agent_counters.answered);
        add_by_class(&mut sum.rejected, &agent_counters.rejected);
        add_by_class(&mut sum.failed, &agent_counters.failed);
        add(&mut sum.sends, agent_counters.sends);
        add(&mut sum.current, agent_counters.current);
        update_max(&mut sum.cluster_size, agent_counters.cluster_size);
        update_max(&mut sum.cluster_unhealthy, agent_counters.cluster_unhealthy);
    }
    sum
}

/// Each zone with the combined values of all agents, sorted by name. Of the agents' phases the one with the lowest
/// share of the zone's usual requests is used.
pub fn merge_zones<'a>(answers: impl Iterator<Item = &'a Zones>) -> Vec<Zone> {
    let mut merged: BTreeMap<&str, Zone> = BTreeMap::new();
    for zone in answers.flat_map(|zones| &zones.zones) {
        let sum =
            merged.entry(&zone.zone).or_insert_with(|| Zone { zone: zone.zone.clone(), ..Zone::default() });
        merge_zone(sum, zone);
    }
    merged.into_values().collect()
}

fn merge_zone(sum: &mut Zone, zone: &Zone) {
    update_max(&mut sum.listed, zone.listed);
    update_max(&mut sum.serving, zone.serving);
    update_max(&mut sum.cordoned, zone.cordoned);
    update_max(&mut sum.ejected, zone.ejected);
    update_max(&mut sum.warming_up, zone.warming_up);
    sum.is_evacuated |= zone.is_evacuated;
    if zone.phases.overall.share < sum.phases.overall.share {
        sum.phases.overall = zone.phases.overall.clone();
    }
    for (class, phase) in &zone.phases.classes {
        let lowest = sum.phases.classes.entry(class.clone()).or_default();
        if phase.share < lowest.share {
            *lowest = phase.clone();
        }
    }
    sum.limit += zone.limit;
    add(&mut sum.in_flight, zone.in_flight);
    add(&mut sum.sends, zone.sends);
    add(&mut sum.answered, zone.answered);
    add(&mut sum.failed, zone.failed);
    add(&mut sum.rejected, zone.rejected);
}

/// One renderer with the combined values of all agents.
#[derive(Debug, Clone, PartialEq)]
pub struct RendererSummary {
    /// The zone given by the first agent that lists the renderer.
    pub zone: String,
    /// Number of agents that have the renderer on their endpoint list.
    pub listing_agents: usize,
    /// Number of agents where an operator has cordoned the renderer.
    pub cordoning_agents: usize,
    /// Number of agents that have ejected the renderer as an outlier.
    pub ejecting_agents: usize,
    /// The lowest slow-start factor at any agent, 0 to 1; 1 means warmed up.
    pub slow_start_factor: f64,
    /// Concurrent requests allowed to the renderer: the sum of all agents' limits.
    pub concurrency_limit: f64,
    /// Attempts in flight, at all agents.
    pub in_flight: u64,
    /// Attempts whose request was written completely, at all agents.
    pub sends: u64,
    /// Attempts with a successful response, at all agents.
    pub answered: u64,
    /// Attempts that failed: an error, no response in time, no connection or a broken one.
    pub failed: u64,
    /// Attempts that the renderer rejected without processing them.
    pub rejected: u64,
}

impl RendererSummary {
    fn new(zone: &str) -> Self {
        RendererSummary {
            zone: zone.to_owned(),
            listing_agents: 0,
            cordoning_agents: 0,
            ejecting_agents: 0,
            slow_start_factor: 1.0,
            concurrency_limit: 0.0,
            in_flight: 0,
            sends: 0,
            answered: 0,
            failed: 0,
            rejected: 0,
        }
    }

    fn add(&mut self, renderer: &Renderer) {
        self.listing_agents += 1;
        self.cordoning_agents += usize::from(renderer.cordoned);
        self.ejecting_agents += usize::from(renderer.is_ejected);
        self.slow_start_factor = self.slow_start_factor.min(renderer.slow_start_factor);
        self.concurrency_limit += renderer.limit;
        add(&mut self.in_flight, renderer.in_flight);
        add(&mut self.sends, renderer.sends);
        add(&mut self.answered, renderer.answered);
        add(&mut self.failed, renderer.failed);
        add(&mut self.rejected, renderer.rejected);
    }
}

/// Each renderer with the combined values of all agents, by name.
pub fn merge_renderers<'a>(
    answers: impl Iterator<Item = &'a Renderers>,
) -> BTreeMap<&'a str, RendererSummary> {
    let mut merged: BTreeMap<&str, RendererSummary> = BTreeMap::new();
    for renderer in answers.flat_map(|answer| &answer.renderers) {
        let summary = merged.entry(&renderer.id).or_insert_with(|| RendererSummary::new(&renderer.zone));
        summary.add(renderer);
    }
    merged
}

/// The sum over all classes.
pub fn total(by_class: &BTreeMap<String, u64>) -> u64 {
    by_class.values().fold(0, |sum, count| sum.saturating_add(*count))
}

fn add_by_class(sum: &mut BTreeMap<String, u64>, counts: &BTreeMap<String, u64>) {
    for (class, count) in counts {
        add(sum.entry(class.clone()).or_default(), *count);
    }
}

fn add(sum: &mut u64, count: u64) {
    *sum = sum.saturating_add(count);
}

fn update_max(highest: &mut u64, value: u64) {
    *highest = value.max(*highest);
}
