//! Hosts the balancers of all instances: dispatches each event to its instance and collects the resulting actions.

use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use crate::servers::CatalogueServer;
use crate::wire::{Attach, Batch, Form, Reply, ReplyPart, WireAction, WireEvent};
use balancer::{Action, Balancer, EndpointUpdate, Event, Time, TimerId};
use balancer_settings::settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// All instances, and the catalogues, which are the only state that instances share.
#[derive(Default)]
pub struct Host {
    catalogues: BTreeMap<u32, Vec<CatalogueServer>>,
    instances: BTreeMap<u32, Instance>,
    /// Buffer for the actions of one step; kept between steps to reuse its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the events of a batch in order.
    ///
    /// # Errors
    ///
    /// An invalid time, or the first invalid event. The batch then has no reply, and the host must not be used again,
    /// since earlier events of the batch may have taken effect.
    pub fn handle_batch(&mut self, batch: Batch<'_>) -> Result<Reply, BatchError> {
        if !batch.now_ms.is_finite() || batch.now_ms < 0.0 {
            return Err(BatchError::InvalidTime(batch.now_ms));
        }
        let now = Time::from_ms(batch.now_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let instance_id = part.instance_id;
            let mut actions = Vec::new();
            for event in part.events {
                self.handle_event(now, instance_id, event, &mut actions)
                    .map_err(|error| BatchError::Event { instance_id, error })?;
            }
            if !actions.is_empty() {
                reply.parts.push(ReplyPart { instance_id, actions });
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: Time,
        instance_id: u32,
        event: WireEvent<'_>,
        wire_actions: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let event = match event {
            WireEvent::Catalog(catalogue) => {
                let servers = catalogue.entries.into_iter().map(CatalogueServer::from).collect();
                self.catalogues.insert(catalogue.id, servers);
                return Ok(());
            }
            WireEvent::Attach(attach) => return self.attach(now, instance_id, &attach, wire_actions),
            WireEvent::Retire {} => {
                // The simulator must not carry out actions of a process that has ended, so those collected earlier
                // in this batch are discarded too.
                self.instances.remove(&instance_id);
                wire_actions.clear();
                return Ok(());
            }
            WireEvent::Registry { form, catalogue_id, .. } => {
                Some(Event::Endpoints(self.endpoint_update(instance_id, form, catalogue_id)?))
            }
            WireEvent::Request(request) => Some(self.instance(instance_id)?.request(&request)?),
            WireEvent::FirstByte { request, attempt } => {
                self.instance(instance_id)?.first_byte(&request, attempt)
            }
            WireEvent::Done(end) => self.instance(instance_id)?.attempt_ended(end),
            WireEvent::Aborted { request } => self.instance(instance_id)?.client_disconnected(&request),
            WireEvent::Elapsed { timer } => Some(Event::Timer(TimerId(timer))),
            WireEvent::Probed(end) => Some(self.instance(instance_id)?.health_checked(end)?),
            WireEvent::Mail { from, payload } => Some(self.instance(instance_id)?.gossip(from, &payload)?),
        };
        match event {
            Some(event) => self.run_step(instance_id, wire_actions, |instance, actions| {
                instance.handle(now, event, actions)
            }),
            None => Ok(()),
        }
    }

    fn instance(&mut self, instance_id: u32) -> Result<&mut Instance, EventError> {
        self.instances.get_mut(&instance_id).ok_or(EventError::NotAttached)
    }

    /// Starts a new process of an instance and replaces the existing one, if any.
    fn attach(
        &mut self,
        now: Time,
        instance_id: u32,
        attach: &Attach,
        wire_actions: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let balancer = Balancer::new(settings(&attach.params), attach.seed)?;
        self.instances.insert(instance_id, Instance::new(balancer));
        self.run_step(instance_id, wire_actions, |instance, actions| instance.start(now, actions))
    }

    /// Runs one step of an instance's balancer and appends its actions to `wire_actions`. If the step panics, which is a
    /// bug in the balancer, its actions are discarded and a BUG action with the panic message is appended instead.
    fn run_step(
        &mut self,
        instance_id: u32,
        wire_actions: &mut Vec<WireAction>,
        step: impl FnOnce(&mut Instance, &mut Vec<Action>),
    ) -> Result<(), EventError> {
        let instance = self.instances.get_mut(&instance_id).ok_or(EventError::NotAttached)?;
        let actions = &mut self.actions;
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| step(instance, actions)));
        if let Err(panic) = result {
            wire_actions.push(WireAction::Bug { text: panic_message(&*panic) });
            return Ok(());
        }
        for action in self.actions.drain(..) {
            wire_actions.push(instance.encode(action));
        }
        instance.drop_ended_requests();
        Ok(())
    }

    fn endpoint_update(
        &mut self,
        instance_id: u32,
        form: Form,
        catalogue_id: Option<u32>,
    ) -> Result<EndpointUpdate, EventError> {
        let instance = self.instances.get_mut(&instance_id).ok_or(EventError::NotAttached)?;
        let catalogues = &self.catalogues;
        let mut endpoints = || match catalogue_id {
            None => Err(EventError::NoCatalogue),
            Some(id) => match catalogues.get(&id) {
                None => Err(EventError::UnknownCatalogue(id)),
                Some(servers) => Ok(instance.endpoints(servers)),
            },
        };
        Ok(match form {
            Form::Error => EndpointUpdate::Failed,
            Form::Partial => EndpointUpdate::Changes(endpoints()?),
            Form::Complete => EndpointUpdate::Complete(endpoints()?),
            Form::Persisted => EndpointUpdate::Saved(endpoints()?),
        })
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    panic.downcast_ref::<&str>().map_or("panic without a text", |text| text).to_owned()
}
