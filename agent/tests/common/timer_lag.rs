//! Whether the machine has held a test up, which then shows nothing and is played again.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// The longest time by which a short sleep was late.
pub struct TimerLag {
    watch: JoinHandle<()>,
    longest: Arc<Mutex<Duration>>,
}

impl TimerLag {
    /// Watches from now on.
    pub fn watch() -> Self {
        const TICK: Duration = Duration::from_millis(5);
        let longest = Arc::<Mutex<Duration>>::default();
        let noted = longest.clone();
        let watch = tokio::spawn(async move {
            loop {
                let before = Instant::now();
                tokio::time::sleep(TICK).await;
                let late = before.elapsed().saturating_sub(TICK);
                let mut longest = noted.lock().expect("no panic");
                *longest = late.max(*longest);
            }
        });
        TimerLag { watch, longest }
    }

    /// The longest one since then.
    pub fn longest(self) -> Duration {
        self.watch.abort();
        *self.longest.lock().expect("no panic")
    }
}
