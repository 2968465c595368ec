//! The open calls to discovery. The first one that is answered completely ends the others.

use std::cell::{Cell, RefCell};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Numbers the calls to discovery of a process in the order in which they begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

impl CallNumber {
    /// Earlier than all calls: the list that a process starts with.
    pub const NONE: CallNumber = CallNumber(0);
    /// The last number before those of calls.
    const LAST_TAKEN_OVER: CallNumber = CallNumber(u32::MAX as u64);

    /// Earlier than all calls, as discovery's word replaces it: the `sequence`th list that another process of the agent
    /// hands over, counted from 1.
    pub fn taken_over(sequence: u64) -> Self {
        CallNumber(sequence).min(Self::LAST_TAKEN_OVER)
    }

    /// Whether this is a call to discovery.
    pub fn is_call(self) -> bool {
        self > Self::LAST_TAKEN_OVER
    }
}

/// A watch's current call.
struct OpenCall {
    number: CallNumber,
    begun_at: Instant,
    is_overdue: bool,
    /// The task of the watch.
    task: JoinHandle<()>,
}

impl Drop for OpenCall {
    /// Ends the watch, unless it has ended by itself.
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The current calls of all watches, the oldest first.
pub struct OpenCalls {
    calls: RefCell<Vec<OpenCall>>,
    last_number: Cell<CallNumber>,
}

impl Default for OpenCalls {
    fn default() -> Self {
        OpenCalls { calls: RefCell::default(), last_number: Cell::new(CallNumber::LAST_TAKEN_OVER) }
    }
}

impl OpenCalls {
    fn next_number(&self) -> CallNumber {
        let number = CallNumber(self.last_number.get().0 + 1);
        self.last_number.set(number);
        number
    }

    /// Adds a watch, whose task `spawn` starts for the number of its first call.
    pub fn open(&self, spawn: impl FnOnce(CallNumber) -> JoinHandle<()>) {
        let number = self.next_number();
        let call = OpenCall { number, begun_at: Instant::now(), is_overdue: false, task: spawn(number) };
        self.calls.borrow_mut().push(call);
    }

    /// Whether a call is open and not overdue.
    pub fn has_timely(&self) -> bool {
        self.calls.borrow().iter().any(|call| !call.is_overdue)
    }

    /// When the open calls have begun.
    pub fn begun(&self) -> Vec<Instant> {
        self.calls.borrow().iter().map(|call| call.begun_at).collect()
    }

    /// Marks a call as overdue; false if it was so before.
    pub fn mark_overdue(&self, number: CallNumber) -> bool {
        let mut calls = self.calls.borrow_mut();
        let call = calls.iter_mut().find(|call| call.number == number);
        call.is_some_and(|call| !std::mem::replace(&mut call.is_overdue, true))
    }

    /// Ends all watches but the one whose call has been answered completely. Returns how many were ended.
    pub fn keep_only(&self, number: CallNumber) -> usize {
        let mut calls = self.calls.borrow_mut();
        let open = calls.len();
        calls.retain(|call| call.number == number);
        open - calls.len()
    }

    /// Begins the next call of the watch whose previous call was `previous`, and returns its number.
    pub fn begin_next(&self, previous: CallNumber) -> CallNumber {
        let number = self.next_number();
        if let Some(call) = self.calls.borrow_mut().iter_mut().find(|call| call.number == previous) {
            (call.number, call.begun_at, call.is_overdue) = (number, Instant::now(), false);
        }
        number
    }

    /// Removes the call of a watch that is about to end by itself.
    pub fn remove(&self, number: CallNumber) {
        self.calls.borrow_mut().retain(|call| call.number != number);
    }

    /// Ends the watch with this index, and returns the number of its call.
    pub fn abandon(&self, index: usize) -> Option<CallNumber> {
        let mut calls = self.calls.borrow_mut();
        (index < calls.len()).then(|| calls.remove(index).number)
    }

    /// Ends all watches.
    pub fn abandon_all(&self) {
        self.calls.borrow_mut().clear();
    }
}
