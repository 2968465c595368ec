//! Files: how they are opened, synced and renamed.

use super::{fail, playing, real};
use crate::engine::Target;
use crate::schedule::{Call, Fault};
use libc::{c_char, c_int, mode_t};
use std::ffi::CStr;

type Open = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
type Openat = unsafe extern "C" fn(c_int, *const c_char, c_int, ...) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

/// Whether a call on files of these names fails, with its error set.
///
/// # Safety
///
/// The names end in a zero byte, or are null.
unsafe fn fails<const COUNT: usize>(call: Call, names: [*const c_char; COUNT]) -> bool {
    let Some(play) = playing(call) else { return false };
    if names.iter().any(|name| name.is_null()) {
        return false;
    }
    // SAFETY: the caller vouches for the names.
    let names = names.map(|name| unsafe { CStr::from_ptr(name) }.to_bytes());
    failed(play.fault(call, Target::Files(&names)))
}

fn failed(fault: Option<Fault>) -> bool {
    let Some(Fault::Error(error)) = fault else { return false };
    fail(error);
    true
}

/// The C library's function takes its mode as a variable argument, which this language cannot define. On the calling
/// conventions of Linux it comes in the same place; a caller that gives none has the mode ignored.
///
/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn open(name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller vouches for the name.
    unsafe {
        if fails(Call::Open, [name]) {
            -1
        } else {
            real!(open: Open)(name, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn open64(name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller vouches for the name.
    unsafe {
        if fails(Call::Open, [name]) {
            -1
        } else {
            real!(open64: Open)(name, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn openat(folder: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller vouches for the name.
    unsafe {
        if fails(Call::Open, [name]) {
            -1
        } else {
            real!(openat: Openat)(folder, name, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn openat64(folder: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller vouches for the name.
    unsafe {
        if fails(Call::Open, [name]) {
            -1
        } else {
            real!(openat64: Openat)(folder, name, flags, mode)
        }
    }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if failed(playing(Call::Sync).and_then(|play| play.fault_at(Call::Sync, descriptor))) {
        return -1;
    }
    // SAFETY: it takes no pointers.
    unsafe { real!(fsync: Sync)(descriptor) }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if failed(playing(Call::Sync).and_then(|play| play.fault_at(Call::Sync, descriptor))) {
        return -1;
    }
    // SAFETY: it takes no pointers.
    unsafe { real!(fdatasync: Sync)(descriptor) }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller vouches for the names.
    unsafe {
        if fails(Call::Rename, [from, to]) {
            -1
        } else {
            real!(rename: Rename)(from, to)
        }
    }
}
