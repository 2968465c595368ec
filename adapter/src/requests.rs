//! Maps the simulator's names of an instance's requests to the balancer's ids and back.

use crate::error::EventError;
use balancer::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Ended requests are dropped only while at least this many requests are stored. Each pass scans all of them; the
/// threshold keeps the cost per request low.
const MIN_REQUESTS_TO_DROP: usize = 1024;

/// State of a request.
#[derive(Debug)]
pub struct Request {
    /// The balancer's id of the request.
    pub id: RequestId,
    /// Number of attempts in flight; the simulator will still report their outcomes under the request's name.
    pub attempts_in_flight: u32,
    /// The request has been answered, or its client has disconnected.
    pub has_ended: bool,
}

/// All requests of one instance that an event may still name, and ended ones that have not been dropped yet.
#[derive(Debug, Default)]
pub struct Requests {
    by_name: HashMap<Rc<str>, Request>,
    names: HashMap<RequestId, Rc<str>>,
    next_id: u64,
}

impl Requests {
    /// Registers a new request and assigns the next id to it.
    ///
    /// # Errors
    ///
    /// [`EventError::DuplicateRequest`] if its name is in use.
    pub fn open(&mut self, name: &str) -> Result<RequestId, EventError> {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let shared_name: Rc<str> = Rc::from(name);
        let request = Request { id, attempts_in_flight: 0, has_ended: false };
        if self.by_name.insert(shared_name.clone(), request).is_some() {
            return Err(EventError::DuplicateRequest(name.to_owned()));
        }
        self.names.insert(id, shared_name);
        Ok(id)
    }

    /// Looks up a request by name; `None` if the name is unknown or the request has been dropped.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Request> {
        self.by_name.get_mut(name)
    }

    /// Looks up a request's name and state by id; `None` if the id is unknown or the request has been dropped.
    pub fn by_id(&mut self, id: RequestId) -> Option<(String, &mut Request)> {
        let name = self.names.get(&id)?;
        Some((name.to_string(), self.by_name.get_mut(name)?))
    }

    /// Drops requests that have ended and have no attempt in flight. Does nothing while fewer than
    /// [`MIN_REQUESTS_TO_DROP`] requests are stored.
    pub fn drop_ended(&mut self) {
        if self.by_name.len() < MIN_REQUESTS_TO_DROP {
            return;
        }
        let names = &mut self.names;
        self.by_name.retain(|_, request| {
            let is_needed = !request.has_ended || request.attempts_in_flight > 0;
            if !is_needed {
                names.remove(&request.id);
            }
            is_needed
        });
    }
}

#[cfg(test)]
mod tests;
