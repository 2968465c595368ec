//! The connections of the admin API: how many there may be, and which one is closed for the next.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit, Semaphore, SemaphorePermit};

/// Connections at a time. For one more, the oldest is closed that has its answer or has not finished its call; where all
/// are being answered, it waits for the first that is done.
const MAX_CALLERS: usize = 32;
/// Descriptors that are set aside for them, for the listener and for one that is just being accepted.
pub const MAX_DESCRIPTORS: usize = MAX_CALLERS + 2;

/// How far the conversation with a caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its call is being read.
    Reading,
    /// Its answer is being written, and is never cut short for another caller.
    Answering,
    /// Its answer is written, and it has still to end its own side.
    Closing,
}

/// A caller as the listener sees it.
struct ConnectedCaller {
    stage: Rc<Cell<Stage>>,
    /// Says that its place is needed.
    evicted: watch::Sender<bool>,
}

/// The same caller as its own task sees it. Its place is free again once this is dropped.
pub struct Caller {
    stage: Rc<Cell<Stage>>,
    evicted: watch::Receiver<bool>,
    turn: Arc<Semaphore>,
    _place: OwnedSemaphorePermit,
}

/// The connected callers, the oldest first.
pub struct Callers {
    places: Arc<Semaphore>,
    /// Held by the one call that is being carried out: metrics of many servers take their time, and the application's
    /// requests are served between any two calls.
    turn: Arc<Semaphore>,
    connected: VecDeque<ConnectedCaller>,
}

impl Default for Callers {
    fn default() -> Self {
        let (places, turn) = (Arc::new(Semaphore::new(MAX_CALLERS)), Arc::new(Semaphore::new(1)));
        Callers { places, turn, connected: VecDeque::new() }
    }
}

impl Callers {
    /// A place for one more, as soon as there is one.
    pub async fn admit(&mut self) -> Result<Caller, AcquireError> {
        self.connected.retain(|caller| !caller.evicted.is_closed());
        if self.places.available_permits() == 0 {
            self.evict_oldest();
        }
        let place = self.places.clone().acquire_owned().await?;
        let stage = Rc::new(Cell::new(Stage::Reading));
        let (evicted, evicted_receiver) = watch::channel(false);
        self.connected.push_back(ConnectedCaller { stage: stage.clone(), evicted });
        Ok(Caller { stage, evicted: evicted_receiver, turn: self.turn.clone(), _place: place })
    }

    fn evict_oldest(&mut self) {
        let oldest_in = |stage| self.connected.iter().position(|caller| caller.stage.get() == stage);
        let oldest = oldest_in(Stage::Closing).or_else(|| oldest_in(Stage::Reading));
        if let Some(caller) = oldest.and_then(|oldest| self.connected.remove(oldest)) {
            caller.evicted.send_replace(true);
        }
    }
}

impl Caller {
    /// Notes how far the conversation is.
    pub fn enter(&self, stage: Stage) {
        self.stage.set(stage);
    }

    /// Waits until its place is needed.
    pub async fn wait_for_eviction(&mut self) {
        // The listener lasts as long as the process, and notifies each caller before it drops the sender.
        let _ = self.evicted.wait_for(|is_evicted| *is_evicted).await;
    }

    /// Waits until no other call is being carried out.
    pub async fn wait_for_turn(&self) -> Result<SemaphorePermit<'_>, AcquireError> {
        self.turn.acquire().await
    }
}
