//! The evidence on one zone: how far it is in use, and what its responses say.

use crate::{ServerId, Span, Time, ZonePhase};

/// Responses that speak against a zone that are kept at most.
const MAX_BAD_OUTCOMES: usize = 12;
/// The least of them that count as evidence against the zone.
const MIN_BAD_OUTCOMES: usize = 3;
/// The fraction of them that one server may make up; more of them is that server's trouble.
const MAX_BAD_OUTCOME_SHARE_OF_ONE_SERVER: f64 = 0.75;
/// Attempts without a response that are kept of a zone at most.
const MAX_UNANSWERED: usize = 64;

/// How far a zone is in use, as a whole or for one class, and by what evidence.
#[derive(Debug, Clone)]
pub(super) struct ZoneUsage {
    pub(super) phase: ZonePhase,
    /// The fraction of the draws of this zone that are used.
    pub(super) share: f64,
    /// Why it is in this phase.
    pub(super) reason: &'static str,
    /// Since when. All evidence below has been gathered since then.
    pub(super) since: Time,
    /// When its next probation request is due, and the interval between two.
    pub(super) next_probation_at: Time,
    pub(super) probation_interval: Span,
    /// It has passed a health check since it was left, and no request has been tried yet.
    pub(super) has_passed_health_check: bool,
    /// How often it has failed again soon after its recovery.
    pub(super) relapses: u32,
    /// Good responses and bad ones to what was sent since then; the bad ones since the phase began.
    pub(super) good_responses: u32,
    pub(super) bad_responses: u32,
    /// The number of the last outcomes, up to a bound, the fraction of them that were lost, and their mean latency
    /// relative to the usual one.
    pub(super) samples: f64,
    pub(super) loss_rate: f64,
    pub(super) slowdown: f64,
    /// The servers of the last outcomes that spoke against the zone.
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
            good_responses: 0,
            bad_responses: 0,
            samples: 0.0,
            loss_rate: 0.0,
            slowdown: 1.0,
            bad_outcome_servers: Vec::new(),
        }
    }
}

impl ZoneUsage {
    /// Takes in an outcome; about the last `max_samples` are remembered.
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

    /// The phase that a share means, after the present one.
    pub(super) fn phase_for(&self, share: f64) -> ZonePhase {
        match share {
            0.0 => ZonePhase::Away,
            1.0.. => ZonePhase::Serving,
            less if less < self.share => ZonePhase::Leaving,
            _ => ZonePhase::Returning,
        }
    }

    /// Whether what speaks against the zone comes from several servers.
    pub(super) fn has_bad_outcomes_at_several_servers(&self) -> bool {
        let count =
            |server: ServerId| self.bad_outcome_servers.iter().filter(|s| **s == server).count() as f64;
        let all = self.bad_outcome_servers.len();
        let max_count = MAX_BAD_OUTCOME_SHARE_OF_ONE_SERVER * all as f64;
        all >= MIN_BAD_OUTCOMES && self.bad_outcome_servers.iter().all(|server| count(*server) <= max_count)
    }

    /// Doubles the interval between probation requests after one that failed.
    pub(super) fn back_off(&mut self, now: Time, max_interval: Span) {
        self.probation_interval =
            (self.probation_interval * 2.0).min(max_interval.max(self.probation_interval));
        self.next_probation_at = now + self.probation_interval;
    }
}

/// An attempt that has had no response for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Unanswered {
    server: ServerId,
    sent_at: Time,
}

/// What is known of one zone.
pub(super) struct ZoneHealth {
    /// When it last responded.
    pub(super) last_response_at: Time,
    /// When the latest of the attempts that it has responded to was sent.
    pub(super) last_answered_send: Time,
    /// Attempts since the last response that have had none for too long, by when they were sent.
    unanswered: Vec<Unanswered>,
    /// By class, and last that of the zone as a whole.
    pub(super) usages: Vec<ZoneUsage>,
}

/// What another attempt without a response says of its zone.
pub(super) struct UnansweredSummary {
    /// The attempt was not known to be unanswered.
    pub(super) is_new: bool,
    /// When the first attempt was sent to a second server that owes a response.
    pub(super) second_server_sent_at: Option<Time>,
}

impl ZoneHealth {
    /// A zone that is wholly in use, with so many usages.
    pub(super) fn new(usages: usize) -> Self {
        ZoneHealth {
            last_response_at: Time(0),
            last_answered_send: Time(0),
            unanswered: Vec::new(),
            usages: vec![ZoneUsage::default(); usages],
        }
    }

    /// Takes in that the zone has responded to an attempt that was sent then.
    pub(super) fn record_response(&mut self, now: Time, sent_at: Time) {
        self.last_response_at = now;
        self.last_answered_send = self.last_answered_send.max(sent_at);
        self.clear_unanswered();
    }

    /// Takes in that a server owes a response to an attempt that was sent then.
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

    /// Forgets the attempts without a response.
    pub(super) fn clear_unanswered(&mut self) {
        self.unanswered.clear();
    }
}
