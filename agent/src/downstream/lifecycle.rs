//! The lifecycle of the process: whether it keeps serving its connections, and by when it must have answered.

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// A phase of the process lifecycle.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Connections are accepted and served.
    Running,
    /// The process shuts down. Idle connections are closed; a new connection is closed after its first response.
    Draining,
    /// No more connections are accepted, and connections that have not sent anything are closed, too.
    Closing,
    /// Another process accepts the connections. A request may be in flight on an idle connection of this process, and
    /// closing the connection would lose it: each connection is closed only after its next request is answered.
    HandedOver,
}

impl Phase {
    /// Whether idle connections are closed in this phase.
    pub fn closes_idle_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::Closing)
    }

    /// Whether no more connections are accepted in this phase.
    pub fn stops_accepting(self) -> bool {
        matches!(self, Phase::Closing | Phase::HandedOver)
    }
}

/// The current phase of the process and the time limit of its shutdown.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// Every request must be answered by then, even if its client's timeout is longer; `None` until the process shuts
    /// down.
    answer_by: watch::Sender<Option<Instant>>,
}

impl Lifecycle {
    /// The lifecycle of a running process.
    pub fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Running), answer_by: watch::Sender::new(None) }
    }

    /// Whether the phase is [`Phase::Running`].
    pub fn is_running(&self) -> bool {
        *self.phase.borrow() == Phase::Running
    }

    /// Whether the phase is [`Phase::Closing`].
    pub fn is_closing(&self) -> bool {
        *self.phase.borrow() == Phase::Closing
    }

    /// Subscribes to the phase and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters another phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Sets the time by which every request must be answered.
    pub fn set_answer_by(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
    }

    /// By when every request must be answered; `None` until the process shuts down.
    pub fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until every request must be answered, however far it has come, because the process may be killed soon after.
    pub async fn wait_until_answer_due(&self) {
        let mut answer_by = self.answer_by.subscribe();
        match answer_by.wait_for(Option::is_some).await.ok().and_then(|due| *due) {
            Some(due) => sleep_until(due).await,
            None => std::future::pending().await,
        }
    }
}
