//! Replacements for C library functions, by group, and their shared parts.

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

/// The maximum length of a descriptor's path; a longer path is truncated before it is compared with a prefix.
const MAX_PATH_BYTES: usize = 4096;

/// The fault engine of this process, with the time on the monotonic clock at which the library was loaded.
struct Injector {
    engine: Engine,
    start: Duration,
}

/// Empty without a schedule and until it is loaded; all calls are then passed on unchanged.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// The C library function that the replacement of this name shadows. Used in an unsafe block, whose author guarantees
/// that the type is that of the function.
macro_rules! real {
    ($name:ident: $type:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicPtr<libc::c_void> =
            std::sync::atomic::AtomicPtr::new(std::ptr::null_mut());
        let name = concat!(stringify!($name), "\0");
        std::mem::transmute::<*mut libc::c_void, $type>($crate::hooks::resolve(&ADDRESS, name))
    }};
}
use real;

/// Looks up the next definition of a symbol and caches its address. `name` ends in a zero byte.
fn resolve(cache: &AtomicPtr<c_void>, name: &'static str) -> *mut c_void {
    debug_assert!(name.ends_with('\0'));
    let address = cache.load(Ordering::Relaxed);
    if !address.is_null() {
        return address;
    }
    // SAFETY: the name ends in a zero byte.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) };
    if address.is_null() {
        // SAFETY: `abort` is always safe to call. The process cannot continue without the function that it has called.
        unsafe { libc::abort() };
    }
    cache.store(address, Ordering::Relaxed);
    address
}

/// The injector, if any of its rules applies to this group of calls.
fn injector_for(call: Call) -> Option<&'static Injector> {
    INJECTOR.get().filter(|injector| injector.engine.has_rules_for(call))
}

impl Injector {
    fn since_start(&self) -> Duration {
        clock::monotonic().saturating_sub(self.start)
    }

    fn next_fault(&self, call: Call, target: Target<'_>) -> Option<Fault> {
        self.engine.next_fault(call, target, self.since_start())
    }

    /// The fault for a call on this descriptor; `None` if it is neither an internet socket nor a file under
    /// the path of a rule.
    fn next_descriptor_fault(&self, call: Call, descriptor: c_int) -> Option<Fault> {
        if is_internet_socket(descriptor) {
            let port = if call == Call::Accept { local_port(descriptor) } else { remote_port(descriptor) };
            return self.next_fault(call, Target::Socket(port));
        }
        if !self.engine.has_path_rules_for(call) {
            return None;
        }
        let mut path = [0; MAX_PATH_BYTES];
        let length = descriptor_path(descriptor, &mut path)?;
        self.next_fault(call, Target::Files(&[&path[..length]]))
    }
}

/// Sets `errno` of the calling thread.
fn set_errno(error: c_int) {
    // SAFETY: the pointer is to a variable of the calling thread.
    unsafe { *libc::__errno_location() = error };
}

fn is_internet_socket(descriptor: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = mem::size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are to local variables, and `length` is the size of `domain`.
    let status = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut domain).cast(),
            &raw mut length,
        )
    };
    status == 0 && is_internet_family(domain)
}

fn is_internet_family(family: c_int) -> bool {
    family == libc::AF_INET || family == libc::AF_INET6
}

/// `getsockname` or `getpeername`.
type SocketNameFn = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;

fn local_port(descriptor: c_int) -> Option<u16> {
    socket_port(libc::getsockname, descriptor)
}

fn remote_port(descriptor: c_int) -> Option<u16> {
    socket_port(libc::getpeername, descriptor)
}

fn socket_port(get_name: SocketNameFn, descriptor: c_int) -> Option<u16> {
    // SAFETY: all-zero bytes are a valid `sockaddr_storage`.
    let mut address: sockaddr_storage = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<sockaddr_storage>() as socklen_t;
    // SAFETY: `sockaddr_storage` is large enough for any address, and `length` is its size.
    let status = unsafe { get_name(descriptor, (&raw mut address).cast(), &raw mut length) };
    // SAFETY: the kernel has filled in an address of this length.
    (status == 0).then(|| unsafe { port_of((&raw const address).cast(), length) }).flatten()
}

/// The port of an internet address; `None` for null, for other families and for truncated addresses.
///
/// # Safety
///
/// `address` is null or points to `length` bytes.
unsafe fn port_of(address: *const sockaddr, length: socklen_t) -> Option<u16> {
    if address.is_null() || (length as usize) < mem::size_of::<sa_family_t>() {
        return None;
    }
    // SAFETY: the length was checked; the address includes its family.
    let family = c_int::from(unsafe { address.cast::<sa_family_t>().read_unaligned() });
    let is_long_enough = |size: usize| length as usize >= size;
    let port = match family {
        // SAFETY: the length was checked.
        libc::AF_INET if is_long_enough(mem::size_of::<sockaddr_in>()) => unsafe {
            address.cast::<sockaddr_in>().read_unaligned().sin_port
        },
        // SAFETY: the length was checked.
        libc::AF_INET6 if is_long_enough(mem::size_of::<sockaddr_in6>()) => unsafe {
            address.cast::<sockaddr_in6>().read_unaligned().sin6_port
        },
        _ => return None,
    };
    Some(u16::from_be(port))
}

/// Reads the path that `/proc/self/fd` shows for a descriptor into `path` and returns its length.
fn descriptor_path(descriptor: c_int, path: &mut [u8; MAX_PATH_BYTES]) -> Option<usize> {
    const FD_DIRECTORY: &[u8] = b"/proc/self/fd/";
    const MAX_DIGITS: usize = 10;
    let mut digits = [0; MAX_DIGITS];
    let mut remaining = u32::try_from(descriptor).ok()?;
    let mut first = MAX_DIGITS;
    loop {
        first -= 1;
        digits[first] = b'0' + (remaining % 10) as u8;
        remaining /= 10;
        if remaining == 0 {
            break;
        }
    }
    // One more byte for the terminating zero.
    let mut link = [0; FD_DIRECTORY.len() + MAX_DIGITS + 1];
    link[..FD_DIRECTORY.len()].copy_from_slice(FD_DIRECTORY);
    link[FD_DIRECTORY.len()..][..MAX_DIGITS - first].copy_from_slice(&digits[first..]);
    // SAFETY: the link ends in a zero byte, and the length of `path` is passed.
    let length = unsafe { libc::readlink(link.as_ptr().cast(), path.as_mut_ptr().cast(), MAX_PATH_BYTES) };
    usize::try_from(length).ok()
}
