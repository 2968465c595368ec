//! Selections that wait for load reports from their candidates.

use crate::endpoints::Endpoints;
use crate::{RequestId, Time};

/// A request whose candidates have been asked for their load.
#[derive(Debug)]
pub(crate) struct LoadQuery {
    pub(crate) request: RequestId,
    pub(crate) candidates: Vec<usize>,
    pub(crate) asked_at: Time,
    /// When the selection is made even if reports are missing.
    pub(crate) until: Time,
}

impl LoadQuery {
    /// Whether a candidate has reported its load since it was asked.
    pub(crate) fn has_report(&self, endpoints: &Endpoints, slot: usize) -> bool {
        endpoints.server(slot).report.has_report_since(self.asked_at)
    }

    fn is_done(&self, now: Time, endpoints: &Endpoints) -> bool {
        now >= self.until || self.candidates.iter().all(|&slot| self.has_report(endpoints, slot))
    }
}

/// All selections that wait for load reports.
#[derive(Default)]
pub(crate) struct LoadQueries {
    queries: Vec<LoadQuery>,
}

impl LoadQueries {
    /// Adds a selection whose candidates have been asked for their load.
    pub(crate) fn push(&mut self, query: LoadQuery) {
        self.queries.push(query);
    }

    /// Removes and returns the selections that can be made now.
    pub(crate) fn take_done(&mut self, now: Time, endpoints: &Endpoints) -> Vec<LoadQuery> {
        let queries = std::mem::take(&mut self.queries);
        let (done, waiting) = queries.into_iter().partition(|query| query.is_done(now, endpoints));
        self.queries = waiting;
        done
    }

    /// Whether a server is a candidate of a waiting selection.
    pub(crate) fn has_candidate(&self, slot: usize) -> bool {
        self.queries.iter().any(|query| query.candidates.contains(&slot))
    }
}
