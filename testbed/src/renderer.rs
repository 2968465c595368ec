//! A renderer as a machine without I/O: it is told what arrives and when, and says what is done and when to look next.
//!
//! Requests wait in a queue for a slot, then share the cores evenly (processor sharing: with `n` at work on `c` cores
//! each gets `min(1, c/n)` of a core), then wait on others without a core, and are done. A renderer that has just
//! started is cold: its capacity rises evenly from the cold share to the full with the work that it has done, and never
//! slower than evenly over the stated time. Sent more than a multiple of what it can do while cold, it falls over.

use serde::Serialize;
use std::collections::VecDeque;

/// Time of the play in microseconds.
pub type Micros = u64;

/// While its speed changes by itself a renderer is looked at this often.
const STEP: Micros = 20_000;
/// No job takes longer.
const LONG: Micros = 1 << 40;
/// Requests that a cold renderer is granted over its budget, as chance brings them in bunches.
const SLACK_REQUESTS: f64 = 2.0;

/// What a machine is like.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Spec {
    /// Its cores.
    pub cores: u32,
    /// Work that a core does in a microsecond, against a standard core.
    pub speed: f64,
    /// Requests at work or waiting on others at a time.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// The share of its capacity that it starts with.
    pub cold_share: f64,
    /// The longest that it takes to be warm.
    pub cold_us: Micros,
    /// The work after which it is warm, in standard microseconds.
    pub warm_work: f64,
    /// Connections that it holds.
    pub connections: u32,
    /// What of its capacity is gone when all its connections are open.
    pub full_tax: f64,
    /// Work that a new connection costs, in standard microseconds.
    pub handshake_us: f64,
    /// Work that a probe costs, in standard microseconds.
    pub probe_us: f64,
    /// Work that is given up stops even where it has begun.
    pub stops_running: bool,
    /// The share of its answers that are errors.
    pub errors: f64,
    /// How it slows down when crowded, if it does.
    pub choke: Option<Choke>,
}

/// A renderer that has had far more requests waiting than cores for a while turns slower, until it has rested.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Choke {
    /// Requests that wait for a core, for each core.
    pub at: f64,
    /// For this long.
    pub over_us: Micros,
    /// So many times slower.
    pub slower: f64,
    /// Until it has been mostly idle for this long,
    pub rest_us: Micros,
    /// or this long after.
    pub most_us: Micros,
}

/// The rule on cold renderers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct FallRule {
    /// Sent more than this multiple of what it can do
    pub multiple: f64,
    /// for this long, it falls over.
    pub window_us: Micros,
    /// What a request costs on average, in standard microseconds: chance is granted two of them.
    pub mean_work: f64,
}

/// Names a request at its renderer.
pub type Ticket = u64;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// On the cores, with so much standard work left.
    Work(f64),
    /// Waiting on others until then.
    Apart(Micros),
}

#[derive(Debug)]
struct Job {
    ticket: Ticket,
    phase: Phase,
    apart_us: Micros,
    /// Work of the machine's own takes no slot and has no answer.
    chore: bool,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    work: f64,
    apart_us: Micros,
    expires: Micros,
}

/// Whether the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It does.
    Up,
    /// It has ended and may come back.
    Down,
    /// It has been pushed over and stays down.
    Fallen,
}

/// What became of a request that a renderer held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// It is done.
    Done(Ticket),
    /// It was never begun: its time was over before its turn came.
    Expired(Ticket),
}

/// The machine.
#[derive(Debug)]
pub struct Renderer {
    spec: Spec,
    rule: FallRule,
    life: Life,
    started: Option<Micros>,
    now: Micros,
    done_work: f64,
    /// Work done since the play began, warm or cold.
    pub total_work: f64,
    /// The window in which it was sent the most against what it is allowed, since it last started.
    pub cold_most: Option<ColdWindow>,
    jobs: Vec<Job>,
    queue: VecDeque<Waiting>,
    sent: VecDeque<(Micros, f64)>,
    connections: u32,
    slower: f64,
    paused: bool,
    crowded_since: Option<Micros>,
    choked_since: Option<Micros>,
    idle_since: Option<Micros>,
}

impl Renderer {
    /// One that has been up and warm for long.
    pub fn warm(spec: Spec, rule: FallRule) -> Self {
        Renderer {
            spec,
            rule,
            life: Life::Up,
            started: None,
            now: 0,
            done_work: 0.0,
            total_work: 0.0,
            cold_most: None,
            jobs: Vec::new(),
            queue: VecDeque::new(),
            sent: VecDeque::new(),
            connections: 0,
            slower: 1.0,
            paused: false,
            crowded_since: None,
            choked_since: None,
            idle_since: None,
        }
    }

    /// What it is like.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Whether the process runs.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The share of its full capacity that it has by its warmth, from the cold share to 1.
    pub fn warmth(&self) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let by_time = self.now.saturating_sub(started) as f64 / self.spec.cold_us.max(1) as f64;
        let by_work = self.done_work / self.spec.warm_work.max(1.0);
        (self.spec.cold_share + (1.0 - self.spec.cold_share) * by_time.max(by_work)).min(1.0)
    }

    /// Standard work that it can do in a microsecond now.
    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.cores) * self.speed()
    }

    fn speed(&self) -> f64 {
        let full = f64::from(self.connections) / f64::from(self.spec.connections.max(1));
        let choked =
            self.spec.choke.as_ref().filter(|_| self.choked_since.is_some()).map_or(1.0, |c| c.slower);
        self.spec.speed * self.warmth() * (1.0 - self.spec.full_tax * full.min(1.0)) / (self.slower * choked)
    }

    /// Requests that it holds.
    pub fn in_flight(&self) -> usize {
        self.in_slots() + self.queue.len()
    }

    /// Requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn in_slots(&self) -> usize {
        self.jobs.iter().filter(|job| !job.chore).count()
    }

    fn on_cores(&self) -> usize {
        self.jobs.iter().filter(|job| matches!(job.phase, Phase::Work(_))).count()
    }

    /// A request arrives. False: it is turned away unseen, as the queue is full. `expires` is when nobody waits for it
    /// any more. Pushed over, the renderer is [`Life::Fallen`] after this call.
    pub fn arrive(
        &mut self,
        now: Micros,
        ticket: Ticket,
        work: f64,
        apart_us: Micros,
        expires: Micros,
    ) -> Result<bool, PushedOver> {
        self.advance(now);
        if self.life != Life::Up {
            return Ok(false);
        }
        self.weigh(now, work)?;
        if self.in_slots() < self.spec.slots as usize && self.queue.is_empty() {
            self.jobs.push(Job { ticket, phase: Phase::Work(work), apart_us, chore: false });
        } else if self.queue.len() < self.spec.queue as usize {
            self.queue.push_back(Waiting { ticket, work, apart_us, expires });
        } else {
            return Ok(false);
        }
        self.watch_crowd();
        Ok(true)
    }

    /// Holds what a cold renderer is sent against its budget.
    fn weigh(&mut self, now: Micros, work: f64) -> Result<(), PushedOver> {
        let from = now.saturating_sub(self.rule.window_us);
        while self.sent.front().is_some_and(|(at, _)| *at < from) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        let warmth = self.warmth();
        if warmth >= 1.0 {
            return Ok(());
        }
        let sent: f64 = self.sent.iter().map(|(_, work)| work).sum();
        let can = f64::from(self.spec.cores) * self.spec.speed * warmth * self.rule.window_us as f64;
        let budget = self.rule.multiple * can + SLACK_REQUESTS * self.rule.mean_work;
        let window =
            ColdWindow { requests: self.sent.len(), borne: self.rule.multiple * can / self.rule.mean_work };
        if self.cold_most.is_none_or(|most| window.share() > most.share()) {
            self.cold_most = Some(window);
        }
        if sent <= budget {
            return Ok(());
        }
        self.stop(Life::Fallen);
        Err(PushedOver { sent, budget, warmth })
    }

    /// A new connection or a probe costs work, whoever waits for it.
    pub fn chore(&mut self, now: Micros, work: f64) {
        self.advance(now);
        if self.life == Life::Up && work > 0.0 {
            self.jobs.push(Job { ticket: 0, phase: Phase::Work(work), apart_us: 0, chore: true });
        }
    }

    /// Connections that are open now.
    pub fn connected(&mut self, now: Micros, connections: u32) {
        self.advance(now);
        self.connections = connections;
    }

    /// Nobody waits for a request any more.
    pub fn leave(&mut self, now: Micros, ticket: Ticket) {
        self.advance(now);
        self.queue.retain(|waiting| waiting.ticket != ticket);
        if self.spec.stops_running {
            self.jobs.retain(|job| job.chore || job.ticket != ticket);
            self.fill();
        }
    }

    /// The process ends; what it held is gone.
    pub fn crash(&mut self, now: Micros) {
        self.advance(now);
        self.stop(Life::Down);
    }

    fn stop(&mut self, life: Life) {
        self.life = life;
        self.jobs.clear();
        self.queue.clear();
        self.sent.clear();
        (self.crowded_since, self.choked_since, self.idle_since) = (None, None, None);
    }

    /// It starts again, cold; one that has fallen over stays down. Whether it started.
    pub fn start(&mut self, now: Micros) -> bool {
        self.advance(now);
        if self.life == Life::Fallen {
            return false;
        }
        self.life = Life::Up;
        self.started = Some(now);
        self.done_work = 0.0;
        self.sent.clear();
        self.cold_most = None;
        true
    }

    /// The process stands still, or goes on.
    pub fn pause(&mut self, now: Micros, paused: bool) {
        self.advance(now);
        self.paused = paused;
    }

    /// Whether it stands still.
    pub fn paused(&self) -> bool {
        self.paused
    }

    /// It does its work so many times slower.
    pub fn slow(&mut self, now: Micros, times: f64) {
        self.advance(now);
        self.slower = times.max(1.0);
    }

    /// Carries the work on to `now`; [`Renderer::finished`] says what has been done by then.
    fn advance(&mut self, now: Micros) {
        while self.now < now {
            let step = self.now.saturating_add(self.step()).min(now);
            let step = self.turns().map_or(step, |due| due.clamp(self.now + 1, step));
            let passed = (step - self.now) as f64;
            if !self.paused && self.life == Life::Up {
                let each = self.each() * passed;
                for job in &mut self.jobs {
                    if let Phase::Work(left) = &mut job.phase {
                        self.done_work += each.min(*left);
                        self.total_work += each.min(*left);
                        *left -= each;
                    }
                }
            }
            self.now = step;
            self.turn();
        }
    }

    /// How long its speed stays as it is if nothing happens.
    fn step(&self) -> Micros {
        let steady = self.warmth() >= 1.0 && self.spec.choke.is_none();
        if steady {
            LONG
        } else {
            STEP
        }
    }

    /// Standard work that each job on the cores gets done in a microsecond.
    fn each(&self) -> f64 {
        let sharing = f64::from(self.spec.cores) / self.on_cores().max(1) as f64;
        self.speed() * sharing.min(1.0)
    }

    /// Jobs whose work is done go on to wait on others; the machine's own are over.
    fn turn(&mut self) {
        let now = self.now;
        if self.paused || self.life != Life::Up {
            return;
        }
        // Half a thousandth of a microsecond is rounding.
        let worked = |job: &Job| matches!(job.phase, Phase::Work(left) if left <= 5e-4);
        self.jobs.retain(|job| !(job.chore && worked(job)));
        for job in &mut self.jobs {
            if worked(job) {
                job.phase = Phase::Apart(now + job.apart_us);
            }
        }
        self.watch_crowd();
    }

    fn watch_crowd(&mut self) {
        let Some(choke) = &self.spec.choke else { return };
        let cores = f64::from(self.spec.cores);
        let waiting = (self.on_cores() as f64 - cores).max(0.0) + self.queue.len() as f64;
        let now = self.now;
        let idle = (self.on_cores() as f64) < cores * 0.4;
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        self.crowded_since =
            if waiting >= choke.at * cores { self.crowded_since.or(Some(now)) } else { None };
        match self.choked_since {
            None => {
                if self.crowded_since.is_some_and(|since| now - since >= choke.over_us) {
                    self.choked_since = Some(now);
                }
            }
            Some(since) => {
                let rested = self.idle_since.is_some_and(|idle| now - idle.max(since) >= choke.rest_us);
                if rested || now - since >= choke.most_us {
                    (self.choked_since, self.crowded_since) = (None, None);
                }
            }
        }
    }

    /// What has been finished by `now`.
    pub fn finished(&mut self, now: Micros) -> Vec<Finish> {
        let mut finished = Vec::new();
        self.advance(now);
        if self.paused || self.life != Life::Up {
            return finished;
        }
        self.jobs.retain(|job| match job.phase {
            Phase::Apart(until) if until <= now => {
                finished.push(Finish::Done(job.ticket));
                false
            }
            _ => true,
        });
        self.queue.retain(|waiting| {
            let over = waiting.expires <= now;
            if over {
                finished.push(Finish::Expired(waiting.ticket));
            }
            !over
        });
        self.fill();
        finished
    }

    fn fill(&mut self) {
        while self.in_slots() < self.spec.slots as usize {
            let Some(Waiting { ticket, work, apart_us, .. }) = self.queue.pop_front() else { break };
            self.jobs.push(Job { ticket, phase: Phase::Work(work), apart_us, chore: false });
        }
    }

    /// When the first of the jobs on the cores has its work done, at the present speed.
    fn turns(&self) -> Option<Micros> {
        let (each, step) = (self.each(), self.step() as f64);
        let works = self.jobs.iter().filter_map(|job| match job.phase {
            Phase::Work(left) => Some(self.now + (left / each).ceil().min(step).max(1.0) as Micros),
            Phase::Apart(_) => None,
        });
        works.min()
    }

    /// When something is next done if nothing else happens; none while it is idle or stands still.
    pub fn due(&self) -> Option<Micros> {
        if self.paused || self.life != Life::Up {
            return None;
        }
        let apart = self.jobs.iter().filter_map(|job| match job.phase {
            Phase::Apart(until) => Some(until),
            Phase::Work(_) => None,
        });
        apart.chain(self.queue.iter().map(|waiting| waiting.expires)).chain(self.turns()).min()
    }
}

/// What a cold renderer was sent within the window of the rule, against what it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdWindow {
    /// Requests that it was sent.
    pub requests: usize,
    /// Requests of mean work that the rule's multiple of its capacity comes to.
    pub borne: f64,
}

impl ColdWindow {
    /// Requests that the operators allow: with twice the root and two more, as chance brings them in bunches.
    pub fn allowed(&self) -> f64 {
        self.borne + 2.0 * self.borne.sqrt() + 2.0
    }

    /// What it was sent as a share of what is allowed.
    pub fn share(&self) -> f64 {
        self.requests as f64 / self.allowed()
    }
}

/// A cold renderer has been sent more than it could bear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PushedOver {
    /// What it was sent within the window, in standard microseconds.
    pub sent: f64,
    /// What it would have borne.
    pub budget: f64,
    /// How warm it was.
    pub warmth: f64,
}

#[cfg(test)]
mod tests;
