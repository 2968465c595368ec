//! Sockets: how they are made, connected and accepted.

use super::{fail, is_internet_family, playing, port_of, real};
use crate::engine::Target;
use crate::schedule::{Call, Fault};
use libc::{c_int, sockaddr, socklen_t};

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// Whether a call on this descriptor fails, with its error set.
fn fails_at(call: Call, descriptor: c_int) -> bool {
    fails(playing(call).and_then(|play| play.fault_at(call, descriptor)))
}

fn fails(fault: Option<Fault>) -> bool {
    let Some(Fault::Error(error)) = fault else { return false };
    fail(error);
    true
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    if fails_at(Call::Accept, listener) {
        return -1;
    }
    // SAFETY: the caller vouches for the pointers.
    unsafe { real!(accept: Accept)(listener, address, length) }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if fails_at(Call::Accept, listener) {
        return -1;
    }
    // SAFETY: the caller vouches for the pointers.
    unsafe { real!(accept4: Accept4)(listener, address, length, flags) }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(play) = playing(Call::Connect) {
        // SAFETY: the caller vouches for the address and its length.
        let port = unsafe { port_of(address, length) };
        // An address without a port is none of the internet.
        if port.is_some() && fails(play.fault(Call::Connect, Target::Socket(port))) {
            return -1;
        }
    }
    // SAFETY: the caller vouches for the pointer.
    unsafe { real!(connect: Connect)(socket, address, length) }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let play = playing(Call::Socket).filter(|_| is_internet_family(domain));
    if fails(play.and_then(|play| play.fault(Call::Socket, Target::Socket(None)))) {
        return -1;
    }
    // SAFETY: it takes no pointers.
    unsafe { real!(socket: Socket)(domain, kind, protocol) }
}
