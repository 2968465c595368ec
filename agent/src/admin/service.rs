//! Carries out the calls of the admin API, and shares the operators' commands with the agent's other process.

use crate::admin::command_writer::{CommandWriter, UnsavedError};
use crate::admin::snapshots::{SharedFolder, Snapshots};
use crate::admin_api::{Counters, Renderers, Zone, Zones, MAX_RENDERERS, MAX_ZONES};
use crate::driver::Driver;
use crate::metrics::{self, AttemptCounts};
use crate::peers::clock_reading::ClockReading;
use crate::peers::command::Target;
use crate::peers::cordons::Cordons;
use crate::peers::file;
use crate::peers::owner::Owner;
use balancer::Time;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;

/// Why a command was not carried out, or not saved.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No server of this name has been on the endpoint list.
    #[error("no renderer {0:.80}")]
    UnknownServer(String),
    /// No zone of this name is in the settings or has been on the endpoint list.
    #[error("no zone {0:.80}")]
    UnknownZone(String),
    /// The command is in effect in this process, but not on disk for the next one.
    #[error("it holds in this process alone, an upgrade would forget it: {0}")]
    Unsaved(#[from] UnsavedError),
}

/// The agent as the operators inspect and command it.
pub struct Admin {
    driver: Rc<Driver>,
    cordons: Rc<RefCell<Cordons>>,
    command_writer: Rc<CommandWriter>,
    /// `None` if the processes share no folder, or its writer thread could not be started.
    snapshots: Option<Rc<Snapshots>>,
}

impl Admin {
    /// Starts tasks, and applies the commands that were given to another process of this agent. `folder` is where the
    /// processes share their files; `agent` is the agent's name, and `listen` the address on
    /// which it accepts clients.
    pub fn new(driver: Rc<Driver>, folder: Option<SharedFolder>, agent: String, listen: String) -> Rc<Self> {
        let (zones, classes) = (driver.names.zones.clone(), driver.names.classes.clone());
        let owner = Owner { agent, listen, zones, classes };
        if let Some(folder) = &folder {
            file::remove_abandoned_temporary_files(&folder.path, &owner);
        }
        let path = folder.as_ref().map(|folder| folder.path.clone());
        let cordons = Rc::new(RefCell::new(Cordons::new(path, owner.clone())));
        let command_writer = Rc::new(CommandWriter::default());
        if let Some(SharedFolder { writer, .. }) = &folder {
            tokio::task::spawn_local(command_writer.clone().run(cordons.clone(), writer.clone()));
        }
        let snapshots = folder.map(|folder| Rc::new(Snapshots::new(driver.clone(), owner, folder)));
        let admin = Admin { driver, cordons, command_writer, snapshots };
        admin.poll_commands();
        Rc::new(admin)
    }

    /// Whether this process serves clients.
    pub fn serves_clients(&self) -> bool {
        self.driver.is_serving()
    }

    /// The counts since the start of the process.
    pub fn counters(&self) -> Counters {
        let endpoints = self.driver.view().endpoint_counts();
        metrics::report(
            &self.driver.counts(),
            &self.driver.names.classes,
            endpoints.listed,
            endpoints.avoided,
        )
    }

    /// The number of commands that were given to this process and are not on disk yet.
    fn unsaved_count(&self) -> u64 {
        self.cordons.borrow().unsaved_count() as u64
    }

    /// The servers on the endpoint list, at most [`MAX_RENDERERS`].
    pub fn renderers(&self) -> Renderers {
        let mut renderers = self.driver.view().renderers();
        let left_out = renderers.len().saturating_sub(MAX_RENDERERS) as u64;
        renderers.truncate(MAX_RENDERERS);
        Renderers { renderers, left_out, unsaved: self.unsaved_count() }
    }

    /// The zones, at most [`MAX_ZONES`]. Their attempts include those at servers that have left the endpoint list.
    pub fn zones(&self) -> Zones {
        let zones = self.zone_sums();
        let mut phases = self.driver.view().zone_phases();
        let left_out = zones.len().saturating_sub(MAX_ZONES) as u64;
        let cordons = self.cordons.borrow();
        let with_status = |(name, sums): (String, Zone)| Zone {
            is_evacuated: cordons.is_withdrawn(&Target::Zone(name.clone())),
            phases: phases.remove(&name).unwrap_or_default(),
            zone: name,
            ..sums
        };
        let zones = zones.into_iter().take(MAX_ZONES).map(with_status).collect();
        Zones { zones, left_out, unsaved: self.unsaved_count() }
    }

    /// The sums over the servers of each zone, by the zone's name.
    fn zone_sums(&self) -> BTreeMap<String, Zone> {
        let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
        for (zone, attempts) in self.driver.view().removed_attempts_by_zone() {
            let AttemptCounts { sends, answered, failed, rejected } = attempts;
            zones.insert(zone, Zone { sends, answered, failed, rejected, ..Zone::default() });
        }
        for renderer in self.driver.view().renderers() {
            let zone = zones.entry(renderer.zone).or_default();
            zone.listed += 1;
            zone.serving += u64::from(renderer.serving);
            zone.cordoned += u64::from(renderer.cordoned);
            zone.ejected += u64::from(renderer.is_ejected);
            zone.warming_up += u64::from(renderer.slow_start_factor < 1.0);
            zone.limit += renderer.limit;
            zone.in_flight += renderer.in_flight;
            zone.sends += renderer.sends;
            zone.answered += renderer.answered;
            zone.failed += renderer.failed;
            zone.rejected += renderer.rejected;
        }
        zones
    }

    /// Applies a command at once, and waits until it is on disk. A command that repeats the latest one on its target
    /// only waits.
    ///
    /// # Errors
    ///
    /// If the target is unknown; or if the command is not on disk yet, in which case it is still in effect in this
    /// process.
    pub async fn execute(&self, target: Target, is_withdrawn: bool) -> Result<(), CommandError> {
        self.poll_commands();
        self.check_known(&target)?;
        if self.cordons.borrow().is_withdrawn(&target) != is_withdrawn {
            self.apply(&target, is_withdrawn, self.driver.clock.now());
            self.cordons.borrow_mut().record(target, is_withdrawn, ClockReading::now());
        }
        if self.cordons.borrow().is_saved() {
            return Ok(());
        }
        let revision = self.cordons.borrow().revision();
        Ok(self.command_writer.wait_until_saved(revision).await?)
    }

    /// Checks that the target is known, either from an earlier command or from the settings and the endpoint list.
    fn check_known(&self, target: &Target) -> Result<(), CommandError> {
        if self.cordons.borrow().has_command(target) {
            return Ok(());
        }
        match target {
            Target::Server(name) => match self.driver.view().server_id(name) {
                Some(_) => Ok(()),
                None => Err(CommandError::UnknownServer(name.clone())),
            },
            Target::Zone(name) if self.driver.view().has_zone(name) => Ok(()),
            Target::Zone(name) => Err(CommandError::UnknownZone(name.clone())),
        }
    }

    /// Applies the commands that were given to another process of this agent.
    pub fn poll_commands(&self) {
        let earlier_revision = self.cordons.borrow().revision();
        let received = self.cordons.borrow_mut().poll(ClockReading::now());
        for (target, command) in received {
            let given_at = self.driver.time_of_wall_clock(Time(command.given_at_us));
            self.apply(&target, command.is_withdrawn, given_at);
        }
        if self.cordons.borrow().revision() != earlier_revision {
            self.command_writer.wake();
        }
    }

    /// Logs a command and applies it to the balancer.
    fn apply(&self, target: &Target, is_withdrawn: bool, given_at: Time) {
        match target {
            Target::Server(name) => {
                let outcome = if is_withdrawn { "cordoned" } else { "uncordoned" };
                tracing::info!(target: "admin", endpoint = %format_args!("{name:.80}"), outcome, "operator command");
                self.driver.set_cordoned(name, is_withdrawn, given_at);
            }
            Target::Zone(name) => {
                let outcome = if is_withdrawn { "evacuated" } else { "returned" };
                tracing::info!(target: "admin", zone = name, outcome, "operator command");
                self.driver.set_zone_evacuated(name, is_withdrawn, given_at);
            }
        }
    }

    /// Restores the earlier process's snapshot once it is known to be fresh.
    pub fn poll_snapshot(&self) {
        if let Some(snapshots) = &self.snapshots {
            snapshots.poll();
        }
    }

    /// Stores this process's snapshot for the next one.
    pub fn store_snapshot(&self) {
        if let Some(snapshots) = &self.snapshots {
            snapshots.store();
        }
    }
}
