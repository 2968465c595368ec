//! Hosts the balancers of all instances: hands each event to the instance that it is for, and collects the actions.

use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use crate::servers::CatalogueServer;
use crate::wire::{Attach, Batch, Form, Reply, ReplyPart, WireAction, WireEvent};
use balancer::{Action, Balancer, EndpointUpdate, Event, Time, TimerId};
use balancer_settings::settings;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// All instances, and the catalogues, which are all that they share.
#[derive(Default)]
pub struct Host {
    catalogues: BTreeMap<u32, Vec<CatalogueServer>>,
    instances: BTreeMap<u32, Instance>,
    /// The actions of one step; kept between steps for its memory.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the events of a batch in order.
    ///
    /// # Errors
    ///
    /// The first event that is wrong; the batch has no reply then, and the host is not to be used again.
    pub fn handle_batch(&mut self, batch: Batch<'_>) -> Result<Reply, BatchError> {
        if !batch.now_ms.is_finite() || batch.now_ms < 0.0 {
            return Err(BatchError::InvalidTime(batch.now_ms));
        }
        let now = Time::from_ms(batch.now_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let instance = part.instance;
            let mut actions = Vec::new();
            for event in part.events {
                self.handle_event(now, instance, event, &mut actions)
                    .map_err(|error| BatchError::Event { instance, error })?;
            }
            if !actions.is_empty() {
                reply.parts.push(ReplyPart { instance, actions });
            }
        }
        Ok(reply)
    }

    fn handle_event(
        &mut self,
        now: Time,
        number: u32,
        event: WireEvent<'_>,
        out: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let event = match event {
            WireEvent::Catalog(catalogue) => {
                let servers = catalogue.entries.into_iter().map(CatalogueServer::from).collect();
                self.catalogues.insert(catalogue.number, servers);
                return Ok(());
            }
            WireEvent::Attach(attach) => return self.attach(now, number, &attach, out),
            WireEvent::Retire {} => {
                // Nothing of the ended process may act any more, not even earlier in this batch.
                self.instances.remove(&number);
                out.clear();
                return Ok(());
            }
            WireEvent::Registry { form, catalogue, .. } => {
                Some(Event::Endpoints(self.endpoint_update(number, form, catalogue)?))
            }
            WireEvent::Request(request) => Some(self.instance(number)?.request(&request)?),
            WireEvent::FirstByte { request, attempt } => self.instance(number)?.first_byte(&request, attempt),
            WireEvent::Done(end) => self.instance(number)?.attempt_ended(end),
            WireEvent::Aborted { request } => self.instance(number)?.client_disconnected(&request),
            WireEvent::Elapsed { timer } => Some(Event::Timer(TimerId(timer))),
            WireEvent::Probed(end) => Some(self.instance(number)?.health_checked(end)?),
            WireEvent::Mail { from, payload } => Some(self.instance(number)?.gossip(from, &payload)?),
        };
        match event {
            Some(event) => self.run(number, out, |instance, actions| instance.handle(now, event, actions)),
            None => Ok(()),
        }
    }

    fn instance(&mut self, number: u32) -> Result<&mut Instance, EventError> {
        self.instances.get_mut(&number).ok_or(EventError::NotAttached)
    }

    /// Starts a new process of an instance, in place of the one that it may have.
    fn attach(
        &mut self,
        now: Time,
        number: u32,
        attach: &Attach,
        out: &mut Vec<WireAction>,
    ) -> Result<(), EventError> {
        let balancer = Balancer::new(settings(&attach.params), attach.seed)?;
        self.instances.insert(number, Instance::new(balancer));
        self.run(number, out, |instance, actions| instance.start(now, actions))
    }

    /// Runs one step of an instance's balancer and writes its actions to `out`. A panic is written instead of the actions,
    /// as the fault of the balancer that it is.
    fn run(
        &mut self,
        number: u32,
        out: &mut Vec<WireAction>,
        step: impl FnOnce(&mut Instance, &mut Vec<Action>),
    ) -> Result<(), EventError> {
        let instance = self.instances.get_mut(&number).ok_or(EventError::NotAttached)?;
        let actions = &mut self.actions;
        actions.clear();
        let result = catch_unwind(AssertUnwindSafe(|| step(instance, actions)));
        if let Err(panic) = result {
            out.push(WireAction::Bug { text: panic_text(&*panic) });
            return Ok(());
        }
        for action in self.actions.drain(..) {
            out.push(instance.encode(action));
        }
        instance.drop_ended_requests();
        Ok(())
    }

    fn endpoint_update(
        &mut self,
        number: u32,
        form: Form,
        catalogue: Option<u32>,
    ) -> Result<EndpointUpdate, EventError> {
        let instance = self.instances.get_mut(&number).ok_or(EventError::NotAttached)?;
        let catalogues = &self.catalogues;
        let mut endpoints = || match catalogue {
            None => Err(EventError::NoCatalogue),
            Some(number) => match catalogues.get(&number) {
                None => Err(EventError::UnknownCatalogue(number)),
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

fn panic_text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    panic.downcast_ref::<&str>().map_or("panic without a text", |text| text).to_owned()
}
