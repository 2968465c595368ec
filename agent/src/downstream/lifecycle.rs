//! Whether the process goes on serving its connections, and by when it must have answered.

use crate::traffic::request_body::RequestBodyStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// A phase of the process's life.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Running,
    /// It shuts down. Idle connections are closed, and a new one has its first request answered.
    Draining,
    /// It accepts no connections any more, and closes those that have not sent anything either.
    Closing,
    /// Another process has taken over. A connection that is idle here may have a request on its way, which a close would
    /// reject unread: each connection's next one is answered, and only then the connection is closed.
    HandedOver,
}

impl Phase {
    /// Whether idle connections are closed.
    pub fn closes_idle(self) -> bool {
        matches!(self, Phase::Draining | Phase::Closing)
    }
}

/// The phase of the process, which its connections follow.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    /// Set once the process shuts down: every request has to be answered by then, whatever its client would wait.
    answer_by: watch::Sender<Option<Instant>>,
}

impl Lifecycle {
    /// A process that is running.
    pub fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Running), answer_by: watch::Sender::new(None) }
    }

    /// Whether it is running.
    pub fn is_running(&self) -> bool {
        *self.phase.borrow() == Phase::Running
    }

    /// The phase, and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters another phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Every request has to be answered by then.
    pub fn set_answer_by(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
    }

    /// By when every request has to be answered, once the process shuts down.
    pub fn answer_by(&self) -> Option<Instant> {
        *self.answer_by.borrow()
    }

    /// Waits until a request has to be answered because the process may be killed soon. One whose body is still coming
    /// is not owed an answer yet.
    pub async fn wait_until_answer_due(&self, body: Option<&RequestBodyStream>) {
        let mut answer_by = self.answer_by.subscribe();
        let due = answer_by.wait_for(Option::is_some).await.ok().and_then(|due| *due);
        if let Some(due) = due {
            sleep_until(due).await;
            if body.is_none_or(|body| body.completed_at().is_some()) {
                return;
            }
        }
        std::future::pending().await
    }
}
