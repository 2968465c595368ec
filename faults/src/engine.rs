//! Decides which calls get a fault. Evaluation takes no lock and allocates nothing, so that it is safe in a signal
//! handler.

use crate::schedule::{Call, Fault, Rule, Schedule};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// What a call operates on.
#[derive(Debug, Clone, Copy)]
pub enum Target<'a> {
    /// An internet socket; `None` if its port is unknown.
    Socket(Option<u16>),
    /// Files, by path; `rename` has two.
    Files(&'a [&'a [u8]]),
}

impl Rule {
    /// Whether the call counts towards this rule: its function group, port or path, and time match.
    fn matches(&self, call: Call, target: Target<'_>, since_start: Duration) -> bool {
        let target_matches = match (target, &self.path) {
            (Target::Socket(port), None) => self.port.is_none() || self.port == port,
            (Target::Files(paths), Some(prefix)) => {
                paths.iter().any(|path| path.starts_with(prefix.as_bytes()))
            }
            _ => false,
        };
        target_matches && self.calls.contains(&call) && (self.after..self.until).contains(&since_start)
    }
}

/// A rule with its counters: the calls that matched it, and those of them that `from`, `every` and `one-in` selected,
/// including the ones past `times`.
struct RuleState {
    rule: Rule,
    matched_calls: AtomicU64,
    selected_calls: AtomicU64,
}

impl RuleState {
    /// Counts a matching call and returns whether it gets the fault.
    fn record_call(&self, seed: u64) -> bool {
        let call = self.matched_calls.fetch_add(1, Ordering::Relaxed) + 1;
        let Some(eligible_index) = call.checked_sub(self.rule.from) else { return false };
        let selected = random(seed, eligible_index).is_multiple_of(self.rule.one_in);
        let periodic = (eligible_index + 1).is_multiple_of(self.rule.every);
        selected && periodic && self.selected_calls.fetch_add(1, Ordering::Relaxed) < self.rule.times
    }
}

/// Evaluates a schedule for the calls of this process.
pub struct Engine {
    seed: u64,
    rules: Vec<RuleState>,
    schedule: Schedule,
}

impl Engine {
    /// Creates an engine with all counters at zero.
    pub fn new(schedule: Schedule) -> Self {
        let new_state =
            |rule: &Rule| RuleState { rule: rule.clone(), matched_calls: 0.into(), selected_calls: 0.into() };
        Engine { seed: schedule.seed, rules: schedule.rules.iter().map(new_state).collect(), schedule }
    }

    /// Whether any rule applies to this group of calls. If not, the caller need not determine the target.
    pub fn has_rules_for(&self, call: Call) -> bool {
        self.rules.iter().any(|state| state.rule.calls.contains(&call))
    }

    /// Whether any rule for this group of calls has a path prefix.
    pub fn has_path_rules_for(&self, call: Call) -> bool {
        self.rules.iter().any(|state| state.rule.path.is_some() && state.rule.calls.contains(&call))
    }

    /// Counts a call in every matching rule and returns the fault of the first rule that applies.
    pub fn next_fault(&self, call: Call, target: Target<'_>, since_start: Duration) -> Option<Fault> {
        let mut fault = None;
        for (index, state) in self.rules.iter().enumerate() {
            if !state.rule.matches(call, target, since_start) {
                continue;
            }
            let seed = random(self.seed, index as u64);
            if state.record_call(seed) && fault.is_none() {
                fault = Some(state.rule.fault);
            }
        }
        fault
    }

    /// The sum of the clock steps up to this time, in milliseconds.
    pub fn clock_shift_ms(&self, since_start: Duration) -> i64 {
        self.schedule.clock.iter().filter(|step| step.at <= since_start).map(|step| step.shift_ms).sum()
    }

    /// Whether the schedule has any clock steps.
    pub fn has_clock_steps(&self) -> bool {
        !self.schedule.clock.is_empty()
    }
}

/// The `index`th number, from 0, of the SplitMix64 sequence for `seed`.
fn random(seed: u64, index: u64) -> u64 {
    const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut mixed = seed.wrapping_add(GAMMA.wrapping_mul(index.wrapping_add(1)));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

#[cfg(test)]
mod tests;
