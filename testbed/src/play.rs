//! One play: the stand-ins are set up, the agents started, the plan carried out, and everything taken down again.

use crate::oracle::{Breach, Rules};
use crate::plan::Plan;
use crate::result::{self, Own, Played, Sample};
use crate::scenario::Kin;
use crate::stage::clients::Clients;
use crate::stage::directory::Directory;
use crate::stage::faults::Faults;
use crate::stage::machine::{Machine, Presence};
use crate::stage::peers::Peers;
use crate::stage::processes::{own_cpu_s, Agents, Used};
use crate::stage::{gate, World};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// After the last arrival a play goes on until all has ended, but no longer than its deadlines take and this.
const REST: Duration = Duration::from_secs(2);

/// What a play is told while it goes.
pub enum Tick {
    /// So much of it is over.
    Progress {
        /// Seconds played.
        at_s: f64,
        /// Requests that have ended, and those served.
        ended: usize,
        /// Of them, served.
        served: usize,
        /// Rules as they stand.
        rules: Rules,
    },
}

/// The stage with its agents, ready to play.
pub struct Stage {
    /// The stand-ins.
    pub world: Arc<World>,
    /// The agents.
    pub agents: Arc<Agents>,
    tasks: Vec<JoinHandle<()>>,
}

impl Stage {
    /// Sets the stand-ins up and starts the agents. `folder` takes their files. On an error nothing is left behind.
    pub async fn set_up(plan: Arc<Plan>, program: &Path, folder: &Path) -> Result<Self, String> {
        let inherit = plan.faults.iter().any(|fault| fault.kind == Kin::AgentUpgrade);
        let world = World::new(plan.clone())?;
        let agents = Arc::new(Agents::new(&world, program, folder, inherit)?);
        let mut tasks = Vec::new();
        for renderer in 0..plan.renderers.len() {
            tasks.push(tokio::spawn(Machine::run(world.clone(), renderer)));
            for agent in 0..plan.agents.len() {
                tasks.push(tokio::spawn(gate::serve(world.clone(), agent, renderer)));
            }
        }
        for agent in 0..plan.agents.len() {
            tasks.push(tokio::spawn(Directory::serve(world.clone(), agent, false)));
            tasks.push(tokio::spawn(Directory::serve(world.clone(), agent, true)));
        }
        if plan.peers {
            let (peers, relaying) = Peers::start(&world).await?;
            tasks.extend(relaying);
            // It is set here alone.
            let _ = world.peers.set(peers);
        }
        let stage = Stage { world, agents, tasks };
        match stage.start_agents().await {
            Ok(()) => Ok(stage),
            Err(why) => {
                stage.take_down().await;
                Err(why)
            }
        }
    }

    async fn start_agents(&self) -> Result<(), String> {
        let (world, agents) = (&self.world, &self.agents);
        let mut numbers = Vec::new();
        for agent in 0..world.plan.agents.len() {
            numbers.push(agents.start(world, agent)?);
        }
        for (agent, number) in numbers.into_iter().enumerate() {
            tokio::select! {
                ready = agents.ready(world, agent, number) => ready?,
                why = world.broken_off() => return Err(why),
            }
        }
        Ok(())
    }

    /// Ends the agents and everything else.
    pub async fn take_down(self) -> Vec<Used> {
        self.agents.end_all(&self.world).await;
        let used = self.agents.used();
        self.tasks.iter().for_each(JoinHandle::abort);
        used
    }
}

/// What a play left.
pub struct End {
    /// What it came to.
    pub played: Played,
    /// The breaches that are told in words.
    pub breaches: Vec<Breach>,
    /// Why it was broken off, if it was.
    pub broken_off: Option<String>,
}

/// Plays a plan with an agent's program. It can be broken off at any time by `stop`; what has been played until then
/// counts.
pub async fn play(
    plan: Arc<Plan>,
    program: &Path,
    folder: &Path,
    stop: impl std::future::Future<Output = String>,
    mut tell: impl FnMut(Tick),
) -> Result<End, String> {
    let Stage { world, agents, mut tasks } = Stage::set_up(plan.clone(), program, folder).await?;
    let clients = Clients::new(&world);
    let own_before = own_cpu_s();
    world.clock.begin();
    tasks.push(tokio::spawn(agents.clone().watch()));
    tasks.push(tokio::spawn(Directory::insist(world.clone())));
    for (place, member) in plan.crowd.iter().enumerate() {
        let (address, method) = (world.addresses.agent(member.agent), member.method.clone());
        tasks.push(tokio::spawn(member.client.repeat(address, method, format!("crowd-{place}"))));
    }
    let faults = Faults::new(world.clone(), agents.clone()).begin();
    let arriving = tokio::spawn(clients.clone().arrive(world.clone()));

    let looked = Arc::new(Mutex::new(vec![Vec::new(); plan.renderers.len()]));
    tasks.push(tokio::spawn(look(world.clone(), looked.clone())));
    let deadline = plan.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0);
    let faults_end = plan.faults.iter().map(|f| f.end_us).max().unwrap_or(0);
    let last = world.clock.instant(plan.length_us.max(faults_end) + deadline) + REST;
    let whole = async {
        loop {
            let ended = {
                let ledger = world.ledger();
                let (ended, served) =
                    ledger.outcomes.iter().flatten().fold((0, 0), |(ended, served), outcome| {
                        (ended + 1, served + usize::from(outcome.served_us.is_some()))
                    });
                let at_s = world.clock.now() as f64 / 1e6;
                tell(Tick::Progress { at_s, ended, served, rules: ledger.rules });
                ended
            };
            let done = ended == plan.arrivals.len() && world.clock.now() >= plan.length_us;
            if (done && faults.iter().all(JoinHandle::is_finished)) || Instant::now() >= last {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    };
    let broken_off = tokio::select! {
        () = whole => None,
        why = world.broken_off() => Some(why),
        why = stop => Some(why),
    };
    let ended_at = world.clock.now();
    arriving.abort();
    let late = |quantile| world.clock.late_ms(quantile);
    let mut own = Own {
        ended_at,
        late_ms: (late(0.5), late(0.99), late(1.0)),
        cpu_s: own_cpu_s() - own_before,
        samples: Vec::new(),
        connections: clients.connections(),
        list_bytes: 0,
    };
    faults.iter().for_each(JoinHandle::abort);
    let stage = Stage { world: world.clone(), agents, tasks };
    let used = stage.take_down().await;
    let ledger = world.ledger();
    own.list_bytes = world.directory.list_bytes();
    own.samples = std::mem::take(&mut *crate::lock(&looked));
    let played = result::sum_up(&plan, &ledger, used, own);
    Ok(End { played, breaches: ledger.breaches.clone(), broken_off })
}

/// Notes how each renderer stands every so often; never ends.
async fn look(world: Arc<World>, looked: Arc<Mutex<Vec<Vec<Sample>>>>) {
    let step = (result::SAMPLE_S * 1e6) as u64;
    for n in 0.. {
        sleep_until(world.clock.instant(n * step)).await;
        let mut looked = crate::lock(&looked);
        for (machine, samples) in world.machines.iter().zip(looked.iter_mut()) {
            let up = machine.seen().borrow().0 == Presence::Up;
            samples.push(machine.with(|renderer| Sample {
                up,
                in_flight: renderer.in_flight() as u32,
                warmth: renderer.warmth(),
            }));
        }
    }
}

/// Finds the agent's program: the one that is named, or `balancer-agent` beside the testbed's own, built first where the testbed was
/// started by cargo.
pub fn program(named: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(named) = named {
        let found = named.canonicalize().map_err(|e| format!("--agent {}: {e}", named.display()))?;
        return if found.is_file() {
            Ok(found)
        } else {
            Err(format!("--agent {}: no program", named.display()))
        };
    }
    beside("balancer-agent").map_err(|why| format!("{why}, or name one with --agent"))
}

/// A program of this workspace beside the testbed's own, built first where the testbed was started by cargo.
pub fn beside(name: &str) -> Result<PathBuf, String> {
    let own =
        std::env::current_exe().map_err(|e| format!("the testbed does not find its own program: {e}"))?;
    // A test's program lies one folder deeper.
    let folder = own.parent().map(|f| if f.ends_with("deps") { f.parent().unwrap_or(f) } else { f });
    let beside = folder.unwrap_or(Path::new(".")).join(name);
    if let Some(cargo) =
        std::env::var_os("CARGO").filter(|_| !own.parent().is_some_and(|f| f.ends_with("deps")))
    {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."));
        let mut build = std::process::Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "--bin", name]).current_dir(root);
        if folder.is_some_and(|f| f.ends_with("release")) {
            build.arg("--release");
        }
        let status = build.status().map_err(|e| format!("cargo cannot be run to build {name}: {e}"))?;
        if !status.success() {
            return Err(format!("{name} cannot be built: cargo build ended with {status}"));
        }
    }
    if beside.is_file() {
        Ok(beside)
    } else {
        Err(format!("{}: no such program; build it first", beside.display()))
    }
}
