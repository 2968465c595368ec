//! Replacements for the functions that open, sync and rename files.

use super::{injector_for, real, set_errno};
use crate::engine::Target;
use crate::schedule::{Call, Fault};
use libc::{c_char, c_int, mode_t};
use std::ffi::CStr;

type Open = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
type Openat = unsafe extern "C" fn(c_int, *const c_char, c_int, ...) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

/// Whether a call on these paths fails; if so, `errno` is set.
///
/// # Safety
///
/// Each path is null or ends in a zero byte.
unsafe fn path_call_fails<const COUNT: usize>(call: Call, paths: [*const c_char; COUNT]) -> bool {
    let Some(injector) = injector_for(call) else { return false };
    if paths.iter().any(|path| path.is_null()) {
        return false;
    }
    // SAFETY: the caller guarantees that the paths are null or end in a zero byte.
    let paths = paths.map(|path| unsafe { CStr::from_ptr(path) }.to_bytes());
    inject_error(injector.next_fault(call, Target::Files(&paths)))
}

/// Sets `errno` if the fault is an error, and returns whether it is.
fn inject_error(fault: Option<Fault>) -> bool {
    let Some(Fault::Error(error)) = fault else { return false };
    set_errno(error);
    true
}

/// The C library function is variadic in `mode`, and stable Rust cannot define variadic functions. In the calling
/// conventions of Linux the argument is passed in the same place; where the caller passes none, `mode` is ignored.
///
/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees that the path is null or ends in a zero byte.
    unsafe {
        if path_call_fails(Call::Open, [path]) {
            -1
        } else {
            real!(open: Open)(path, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees that the path is null or ends in a zero byte.
    unsafe {
        if path_call_fails(Call::Open, [path]) {
            -1
        } else {
            real!(open64: Open)(path, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn openat(directory: c_int, path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees that the path is null or ends in a zero byte.
    unsafe {
        if path_call_fails(Call::Open, [path]) {
            -1
        } else {
            real!(openat: Openat)(directory, path, flags, mode)
        }
    }
}

/// # Safety
///
/// As for [`open`].
#[no_mangle]
pub unsafe extern "C" fn openat64(
    directory: c_int,
    path: *const c_char,
    flags: c_int,
    mode: mode_t,
) -> c_int {
    // SAFETY: the caller guarantees that the path is null or ends in a zero byte.
    unsafe {
        if path_call_fails(Call::Open, [path]) {
            -1
        } else {
            real!(openat64: Openat)(directory, path, flags, mode)
        }
    }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if inject_error(
        injector_for(Call::Sync).and_then(|injector| injector.next_descriptor_fault(Call::Sync, descriptor)),
    ) {
        return -1;
    }
    // SAFETY: the function takes no pointers.
    unsafe { real!(fsync: Sync)(descriptor) }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if inject_error(
        injector_for(Call::Sync).and_then(|injector| injector.next_descriptor_fault(Call::Sync, descriptor)),
    ) {
        return -1;
    }
    // SAFETY: the function takes no pointers.
    unsafe { real!(fdatasync: Sync)(descriptor) }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller guarantees that the paths are null or end in a zero byte.
    unsafe {
        if path_call_fails(Call::Rename, [from, to]) {
            -1
        } else {
            real!(rename: Rename)(from, to)
        }
    }
}
