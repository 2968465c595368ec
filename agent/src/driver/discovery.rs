//! Connects the calls to discovery with the balancer, which determines their times.

use super::endpoint_updates::{apply_discovery_event, forget_removed_servers, AppliedEvent};
use super::state::State;
use super::Driver;
use crate::upstream::discovery::{CallNumber, DiscoveryClient, DiscoveryEvent, DiscoveryObserver};
use balancer::{CallTimes, DiscoveryCallEvent, Event};
use std::net::SocketAddr;
use std::rc::Rc;

/// Passes the events of calls to the driver.
struct Observer(Rc<Driver>);

impl DiscoveryObserver for Observer {
    fn call_times(&self) -> CallTimes {
        self.0.state.borrow().queue.balancer.call_times()
    }

    fn handle(&self, call: CallNumber, event: DiscoveryEvent) -> bool {
        self.0.handle_discovery_event(call, event)
    }
}

impl Driver {
    /// Opens a watch, unless one is open that may still be answered in time. Overdue ones stay open beside it, but for one
    /// that is abandoned if there are too many.
    pub(super) fn open_watch(self: &Rc<Self>, state: &mut State) {
        let State { queue, servers, discovery, .. } = state;
        if discovery.has_timely_call() {
            return;
        }
        let begun: Vec<_> = discovery.begun().into_iter().map(|begun| self.clock.time_at(begun)).collect();
        let abandoned = queue.balancer.call_to_abandon(self.clock.now(), &begun);
        if let Some(call) = abandoned.and_then(|index| discovery.abandon(index)) {
            servers.discard_response(call);
        }
        discovery.open_watch(Rc::new(Observer(self.clone())), servers.version);
    }

    /// Applies an event of a call. Returns whether more of the response remains to be applied after requests have had
    /// time to run.
    fn handle_discovery_event(self: &Rc<Self>, call: CallNumber, event: DiscoveryEvent) -> bool {
        self.wall_clock.check();
        let applied = {
            let servers = &mut self.state.borrow_mut().servers;
            apply_discovery_event(call, event, servers, &self.names, &self.upstream)
        };
        self.finish_step(applied)
    }

    /// Notifies the balancer of a step of a list that has been applied. Returns whether more of the list remains.
    pub(super) fn finish_step(self: &Rc<Self>, applied: AppliedEvent) -> bool {
        if applied.events.is_empty() {
            return applied.has_more;
        }
        for event in applied.events {
            self.handle(event);
        }
        forget_removed_servers(&mut self.state.borrow_mut().servers, &self.upstream, &self.metrics);
        applied.has_more
    }

    /// Switches to another discovery address. What is learned about the earlier one, and any answer of it that is still
    /// to come, changes nothing from now on. Returns false if this is the current address already: then its open calls and
    /// the version of its list are kept.
    pub fn set_discovery_address(self: &Rc<Self>, address: SocketAddr) -> bool {
        if self.state.borrow().discovery.address() == address {
            return false;
        }
        self.change_discovery(|discovery| discovery.change_address(address));
        true
    }

    /// Changes the client of discovery. Its next call asks for the complete list.
    pub(super) fn change_discovery(self: &Rc<Self>, change: impl FnOnce(&mut DiscoveryClient)) {
        {
            let State { servers, discovery, .. } = &mut *self.state.borrow_mut();
            servers.change_discovery();
            change(discovery);
        }
        self.handle(Event::DiscoveryCall(DiscoveryCallEvent::AddressChanged));
    }
}
