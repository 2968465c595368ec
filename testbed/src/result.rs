//! What a play came to, as `result.json` states it. The keys are described in `docs/testbed.md`.

use crate::clock::histogram;
use crate::oracle::{Ledger, Rules, TryEnd, Window};
use crate::plan::Plan;
use crate::recovery::{self, Due, Recovery};
use crate::renderer::Micros;
use crate::scenario::Kin;
use crate::stage::processes::Used;
use serde::Serialize;
use std::collections::BTreeMap;

/// Figures of a result that a scenario may expect something of, and that plays are compared by.
pub const FIGURES: &[&str] = &[
    "served_worth",
    "in_time",
    "late",
    "refused",
    "failed",
    "worst_window",
    "recovered_s",
    "least_in_time",
    "unserved_most",
    "cross_zone",
    "cross_region",
    "attempts_per_request",
    "tries_per_request",
    "goodput",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "agent_cpu_us_per_request",
    "agent_memory_mb",
    "served_apart_from_signals",
];

/// Around a signal to an agent, service may fail for as long before and after.
const SIGNAL_US: Micros = 1_000_000;

/// Renderers are looked at this often for the report, in seconds.
pub const SAMPLE_S: f64 = 0.25;

/// How a renderer stood at a moment.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Sample {
    /// Its process runs, and is not cut off by its machine's vanishing.
    pub up: bool,
    /// Requests that it held.
    pub in_flight: u32,
    /// Its capacity by its warmth, from its cold share to 1.
    pub warmth: f64,
}

/// The longest time that is told apart.
const LONGEST_US: u64 = 3_600_000_000;
/// The worst stretch is sought over as many seconds.
const WORST_S: usize = 10;

/// A play's result.
#[derive(Debug, Clone, Serialize)]
pub struct Played {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Seconds played, of those planned.
    pub played_s: f64,
    /// Seconds planned.
    pub planned_s: f64,
    /// Requests that were due.
    pub requests: u64,
    /// How often each rule was broken.
    pub rules: Rules,
    /// Agents' processes that ended unasked.
    pub crashes: u64,
    /// The share of the worth asked for that was earned.
    pub served_worth: f64,
    /// Shares of the requests by how they ended: within their aim,
    pub in_time: f64,
    /// within their deadline,
    pub late: f64,
    /// refused at last,
    pub refused: f64,
    /// or otherwise.
    pub failed: f64,
    /// The least share of worth earned in any ten seconds.
    pub worst_window: f64,
    /// The share served in time before the first fault.
    pub before: f64,
    /// The longest time that service took to come back after a fault's start or end, in seconds; to the next one, or to the
    /// end of the play, where it did not.
    pub recovered_s: f64,
    /// The least share served in time in half a second after the first fault.
    pub least_in_time: f64,
    /// The largest share not served among the requests due until service was back.
    pub unserved_most: f64,
    /// Attempts that crossed zones, as a share of the attempts.
    pub cross_zone: f64,
    /// And regions.
    pub cross_region: f64,
    /// Attempts for each request.
    pub attempts_per_request: f64,
    /// Clients' tries for each request.
    pub tries_per_request: f64,
    /// Requests served within their deadline a second.
    pub goodput: f64,
    /// Times of the served since they were due.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th.
    pub p999_ms: f64,
    /// The testbed's own lateness at the median,
    pub late_p50_ms: f64,
    /// the 99th percentile,
    pub late_p99_ms: f64,
    /// and the most.
    pub late_most_ms: f64,
    /// Processor time of the testbed for each request, in microseconds.
    pub lab_cpu_us_per_request: f64,
    /// Processor time of all agents for each request.
    pub agent_cpu_us_per_request: f64,
    /// The most memory that an agent held, in MB.
    pub agent_memory_mb: f64,
    /// The share served of the requests that were due apart from the second around each signal and start of an agent.
    pub served_apart_from_signals: f64,
    /// By class.
    pub classes: Vec<ClassPlayed>,
    /// Attempts by what they were answered.
    pub answers: BTreeMap<&'static str, u64>,
    /// Clients' tries by how they ended.
    pub try_ends: BTreeMap<String, u64>,
    /// Probes that reached renderers.
    pub probes: u64,
    /// Connections that clients opened.
    pub client_connections: u64,
    /// Connections that agents opened to renderers.
    pub renderer_connections: u64,
    /// Bytes of the lists that discovery answered all agents with.
    pub list_bytes: u64,
    /// Attempts by zone of the agent and zone of the renderer.
    pub traffic: Vec<Vec<u64>>,
    /// Each renderer every [`SAMPLE_S`], for the report alone.
    #[serde(skip)]
    pub samples: Vec<Vec<Sample>>,
    /// What each agent used.
    pub agents: Vec<Used>,
    /// Second by second.
    pub windows: Vec<Window>,
    /// How service came back after each fault's start and end.
    pub recovery: Vec<Recovery>,
}

/// A class's part of the result.
#[derive(Debug, Clone, Serialize)]
pub struct ClassPlayed {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub requests: u64,
    /// The share of its worth that was earned.
    pub served_worth: f64,
    /// Shares of its requests, as above.
    pub in_time: f64,
    /// Refused at last.
    pub refused: f64,
    /// Times of the served.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// How a request ended, for the counts.
#[derive(Clone, Copy, PartialEq)]
enum End {
    InTime,
    Late,
    Refused,
    Failed,
}

/// What the testbed knows of its own part in a play.
pub struct Own {
    /// When the play ended.
    pub ended_at: Micros,
    /// Its lateness in milliseconds: median, 99th percentile, most.
    pub late_ms: (f64, f64, f64),
    /// Its processor time in seconds.
    pub cpu_s: f64,
    /// Each renderer every [`SAMPLE_S`].
    pub samples: Vec<Vec<Sample>>,
    /// Connections that its clients opened.
    pub connections: usize,
    /// Bytes of the lists that its discovery answered with.
    pub list_bytes: u64,
}

/// The share served of the requests that were due apart from signals and starts of agents.
fn served_apart_from_signals(plan: &Plan, due: &[Due]) -> f64 {
    let signals: Vec<(Micros, Micros)> = plan
        .faults
        .iter()
        .filter(|fault| matches!(fault.kind, Kin::AgentKill | Kin::AgentTerm | Kin::AgentUpgrade))
        .map(|fault| (fault.start_us.saturating_sub(SIGNAL_US), plan.signal_end_us(fault) + SIGNAL_US))
        .collect();
    let is_near = |at: Micros| signals.iter().any(|(from, to)| (*from..=*to).contains(&at));
    let apart: Vec<&Due> = due.iter().filter(|due| !is_near(due.due_us)).collect();
    share(apart.iter().filter(|due| due.served).count() as f64, apart.len() as f64)
}

/// Sums a play up.
pub fn sum_up(plan: &Plan, ledger: &Ledger, agents: Vec<Used>, own: Own) -> Played {
    let seconds = plan.length_us.div_ceil(1_000_000) as usize;
    let mut windows: Vec<Window> =
        (0..seconds).map(|s| Window { from_s: s as u64, ..Window::default() }).collect();
    let mut window_times: Vec<_> = (0..seconds).map(|_| histogram(LONGEST_US)).collect();
    let mut class_times: Vec<_> = plan.classes.iter().map(|_| histogram(LONGEST_US)).collect();
    let mut class_counts = vec![[0u64; 4]; plan.classes.len()];
    let mut class_worth = vec![(0.0, 0.0); plan.classes.len()];
    let mut times = histogram(LONGEST_US);
    let mut counts = [0u64; 4];
    let (mut asked, mut earned, mut tries) = (0.0, 0.0, 0u64);
    let mut due = Vec::with_capacity(plan.arrivals.len());
    for (place, arrival) in plan.arrivals.iter().enumerate() {
        // A play that was broken off owes nothing on what was still open, or not yet due.
        let Some(outcome) = ledger.outcomes[place] else { continue };
        let class = &plan.classes[arrival.class];
        let end = match outcome.served_us {
            Some(us) if us <= class.aim_us => End::InTime,
            Some(us) if us <= class.deadline_us => End::Late,
            _ if outcome.last == TryEnd::Refused => End::Refused,
            _ => End::Failed,
        };
        let served = matches!(end, End::InTime | End::Late);
        due.push(Due { due_us: arrival.due_us, in_time: end == End::InTime, served });
        let worth = ledger.worth(place);
        (asked, earned) = (asked + worth.0, earned + worth.1);
        tries += u64::from(outcome.tries);
        counts[end as usize] += 1;
        class_counts[arrival.class][end as usize] += 1;
        class_worth[arrival.class].0 += worth.0;
        class_worth[arrival.class].1 += worth.1;
        let second = ((arrival.due_us / 1_000_000) as usize).min(seconds.saturating_sub(1));
        let window = &mut windows[second];
        window.offered += 1;
        window.asked += worth.0;
        window.earned += worth.1;
        match end {
            End::InTime => window.in_time += 1,
            End::Late => window.late += 1,
            End::Refused => window.refused += 1,
            End::Failed => window.failed += 1,
        }
        if let Some(us) = outcome.served_us {
            for histogram in [&mut times, &mut class_times[arrival.class], &mut window_times[second]] {
                histogram.saturating_record(us.max(1));
            }
        }
    }
    let at = |histogram: &hdrhistogram::Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    for (window, times) in windows.iter_mut().zip(&window_times) {
        (window.p50_ms, window.p99_ms) = (at(times, 0.5), at(times, 0.99));
        let (attempts, crossed) =
            ledger.attempts_by_second.get(window.from_s as usize).copied().unwrap_or_default();
        (window.attempts, window.crossed) = (attempts, crossed);
    }
    let requests: u64 = counts.iter().sum();
    let n = requests as f64;
    let of = |end: End| share(counts[end as usize] as f64, n);
    let ran: Vec<&Window> = windows.iter().filter(|w| w.offered > 0).collect();
    let worst = ran
        .windows(WORST_S.min(ran.len()).max(1))
        .map(|ten| share(ten.iter().map(|w| w.earned).sum(), ten.iter().map(|w| w.asked).sum()))
        .fold(f64::INFINITY, f64::min);
    let (before, recovery) = recovery::of(plan, &due, own.ended_at);
    let left = |r: &Recovery| {
        let next = recovery.iter().map(|r| r.at_s).find(|at| *at > r.at_s);
        next.unwrap_or(plan.length_us.min(own.ended_at) as f64 / 1e6) - r.at_s
    };
    let recovered_s = recovery.iter().map(|r| r.after_s.unwrap_or_else(|| left(r))).fold(0.0, f64::max);
    let played_s = plan.length_us.min(own.ended_at) as f64 / 1e6;
    let classes = plan
        .classes
        .iter()
        .enumerate()
        .map(|(place, class)| {
            let counts = &class_counts[place];
            let n = counts.iter().sum::<u64>();
            ClassPlayed {
                name: class.name.clone(),
                requests: n,
                served_worth: share(class_worth[place].1, class_worth[place].0),
                in_time: share(counts[End::InTime as usize] as f64, n as f64),
                refused: share(counts[End::Refused as usize] as f64, n as f64),
                p50_ms: at(&class_times[place], 0.5),
                p99_ms: at(&class_times[place], 0.99),
            }
        })
        .collect();
    Played {
        scenario: plan.scenario.clone(),
        seed: plan.seed,
        played_s,
        planned_s: plan.length_us as f64 / 1e6,
        requests,
        rules: ledger.rules,
        crashes: agents.iter().map(|a| a.crashes.len() as u64).sum(),
        served_worth: share(earned, asked),
        in_time: of(End::InTime),
        late: of(End::Late),
        refused: of(End::Refused),
        failed: of(End::Failed),
        worst_window: if worst.is_finite() { worst } else { 0.0 },
        before,
        recovered_s,
        least_in_time: recovery.iter().map(|r| r.least_in_time).fold(1.0, f64::min),
        unserved_most: recovery.iter().map(|r| r.unserved).fold(0.0, f64::max),
        cross_zone: share(ledger.crossed_zones as f64, ledger.attempts as f64),
        cross_region: share(ledger.crossed_regions as f64, ledger.attempts as f64),
        attempts_per_request: share(ledger.attempts as f64, n),
        tries_per_request: share(tries as f64, n),
        goodput: share((counts[End::InTime as usize] + counts[End::Late as usize]) as f64, played_s),
        p50_ms: at(&times, 0.5),
        p99_ms: at(&times, 0.99),
        p999_ms: at(&times, 0.999),
        late_p50_ms: own.late_ms.0,
        late_p99_ms: own.late_ms.1,
        late_most_ms: own.late_ms.2,
        lab_cpu_us_per_request: share(own.cpu_s * 1e6, n),
        agent_cpu_us_per_request: share(agents.iter().map(|a| a.cpu_s).sum::<f64>() * 1e6, n),
        served_apart_from_signals: served_apart_from_signals(plan, &due),
        agent_memory_mb: agents.iter().map(|a| a.memory_mb).fold(0.0, f64::max),
        classes,
        answers: ledger.answers.iter().map(|(kind, n)| (*kind, *n)).collect(),
        try_ends: ledger.try_ends.iter().map(|(end, n)| (word(end), *n)).collect(),
        probes: ledger.probes,
        client_connections: own.connections as u64,
        renderer_connections: ledger.connections,
        list_bytes: own.list_bytes,
        traffic: ledger.traffic.clone(),
        samples: own.samples,
        agents,
        windows,
        recovery,
    }
}

fn word(end: &TryEnd) -> String {
    serde_json::to_value(end).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
}

impl Played {
    /// One of [`FIGURES`] by its name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let value = serde_json::to_value(self).ok()?;
        value.get(name)?.as_f64()
    }

    /// What of a scenario's expectations does not hold, a line each.
    pub fn falls_short(&self, expect: &crate::scenario::Expect) -> Vec<String> {
        let mut lines = Vec::new();
        if expect.rules {
            let rules = &self.rules;
            let broken = [
                ("lost", rules.lost),
                ("doubled", rules.doubled),
                ("drains", rules.drains),
                ("cold", rules.cold),
            ];
            for (rule, n) in broken.into_iter().filter(|(_, n)| *n > 0) {
                lines.push(format!("rule {rule}: broken {n} times; never was expected"));
            }
            if self.crashes > 0 {
                let how: Vec<&str> =
                    self.agents.iter().flat_map(|a| &a.crashes).map(String::as_str).collect();
                lines.push(format!("crashes: {}; none were expected ({})", self.crashes, how.join("; ")));
            }
        }
        for (bounds, word) in [(&expect.least, "at least"), (&expect.most, "at most")] {
            for (name, bound) in bounds {
                let Some(is) = self.figure(name) else { continue };
                let holds = if word == "at least" { is >= *bound } else { is <= *bound };
                if !holds {
                    lines.push(format!("{name} = {is:.4}: {word} {bound} was expected"));
                }
            }
        }
        lines
    }
}
