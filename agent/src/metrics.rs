//! What the agent has done since its start, counted once, where it happens. The second address shows these figures
//! and the log writes how they have moved, so that both tell the same story.

use crate::admin_api::Counters;
use balancer::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

pub const OUTCOMES: usize = 8;

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    /// With a backend's answer.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The client left, or its time ran out undecided; a failure as well.
    Gone,
}

/// The ends of one class.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ends {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

/// The attempts at one renderer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Written whole.
    pub sends: u64,
    /// Served.
    pub answered: u64,
    /// Lost: an error, no answer in time, no connection or a broken one.
    pub failed: u64,
    /// Turned away by it unprocessed.
    pub rejected: u64,
}

impl Attempts {
    /// Adds others to these.
    pub fn add(&mut self, other: &Attempts) {
        self.sends += other.sends;
        self.answered += other.answered;
        self.failed += other.failed;
        self.rejected += other.rejected;
    }
}

/// All counts since the start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Requests that have come whole.
    pub taken: u64,
    /// How they ended, by class.
    pub ends: Vec<Ends>,
    /// The refused ones for which no attempt was sent.
    pub refused_unsent: u64,
    /// The failed ones whose client had left.
    pub gone: u64,
    /// Attempts written whole to a backend.
    pub sends: u64,
    /// Requests that made no sense; they are not among the taken ones.
    pub bad: u64,
    /// Attempts by their outcome.
    pub outcomes: [u64; OUTCOMES],
}

impl Counts {
    /// One kind of end, over all classes.
    pub fn total(&self, kind: impl Fn(&Ends) -> u64) -> u64 {
        self.ends.iter().map(kind).sum()
    }

    /// Requests that are taken and not ended.
    pub fn current(&self) -> u64 {
        self.taken.saturating_sub(self.total(|e| e.served + e.refused + e.failed))
    }
}

/// The counts, shared by all that count.
pub struct Metrics(RefCell<Counts>, RefCell<HashMap<ServerId, Attempts>>);

impl Metrics {
    /// Has counted nothing yet.
    pub fn new(classes: usize) -> Rc<Self> {
        let counts = Counts { ends: vec![Ends::default(); classes], ..Counts::default() };
        Rc::new(Metrics(RefCell::new(counts), RefCell::default()))
    }

    /// The counts as they are now.
    pub fn now(&self) -> Counts {
        self.0.borrow().clone()
    }

    /// A request of this class is the agent's from here to its end.
    pub fn take(self: &Rc<Self>, class: usize) -> Taken {
        let mut taken = self.upload(class);
        taken.whole();
        taken
    }

    /// A request of this class has begun to come. It is the agent's once it is whole, or has its answer before.
    pub fn upload(self: &Rc<Self>, class: usize) -> Taken {
        Taken { metrics: self.clone(), class, whole: false, end: End::Gone, sends: 0 }
    }

    /// The attempts at each renderer.
    pub fn by_server(&self) -> HashMap<ServerId, Attempts> {
        self.1.borrow().clone()
    }

    /// Forgets a renderer; what was counted of it.
    pub fn forget(&self, server: ServerId) -> Option<Attempts> {
        self.1.borrow_mut().remove(&server)
    }

    /// The last byte of an attempt has been written.
    pub fn sent(&self, server: ServerId) {
        self.0.borrow_mut().sends += 1;
        self.1.borrow_mut().entry(server).or_default().sends += 1;
    }

    /// A request made no sense.
    pub fn bad(&self) {
        self.0.borrow_mut().bad += 1;
    }

    /// An attempt has ended.
    pub fn attempt(&self, server: ServerId, outcome: Outcome) {
        let mut by_server = self.1.borrow_mut();
        let attempts = by_server.entry(server).or_default();
        match outcome {
            Outcome::Success => attempts.answered += 1,
            Outcome::Rejected => attempts.rejected += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::ServerError | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                attempts.failed += 1;
            }
        }
        self.0.borrow_mut().outcomes[outcome as usize % OUTCOMES] += 1;
    }

    fn ended(&self, class: usize, end: End, sends: u32) {
        let mut counts = self.0.borrow_mut();
        counts.refused_unsent += u64::from(end == End::Refused && sends == 0);
        counts.gone += u64::from(end == End::Gone);
        let Some(ends) = counts.ends.get_mut(class) else { return };
        match end {
            End::Served => ends.served += 1,
            End::Refused => ends.refused += 1,
            End::Failed | End::Gone => ends.failed += 1,
        }
    }
}

/// A request that is taken. It is counted as ended exactly once: there is no way to end it twice, and one that
/// is dropped without a word has lost its client.
pub struct Taken {
    metrics: Rc<Metrics>,
    class: usize,
    whole: bool,
    end: End,
    /// Attempts so far.
    pub sends: u32,
}

impl Taken {
    /// Its last byte has come.
    pub fn whole(&mut self) {
        if !std::mem::replace(&mut self.whole, true) {
            self.metrics.0.borrow_mut().taken += 1;
        }
    }

    /// It has ended.
    pub fn end(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        // What never came whole and has no answer was no request.
        if !self.whole && self.end == End::Gone {
            return;
        }
        self.whole();
        self.metrics.ended(self.class, self.end, self.sends);
    }
}

/// The figures as the operators read them.
pub fn report(counts: &Counts, classes: &[String], listed: usize, avoided: usize) -> Counters {
    let by_class = |kind: fn(&Ends) -> u64| -> BTreeMap<String, u64> {
        classes.iter().zip(&counts.ends).map(|(name, ends)| (name.clone(), kind(ends))).collect()
    };
    Counters {
        answered: by_class(|e| e.served),
        rejected: by_class(|e| e.refused),
        failed: by_class(|e| e.failed),
        sends: counts.sends,
        current: counts.current(),
        cluster_size: listed as u64,
        cluster_unhealthy: avoided as u64,
    }
}

#[cfg(test)]
mod tests;
