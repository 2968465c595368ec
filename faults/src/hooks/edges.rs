//! What epoll instances watch, so that a descriptor gets another edge after a transfer that was cut short.
//!
//! A reader that is told less than it asked for may take the kernel to have no more (epoll(7)), and waits for the next
//! edge. After a cut transfer the kernel has more and no reason to say so: setting the same events again makes it.

use super::real;
use libc::{c_int, epoll_event};
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};

/// Descriptors from this number on are not followed.
const DESCRIPTORS_MOST: usize = 65_536;
/// Stands where nothing watches a descriptor.
const UNWATCHED: c_int = -1;

/// How one descriptor is watched.
struct Watch {
    epoll: AtomicI32,
    events: AtomicU32,
    data: AtomicU64,
}

static WATCHES: [Watch; DESCRIPTORS_MOST] = [const {
    Watch { epoll: AtomicI32::new(UNWATCHED), events: AtomicU32::new(0), data: AtomicU64::new(0) }
}; DESCRIPTORS_MOST];

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;

fn watch(descriptor: c_int) -> Option<&'static Watch> {
    WATCHES.get(usize::try_from(descriptor).ok()?)
}

/// # Safety
///
/// As for the function of the C library.
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
            // SAFETY: the caller vouches for the pointer.
            let event = unsafe { event.read_unaligned() };
            watch.events.store(event.events, Ordering::Relaxed);
            watch.data.store(event.u64, Ordering::Relaxed);
            watch.epoll.store(epoll, Ordering::Relaxed);
        }
    }
    // SAFETY: the caller vouches for the pointer.
    unsafe { real!(epoll_ctl: EpollCtl)(epoll, operation, descriptor, event) }
}

/// Has the kernel say once more what the descriptor is ready for.
pub fn again(descriptor: c_int) {
    let Some(watch) = watch(descriptor) else { return };
    let epoll = watch.epoll.load(Ordering::Relaxed);
    if epoll == UNWATCHED {
        return;
    }
    let mut event =
        epoll_event { events: watch.events.load(Ordering::Relaxed), u64: watch.data.load(Ordering::Relaxed) };
    // SAFETY: it points to a value of its type. A descriptor that was closed meanwhile is refused, which does no harm.
    unsafe { real!(epoll_ctl: EpollCtl)(epoll, libc::EPOLL_CTL_MOD, descriptor, &raw mut event) };
}
