//! What the staff's calls mean, and what outlives a process of what they said.

use crate::admin_api::{Counters, Renderers, Zone, Zones, RENDERERS_MOST, ZONES_MOST};
use crate::driver::Driver;
use crate::metrics::{self, Attempts};
use crate::peers::handover::{self, Cordons, Owner, Word};
use balancer::Time;
use balancer_settings::Names;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Before the name of a zone among the words on renderers; no call can name a renderer with a space.
const ZONE: &str = "zone ";

/// What the staff ask and say.
pub struct Admin {
    driver: Rc<Driver>,
    cordons: RefCell<Cordons>,
    /// Where the processes of this agent leave each other what they know.
    folder: Option<PathBuf>,
    /// Who they are, so that nobody else's is taken in.
    owner: Owner,
}

impl Admin {
    /// Takes in what has been said to another process of this agent.
    pub fn new(driver: Rc<Driver>, folder: Option<PathBuf>, agent: String, listen: String) -> Rc<Self> {
        let Names { zones, classes, .. } = driver.names.clone();
        let owner = Owner { agent, listen, zones, classes };
        let cordons = RefCell::new(Cordons::new(folder.clone(), owner.clone()));
        let admin = Admin { driver, cordons, folder, owner };
        admin.look();
        Rc::new(admin)
    }

    /// Whether this process takes clients.
    pub fn serves(&self) -> bool {
        self.driver.serves()
    }

    /// The figures as the operators read them.
    pub fn counters(&self) -> Counters {
        let fleet = self.driver.fleet();
        metrics::report(&self.driver.counts(), &self.driver.names.classes, fleet.listed, fleet.avoided)
    }

    /// Each renderer on the list.
    pub fn renderers(&self) -> Renderers {
        let mut renderers = self.driver.renderers();
        let left_out = renderers.len().saturating_sub(RENDERERS_MOST) as u64;
        renderers.truncate(RENDERERS_MOST);
        Renderers { renderers, left_out }
    }

    /// The same summed by zone, with what was counted of renderers that have left the list.
    pub fn zones(&self) -> Zones {
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for (zone, attempts) in self.driver.left() {
            let Attempts { sends, answered, failed, rejected } = attempts;
            zones.insert(zone, Zone { sends, answered, failed, rejected, ..Zone::default() });
        }
        for renderer in self.driver.renderers() {
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
        let mut phases = self.driver.zone_phases();
        let left_out = zones.len().saturating_sub(ZONES_MOST) as u64;
        let cordons = self.cordons.borrow();
        let left = |name: &str| cordons.out(&format!("{ZONE}{name}"));
        let named = zones.into_iter().take(ZONES_MOST).map(|(name, zone)| Zone {
            left: left(&name),
            use_of: phases.remove(&name).unwrap_or_default(),
            zone: name,
            ..zone
        });
        Zones { zones: named.collect(), left_out }
    }

    /// Takes a server out of use for the operators, or brings it back; false if nobody has had that name. An error
    /// means that this process does so, and that one that takes over will not know.
    pub fn cordon(&self, name: &str, out: bool) -> io::Result<bool> {
        self.look();
        let mut cordons = self.cordons.borrow_mut();
        if !cordons.knows(name) && self.driver.server(name).is_none() {
            return Ok(false);
        }
        if cordons.out(name) != out {
            self.pass_on(name, Word { out, at: self.driver.clock.now().0 });
            cordons.say(name, out)?;
        }
        Ok(true)
    }

    /// Leaves a zone for the operators, or returns to it; false if there is no such zone. An error as with cordons.
    pub fn zone(&self, name: &str, out: bool) -> io::Result<bool> {
        self.look();
        let mut cordons = self.cordons.borrow_mut();
        let key = format!("{ZONE}{name}");
        if !cordons.knows(&key) && !self.driver.knows_zone(name) {
            return Ok(false);
        }
        if cordons.out(&key) != out {
            self.pass_on(&key, Word { out, at: self.driver.clock.now().0 });
            cordons.say(&key, out)?;
        }
        Ok(true)
    }

    /// Takes in what the operators have said to another process of this agent.
    pub fn look(&self) {
        for (name, word) in self.cordons.borrow_mut().look() {
            self.pass_on(&name, word);
        }
    }

    fn pass_on(&self, name: &str, word: Word) {
        if let Some(zone) = name.strip_prefix(ZONE) {
            tracing::info!(target: "admin", zone, "the zone is {}", if word.out { "left" } else { "returned to" });
            return self.driver.zone(zone, word.out, Time(word.at));
        }
        tracing::info!(target: "admin", "{name:.80} is {}", if word.out { "cordoned" } else { "back" });
        self.driver.cordon(name, word.out, Time(word.at));
    }

    /// Begins with what the process beside this one has learned, if it has left that in the folder.
    pub fn learn(&self) {
        let server = |name: &str| self.driver.server(name);
        let lessons = |folder: &PathBuf| handover::lessons(folder, &self.owner, server);
        let Some(lessons) = self.folder.as_ref().and_then(lessons) else { return };
        tracing::info!(target: "handover", "begins with what was learned of {} servers", lessons.servers.len());
        self.driver.learn(lessons);
    }

    /// Leaves what has been learned there, once there is something.
    pub fn keep_learned(&self) {
        let Some(folder) = &self.folder else { return };
        let lessons = self.driver.lessons();
        if lessons.servers.iter().all(|lesson| lesson.samples == 0) {
            return;
        }
        let name = |server| Some(self.driver.name(server)).filter(|name| !name.is_empty());
        if let Err(why) = handover::keep(folder, &self.owner, lessons, name) {
            tracing::warn!(target: "handover", "what was learned is not kept: {why}");
        }
    }
}
