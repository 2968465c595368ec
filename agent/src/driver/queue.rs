//! The [`Balancer`] with its queue of events, in the order in which they happened, and its timers.

use super::clock::Clock;
use balancer::{Action, Balancer, Event, Time, TimerId};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use tokio::time::Instant;

/// The balancer, the events that it has not handled yet, and the timers that it has set.
pub struct Queue {
    /// The balancer, for questions.
    pub balancer: Balancer,
    clock: Clock,
    events: VecDeque<Event>,
    /// An empty list whose allocation is used again.
    recycled: Vec<Action>,
    /// When each timer is due, and its number; the first due first.
    timers: BinaryHeap<Reverse<(Time, u64)>>,
}

impl Queue {
    /// No events and no timers.
    pub fn new(balancer: Balancer, clock: Clock) -> Self {
        let (events, recycled, timers) = Default::default();
        Queue { balancer, clock, events, recycled, timers }
    }

    /// Queues an event.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Hands the next event to the balancer; the actions that follow from it, none if no event is queued. The list goes
    /// back to [`Queue::recycle`].
    pub fn next(&mut self) -> Option<Vec<Action>> {
        let event = self.events.pop_front()?;
        let mut actions = std::mem::take(&mut self.recycled);
        self.balancer.handle(self.clock.now(), event, &mut actions);
        Some(actions)
    }

    /// Takes an emptied list back, whose allocation the next event uses.
    pub fn recycle(&mut self, actions: Vec<Action>) {
        self.recycled = actions;
    }

    /// Sets a timer; whether it is the first one due.
    pub fn set_timer(&mut self, at: Time, timer: TimerId) -> bool {
        let is_first = self.timers.peek().is_none_or(|Reverse((next, _))| at < *next);
        self.timers.push(Reverse((at, timer.0)));
        is_first
    }

    /// When the first timer is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at))
    }

    /// Queues the events of the timers that are due.
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
