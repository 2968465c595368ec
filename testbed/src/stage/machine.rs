//! A renderer's machine, driven by the play's clock.

use super::World;
use crate::renderer::{FallRule, Finish, Life, Micros, PushedOver, Renderer, Spec, Ticket};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{oneshot, watch, Notify};

/// A process that stands still is looked at this often.
const LOOK: std::time::Duration = std::time::Duration::from_millis(2);

/// What the network sees of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Its process takes connections.
    Up,
    /// It has ended: connections are reset, new ones refused.
    Down,
    /// The machine has vanished: connections stay open and silent, new ones never come up.
    Vanished,
}

/// A machine and its process's number, which tells a process from the one before.
pub type Seen = (Presence, u64);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// It was done.
    Done,
    /// It was never begun.
    Expired,
}

/// What a renderer does with a request on its arrival.
pub enum Taken {
    /// It works on it, under this number.
    In(Ticket, oneshot::Receiver<Work>),
    /// It turns it away unseen.
    Away,
    /// It answers with an error at once.
    Error,
    /// It breaks the connection.
    Reset,
}

struct Held {
    renderer: Renderer,
    waiting: HashMap<Ticket, oneshot::Sender<Work>>,
    next: Ticket,
    borne: Borne,
    failing: f64,
    resets: f64,
}

/// What agents' ways to it have cost a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Borne {
    /// Connections that are open now.
    pub connections: u32,
    /// Connections that have been made since the play began.
    pub handshakes: u64,
    /// Probes that it has answered since then.
    pub probes: u64,
}

/// A renderer's machine.
pub struct Machine {
    held: Mutex<Held>,
    changed: Notify,
    seen: watch::Sender<Seen>,
}

impl Machine {
    /// One that has been up for long.
    pub fn new(spec: Spec, rule: FallRule) -> Self {
        Machine {
            held: Mutex::new(Held {
                renderer: Renderer::warm(spec, rule),
                waiting: HashMap::new(),
                next: 1,
                borne: Borne::default(),
                failing: 0.0,
                resets: 0.0,
            }),
            changed: Notify::new(),
            seen: watch::Sender::new((Presence::Up, 0)),
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        crate::lock(&self.held)
    }

    /// What the network sees of it.
    pub fn seen(&self) -> watch::Receiver<Seen> {
        self.seen.subscribe()
    }

    /// Lets one look at the renderer, or do something to it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Renderer) -> T) -> T {
        let done = act(&mut self.held().renderer);
        self.changed.notify_one();
        done
    }

    /// It answers a share of its requests with errors, or breaks a share of its connections.
    pub fn ails(&self, failing: Option<f64>, resets: Option<f64>) {
        let mut held = self.held();
        held.failing = failing.unwrap_or(held.failing);
        held.resets = resets.unwrap_or(held.resets);
    }

    /// A request has arrived; `luck` from 0 to 1 says whether it is one that fails.
    pub fn arrive(
        &self,
        now: Micros,
        work: f64,
        apart: Micros,
        expires: Micros,
        luck: (f64, f64),
    ) -> Result<Taken, PushedOver> {
        let mut held = self.held();
        if luck.1 < held.resets {
            return Ok(Taken::Reset);
        }
        let failing = held.failing.max(held.renderer.spec().errors);
        if luck.0 < failing {
            return Ok(Taken::Error);
        }
        let ticket = held.next;
        held.next += 1;
        let taken = match held.renderer.arrive(now, ticket, work, apart, expires) {
            Ok(true) => {
                let (tell, told) = oneshot::channel();
                held.waiting.insert(ticket, tell);
                Ok(Taken::In(ticket, told))
            }
            Ok(false) => Ok(Taken::Away),
            Err(pushed) => {
                held.waiting.clear();
                self.seen.send_modify(|(presence, _)| *presence = Presence::Down);
                Err(pushed)
            }
        };
        drop(held);
        self.changed.notify_one();
        taken
    }

    /// Nobody waits for a request any more.
    pub fn leave(&self, now: Micros, ticket: Ticket) {
        let mut held = self.held();
        if held.waiting.remove(&ticket).is_some() {
            held.renderer.leave(now, ticket);
        }
    }

    /// A connection has come, or gone; false if there are too many already.
    pub fn connects(&self, now: Micros, comes: bool) -> bool {
        let mut held = self.held();
        let most = held.renderer.spec().connections;
        if comes && held.borne.connections >= most {
            return false;
        }
        held.borne.handshakes += u64::from(comes);
        let connections = held.borne.connections;
        let connections = if comes { connections + 1 } else { connections.saturating_sub(1) };
        held.borne.connections = connections;
        held.renderer.connected(now, connections);
        if comes {
            let work = held.renderer.spec().handshake_us;
            held.renderer.chore(now, work);
        }
        drop(held);
        self.changed.notify_one();
        true
    }

    /// A probe has come: how many requests it holds, and of them how many wait for a slot.
    pub fn probed(&self, now: Micros) -> (usize, usize) {
        let mut held = self.held();
        held.borne.probes += 1;
        let work = held.renderer.spec().probe_us;
        held.renderer.chore(now, work);
        let told = (held.renderer.in_flight(), held.renderer.queued());
        drop(held);
        self.changed.notify_one();
        told
    }

    /// What agents' ways to it have cost so far.
    pub fn borne(&self) -> Borne {
        self.held().borne
    }

    /// The process ends, with a word to its peers or, if the machine vanishes, without one.
    pub fn end(&self, now: Micros, presence: Presence) {
        let mut held = self.held();
        held.renderer.crash(now);
        held.waiting.clear();
        self.seen.send_modify(|seen| seen.0 = presence);
    }

    /// A new process starts, cold. False: this one has fallen over and stays down.
    pub fn start(&self, now: Micros) -> bool {
        let mut held = self.held();
        let starts = held.renderer.start(now);
        if starts {
            self.seen.send_modify(|seen| *seen = (Presence::Up, seen.1 + 1));
        }
        drop(held);
        self.changed.notify_one();
        starts
    }

    /// Whether it has been pushed over.
    pub fn fallen(&self) -> bool {
        self.held().renderer.life() == Life::Fallen
    }

    /// Waits while it stands still; where its machine has vanished, until the connection ends.
    pub async fn awake(&self) {
        // The machine lives as long as the play.
        let _ = self.seen().wait_for(|seen| seen.0 == Presence::Up).await;
        while self.held().renderer.paused() {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Tells what is done when it is done; never ends.
    pub async fn run(world: Arc<World>, place: usize) {
        let machine = &world.machines[place];
        loop {
            let due = machine.held().renderer.due();
            match due {
                None => machine.changed.notified().await,
                Some(due) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(world.clock.instant(due)) => {
                            world.clock.did(due);
                        }
                        () = machine.changed.notified() => {}
                    }
                }
            }
            machine.finish(world.clock.now());
        }
    }

    fn finish(&self, now: Micros) {
        let mut held = self.held();
        for finish in held.renderer.finished(now) {
            let (ticket, work) = match finish {
                Finish::Done(ticket) => (ticket, Work::Done),
                Finish::Expired(ticket) => (ticket, Work::Expired),
            };
            if let Some(tell) = held.waiting.remove(&ticket) {
                // Whoever asked may have left at this moment.
                let _ = tell.send(work);
            }
        }
    }
}
