//! What the agent has done since its start, counted once, where it happens. The admin API reports these counts and the
//! log writes how they have moved, so that both agree.

use crate::admin_api::Counters;
use balancer::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// How many outcomes an attempt can have.
pub const OUTCOMES: usize = 8;

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestEnd {
    /// With a server's answer.
    Served,
    /// Rejected by the balancer.
    Rejected,
    /// Failed.
    Failed,
    /// The client disconnected, or the request's time was up before its outcome was known; it counts as failed too.
    Abandoned,
}

/// The requests of one class that have ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndCounts {
    /// Those that were served.
    pub served: u64,
    /// Those that were rejected.
    pub rejected: u64,
    /// Those that failed or were abandoned.
    pub failed: u64,
}

/// The attempts at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Written completely.
    pub sends: u64,
    /// Served.
    pub answered: u64,
    /// Failed: an error, no answer in time, no connection or a broken one.
    pub failed: u64,
    /// Rejected by the server unprocessed.
    pub rejected: u64,
}

impl AttemptCounts {
    /// Adds the attempts at another server.
    pub fn add(&mut self, other: &AttemptCounts) {
        self.sends += other.sends;
        self.answered += other.answered;
        self.failed += other.failed;
        self.rejected += other.rejected;
    }

    /// Adds an attempt that has ended.
    fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.answered += 1,
            Outcome::Rejected => self.rejected += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::ServerError | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                self.failed += 1;
            }
        }
    }
}

/// All counts since the start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Requests that have arrived completely, or were answered before.
    pub arrived: u64,
    /// How they ended, by class.
    pub ends: Vec<EndCounts>,
    /// Rejected requests without an attempt.
    pub rejected_unsent: u64,
    /// Failed requests whose client had disconnected.
    pub abandoned: u64,
    /// Attempts written completely to a server.
    pub sends: u64,
    /// Invalid requests; they are not among those that arrived.
    pub invalid: u64,
    /// Attempts by their outcome.
    pub outcomes: [u64; OUTCOMES],
}

impl Counts {
    /// The sum over all classes of what `count` selects.
    pub fn total(&self, count: impl Fn(&EndCounts) -> u64) -> u64 {
        self.ends.iter().map(count).sum()
    }

    /// Requests that have arrived and not ended.
    pub fn current(&self) -> u64 {
        self.arrived.saturating_sub(self.total(|ends| ends.served + ends.rejected + ends.failed))
    }

    /// Adds the end of a request after this many attempts.
    fn record_end(&mut self, class: usize, end: RequestEnd, attempts: u32) {
        self.rejected_unsent += u64::from(end == RequestEnd::Rejected && attempts == 0);
        self.abandoned += u64::from(end == RequestEnd::Abandoned);
        let Some(ends) = self.ends.get_mut(class) else { return };
        match end {
            RequestEnd::Served => ends.served += 1,
            RequestEnd::Rejected => ends.rejected += 1,
            RequestEnd::Failed | RequestEnd::Abandoned => ends.failed += 1,
        }
    }
}

/// The counts, shared by all that record into them.
pub struct Metrics {
    counts: RefCell<Counts>,
    by_server: RefCell<HashMap<ServerId, AttemptCounts>>,
}

impl Metrics {
    /// Metrics with nothing recorded.
    pub fn new(classes: usize) -> Rc<Self> {
        let counts = Counts { ends: vec![EndCounts::default(); classes], ..Counts::default() };
        Rc::new(Metrics { counts: RefCell::new(counts), by_server: RefCell::default() })
    }

    /// The counts at this moment.
    pub fn counts(&self) -> Counts {
        self.counts.borrow().clone()
    }

    /// Records a request of this class that has arrived completely.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> RequestMetrics {
        let mut request = self.begin_upload(class);
        request.mark_arrived();
        request
    }

    /// Begins a request of this class whose body is still arriving. It counts once that is complete, or once it has
    /// its answer.
    pub fn begin_upload(self: &Rc<Self>, class: usize) -> RequestMetrics {
        let end = RequestEnd::Abandoned;
        RequestMetrics { metrics: self.clone(), class, has_arrived: false, end, attempts: 0 }
    }

    /// The attempts at each server.
    pub fn attempts_by_server(&self) -> HashMap<ServerId, AttemptCounts> {
        self.by_server.borrow().clone()
    }

    /// Forgets a server; the attempts at it.
    pub fn forget_server(&self, server: ServerId) -> Option<AttemptCounts> {
        self.by_server.borrow_mut().remove(&server)
    }

    /// Records that the last byte of an attempt has been written.
    pub fn record_send(&self, server: ServerId) {
        self.counts.borrow_mut().sends += 1;
        self.by_server.borrow_mut().entry(server).or_default().sends += 1;
    }

    /// Records an invalid request.
    pub fn record_invalid_request(&self) {
        self.counts.borrow_mut().invalid += 1;
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&self, server: ServerId, outcome: Outcome) {
        self.by_server.borrow_mut().entry(server).or_default().record(outcome);
        self.counts.borrow_mut().outcomes[outcome as usize % OUTCOMES] += 1;
    }
}

/// Records the end of one request exactly once: it cannot end twice, and one that is dropped without an end was
/// abandoned.
pub struct RequestMetrics {
    metrics: Rc<Metrics>,
    class: usize,
    has_arrived: bool,
    end: RequestEnd,
    /// Attempts so far.
    pub attempts: u32,
}

impl RequestMetrics {
    /// Records that the last byte of the request has arrived.
    pub fn mark_arrived(&mut self) {
        if !self.has_arrived {
            self.has_arrived = true;
            self.metrics.counts.borrow_mut().arrived += 1;
        }
    }

    /// Records how the request ended.
    pub fn end(mut self, end: RequestEnd) {
        self.end = end;
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        // What never arrived completely and has no answer does not count as a request.
        if !self.has_arrived && self.end == RequestEnd::Abandoned {
            return;
        }
        self.mark_arrived();
        self.metrics.counts.borrow_mut().record_end(self.class, self.end, self.attempts);
    }
}

/// The counts as the admin API reports them, with the number of listed servers and of those that get next to nothing.
pub fn report(counts: &Counts, classes: &[String], listed: usize, avoided: usize) -> Counters {
    let by_class = |count: fn(&EndCounts) -> u64| -> BTreeMap<String, u64> {
        classes.iter().zip(&counts.ends).map(|(name, ends)| (name.clone(), count(ends))).collect()
    };
    Counters {
        answered: by_class(|ends| ends.served),
        rejected: by_class(|ends| ends.rejected),
        failed: by_class(|ends| ends.failed),
        sends: counts.sends,
        current: counts.current(),
        cluster_size: listed as u64,
        cluster_unhealthy: avoided as u64,
    }
}

#[cfg(test)]
mod tests;
