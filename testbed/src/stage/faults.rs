//! What goes wrong, when the plan says so.

use super::directory::{Health, Mood};
use super::machine::Presence;
use super::processes::{call, Agents};
use super::World;
use crate::link::State;
use crate::plan::Fault;
use crate::renderer::Micros;
use crate::scenario::{Between, Kin, Way};
use rustix::process::Signal;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep_until;

/// After a word to end, new connections keep coming for this long before the process is started again beside.
const UPGRADE_WITHIN: Duration = Duration::from_secs(6);
/// A call of staff counts from the agent's yes, or so long after it was made.
const CALL_COUNTS: Micros = 1_000_000;
/// What a drained renderer gets to finish what it has.
const FINISH: Duration = Duration::from_millis(1500);

/// Plays the faults.
pub struct Faults {
    world: Arc<World>,
    agents: Arc<Agents>,
    /// Faults of links that are on now.
    links: Mutex<Vec<usize>>,
}

impl Faults {
    /// None is on.
    pub fn new(world: Arc<World>, agents: Arc<Agents>) -> Arc<Self> {
        Arc::new(Faults { world, agents, links: Mutex::default() })
    }

    /// Starts a task for each fault of the plan.
    pub fn begin(self: Arc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        (0..self.world.plan.faults.len())
            .map(|place| {
                let faults = self.clone();
                tokio::spawn(async move { faults.play(place).await })
            })
            .collect()
    }

    async fn until(&self, at: Micros) {
        sleep_until(self.world.clock.instant(at)).await;
        self.world.clock.did(at);
    }

    async fn play(self: Arc<Self>, place: usize) {
        let world = self.world.clone();
        let fault = world.plan.faults[place].clone();
        self.until(fault.start_us).await;
        match fault.kind {
            Kin::Crash | Kin::ZoneSilent => self.crash(&fault).await,
            Kin::Pauses => self.pauses(&fault).await,
            Kin::Slow => {
                self.each(&fault, |m| m.with(|r| r.slow(world.clock.now(), fault.size)));
                self.until(fault.end_us).await;
                self.each(&fault, |m| m.with(|r| r.slow(world.clock.now(), 1.0)));
            }
            Kin::Failing => {
                self.each(&fault, |m| m.ails(Some(fault.size), None));
                self.until(fault.end_us).await;
                self.each(&fault, |m| m.ails(Some(0.0), None));
            }
            Kin::Resets => {
                self.each(&fault, |m| m.ails(None, Some(fault.size)));
                self.until(fault.end_us).await;
                self.each(&fault, |m| m.ails(None, Some(0.0)));
            }
            Kin::Drain => self.drain(&fault).await,
            Kin::Cordon => self.cordon(&fault).await,
            Kin::ZoneCut | Kin::Cut | Kin::Loss | Kin::Delay | Kin::Doubles => {
                self.lay(|on| on.push(place));
                self.until(fault.end_us).await;
                self.lay(|on| on.retain(|other| *other != place));
            }
            Kin::DiscoveryStale => {
                let stale = (fault.size * 1e6) as Micros;
                self.treat(&fault, None, Some(stale));
                self.until(fault.end_us).await;
                self.treat(&fault, None, Some(0));
            }
            Kin::DiscoverySilent | Kin::DiscoveryDown => {
                let mood = if fault.kind == Kin::DiscoveryDown { Mood::Down } else { Mood::Silent };
                self.treat(&fault, Some(mood), None);
                self.until(fault.end_us).await;
                self.treat(&fault, Some(Mood::Well), None);
            }
            Kin::DiscoveryMoves => {
                for agent in &fault.agents {
                    world.directory.moves(*agent);
                    self.trouble(self.agents.reconfigure(&world, *agent));
                }
            }
            Kin::AgentKill | Kin::AgentStop | Kin::AgentTerm | Kin::AgentUpgrade => {
                let each = fault.agents.iter().map(|agent| {
                    let (faults, fault, agent) = (self.clone(), fault.clone(), *agent);
                    tokio::spawn(async move { faults.process(&fault, agent).await })
                });
                for done in each.collect::<Vec<_>>() {
                    // A panic has broken the play off already.
                    let _ = done.await;
                }
            }
        }
    }

    fn trouble<T>(&self, done: Result<T, String>) -> Option<T> {
        done.map_err(|why| self.world.break_off(why)).ok()
    }

    fn each(&self, fault: &Fault, act: impl Fn(&super::machine::Machine)) {
        fault.renderers.iter().for_each(|renderer| act(&self.world.machines[*renderer]));
    }

    fn treat(&self, fault: &Fault, mood: Option<Mood>, stale: Option<Micros>) {
        fault.agents.iter().for_each(|agent| self.world.directory.treat(*agent, mood, stale));
    }

    async fn crash(&self, fault: &Fault) {
        let world = &self.world;
        let presence = if fault.kind == Kin::ZoneSilent { Presence::Vanished } else { Presence::Down };
        self.each(fault, |machine| machine.end(world.clock.now(), presence));
        for renderer in &fault.renderers {
            world.directory.ended(world, *renderer, fault.notice_us);
        }
        self.until(fault.end_us).await;
        self.restart(fault);
    }

    fn restart(&self, fault: &Fault) {
        for renderer in &fault.renderers {
            if self.world.machines[*renderer].start(self.world.clock.now()) {
                self.world.directory.started(&self.world, *renderer, fault.add_us);
            }
        }
    }

    async fn pauses(&self, fault: &Fault) {
        let world = &self.world;
        let mut next = fault.start_us;
        // Each has its own turn within the first round, so that they do not all stand still at once.
        while next < fault.end_us {
            for (place, renderer) in fault.renderers.iter().enumerate() {
                let at = next + fault.every_us * place as u64 / fault.renderers.len().max(1) as u64;
                let (world, renderer, us) = (world.clone(), *renderer, (fault.size * 1e3) as Micros);
                tokio::spawn(async move {
                    sleep_until(world.clock.instant(at)).await;
                    world.machines[renderer].with(|r| r.pause(world.clock.now(), true));
                    sleep_until(world.clock.instant(at + us)).await;
                    world.machines[renderer].with(|r| r.pause(world.clock.now(), false));
                });
            }
            next += fault.every_us.max((fault.size * 1e3) as Micros + 1000);
            self.until(next.min(fault.end_us)).await;
        }
    }

    /// The list says that they drain; they finish, are restarted, and are listed again.
    async fn drain(&self, fault: &Fault) {
        let world = &self.world;
        for renderer in &fault.renderers {
            world.directory.tell(world.clock.now(), *renderer, Health::Draining, 0.0);
        }
        let over = fault.end_us.saturating_sub(500_000).max(fault.start_us + FINISH.as_micros() as u64);
        self.until(over).await;
        self.each(fault, |machine| machine.end(world.clock.now(), Presence::Down));
        for renderer in &fault.renderers {
            world.directory.tell(world.clock.now(), *renderer, Health::Removed, 0.0);
        }
        self.until(fault.end_us.max(over)).await;
        self.restart(fault);
    }

    /// Staff call them out at every agent, restart them, and call them back.
    async fn cordon(&self, fault: &Fault) {
        let world = &self.world;
        self.call(fault, true).await;
        let over = fault.end_us.saturating_sub(500_000).max(fault.start_us + FINISH.as_micros() as u64);
        self.until(over).await;
        self.each(fault, |machine| machine.end(world.clock.now(), Presence::Down));
        for renderer in &fault.renderers {
            world.directory.ended(world, *renderer, fault.notice_us);
        }
        self.until(fault.end_us.max(over)).await;
        self.restart(fault);
        self.call(fault, false).await;
    }

    async fn call(&self, fault: &Fault, out: bool) {
        let mut calls = Vec::new();
        for agent in 0..self.world.plan.agents.len() {
            for renderer in fault.renderers.clone() {
                let (world, address) = (self.world.clone(), self.agents.operator(&self.world, agent));
                calls.push(tokio::spawn(async move {
                    let asked = world.clock.now();
                    let name = &world.plan.renderers[renderer].name;
                    let word = if out { "cordon" } else { "uncordon" };
                    if !out {
                        world.ledger().cordoned(asked, agent, renderer, false);
                    }
                    let said = call(address, &format!("{word} {name}")).await;
                    if out {
                        let yes = said.is_some_and(|said| said.starts_with("done"));
                        let from = if yes { world.clock.now() } else { asked + CALL_COUNTS };
                        world.ledger().cordoned(from, agent, renderer, true);
                    }
                }));
            }
        }
        for call in calls {
            // A panic has broken the play off already.
            let _ = call.await;
        }
    }

    /// Changes which faults of links are on, and lays every link anew.
    fn lay(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let mut on = crate::lock(&self.links);
        change(&mut on);
        let plan = &self.world.plan;
        for agent in 0..plan.agents.len() {
            for renderer in 0..plan.renderers.len() {
                let mut state = State::GOOD;
                for fault in on.iter().map(|place| &plan.faults[*place]) {
                    strike(&mut state, fault, plan, agent, renderer);
                }
                self.world.links.of(agent, renderer).set(state);
            }
        }
        let Some(peers) = self.world.peers.get() else { return };
        for from in 0..plan.agents.len() {
            for to in 0..plan.agents.len() {
                let mut state = State::GOOD;
                for fault in on.iter().map(|place| &plan.faults[*place]) {
                    strike_peers(&mut state, fault, plan, from, to);
                }
                peers.links().of(from, to).set(state);
            }
        }
    }

    async fn process(&self, fault: &Fault, agent: usize) {
        let (world, agents) = (&self.world, &self.agents);
        match fault.kind {
            Kin::AgentKill => {
                world.ledger().excuse(
                    agent,
                    fault.start_us,
                    fault.end_us + UPGRADE_WITHIN.as_micros() as u64,
                );
                agents.signal(agent, Signal::KILL, false);
                self.until(fault.end_us).await;
                world.ledger().forgets(agent);
                self.again(agent).await;
            }
            Kin::AgentStop => {
                // A client's time that touches the stop, or the moment after it, cannot be kept.
                world.ledger().excuse(agent, fault.start_us, fault.end_us + 500_000);
                agents.signal(agent, Signal::STOP, false);
                self.until(fault.end_us).await;
                agents.signal(agent, Signal::CONT, false);
            }
            Kin::AgentTerm => {
                agents.end(world, agent, false).await;
                world.ledger().forgets(agent);
                self.again(agent).await;
            }
            _ => {
                let Some(number) = self.trouble(agents.start(world, agent)) else { return };
                let ready = tokio::time::timeout(UPGRADE_WITHIN, agents.ready(world, agent, number)).await;
                match ready {
                    Ok(ready) => self.trouble(ready),
                    Err(_) => None,
                };
                agents.end(world, agent, true).await;
            }
        }
    }

    async fn again(&self, agent: usize) {
        let Some(number) = self.trouble(self.agents.start(&self.world, agent)) else { return };
        self.trouble(self.agents.ready(&self.world, agent, number).await);
    }
}

/// What a fault does to the link of a pair.
fn strike(state: &mut State, fault: &Fault, plan: &crate::plan::Plan, agent: usize, renderer: usize) {
    if fault.kind == Kin::ZoneCut {
        let inside = |zone: usize| Some(zone) == fault.zone;
        let cut = inside(plan.agents[agent].zone) != inside(plan.renderers[renderer].zone);
        state.cut_to |= cut;
        state.cut_back |= cut;
        return;
    }
    if fault.between != Between::Renderers
        || !fault.agents.contains(&agent)
        || !fault.renderers.contains(&renderer)
    {
        return;
    }
    let (to, back) = (fault.way != Way::Back, fault.way != Way::To);
    let on = |yes: bool, size: f64| if yes { size } else { 0.0 };
    match fault.kind {
        Kin::Cut => {
            state.cut_to |= to;
            state.cut_back |= back;
        }
        Kin::Loss => {
            state.loss_to = state.loss_to.max(on(to, fault.size));
            state.loss_back = state.loss_back.max(on(back, fault.size));
        }
        Kin::Delay => {
            state.more_to_us += on(to, fault.size * 1e3);
            state.more_back_us += on(back, fault.size * 1e3);
        }
        _ => {}
    }
}

/// What a fault does to the way from one agent to another.
fn strike_peers(state: &mut State, fault: &Fault, plan: &crate::plan::Plan, from: usize, to: usize) {
    if fault.kind == Kin::ZoneCut {
        let inside = |agent: usize| Some(plan.agents[agent].zone) == fault.zone;
        state.cut_to |= inside(from) != inside(to);
        return;
    }
    let sends = fault.agents.contains(&from) && fault.way != Way::Back;
    let hears = fault.agents.contains(&to) && fault.way != Way::To;
    if fault.between != Between::Agents || !(sends || hears) {
        return;
    }
    match fault.kind {
        Kin::Cut => state.cut_to = true,
        Kin::Loss => state.loss_to = state.loss_to.max(fault.size),
        Kin::Delay => state.more_to_us += fault.size * 1e3,
        Kin::Doubles => state.doubled = state.doubled.max(fault.size),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
