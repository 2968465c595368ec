//! The clock and the queue of the [`Balancer`]: what it is still to be told, in the order in which it happened, and the
//! timers that it has set.

use balancer::{Action, Balancer, Event, Span, Time, TimerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The balancer's time: Unix time at the start, carried on by the monotonic clock. So a server's `born_ms` is
/// a time of the same kind, and no step of the system's clock moves a deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The start.
    pub origin: Instant,
    unix: Span,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: Span(unix.as_micros() as u64) }
    }

    /// The time at `instant`.
    pub fn at(&self, instant: Instant) -> Time {
        Time(self.unix.0 + instant.saturating_duration_since(self.origin).as_micros() as u64)
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The instant of `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + Duration::from_micros(time.0.saturating_sub(self.unix.0).min(1 << 50))
    }
}

/// The balancer, and what it is still to be told.
pub struct Queue {
    /// The balancer, for questions.
    pub balancer: Balancer,
    clock: Clock,
    events: VecDeque<Event>,
    /// Kept for its room.
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
}

impl Queue {
    /// Nothing has happened yet.
    pub fn new(balancer: Balancer, clock: Clock) -> Self {
        let (events, actions, timers) = Default::default();
        Queue { balancer, clock, events, actions, timers }
    }

    /// This has happened.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// What the next event brings, if there is one. Give the list back when it is done with.
    pub fn next(&mut self) -> Option<Vec<Action>> {
        let event = self.events.pop_front()?;
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        Some(actions)
    }

    /// Takes an emptied list back.
    pub fn done(&mut self, actions: Vec<Action>) {
        self.actions = actions;
    }

    /// Sets a timer; whether it is the next one due.
    pub fn set_timer(&mut self, at: Time, timer: TimerId) -> bool {
        let first = self.timers.peek().is_none_or(|Reverse((next, _))| at < *next);
        self.timers.push(Reverse((at, timer.0)));
        first
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at))
    }

    /// The timers that are due have gone off.
    pub fn go_off(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((at, timer))) = self.timers.peek() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.push(Event::Timer(TimerId(timer)));
        }
    }
}
