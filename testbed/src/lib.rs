//! The testbed: real agents between stand-ins for all that is around them.
//!
//! A scenario and a seed make a plan; a play carries it out on loopback sockets; the oracle judges from what crossed
//! them. See `docs/testbed.md`.

pub mod capacity;
pub mod clock;
pub mod compare;
pub mod crowd;
pub mod draw;
pub mod exit;
pub mod faulty;
pub mod folder;
pub mod link;
pub mod oracle;
pub mod plan;
pub mod play;
pub mod recovery;
pub mod renderer;
pub mod report;
pub mod result;
pub mod saturate;
pub mod scale;
pub mod scenario;
pub mod scenario_args;
pub mod scripted;
pub mod size_check;
pub mod soak;
pub mod stage;
pub mod sweep;
pub mod table;

/// Takes a lock. What a panic elsewhere has left is still a record; the panic itself breaks the play off.
fn lock<T>(slot: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    slot.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
