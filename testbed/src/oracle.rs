//! The ledger of a play and the rules that are judged from it.
//!
//! It is told what crossed the testbed's sockets and when, and nothing else. A rule is judged when the event that breaks it
//! is written down, so each breach can be named with its request, agent, renderer and time.

use crate::plan::{Plan, DRAIN_GRACE_US};
use crate::renderer::Micros;
use crate::scenario::Effect;
use serde::Serialize;
use std::collections::HashMap;

/// On sockets every time limit is this much longer.
pub const SLACK_US: Micros = 50_000;
/// An answer so long after its time is still an answer, though worth nothing; later the request is lost.
pub const LOST_AFTER_US: Micros = 500_000;
/// Attempts for one request at most.
pub const ATTEMPTS_MOST: u32 = 5;
/// Breaches that are told in words; all are counted.
const BREACHES_MOST: usize = 50;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// One final answer in time, made by a renderer where it says so.
    Lost,
    /// What may have run is repeated only where its class permits that.
    Doubled,
    /// Nothing new goes to a renderer that drains, is gone, or is cordoned.
    Drains,
    /// No cold renderer is pushed over.
    Cold,
}

/// A rule that was broken.
#[derive(Debug, Clone, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When.
    pub at_us: Micros,
    /// What happened.
    pub what: String,
}

/// How often each rule was broken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// See [`Rule::Lost`].
    pub lost: u64,
    /// See [`Rule::Doubled`].
    pub doubled: u64,
    /// See [`Rule::Drains`].
    pub drains: u64,
    /// See [`Rule::Cold`].
    pub cold: u64,
}

impl Rules {
    /// Whether none was broken.
    pub fn kept(&self) -> bool {
        *self == Rules::default()
    }
}

/// What is known of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// It is out, or may have run.
    MayHaveRun,
    /// The agent was told that it never ran.
    NeverRan,
    /// Its answer was written to the agent.
    Answered,
}

#[derive(Debug)]
struct Attempt {
    renderer: usize,
    at: Micros,
    fate: Fate,
}

/// Names a try: the number in its `X-Request-ID`.
pub type TryId = u64;

#[derive(Debug)]
struct Try {
    arrival: usize,
    agent: usize,
    attempts: Vec<Attempt>,
}

/// How a try ended at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TryEnd {
    /// A renderer's answer.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer, or a broken one.
    Failed,
    /// No answer within its time; one that came soon after counts here too.
    TimedOut,
    /// The agent was not there, or closed the connection without a word on a request that it had not read.
    Unheard,
    /// The client left early.
    Left,
}

/// How a request ended over all its tries.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// When it was served, since it was due.
    pub served_us: Option<Micros>,
    /// How its last try ended.
    pub last: TryEnd,
    /// Its tries.
    pub tries: u32,
}

/// What an agent was told of a renderer.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    /// The list took it out of use at that time.
    out: Option<Micros>,
    /// Staff did.
    cordoned: Option<Micros>,
}

/// A stretch in which an agent could not answer, by the scenario's doing.
#[derive(Debug, Clone, Copy)]
struct Excuse {
    agent: usize,
    from: Micros,
    to: Micros,
}

/// Counts of a second of the play, by when requests were due (outcomes) or attempts came.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Window {
    /// Its start, in seconds.
    pub from_s: u64,
    /// First tries that were due.
    pub offered: u64,
    /// Served within their aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Ended with a refusal.
    pub refused: u64,
    /// Ended otherwise.
    pub failed: u64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Attempts that arrived at renderers.
    pub attempts: u64,
    /// Of those, from another zone.
    pub crossed: u64,
    /// Median and 99th percentile of the served, in milliseconds since due.
    pub p50_ms: f64,
    /// The same.
    pub p99_ms: f64,
}

/// The ledger.
pub struct Ledger {
    plan: std::sync::Arc<Plan>,
    tries: HashMap<TryId, Try>,
    told: HashMap<(usize, usize), Told>,
    excuses: Vec<Excuse>,
    /// Ends by first try.
    pub outcomes: Vec<Option<Outcome>>,
    /// How often each rule was broken.
    pub rules: Rules,
    /// The first of the breaches.
    pub breaches: Vec<Breach>,
    /// Tries by how they ended.
    pub try_ends: HashMap<TryEnd, u64>,
    /// Attempts that arrived.
    pub attempts: u64,
    /// Attempts that crossed zones.
    pub crossed_zones: u64,
    /// Attempts that crossed regions.
    pub crossed_regions: u64,
    /// Attempts by the agent's zone and the renderer's.
    pub traffic: Vec<Vec<u64>>,
    /// Attempts by second, and those that crossed zones.
    pub attempts_by_second: Vec<(u64, u64)>,
    /// Attempts by what they were answered.
    pub answers: HashMap<&'static str, u64>,
    /// Probes that arrived.
    pub probes: u64,
    /// Connections to renderers.
    pub connections: u64,
}

impl std::hash::Hash for TryEnd {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (*self as u8).hash(state);
    }
}

/// Whether an attempt may go on to its renderer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// It is this attempt of this first try.
    Known {
        /// Its place among the try's attempts.
        number: usize,
        /// The first try that it belongs to.
        arrival: usize,
    },
    /// No client has sent this.
    Unknown,
}

impl Ledger {
    /// An empty one.
    pub fn new(plan: std::sync::Arc<Plan>) -> Self {
        let zones = plan.zones.len();
        Ledger {
            tries: HashMap::new(),
            told: HashMap::new(),
            excuses: Vec::new(),
            outcomes: vec![None; plan.arrivals.len()],
            rules: Rules::default(),
            breaches: Vec::new(),
            try_ends: HashMap::new(),
            attempts: 0,
            crossed_zones: 0,
            crossed_regions: 0,
            traffic: vec![vec![0; zones]; zones],
            attempts_by_second: Vec::new(),
            answers: HashMap::new(),
            probes: 0,
            connections: 0,
            plan,
        }
    }

    fn breach(&mut self, rule: Rule, at_us: Micros, what: impl FnOnce() -> String) {
        let count = match rule {
            Rule::Lost => &mut self.rules.lost,
            Rule::Doubled => &mut self.rules.doubled,
            Rule::Drains => &mut self.rules.drains,
            Rule::Cold => &mut self.rules.cold,
        };
        *count += 1;
        if self.breaches.len() < BREACHES_MOST {
            self.breaches.push(Breach { rule, at_us, what: what() });
        }
    }

    fn named(&self, agent: usize, renderer: usize) -> (String, String) {
        (self.plan.agents[agent].name.clone(), self.plan.renderers[renderer].name.clone())
    }

    /// A client is about to send a try.
    pub fn tries(&mut self, id: TryId, arrival: usize) {
        let agent = self.plan.arrivals[arrival].agent;
        self.tries.insert(id, Try { arrival, agent, attempts: Vec::new() });
    }

    /// Discovery has told an agent whether a renderer takes new work.
    pub fn told(&mut self, at: Micros, agent: usize, renderer: usize, up: bool) {
        let told = self.told.entry((agent, renderer)).or_default();
        told.out = if up { None } else { told.out.or(Some(at)) };
    }

    /// Staff have cordoned a renderer at an agent, or called it back.
    pub fn cordoned(&mut self, at: Micros, agent: usize, renderer: usize, out: bool) {
        let told = self.told.entry((agent, renderer)).or_default();
        told.cordoned = out.then(|| told.cordoned.unwrap_or(at));
    }

    /// An agent has started anew and knows only what it is told from here on.
    pub fn forgets(&mut self, agent: usize) {
        for ((_, _), told) in self.told.iter_mut().filter(|((a, _), _)| *a == agent) {
            told.out = None;
        }
    }

    /// An agent could not answer in this stretch, by the scenario's doing.
    pub fn excuse(&mut self, agent: usize, from: Micros, to: Micros) {
        self.excuses.push(Excuse { agent, from, to });
    }

    fn excused(&self, agent: usize, from: Micros, to: Micros) -> bool {
        self.excuses.iter().any(|e| e.agent == agent && e.from <= to && from <= e.to)
    }

    /// The first byte of an attempt has come to a renderer's socket at `began`, and its last at `now`.
    pub fn attempt(
        &mut self,
        began: Micros,
        now: Micros,
        agent: usize,
        renderer: usize,
        id: Option<TryId>,
    ) -> Entry {
        let plan = self.plan.clone();
        let known = id.and_then(|id| self.tries.get(&id)).is_some_and(|t| t.agent == agent);
        let (Some(id), true) = (id, known) else {
            let (a, r) = self.named(agent, renderer);
            self.breach(Rule::Doubled, now, || {
                format!("{a} sent {r} a request that no client of its own had sent")
            });
            return Entry::Unknown;
        };
        self.attempts += 1;
        let (from, to) = (plan.agents[agent].zone, plan.renderers[renderer].zone);
        self.traffic[from][to] += 1;
        let second = (now / 1_000_000) as usize;
        if self.attempts_by_second.len() <= second {
            self.attempts_by_second.resize(second + 1, (0, 0));
        }
        self.attempts_by_second[second].0 += 1;
        if from != to {
            self.crossed_zones += 1;
            self.attempts_by_second[second].1 += 1;
        }
        if plan.regions[from] != plan.regions[to] {
            self.crossed_regions += 1;
        }

        let told = self.told.get(&(agent, renderer)).copied().unwrap_or_default();
        for (out, who) in [(told.out, "by the list"), (told.cordoned, "by staff")] {
            if let Some(out) = out.filter(|out| began > out + DRAIN_GRACE_US + SLACK_US) {
                let (a, r) = self.named(agent, renderer);
                let after = (began - out) / 1000;
                self.breach(Rule::Drains, began, || {
                    format!("{a} sent {id:016x} to {r}, which had been out of use {who} for {after} ms")
                });
            }
        }

        let Some(tried) = self.tries.get_mut(&id) else { return Entry::Unknown };
        let arrival = tried.arrival;
        let class = &plan.classes[plan.arrivals[arrival].class];
        let may_have_run = || tried.attempts.iter().filter(|a| a.fate != Fate::NeverRan);
        let cell = |renderer: usize| plan.renderers[renderer].cell;
        let doubled = match class.effect {
            Effect::Safe => None,
            Effect::Unsafe => may_have_run().next().map(|_| "must not run twice"),
            Effect::Keyed => {
                let first = may_have_run().map(|a| a.at).min();
                if may_have_run().any(|a| cell(a.renderer) != cell(renderer)) {
                    Some("is not dropped in another cell")
                } else if first.is_some_and(|first| now > first + class.window_us + SLACK_US) {
                    Some("is no longer dropped")
                } else {
                    None
                }
            }
        };
        let many = tried.attempts.len() as u32 >= ATTEMPTS_MOST;
        let number = tried.attempts.len();
        tried.attempts.push(Attempt { renderer, at: now, fate: Fate::MayHaveRun });
        if let Some(why) = doubled.or(many.then_some("has been tried as often as is allowed")) {
            let (a, r) = self.named(agent, renderer);
            let name = class.name.clone();
            self.breach(Rule::Doubled, now, || format!("{a} repeated {name} {id:016x}, which {why}, at {r}"));
        }
        Entry::Known { number, arrival }
    }

    /// What an attempt was answered: nothing if its connection broke. Written when the answer leaves the testbed.
    pub fn answered(&mut self, id: TryId, number: usize, status: Option<u16>, never_ran: bool) {
        let kind = match status {
            Some(200) => "served",
            Some(_) if never_ran => "turned away",
            Some(_) => "error",
            None => "broken off",
        };
        *self.answers.entry(kind).or_default() += 1;
        if let Some(attempt) = self.tries.get_mut(&id).and_then(|t| t.attempts.get_mut(number)) {
            attempt.fate = match status {
                Some(200) => Fate::Answered,
                Some(_) if never_ran => Fate::NeverRan,
                _ => Fate::MayHaveRun,
            };
        }
    }

    /// A cold renderer was pushed over.
    pub fn pushed_over(&mut self, at: Micros, renderer: usize, what: crate::renderer::PushedOver) {
        let name = self.plan.renderers[renderer].name.clone();
        self.breach(Rule::Cold, at, || {
            let ms = |work: f64| work / 1e3;
            format!(
                "{name}, {:.0}% warm, was sent {:.0} ms of work where it bears {:.0}",
                what.warmth * 100.0,
                ms(what.sent),
                ms(what.budget)
            )
        });
    }

    /// Whether a renderer has made this answer for a try: it has answered it, from this renderer.
    pub fn made(&self, id: TryId, renderer: usize) -> bool {
        self.tries
            .get(&id)
            .is_some_and(|t| t.attempts.iter().any(|a| a.renderer == renderer && a.fate == Fate::Answered))
    }

    /// Whether any attempt of a try has come to a renderer.
    pub fn sent_on(&self, id: TryId) -> bool {
        self.tries.get(&id).is_some_and(|t| !t.attempts.is_empty())
    }

    /// A try has ended at its client. `problem` says why the agent has lost it, if it has: that breaks the rule unless
    /// the agent could not answer between `from` and `now`.
    pub fn ended(&mut self, from: Micros, now: Micros, id: TryId, end: TryEnd, problem: Option<&str>) {
        *self.try_ends.entry(end).or_default() += 1;
        let Some(tried) = self.tries.get(&id) else { return };
        let agent = tried.agent;
        if let Some(problem) = problem {
            if !self.excused(agent, from, now) {
                let name = self.plan.agents[agent].name.clone();
                let class = self.plan.classes[self.plan.arrivals[tried.arrival].class].name.clone();
                self.breach(Rule::Lost, now, || format!("{name}, {class} {id:016x}: {problem}"));
            }
        }
    }

    /// An agent has sent something on a connection where it owed no answer.
    pub fn answered_twice(&mut self, at: Micros, agent: usize) {
        let name = self.plan.agents[agent].name.clone();
        self.breach(Rule::Lost, at, || format!("{name} sent an answer where none was owed"));
    }

    /// A request has ended over all its tries.
    pub fn settled(&mut self, arrival: usize, outcome: Outcome) {
        self.outcomes[arrival] = Some(outcome);
    }

    /// Worth asked for and earned by a first try, as it stands.
    pub fn worth(&self, arrival: usize) -> (f64, f64) {
        let Some(a) = self.plan.arrivals.get(arrival) else { return (0.0, 0.0) };
        let class = &self.plan.classes[a.class];
        let asked = class.worth * a.work_us as f64;
        let served = self.outcomes[arrival].and_then(|o| o.served_us);
        let share = match served {
            Some(us) if us <= class.aim_us => 1.0,
            Some(us) if us <= class.deadline_us => class.late_worth,
            _ => 0.0,
        };
        (asked, asked * share)
    }
}

#[cfg(test)]
mod tests;
