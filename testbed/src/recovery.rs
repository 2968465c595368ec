//! How service comes back after each thing that goes wrong, and after it has ended.
//!
//! Requests count by when they were due. The share that was served in time in the [`BEFORE_S`] seconds before the first
//! fault is what a fleet in order gives; a play is recovered from a moment once each half second from some time on, for
//! [`HOLDS_S`] seconds, has [`BACK`] of that. A fault's start and its end are both such moments.

use crate::plan::{Fault, Plan};
use crate::renderer::Micros;
use serde::Serialize;

/// What is looked at before the first fault, in seconds, less what the faults already touch of it.
pub const BEFORE_S: f64 = 4.0;
/// The part of the share from before that counts as recovered.
pub const BACK: f64 = 0.97;
/// And for how long it has to hold, in seconds.
pub const HOLDS_S: f64 = 1.0;
/// Requests due over this long are looked at together, every so often, in microseconds.
const WINDOW_US: Micros = 500_000;
const STEP_US: Micros = 50_000;
/// A window with fewer requests says nothing.
const REQUESTS_LEAST: usize = 10;

/// One request, for this: when it was due, whether it was served in time, and whether it was served at all.
#[derive(Debug, Clone, Copy)]
pub struct Due {
    /// When.
    pub due_us: Micros,
    /// Within its aim.
    pub in_time: bool,
    /// Within its deadline.
    pub served: bool,
}

/// How service came back after one moment.
#[derive(Debug, Clone, Serialize)]
pub struct Recovery {
    /// The fault, as the report numbers them, from 1.
    pub fault: usize,
    /// What it was.
    pub kind: String,
    /// Its `start` or its `end`.
    pub moment: &'static str,
    /// When that was, in seconds.
    pub at_s: f64,
    /// Seconds until service was back; none if it was not, before the next moment or the end of the play.
    pub after_s: Option<f64>,
    /// The least share served in time in half a second until the next moment.
    pub least_in_time: f64,
    /// Of the requests due until service was back: the share that was not served within its deadline.
    pub unserved: f64,
}

/// All moments of a play that went on past them; and the share served in time before the first.
pub fn of(plan: &Plan, due: &[Due], ended_us: Micros) -> (f64, Vec<Recovery>) {
    let end = plan.length_us.min(ended_us);
    let of = |(place, fault): (usize, &Fault)| {
        let start = (place, "start", fault.start_us);
        [Some(start), (fault.end_us > fault.start_us).then_some((place, "end", fault.end_us))]
    };
    let mut moments: Vec<_> = plan.faults.iter().enumerate().flat_map(of).flatten().collect();
    moments.retain(|m| m.2 < end);
    moments.sort_by_key(|m| m.2);
    let Some(first) = moments.first().map(|m| m.2) else {
        return (share(due.iter(), |d| d.in_time), Vec::new());
    };
    // What was out when it began is touched by it.
    let aim = plan.classes.iter().map(|c| c.aim_us).max().unwrap_or(0);
    let (from, to) = (first.saturating_sub(aim + (BEFORE_S * 1e6) as Micros), first.saturating_sub(aim));
    let before = share(within(due, from, to).iter(), |d| d.in_time);
    let each = moments.iter().enumerate().map(|(n, &(place, moment, at))| {
        let next = moments[n + 1..].iter().map(|m| m.2).find(|next| *next > at).unwrap_or(end);
        let windows: Vec<(Micros, f64)> = (at..next.saturating_sub(WINDOW_US))
            .step_by(STEP_US as usize)
            .map(|from| (from, within(due, from, from + WINDOW_US)))
            .filter(|(_, seen)| seen.len() >= REQUESTS_LEAST)
            .map(|(from, seen)| (from, share(seen.iter(), |d| d.in_time)))
            .collect();
        let good = |w: &(Micros, f64)| w.1 >= BACK * before;
        let holds = |from: Micros| {
            let until = from + (HOLDS_S * 1e6) as Micros;
            until <= next && windows.iter().filter(|w| w.0 >= from && w.0 + WINDOW_US <= until).all(good)
        };
        let back = windows.iter().map(|w| w.0).find(|from| holds(*from));
        let until = within(due, at, back.unwrap_or(next).max(at));
        Recovery {
            fault: place + 1,
            kind: plan.faults[place].kind.word(),
            moment,
            at_s: at as f64 / 1e6,
            after_s: back.map(|back| (back - at) as f64 / 1e6),
            least_in_time: windows.iter().map(|w| w.1).fold(1.0, f64::min),
            unserved: if until.is_empty() { 0.0 } else { 1.0 - share(until.iter(), |d| d.served) },
        }
    });
    (before, each.collect())
}

/// Those that were due in this time; they come in the order in which they were due.
fn within(due: &[Due], from: Micros, to: Micros) -> &[Due] {
    let start = due.partition_point(|d| d.due_us < from);
    let end = due.partition_point(|d| d.due_us < to);
    &due[start..end.max(start)]
}

fn share<'a>(due: impl Iterator<Item = &'a Due> + Clone, yes: impl Fn(&Due) -> bool) -> f64 {
    let all = due.clone().count();
    if all == 0 {
        return 1.0;
    }
    due.filter(|d| yes(d)).count() as f64 / all as f64
}
