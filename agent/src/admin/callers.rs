//! The connections of the admin API: limits their number, and closes one to make way for a new one.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit, Semaphore, SemaphorePermit};

/// The maximum number of connections. To admit one more, the oldest one in [`ConnectionState::Closing`] is ended, or
/// else the oldest whose call is still being read. If all are being answered, the new one waits until one of them ends.
const MAX_CONNECTIONS: usize = 32;
/// The number of descriptors reserved for the admin API: one per connection, one for the listener and one for a
/// connection that has been accepted and waits for a slot.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// The call is being read.
    Reading,
    /// The call is being carried out or its answer written. The connection is not closed for another one now.
    Answering,
    /// The answer is written, and the caller has not closed its side yet.
    Closing,
}

/// The listener's handle to a connected caller.
struct ConnectedCaller {
    state: Rc<Cell<ConnectionState>>,
    /// Set to true when its slot is needed.
    evicted: watch::Sender<bool>,
}

/// The handle to a caller that its own task holds. Dropping it frees the slot.
pub struct Caller {
    state: Rc<Cell<ConnectionState>>,
    evicted: watch::Receiver<bool>,
    execution: Arc<Semaphore>,
    _slot: OwnedSemaphorePermit,
}

/// The connected callers.
pub struct Callers {
    slots: Arc<Semaphore>,
    /// Held by the call that is being carried out, one at a time: collecting the metrics of many servers takes a while,
    /// and the application's requests must be served between two calls.
    execution: Arc<Semaphore>,
    /// The oldest first.
    connected: VecDeque<ConnectedCaller>,
}

impl Default for Callers {
    fn default() -> Self {
        let (slots, execution) = (Arc::new(Semaphore::new(MAX_CONNECTIONS)), Arc::new(Semaphore::new(1)));
        Callers { slots, execution, connected: VecDeque::new() }
    }
}

impl Callers {
    /// Waits for a slot for a new caller, and evicts one if there is none free.
    ///
    /// # Errors
    ///
    /// Never, as the semaphore is not closed.
    pub async fn admit(&mut self) -> Result<Caller, AcquireError> {
        self.connected.retain(|caller| !caller.evicted.is_closed());
        if self.slots.available_permits() == 0 {
            self.evict_oldest();
        }
        let slot = self.slots.clone().acquire_owned().await?;
        let state = Rc::new(Cell::new(ConnectionState::Reading));
        let (evicted, evicted_receiver) = watch::channel(false);
        self.connected.push_back(ConnectedCaller { state: state.clone(), evicted });
        Ok(Caller { state, evicted: evicted_receiver, execution: self.execution.clone(), _slot: slot })
    }

    /// Evicts the oldest caller that is closing, or else the oldest whose call is still being read. Its own task then
    /// closes the connection.
    fn evict_oldest(&mut self) {
        let oldest_in = |state| self.connected.iter().position(|caller| caller.state.get() == state);
        let oldest = oldest_in(ConnectionState::Closing).or_else(|| oldest_in(ConnectionState::Reading));
        if let Some(caller) = oldest.and_then(|oldest| self.connected.remove(oldest)) {
            caller.evicted.send_replace(true);
        }
    }
}

impl Caller {
    /// Sets the state of the connection.
    pub fn set_state(&self, state: ConnectionState) {
        self.state.set(state);
    }

    /// Waits until this caller is evicted, as its slot is needed.
    pub async fn wait_for_eviction(&mut self) {
        // This cannot fail: the listener runs as long as the process, and sends true before it drops the sender.
        let _ = self.evicted.wait_for(|is_evicted| *is_evicted).await;
    }

    /// Waits until no other call is being carried out. The next one can begin when the permit is dropped.
    ///
    /// # Errors
    ///
    /// Never, as the semaphore is not closed.
    pub async fn acquire_execution_permit(&self) -> Result<SemaphorePermit<'_>, AcquireError> {
        self.execution.acquire().await
    }
}
