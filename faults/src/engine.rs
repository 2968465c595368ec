//! Decides which calls meet a fault. It takes no lock and allocates nothing, so that it may also be asked from
//! a signal handler.

use crate::schedule::{Call, Fault, Rule, Schedule};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What a call is about.
#[derive(Debug, Clone, Copy)]
pub enum Subject<'a> {
    /// An internet socket, with its port if it has one.
    Socket(Option<u16>),
    /// Files, by their names.
    Files(&'a [&'a [u8]]),
}

impl Rule {
    /// Whether the rule is about such calls at all.
    fn concerns(&self, call: Call, subject: Subject<'_>, since_start: Duration) -> bool {
        let named = match (subject, &self.path) {
            (Subject::Socket(port), None) => self.port.is_none() || self.port == port,
            (Subject::Files(names), Some(prefix)) => {
                names.iter().any(|name| name.starts_with(prefix.as_bytes()))
            }
            _ => false,
        };
        named && self.calls.contains(&call) && (self.after..self.until).contains(&since_start)
    }
}

/// A rule and how often it was met.
struct Armed {
    rule: Rule,
    calls: AtomicU64,
    struck: AtomicU64,
}

impl Armed {
    /// Counts one more call; whether it meets the fault.
    fn count(&self, seed: u64) -> bool {
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let Some(past) = call.checked_sub(self.rule.from) else { return false };
        let drawn = draw(seed, past).is_multiple_of(self.rule.one_in);
        let due = (past + 1).is_multiple_of(self.rule.every);
        drawn && due && self.struck.fetch_add(1, Ordering::Relaxed) < self.rule.times
    }
}

/// A schedule that is being played.
pub struct Engine {
    seed: u64,
    rules: Vec<Armed>,
    schedule: Schedule,
}

impl Engine {
    /// Begins with the first call of each rule.
    pub fn new(schedule: Schedule) -> Self {
        let arm = |rule: &Rule| Armed { rule: rule.clone(), calls: 0.into(), struck: 0.into() };
        Engine { seed: schedule.seed, rules: schedule.rules.iter().map(arm).collect(), schedule }
    }

    /// Whether any rule is about calls of this group: if not, nobody need find out what the call is about.
    pub fn concerns(&self, call: Call) -> bool {
        self.rules.iter().any(|armed| armed.rule.calls.contains(&call))
    }

    /// Whether any rule goes by the names of files.
    pub fn concerns_files(&self, call: Call) -> bool {
        self.rules.iter().any(|armed| armed.rule.path.is_some() && armed.rule.calls.contains(&call))
    }

    /// Counts a call and says what it meets.
    pub fn fault(&self, call: Call, subject: Subject<'_>, since_start: Duration) -> Option<Fault> {
        let mut fault = None;
        for (index, armed) in self.rules.iter().enumerate() {
            if !armed.rule.concerns(call, subject, since_start) {
                continue;
            }
            let seed = draw(self.seed, index as u64);
            if armed.count(seed) && fault.is_none() {
                fault = Some(armed.rule.fault);
            }
        }
        fault
    }

    /// By how many milliseconds the wall clock is off at this time.
    pub fn clock_shift_ms(&self, since_start: Duration) -> i64 {
        self.schedule.clock.iter().filter(|step| step.at <= since_start).map(|step| step.shift_ms).sum()
    }

    /// Whether the wall clock is ever off.
    pub fn steps_clock(&self) -> bool {
        !self.schedule.clock.is_empty()
    }
}

/// The `index`th number of the sequence that `seed` begins (SplitMix64).
fn draw(seed: u64, index: u64) -> u64 {
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = seed.wrapping_add(GAMMA.wrapping_mul(index.wrapping_add(1)));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests;
