//! The queue of the [`Balancer`]: what it is still to be told, in the order in which it happened, and the timers that it
//! has set.

use super::clock::Clock;
use balancer::{Action, Balancer, Event, Time, TimerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use tokio::time::Instant;

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
