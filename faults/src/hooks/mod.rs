//! The functions that take the place of the C library's, by group, and what they share.

mod clock;
mod edges;
mod files;
mod sockets;
mod start;
mod transfers;

use crate::engine::{Engine, Target};
use crate::schedule::{Call, Fault};
use libc::{c_int, c_void, sa_family_t, sockaddr, sockaddr_in, sockaddr_in6, sockaddr_storage, socklen_t};
use std::mem;
use std::sync::atomic::{AtomicPtr, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

/// The longest file name that is compared with a prefix; what is longer is cut off.
const NAME_MOST: usize = 4096;

/// What is played, from the start of the process on.
struct Play {
    engine: Engine,
    start: Duration,
}

/// Empty while nothing is played, which passes every call on.
static PLAY: OnceLock<Play> = OnceLock::new();

/// The function of this name and type that the library took the place of. It stands in an unsafe block, which vouches for
/// the type as well.
macro_rules! real {
    ($name:ident: $type:ty) => {{
        static FOUND: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let name = concat!(stringify!($name), "\0");
        std::mem::transmute::<*mut libc::c_void, $type>($crate::hooks::find(&FOUND, name))
    }};
}
use real;

/// Looks a function of the C library up, once. Its name ends in a zero byte.
fn find(found: &AtomicPtr<c_void>, name: &'static str) -> *mut c_void {
    debug_assert!(name.ends_with('\0'));
    let known = found.load(Ordering::Relaxed);
    if !known.is_null() {
        return known;
    }
    // SAFETY: the name ends in a zero byte.
    let known = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) };
    if known.is_null() {
        // SAFETY: ends the process, which cannot go on without the function that it has called.
        unsafe { libc::abort() };
    }
    found.store(known, Ordering::Relaxed);
    known
}

/// The play, if any of its rules is about such calls.
fn playing(call: Call) -> Option<&'static Play> {
    PLAY.get().filter(|play| play.engine.has_rules_for(call))
}

impl Play {
    fn since_start(&self) -> Duration {
        clock::monotonic().saturating_sub(self.start)
    }

    fn fault(&self, call: Call, target: Target<'_>) -> Option<Fault> {
        self.engine.fault(call, target, self.since_start())
    }

    /// What a call on this descriptor meets; nothing if it is neither an internet socket nor a file of a rule.
    fn fault_at(&self, call: Call, descriptor: c_int) -> Option<Fault> {
        if is_internet(descriptor) {
            let port = if call == Call::Accept { local_port(descriptor) } else { remote_port(descriptor) };
            return self.fault(call, Target::Socket(port));
        }
        if !self.engine.has_path_rules_for(call) {
            return None;
        }
        let mut name = [0; NAME_MOST];
        let length = name_of(descriptor, &mut name)?;
        self.fault(call, Target::Files(&[&name[..length]]))
    }
}

/// Sets the error of a call that fails.
fn fail(error: c_int) {
    // SAFETY: the location is the calling thread's own.
    unsafe { *libc::__errno_location() = error };
}

fn is_internet(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = mem::size_of::<c_int>() as socklen_t;
    // SAFETY: both point to values of the sizes that they are said to have.
    let told = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    told == 0 && is_internet_family(domain)
}

fn is_internet_family(family: c_int) -> bool {
    family == libc::AF_INET || family == libc::AF_INET6
}

/// `getsockname` or `getpeername`.
type NameOfSocket = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;

fn local_port(descriptor: c_int) -> Option<u16> {
    port_by(libc::getsockname, descriptor)
}

fn remote_port(descriptor: c_int) -> Option<u16> {
    port_by(libc::getpeername, descriptor)
}

fn port_by(name: NameOfSocket, descriptor: c_int) -> Option<u16> {
    // SAFETY: all bytes zero is a valid value of it.
    let mut address: sockaddr_storage = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<sockaddr_storage>() as socklen_t;
    // SAFETY: the address has room for any kind of address, and its length is given.
    let told = unsafe { name(descriptor, (&raw mut address).cast(), &raw mut length) };
    // SAFETY: the kernel has filled in an address of this length.
    (told == 0).then(|| unsafe { port_of((&raw const address).cast(), length) }).flatten()
}

/// The port of an internet address.
///
/// # Safety
///
/// `address` is null or points to `length` bytes.
unsafe fn port_of(address: *const sockaddr, length: socklen_t) -> Option<u16> {
    if address.is_null() || (length as usize) < mem::size_of::<sa_family_t>() {
        return None;
    }
    // SAFETY: it holds at least its family.
    let family = c_int::from(unsafe { address.cast::<sa_family_t>().read_unaligned() });
    let holds = |size: usize| length as usize >= size;
    let port = match family {
        // SAFETY: the length was checked.
        libc::AF_INET if holds(mem::size_of::<sockaddr_in>()) => unsafe {
            address.cast::<sockaddr_in>().read_unaligned().sin_port
        },
        // SAFETY: the length was checked.
        libc::AF_INET6 if holds(mem::size_of::<sockaddr_in6>()) => unsafe {
            address.cast::<sockaddr_in6>().read_unaligned().sin6_port
        },
        _ => return None,
    };
    Some(u16::from_be(port))
}

/// The name that the kernel shows for a descriptor, and its length.
fn name_of(descriptor: c_int, name: &mut [u8; NAME_MOST]) -> Option<usize> {
    const FOLDER: &[u8] = b"/proc/self/fd/";
    const DIGITS_MOST: usize = 10;
    let mut digits = [0; DIGITS_MOST];
    let mut rest = u32::try_from(descriptor).ok()?;
    let mut first = DIGITS_MOST;
    loop {
        first -= 1;
        digits[first] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    // One byte more than both: it ends in a zero.
    let mut link = [0; FOLDER.len() + DIGITS_MOST + 1];
    link[..FOLDER.len()].copy_from_slice(FOLDER);
    link[FOLDER.len()..][..DIGITS_MOST - first].copy_from_slice(&digits[first..]);
    // SAFETY: the link ends in a zero byte, and the name has as many bytes as is said.
    let length = unsafe { libc::readlink(link.as_ptr().cast(), name.as_mut_ptr().cast(), NAME_MOST) };
    usize::try_from(length).ok()
}
