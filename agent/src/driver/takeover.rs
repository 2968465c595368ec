//! The endpoint list as it is handed over to another process of this agent, and as it is taken over from one.

use super::endpoint_updates::apply_step;
use super::known_server::ListedEntry;
use super::Driver;
use crate::endpoint_list::{Envelope, InvalidEntry, ServerEntry};
use crate::upstream::discovery::CallNumber;
use balancer::{EndpointUpdate, Event, ServerId, Span};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

impl Driver {
    /// The address of discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.state.borrow().discovery.address()
    }

    /// Whether discovery has answered a call of this process completely.
    pub fn has_discovery_answered(&self) -> bool {
        self.state.borrow().servers.has_discovery_answered()
    }

    /// The most servers that may be known at once.
    pub fn max_servers(&self) -> usize {
        self.state.borrow().servers.max_servers()
    }

    /// The version of the endpoint list; `None` before the first list of the current discovery.
    pub fn list_version(&self) -> Option<u64> {
        self.state.borrow().servers.version
    }

    /// Changes with each change of the endpoint list.
    pub fn list_revision(&self) -> u64 {
        self.state.borrow().servers.revision()
    }

    /// How long ago discovery last confirmed the endpoint list, to this process or to one before it.
    pub fn list_confirmed_ago(&self) -> Option<Span> {
        let confirmed_at = self.state.borrow().servers.confirmed_at()?;
        Some(self.clock.now().since(confirmed_at))
    }

    /// The listed servers, in no particular order.
    pub fn listed_servers(&self) -> Vec<ServerId> {
        self.state.borrow().servers.listed_servers()
    }

    /// The entries of those of these servers that are still listed.
    pub fn list_entries(&self, servers: &[ServerId]) -> Vec<ListedEntry> {
        let (state, now) = (self.state.borrow(), self.clock.now());
        servers.iter().filter_map(|server| state.servers.listed_entry(*server, &self.names, now)).collect()
    }

    /// Begins to take over the `sequence`th list of another process, whose servers started so many milliseconds ago.
    /// `is_version_valid` tells whether its version is one of the current discovery.
    pub fn begin_takeover(
        &self,
        sequence: u64,
        started_ms_ago: &BTreeMap<String, u64>,
        is_version_valid: bool,
    ) -> CallNumber {
        let (call, now) = (CallNumber::taken_over(sequence), self.clock.now());
        let start_time = |ms: &u64| now - Span(ms.saturating_mul(1_000));
        let start_times = started_ms_ago.iter().map(|(name, ms)| (name.clone(), start_time(ms))).collect();
        self.state.borrow_mut().servers.begin_takeover(call, start_times, is_version_valid);
        call
    }

    /// Applies entries of a list that is being taken over.
    pub fn take_over_entries(
        self: &Rc<Self>,
        call: CallNumber,
        entries: Vec<Result<ServerEntry, InvalidEntry>>,
    ) {
        let endpoints = {
            let servers = &mut self.state.borrow_mut().servers;
            servers.apply_entries(call, entries, &self.names, |server, host| {
                self.upstream.update_endpoint(server, host)
            })
        };
        if !endpoints.is_empty() {
            self.handle(Event::Endpoints(EndpointUpdate::Partial(endpoints)));
        }
    }

    /// Discards what was not applied of a list that cannot be taken over.
    pub fn abandon_takeover(&self, call: CallNumber) {
        self.state.borrow_mut().servers.discard_response(call);
    }

    /// Ends the entries of a list that is taken over. Until [`Self::apply_takeover`] has returned false, more of it remains
    /// to be applied.
    pub fn end_takeover(&self, call: CallNumber, envelope: Envelope, confirmed_ago: Option<Span>) {
        let now = self.clock.now();
        let servers = &mut self.state.borrow_mut().servers;
        servers.end_takeover(call, envelope, confirmed_ago.map(|ago| now - ago));
    }

    /// Applies some more of the additions and removals of a list that is taken over. Returns whether there are more.
    pub fn apply_takeover(self: &Rc<Self>, call: CallNumber) -> bool {
        let applied = {
            let servers = &mut self.state.borrow_mut().servers;
            apply_step(call, servers, &self.names, &self.upstream)
        };
        self.finish_step(applied)
    }

    /// Asks the current discovery for the complete list, as the list that was taken over is another one's. Does nothing if
    /// the version of the list is not known, as the complete list is asked for then.
    pub fn ask_for_complete_list(self: &Rc<Self>) {
        if self.list_version().is_some() {
            self.change_discovery(|discovery| discovery.close());
        }
    }
}
