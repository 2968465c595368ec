//! Watches the resident memory of the process, and logs it beside what has been reserved: a difference between the two
//! is memory that no owner has accounted for.

use crate::downstream::server::Server;
use crate::driver::Driver;
use std::fs;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// The kernel's account of this process.
const STATUS_FILE: &str = "/proc/self/status";
/// How often memory is looked at while reservations are granted at once.
const CALM_INTERVAL: Duration = Duration::from_millis(100);
/// How often it is looked at while reservations have to wait, or resident memory is over half of the limit.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(10);
/// How often a line is written if memory has changed.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
/// A line is also written each time that the peak has grown by this share of the limit, above half of it.
const PEAK_STEPS: u64 = 16;

/// What the kernel says of the process, in kB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Resident {
    current_kb: u64,
    peak_kb: u64,
}

impl Resident {
    /// Reads it; `None` where the system does not tell.
    fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string(STATUS_FILE).ok()?)
    }

    fn parse(status: &str) -> Option<Self> {
        let kb = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().strip_suffix(" kB")?.parse().ok()
        };
        Some(Resident { current_kb: kb("VmRSS:")?, peak_kb: kb("VmHWM:")? })
    }
}

/// Which lines are due.
struct MemoryLog {
    limit_kb: u64,
    /// What the last line said.
    logged: Resident,
    next_line_at: Instant,
}

impl MemoryLog {
    fn new(limit_mb: u64, now: Instant) -> Self {
        let logged = Resident { current_kb: 0, peak_kb: 0 };
        MemoryLog { limit_kb: limit_mb << 10, logged, next_line_at: now + LINE_INTERVAL }
    }

    fn is_over_half(&self, resident: Resident) -> bool {
        2 * resident.current_kb > self.limit_kb
    }

    /// Whether a line is due, which is then taken as written.
    fn take_due(&mut self, resident: Resident, now: Instant) -> bool {
        let step_kb = self.limit_kb / PEAK_STEPS;
        let has_grown =
            2 * resident.peak_kb > self.limit_kb && resident.peak_kb >= self.logged.peak_kb + step_kb;
        let is_due = has_grown || (now >= self.next_line_at && resident != self.logged);
        if is_due {
            self.logged = resident;
            self.next_line_at = now + LINE_INTERVAL;
        }
        is_due
    }
}

/// Logs the memory of the process for as long as it runs. Ends at once where the system does not tell it.
pub async fn watch(driver: Rc<Driver>, server: Rc<Server>, limit_mb: u64) {
    let mut log = MemoryLog::new(limit_mb, Instant::now());
    write_plan(limit_mb, &driver, &server);
    while let Some(resident) = Resident::read() {
        if log.take_due(resident, Instant::now()) {
            write_line(resident, limit_mb, &driver, &server);
        }
        if !log.is_over_half(resident) {
            // On a timeout nothing had to wait.
            let _ = timeout(CALM_INTERVAL, driver.memory_budget.wait_for_pressure()).await;
        }
        sleep(PRESSURE_INTERVAL).await;
    }
}

/// Logs how the limit is divided.
fn write_plan(limit_mb: u64, driver: &Driver, server: &Server) {
    let (budget, clients) = (&driver.memory_budget, server.head_memory());
    tracing::info!(
        target: "memory",
        limit_mb,
        peers_kb = (budget.max_bytes() + clients.max_bytes()) >> 10,
        max_clients = clients.max_connections(),
        max_large_heads = clients.max_large_heads(),
        max_server_connections = budget.max_server_connections(),
        stream_buffer_kb = budget.stream_buffer_bytes() >> 10,
        "memory of peers",
    );
}

fn write_line(resident: Resident, limit_mb: u64, driver: &Driver, server: &Server) {
    let reserved = driver.memory_budget.reserved();
    tracing::info!(
        target: "memory",
        resident_kb = resident.current_kb,
        peak_kb = resident.peak_kb,
        limit_mb,
        request_bodies_kb = reserved.request_bytes >> 10,
        response_bodies_kb = reserved.response_bytes >> 10,
        waits = reserved.waits,
        clients = server.open_connections(),
        large_heads = server.head_memory().large_heads(),
        server_connections = driver.server_connections(),
        "resident memory",
    );
}

#[cfg(test)]
mod tests;
