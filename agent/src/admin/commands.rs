//! What the staff's calls mean, and what outlives a process of what they said.

use crate::admin::saver::{Saver, Unsaved};
use crate::admin_api::{Counters, Renderers, Zone, Zones, RENDERERS_MOST, ZONES_MOST};
use crate::driver::Driver;
use crate::metrics::{self, Attempts};
use crate::peers::cordons::{Cordons, Word};
use crate::peers::file::{self, Now, Owner};
use crate::peers::learned::{self, Inheritance};
use crate::peers::writer::{Outlives, Writer};
use balancer::Time;
use balancer_settings::Names;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

/// Before the name of a zone among the words on renderers; no call can name a renderer with a space.
const ZONE: &str = "zone ";

/// How the writes of what was learned go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Keeping {
    /// Nothing is being written.
    Idle,
    /// A write is under way.
    UnderWay { failing: bool },
    /// The last one failed, and that has been said.
    Failing,
}

/// What the staff ask and say.
pub struct Admin {
    driver: Rc<Driver>,
    cordons: Rc<RefCell<Cordons>>,
    saver: Rc<Saver>,
    /// Where the processes of this agent leave each other what they know, and what writes there.
    folder: Option<(PathBuf, Rc<Writer>)>,
    keeping: Cell<Keeping>,
    /// What this process may begin with, of what the one beside it has learned.
    inheritance: RefCell<Option<Inheritance>>,
    /// Who they are, so that nobody else's is taken in.
    owner: Owner,
}

impl Admin {
    /// Takes in what has been said to another process of this agent.
    pub fn new(driver: Rc<Driver>, folder: Option<PathBuf>, agent: String, listen: String) -> Rc<Self> {
        let Names { zones, classes, .. } = driver.names.clone();
        let owner = Owner { agent, listen, zones, classes };
        let folder = folder.and_then(with_writer);
        let path = folder.as_ref().map(|(path, _)| path.clone());
        path.iter().for_each(|path| file::remove_abandoned(path, &owner));
        let inherits = |path: &PathBuf| Inheritance::new(path, owner.clone(), Now::read());
        let inheritance = RefCell::new(path.as_ref().map(inherits));
        let cordons = Rc::new(RefCell::new(Cordons::new(path, owner.clone())));
        let saver = Rc::new(Saver::default());
        if let Some((_, writer)) = &folder {
            tokio::task::spawn_local(saver.clone().run(cordons.clone(), writer.clone()));
        }
        let keeping = Cell::new(Keeping::Idle);
        let admin = Admin { driver, cordons, saver, folder, keeping, inheritance, owner };
        admin.look();
        Rc::new(admin)
    }

    /// Whether this process takes clients.
    pub fn serves(&self) -> bool {
        self.driver.is_serving()
    }

    /// The figures as the operators read them.
    pub fn counters(&self) -> Counters {
        let fleet = self.driver.view().endpoint_counts();
        metrics::report(&self.driver.counts(), &self.driver.names.classes, fleet.listed, fleet.avoided)
    }

    /// The operators' words that would not outlive this process yet.
    fn unsaved(&self) -> u64 {
        self.cordons.borrow().unsaved() as u64
    }

    /// Each renderer on the list.
    pub fn renderers(&self) -> Renderers {
        let mut renderers = self.driver.view().renderers();
        let left_out = renderers.len().saturating_sub(RENDERERS_MOST) as u64;
        renderers.truncate(RENDERERS_MOST);
        Renderers { renderers, left_out, unsaved: self.unsaved() }
    }

    /// The same summed by zone, with what was counted of renderers that have left the list.
    pub fn zones(&self) -> Zones {
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for (zone, attempts) in self.driver.view().removed_attempts_by_zone() {
            let Attempts { sends, answered, failed, rejected } = attempts;
            zones.insert(zone, Zone { sends, answered, failed, rejected, ..Zone::default() });
        }
        for renderer in self.driver.view().renderers() {
            let zone = zones.entry(renderer.zone).or_default();
            zone.listed += 1;
            zone.serving += u64::from(renderer.serving);
            zone.cordoned += u64::from(renderer.cordoned);
            zone.doubted += u64::from(renderer.doubted);
            zone.cold += u64::from(renderer.warmth < 1.0);
            zone.limit += renderer.limit;
            zone.in_flight += renderer.in_flight;
            zone.sends += renderer.sends;
            zone.answered += renderer.answered;
            zone.failed += renderer.failed;
            zone.rejected += renderer.rejected;
        }
        let mut phases = self.driver.view().zone_phases();
        let left_out = zones.len().saturating_sub(ZONES_MOST) as u64;
        let cordons = self.cordons.borrow();
        let left = |name: &str| cordons.out(&format!("{ZONE}{name}"));
        let named = zones.into_iter().take(ZONES_MOST).map(|(name, zone)| Zone {
            left: left(&name),
            use_of: phases.remove(&name).unwrap_or_default(),
            zone: name,
            ..zone
        });
        Zones { zones: named.collect(), left_out, unsaved: cordons.unsaved() as u64 }
    }

    /// Takes a server out of use for the operators, or brings it back; false if nobody has had that name. An error
    /// means that this process does so, and that one that takes over will not know yet.
    pub async fn cordon(&self, name: &str, out: bool) -> Result<bool, Unsaved> {
        self.look();
        if !self.cordons.borrow().knows(name) && self.driver.view().server_id(name).is_none() {
            return Ok(false);
        }
        self.hold(name, out).await?;
        Ok(true)
    }

    /// Leaves a zone for the operators, or returns to it; false if there is no such zone. An error as with cordons.
    pub async fn zone(&self, name: &str, out: bool) -> Result<bool, Unsaved> {
        self.look();
        let key = format!("{ZONE}{name}");
        if !self.cordons.borrow().knows(&key) && !self.driver.view().has_zone(name) {
            return Ok(false);
        }
        self.hold(&key, out).await?;
        Ok(true)
    }

    /// Does what the operators say, at once, and waits until that will outlive this process. One who says it again asks
    /// for the same.
    async fn hold(&self, key: &str, out: bool) -> Result<(), Unsaved> {
        if self.cordons.borrow().out(key) != out {
            self.pass_on(key, out, self.driver.clock.now());
            self.cordons.borrow_mut().say(key, out, Now::read());
        }
        if self.cordons.borrow().is_saved() {
            return Ok(());
        }
        let revision = self.cordons.borrow().revision();
        self.saver.saved(revision).await
    }

    /// Takes in what the operators have said to another process of this agent.
    pub fn look(&self) {
        let before = self.cordons.borrow().revision();
        let news = self.cordons.borrow_mut().look(Now::read());
        for (name, Word { out, at }) in news {
            self.pass_on(&name, out, self.driver.time_of_wall_clock(Time(at)));
        }
        if self.cordons.borrow().revision() != before {
            self.saver.wake();
        }
    }

    fn pass_on(&self, name: &str, out: bool, at: Time) {
        if let Some(zone) = name.strip_prefix(ZONE) {
            tracing::info!(target: "admin", zone, "the zone is {}", if out { "left" } else { "returned to" });
            return self.driver.set_zone_evacuated(zone, out, at);
        }
        tracing::info!(target: "admin", "{name:.80} is {}", if out { "cordoned" } else { "back" });
        self.driver.set_cordoned(name, out, at);
    }

    /// Begins with what the process beside this one has learned, once that is known to be fresh. To be called until the
    /// process has something of its own to leave.
    pub fn learn(&self) {
        let server = |name: &str| self.driver.view().server_id(name);
        let mut inheritance = self.inheritance.borrow_mut();
        let Some(lessons) = inheritance.as_mut().and_then(|from| from.look(Now::read(), server)) else {
            return;
        };
        tracing::info!(target: "handover", "begins with what was learned of {} servers", lessons.servers.len());
        self.driver.restore(lessons);
    }

    /// Leaves what has been learned there, once there is something.
    pub fn keep_learned(self: &Rc<Self>) {
        let Some((folder, writer)) = &self.folder else { return };
        // What this process writes would pass for a sign of life of the one beside it.
        if self.inheritance.borrow().as_ref().is_some_and(Inheritance::awaited) {
            return;
        }
        let failing = match self.keeping.get() {
            Keeping::UnderWay { .. } => return,
            keeping => keeping == Keeping::Failing,
        };
        let lessons = self.driver.view().snapshot();
        if lessons.servers.iter().all(|lesson| lesson.samples == 0) {
            return;
        }
        let name = |server| Some(self.driver.view().server_name(server)).filter(|name| !name.is_empty());
        let (file, text) = learned::draft(folder, &self.owner, lessons, Now::read(), name);
        self.keeping.set(Keeping::UnderWay { failing });
        let (admin, writer) = (self.clone(), writer.clone());
        tokio::task::spawn_local(async move {
            let kept = writer.replace(file, text, Outlives::Process).await;
            match &kept {
                Err(why) if !failing => {
                    tracing::warn!(target: "handover", "what was learned is not kept: {why}; it is tried again each second");
                }
                Ok(()) if failing => tracing::info!(target: "handover", "what was learned is kept again"),
                _ => {}
            }
            admin.keeping.set(if kept.is_ok() { Keeping::Idle } else { Keeping::Failing });
        });
    }
}

/// The folder with a thread that writes there. Without one, this process is as one without a folder.
fn with_writer(folder: PathBuf) -> Option<(PathBuf, Rc<Writer>)> {
    match Writer::start() {
        Ok(writer) => Some((folder, Rc::new(writer))),
        Err(why) => {
            tracing::warn!(target: "handover", "nothing is left for a process after this one: {why}");
            None
        }
    }
}
