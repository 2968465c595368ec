//! The health of one zone: its phase and share, and the outcomes that they are based on.

use crate::{ServerId, Span, Time, ZonePhase};

/// The maximum number of recent bad outcomes whose servers are remembered.
const MAX_BAD_OUTCOMES: usize = 12;
/// The minimum number of bad outcomes that count as evidence against a zone.
const MIN_BAD_OUTCOMES: usize = 3;
/// The maximum fraction of the bad outcomes at one server. If it is exceeded, the cause is that server and not the
/// zone.
const MAX_BAD_OUTCOME_SHARE_OF_ONE_SERVER: f64 = 0.75;
/// The maximum number of unanswered attempts that are remembered per zone.
const MAX_UNANSWERED: usize = 64;

/// The phase and share of a zone, as a whole or for one class, and the evidence gathered since they last changed.
#[derive(Debug, Clone)]
pub(super) struct ZoneUsage {
    pub(super) phase: ZonePhase,
    /// The fraction of the draws of this zone that are used, from 0 to 1.
    pub(super) share: f64,
    /// Why the zone is in this phase; empty if it has always been serving.
    pub(super) reason: &'static str,
    /// When the share was last set. The evidence below has been gathered since then.
    pub(super) since: Time,
    /// When the next probation request or health check is due, and the interval between two of them.
    pub(super) next_probation_at: Time,
    pub(super) probation_interval: Span,
    /// The zone has passed a health check since its share became zero, and no probation request has been sent since.
    /// For a single class, whose probation needs no health check, this is set along with the share.
    pub(super) has_passed_health_check: bool,
    /// How often the zone has failed again soon after a recovery.
    pub(super) relapses: u32,
    /// The numbers of good outcomes since the share was last set and of bad ones since the phase began. Attempts that
    /// were sent before that do not count.
    pub(super) good_outcomes: u32,
    pub(super) bad_outcomes: u32,
    /// The number of recent outcomes, up to a bound, the fraction of them that were failures or timeouts, and their
    /// mean latency relative to the usual one.
    pub(super) samples: f64,
    pub(super) loss_rate: f64,
    pub(super) slowdown: f64,
    /// The servers of the most recent bad outcomes, that is failures, timeouts and slow responses; the oldest first.
    pub(super) bad_outcome_servers: Vec<ServerId>,
}

impl Default for ZoneUsage {
    fn default() -> Self {
        ZoneUsage {
            phase: ZonePhase::Serving,
            share: 1.0,
            reason: "",
            since: Time(0),
            next_probation_at: Time(0),
            probation_interval: Span::ZERO,
            has_passed_health_check: false,
            relapses: 0,
            good_outcomes: 0,
            bad_outcomes: 0,
            samples: 0.0,
            loss_rate: 0.0,
            slowdown: 1.0,
            bad_outcome_servers: Vec::new(),
        }
    }
}

impl ZoneUsage {
    /// Records an outcome. The averages are over about the last `max_samples` outcomes.
    pub(super) fn record(
        &mut self,
        server: ServerId,
        is_lost: bool,
        slowdown: f64,
        is_slow: bool,
        max_samples: f64,
    ) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.loss_rate += (f64::from(is_lost) - self.loss_rate) / self.samples;
        self.slowdown += (slowdown - self.slowdown) / self.samples;
        if is_lost || is_slow {
            self.bad_outcome_servers.push(server);
            self.bad_outcome_servers.drain(..self.bad_outcome_servers.len().saturating_sub(MAX_BAD_OUTCOMES));
        }
    }

    /// The phase that follows from setting this share after the current one.
    pub(super) fn phase_for(&self, share: f64) -> ZonePhase {
        match share {
            0.0 => ZonePhase::Away,
            1.0.. => ZonePhase::Serving,
            reduced if reduced < self.share => ZonePhase::Leaving,
            _ => ZonePhase::Returning,
        }
    }

    /// Whether there are enough bad outcomes, and not nearly all of them at one server.
    pub(super) fn has_bad_outcomes_at_several_servers(&self) -> bool {
        let count =
            |server: ServerId| self.bad_outcome_servers.iter().filter(|s| **s == server).count() as f64;
        let all = self.bad_outcome_servers.len();
        let max_count = MAX_BAD_OUTCOME_SHARE_OF_ONE_SERVER * all as f64;
        all >= MIN_BAD_OUTCOMES && self.bad_outcome_servers.iter().all(|server| count(*server) <= max_count)
    }

    /// Doubles the interval between probation requests, up to `max_interval`, after one that failed.
    pub(super) fn back_off(&mut self, now: Time, max_interval: Span) {
        self.probation_interval =
            (self.probation_interval * 2.0).min(max_interval.max(self.probation_interval));
        self.next_probation_at = now + self.probation_interval;
    }
}

/// An attempt that could not connect, timed out or has had no response for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    server: ServerId,
    sent_at: Time,
}

/// The health of one zone, as a whole and for each class.
pub(super) struct ZoneHealth {
    /// When an attempt in the zone last ended with a response.
    pub(super) last_response_at: Time,
    /// When the most recently sent of the attempts that the zone responded to was sent.
    pub(super) last_answered_send: Time,
    /// The unanswered attempts since the last response, ordered by the time they were sent.
    unanswered: Vec<Unanswered>,
    /// One for each class, followed by that of the zone as a whole.
    pub(super) usages: Vec<ZoneUsage>,
}

/// The unanswered attempts of a zone after one has been recorded.
pub(super) struct UnansweredSummary {
    /// The attempt had not been recorded before.
    pub(super) is_new: bool,
    /// When the first unanswered attempt was sent to a server other than the one with the earliest; `None` if they are
    /// all at one server.
    pub(super) second_server_sent_at: Option<Time>,
}

impl ZoneHealth {
    /// Creates the health of a zone whose shares are 1, with this number of usages.
    pub(super) fn new(usages: usize) -> Self {
        ZoneHealth {
            last_response_at: Time(0),
            last_answered_send: Time(0),
            unanswered: Vec::new(),
            usages: vec![ZoneUsage::default(); usages],
        }
    }

    /// Records that the zone has responded to an attempt that was sent at `sent_at`.
    pub(super) fn record_response(&mut self, now: Time, sent_at: Time) {
        self.last_response_at = now;
        self.last_answered_send = self.last_answered_send.max(sent_at);
        self.clear_unanswered();
    }

    /// Records that an attempt that was sent at `sent_at` is unanswered.
    pub(super) fn record_unanswered(&mut self, server: ServerId, sent_at: Time) -> UnansweredSummary {
        let attempt = Unanswered { server, sent_at };
        let is_new = !self.unanswered.contains(&attempt);
        if is_new {
            self.unanswered.push(attempt);
        }
        self.unanswered.sort_by_key(|attempt| attempt.sent_at);
        self.unanswered.truncate(MAX_UNANSWERED);
        let first_server = self.unanswered.first().map(|attempt| attempt.server);
        let second = self.unanswered.iter().find(|attempt| Some(attempt.server) != first_server);
        UnansweredSummary { is_new, second_server_sent_at: second.map(|attempt| attempt.sent_at) }
    }

    /// Forgets the unanswered attempts.
    pub(super) fn clear_unanswered(&mut self) {
        self.unanswered.clear();
    }
}
