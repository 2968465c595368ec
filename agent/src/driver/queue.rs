//! The [`Balancer`] with its timers and its event queue, which keeps the order in which events happened.

use super::clock::Clock;
use balancer::{Action, Balancer, Event, Time, TimerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use tokio::time::Instant;

/// The balancer, its unhandled events and its pending timers.
pub struct Queue {
    /// The balancer, public for queries; events reach it only through the queue.
    pub balancer: Balancer,
    clock: Clock,
    events: VecDeque<Event>,
    /// An empty list, kept to reuse its allocation.
    recycled: Vec<Action>,
    /// Due time and id of each pending timer, earliest first.
    timers: BinaryHeap<Reverse<(Time, u64)>>,
}

impl Queue {
    /// Creates a queue without events and timers.
    pub fn new(balancer: Balancer, clock: Clock) -> Self {
        let (events, recycled, timers) = Default::default();
        Queue { balancer, clock, events, recycled, timers }
    }

    /// Queues an event.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Hands the next event to the balancer and returns the resulting actions, or `None` if no event is queued. The
    /// caller returns the emptied list to [`Queue::recycle`].
    pub fn next(&mut self) -> Option<Vec<Action>> {
        let event = self.events.pop_front()?;
        let mut actions = std::mem::take(&mut self.recycled);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        Some(actions)
    }

    /// Takes back an emptied list of actions, so that the next event reuses its allocation.
    pub fn recycle(&mut self, actions: Vec<Action>) {
        self.recycled = actions;
    }

    /// Sets a timer and returns whether it is now the earliest one.
    pub fn set_timer(&mut self, at: Time, timer: TimerId) -> bool {
        let is_earliest = self.timers.peek().is_none_or(|Reverse((next, _))| at < *next);
        self.timers.push(Reverse((at, timer.0)));
        is_earliest
    }

    /// When the earliest timer is due; `None` without timers.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| self.clock.instant_at(*at))
    }

    /// Queues an event for each timer that is due and removes these timers.
    pub fn fire_due_timers(&mut self) {
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
