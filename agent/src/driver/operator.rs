//! Operator commands, and what other processes of the agent hand over.

use super::known_server::index_or_hash;
use super::Driver;
use balancer::{Event, Snapshot, Time, ZoneId};
use std::collections::BTreeMap;
use std::rc::Rc;

impl Driver {
    /// Applies an operator command that cordons a server, or uncordons it as of `at`.
    pub fn set_cordoned(self: &Rc<Self>, name: &str, is_cordoned: bool, at: Time) {
        let server = self.state.borrow_mut().servers.intern_for_operator(name);
        // Another process may have received both commands: cordoning first makes the server warm up here as well.
        self.handle(Event::Cordon { server });
        if !is_cordoned {
            self.handle(Event::Uncordon { server, at });
        }
    }

    /// Applies an operator command that evacuates a zone, or restores it as of `at`.
    pub fn set_zone_evacuated(self: &Rc<Self>, name: &str, is_evacuated: bool, at: Time) {
        let zone = ZoneId(index_or_hash(name, &self.names.zones));
        // As with a cordon: evacuating first makes the zone's servers warm up here as well.
        self.handle(Event::EvacuateZone { zone });
        if !is_evacuated {
            self.handle(Event::RestoreZone { zone, at });
        }
    }

    /// Sets the regions, given as zone names by region name.
    pub fn set_regions(self: &Rc<Self>, regions: &BTreeMap<String, Vec<String>>) {
        let zone_id = |zone: &String| ZoneId(index_or_hash(zone, &self.names.zones));
        let numbered = regions.values().zip(0..);
        let region_by_zone =
            numbered.flat_map(|(zones, region)| zones.iter().map(move |zone| (zone_id(zone), region)));
        self.handle(Event::Regions(region_by_zone.collect()));
    }

    /// Restores another process's snapshot, limited to the server processes that this process knows.
    pub fn restore(self: &Rc<Self>, snapshot: Snapshot) {
        let applicable = self.view().applicable_snapshot(snapshot);
        self.handle(Event::Restore(applicable));
    }

    /// Converts a reading of this machine's wall clock to the balancer's time.
    pub fn time_of_wall_clock(&self, reading: Time) -> Time {
        self.wall_clock.check();
        self.wall_clock.convert(reading)
    }
}
