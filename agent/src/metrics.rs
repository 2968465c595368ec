//! Counts of requests and attempts since the agent's start, each counted once, where it happens. The admin API reports
//! these counts and the log their changes, so that the two agree.

use crate::admin_api::Counters;
use balancer::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Number of possible outcomes of an attempt.
pub const OUTCOMES: usize = 8;

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestEnd {
    /// A server answered it.
    Served,
    /// The balancer rejected it.
    Rejected,
    /// It was answered with an error, or its response broke off.
    Failed,
    /// The client disconnected, or the deadline passed before the outcome was known. It counts as failed too.
    Abandoned,
}

/// Why a connection was closed before anything was read from it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UnreadClose {
    /// Its client had sent nothing, and its slot was needed.
    Unused,
    /// It had waited so long that a response could have come too late.
    WaitedTooLong,
}

/// Requests of one class that have ended, by how they ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that the balancer rejected.
    pub rejected: u64,
    /// Requests that failed or were abandoned.
    pub failed: u64,
}

/// Attempts at one server or, as sums, at several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Attempts whose last byte was written.
    pub sends: u64,
    /// Attempts that succeeded.
    pub answered: u64,
    /// Attempts that failed: a server error, a timeout, or a connection that could not be opened or broke.
    pub failed: u64,
    /// Attempts that the server rejected without processing them.
    pub rejected: u64,
}

impl AttemptCounts {
    /// Adds the counts of another server.
    pub fn add(&mut self, other: &AttemptCounts) {
        self.sends += other.sends;
        self.answered += other.answered;
        self.failed += other.failed;
        self.rejected += other.rejected;
    }

    /// Counts an attempt that has ended. Cancelled attempts and those not sent are not counted here.
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

/// All counts since the agent's start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Valid requests that have arrived completely, or were answered before that.
    pub arrived: u64,
    /// How the requests ended, indexed by class.
    pub ends: Vec<EndCounts>,
    /// Requests that were rejected without any attempt.
    pub rejected_unsent: u64,
    /// Requests that ended as [`RequestEnd::Abandoned`].
    pub abandoned: u64,
    /// Attempts whose last byte was written to a server.
    pub sends: u64,
    /// Invalid requests, which `arrived` does not include.
    pub invalid: u64,
    /// Attempts that have ended, indexed by [`Outcome`].
    pub outcomes: [u64; OUTCOMES],
    /// Connections that were closed as [`UnreadClose::Unused`].
    pub closed_unused: u64,
    /// Connections that were closed as [`UnreadClose::WaitedTooLong`].
    pub closed_unread: u64,
    /// Responses that broke off while they were forwarded.
    pub broken_responses: u64,
}

impl Counts {
    /// Sum over all classes of the count that `count` selects.
    pub fn total(&self, count: impl Fn(&EndCounts) -> u64) -> u64 {
        self.ends.iter().map(count).sum()
    }

    /// Requests that have arrived but not ended.
    pub fn current(&self) -> u64 {
        self.arrived.saturating_sub(self.total(|ends| ends.served + ends.rejected + ends.failed))
    }

    /// Counts the end of a request after the given number of attempts.
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

/// The counts, shared by all parts of the agent that record into them.
pub struct Metrics {
    counts: RefCell<Counts>,
    by_server: RefCell<HashMap<ServerId, AttemptCounts>>,
}

impl Metrics {
    /// Creates metrics for this number of classes, with nothing recorded.
    pub fn new(classes: usize) -> Rc<Self> {
        let counts = Counts { ends: vec![EndCounts::default(); classes], ..Counts::default() };
        Rc::new(Metrics { counts: RefCell::new(counts), by_server: RefCell::default() })
    }

    /// A copy of the current counts.
    pub fn counts(&self) -> Counts {
        self.counts.borrow().clone()
    }

    /// Begins a request of this class that has arrived completely.
    pub fn begin_request(self: &Rc<Self>, class: usize) -> RequestMetrics {
        let mut request = self.begin_upload(class);
        request.mark_arrived();
        request
    }

    /// Begins a request of this class whose body is still arriving. It is counted once the body is complete or the
    /// request is answered, whichever comes first.
    pub fn begin_upload(self: &Rc<Self>, class: usize) -> RequestMetrics {
        let end = RequestEnd::Abandoned;
        RequestMetrics { metrics: self.clone(), class, has_arrived: false, end, attempts: 0 }
    }

    /// A copy of the counts of attempts at each server.
    pub fn attempts_by_server(&self) -> HashMap<ServerId, AttemptCounts> {
        self.by_server.borrow().clone()
    }

    /// Removes a server and returns the counts of the attempts at it, if there were any.
    pub fn forget_server(&self, server: ServerId) -> Option<AttemptCounts> {
        self.by_server.borrow_mut().remove(&server)
    }

    /// Records that the last byte of an attempt at this server was written.
    pub fn record_send(&self, server: ServerId) {
        self.counts.borrow_mut().sends += 1;
        self.by_server.borrow_mut().entry(server).or_default().sends += 1;
    }

    /// Records a request that was invalid.
    pub fn record_invalid_request(&self) {
        self.counts.borrow_mut().invalid += 1;
    }

    /// Records a connection that was closed before anything was read from it.
    pub fn record_connection_close(&self, close: UnreadClose) {
        let mut counts = self.counts.borrow_mut();
        match close {
            UnreadClose::Unused => counts.closed_unused += 1,
            UnreadClose::WaitedTooLong => counts.closed_unread += 1,
        }
    }

    /// Records a response that broke off while it was forwarded.
    pub fn record_broken_response(&self) {
        self.counts.borrow_mut().broken_responses += 1;
    }

    /// Records an attempt that has ended.
    pub fn record_attempt(&self, server: ServerId, outcome: Outcome) {
        self.by_server.borrow_mut().entry(server).or_default().record(outcome);
        self.counts.borrow_mut().outcomes[outcome as usize % OUTCOMES] += 1;
    }
}

/// Records the end of one request exactly once: [`RequestMetrics::end`] consumes it, and a request that is dropped
/// without it counts as abandoned.
pub struct RequestMetrics {
    metrics: Rc<Metrics>,
    class: usize,
    has_arrived: bool,
    end: RequestEnd,
    /// Number of attempts so far.
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
        // A request that neither arrived completely nor was answered is not counted.
        if !self.has_arrived && self.end == RequestEnd::Abandoned {
            return;
        }
        self.mark_arrived();
        self.metrics.counts.borrow_mut().record_end(self.class, self.end, self.attempts);
    }
}

/// Converts the counts to the form of the admin API. `listed` is the number of servers on the endpoint list, `avoided`
/// of those among them that get hardly any requests.
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
