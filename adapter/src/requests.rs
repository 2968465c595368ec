//! The names of an instance's requests, and the numbers by which its balancer knows them.

use crate::error::EventError;
use balancer::RequestId;
use std::collections::HashMap;
use std::rc::Rc;

/// Ended requests are dropped once this many requests are known, so that dropping costs little per request.
const MIN_REQUESTS_TO_DROP: usize = 1024;

/// A request that is known by name.
#[derive(Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Attempts in flight, whose outcomes will name the request.
    pub attempts_in_flight: u32,
    /// It is answered, or its client no longer waits.
    pub has_ended: bool,
}

/// All requests of one instance that an event may still name.
#[derive(Debug, Default)]
pub struct Requests {
    by_name: HashMap<Rc<str>, Request>,
    names: HashMap<RequestId, Rc<str>>,
    next_id: u64,
}

impl Requests {
    /// Numbers a new request.
    ///
    /// # Errors
    ///
    /// [`EventError::DuplicateRequest`] if its name is in use.
    pub fn open(&mut self, name: &str) -> Result<RequestId, EventError> {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let key: Rc<str> = Rc::from(name);
        let request = Request { id, attempts_in_flight: 0, has_ended: false };
        if self.by_name.insert(key.clone(), request).is_some() {
            return Err(EventError::DuplicateRequest(name.to_owned()));
        }
        self.names.insert(id, key);
        Ok(id)
    }

    /// The request of a name; `None` if it has ended long ago.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Request> {
        self.by_name.get_mut(name)
    }

    /// The name of a request and its record; `None` if it has ended long ago.
    pub fn by_id(&mut self, id: RequestId) -> Option<(String, &mut Request)> {
        let name = self.names.get(&id)?;
        Some((name.to_string(), self.by_name.get_mut(name)?))
    }

    /// Drops requests that have ended and have no attempt in flight, once there are enough of them.
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
