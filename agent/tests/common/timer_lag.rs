//! Detects that the machine delayed a test. The result of such a run is inconclusive, and the test repeats it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Measures by how much short sleeps overrun.
pub struct TimerLag {
    task: JoinHandle<()>,
    max_lag: Arc<Mutex<Duration>>,
}

impl TimerLag {
    /// Starts measuring.
    pub fn start() -> Self {
        const INTERVAL: Duration = Duration::from_millis(5);
        let max_lag = Arc::<Mutex<Duration>>::default();
        let shared = max_lag.clone();
        let task = tokio::spawn(async move {
            loop {
                let started_at = Instant::now();
                tokio::time::sleep(INTERVAL).await;
                let lag = started_at.elapsed().saturating_sub(INTERVAL);
                let mut max_lag = shared.lock().expect("lock poisoned");
                *max_lag = lag.max(*max_lag);
            }
        });
        TimerLag { task, max_lag }
    }

    /// Stops, and returns the largest overrun so far.
    pub fn max_lag(self) -> Duration {
        self.task.abort();
        *self.max_lag.lock().expect("lock poisoned")
    }
}
