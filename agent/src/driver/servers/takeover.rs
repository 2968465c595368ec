//! The endpoint list between the processes of one agent: its entries for another process, and the list that another process
//! hands over.

use super::confirmation::TakenOverList;
use super::Servers;
use crate::driver::known_server::ListedEntry;
use crate::endpoint_list::{Envelope, Health, ServerEntry};
use crate::upstream::discovery::CallNumber;
use balancer::{ServerId, Status, Time};
use balancer_settings::Names;
use std::collections::HashMap;

impl Servers {
    /// Whether discovery has answered this process completely.
    pub fn has_discovery_answered(&self) -> bool {
        self.confirmation.has_answered
    }

    /// When discovery last confirmed the list, to this process or to one before it, in the balancer's time.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmation.confirmed_at
    }

    /// Changes with each change of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The most servers that may be known at once.
    pub fn max_servers(&self) -> usize {
        self.max_servers
    }

    /// The listed servers, in no particular order.
    pub fn listed_servers(&self) -> Vec<ServerId> {
        let listed = self.known.iter().filter(|(_, known)| known.is_present());
        listed.map(|(server, _)| *server).collect()
    }

    /// A listed server's entry for another process at `now`; `None` if it is not listed any more.
    pub fn listed_entry(&self, server: ServerId, names: &Names, now: Time) -> Option<ListedEntry> {
        let known = self.known.get(&server).filter(|known| known.is_present())?;
        let listed = known.listed.as_ref()?;
        let endpoint = &listed.endpoint;
        let kind = names.kinds.get(endpoint.kind.0 as usize);
        let entry = ServerEntry {
            name: known.name.clone(),
            dial: listed.address,
            zone: self.zone_name(endpoint.zone).to_owned(),
            kind: kind.cloned().unwrap_or_default(),
            cell: endpoint.cell.0,
            health: if endpoint.status == Status::Serving { Health::Up } else { Health::Draining },
            weight: endpoint.weight,
            born_ms: listed.born_ms,
        };
        Some(ListedEntry { entry, started_ago: endpoint.started.map(|started| now.since(started)) })
    }

    /// Begins to take over a list whose servers started at these times, by name. `is_version_valid` tells whether its
    /// version is one of the discovery that this process calls.
    pub fn begin_takeover(
        &mut self,
        call: CallNumber,
        start_times: HashMap<String, Time>,
        is_version_valid: bool,
    ) {
        self.confirmation.takeover = Some(TakenOverList { call, start_times, is_version_valid });
        self.begin_response(call);
    }

    /// Ends the entries of a list that is taken over, which discovery confirmed at `confirmed_at`. Unlike an answer of
    /// discovery it leaves calls in progress alone; [`Servers::apply_step`] applies the rest of it.
    pub fn end_takeover(&mut self, call: CallNumber, envelope: Envelope, confirmed_at: Option<Time>) {
        self.end_entries(call, envelope);
        self.confirmation.confirmed_at = self.confirmation.confirmed_at.max(confirmed_at);
    }
}
