//! Replacements for the functions that create, connect and accept sockets.

use super::{injector_for, is_internet_family, port_of, real, set_errno};
use crate::engine::Target;
use crate::schedule::{Call, Fault};
use libc::{c_int, sockaddr, socklen_t};

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// Whether a call on this descriptor fails; if so, `errno` is set.
fn descriptor_call_fails(call: Call, descriptor: c_int) -> bool {
    inject_error(injector_for(call).and_then(|injector| injector.next_descriptor_fault(call, descriptor)))
}

/// Sets `errno` if the fault is an error, and returns whether it is.
fn inject_error(fault: Option<Fault>) -> bool {
    let Some(Fault::Error(error)) = fault else { return false };
    set_errno(error);
    true
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn accept(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    if descriptor_call_fails(Call::Accept, listener) {
        return -1;
    }
    // SAFETY: the caller guarantees that the pointers are valid.
    unsafe { real!(accept: Accept)(listener, address, length) }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if descriptor_call_fails(Call::Accept, listener) {
        return -1;
    }
    // SAFETY: the caller guarantees that the pointers are valid.
    unsafe { real!(accept4: Accept4)(listener, address, length, flags) }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(injector) = injector_for(Call::Connect) {
        // SAFETY: the caller guarantees that `address` is null or has `length` bytes.
        let port = unsafe { port_of(address, length) };
        // Only internet addresses have a port.
        if port.is_some() && inject_error(injector.next_fault(Call::Connect, Target::Socket(port))) {
            return -1;
        }
    }
    // SAFETY: the caller guarantees that the pointer is valid.
    unsafe { real!(connect: Connect)(socket, address, length) }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let injector = injector_for(Call::Socket).filter(|_| is_internet_family(domain));
    if inject_error(injector.and_then(|injector| injector.next_fault(Call::Socket, Target::Socket(None)))) {
        return -1;
    }
    // SAFETY: the function takes no pointers.
    unsafe { real!(socket: Socket)(domain, kind, protocol) }
}
