//! Records what epoll instances watch, in order to trigger another edge for a descriptor after an injected short
//! transfer or `EAGAIN`.
//!
//! With edge-triggered epoll, a reader that gets less than it requested may conclude that the kernel has no more data
//! (epoll(7)) and wait for the next edge. After an injected short transfer the kernel has more data but reports no new
//! edge. Setting the same events again makes it report one.

use super::real;
use libc::{c_int, epoll_event};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};

/// Descriptors from this number on are not tracked and get no additional edge.
const MAX_DESCRIPTORS: usize = 65_536;
/// The value of [`Watch::epoll`] while no epoll instance watches the descriptor.
const UNWATCHED: c_int = -1;

/// The last registration of a descriptor with an epoll instance.
struct Watch {
    epoll: AtomicI32,
    events: AtomicU32,
    data: AtomicU64,
}

static WATCHES: [Watch; MAX_DESCRIPTORS] = [const {
    Watch { epoll: AtomicI32::new(UNWATCHED), events: AtomicU32::new(0), data: AtomicU64::new(0) }
}; MAX_DESCRIPTORS];

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;

fn watch(descriptor: c_int) -> Option<&'static Watch> {
    WATCHES.get(usize::try_from(descriptor).ok()?)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if let Some(watch) = watch(descriptor) {
        if operation == libc::EPOLL_CTL_DEL || event.is_null() {
            watch.epoll.store(UNWATCHED, Ordering::Relaxed);
        } else {
            // SAFETY: the caller guarantees that the pointer is valid.
            let event = unsafe { event.read_unaligned() };
            watch.events.store(event.events, Ordering::Relaxed);
            watch.data.store(event.u64, Ordering::Relaxed);
            watch.epoll.store(epoll, Ordering::Relaxed);
        }
    }
    // SAFETY: the caller guarantees that the pointer is valid.
    unsafe { real!(epoll_ctl: EpollCtl)(epoll, operation, descriptor, event) }
}

/// Sets the registered events again, so that the kernel reports once more what the descriptor is ready for.
pub fn rearm(descriptor: c_int) {
    let Some(watch) = watch(descriptor) else { return };
    let epoll = watch.epoll.load(Ordering::Relaxed);
    if epoll == UNWATCHED {
        return;
    }
    let mut event =
        epoll_event { events: watch.events.load(Ordering::Relaxed), u64: watch.data.load(Ordering::Relaxed) };
    // SAFETY: the pointer is to a local variable of the right type. For a descriptor that has been
    // closed since, the call fails without effect.
    unsafe { real!(epoll_ctl: EpollCtl)(epoll, libc::EPOLL_CTL_MOD, descriptor, &raw mut event) };
}
