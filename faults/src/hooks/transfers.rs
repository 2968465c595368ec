//! Replacements for the functions that read and write connections and files.

use super::{edges, injector_for, real, set_errno};
use crate::schedule::{Call, Fault};
use libc::{
    c_int, c_void, iovec, msghdr, nfds_t, pollfd, sigset_t, size_t, sockaddr, socklen_t, ssize_t, timespec,
};

type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type Readv = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Recvfrom =
    unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t;
type Sendto =
    unsafe extern "C" fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t;
type Poll = unsafe extern "C" fn(*mut pollfd, nfds_t, c_int) -> c_int;
type Ppoll = unsafe extern "C" fn(*mut pollfd, nfds_t, *const timespec, *const sigset_t) -> c_int;
type Recvmsg = unsafe extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t;
type Sendmsg = unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t;

/// How to carry out a transfer.
enum TransferPlan {
    /// Pass the call on unchanged.
    Full,
    /// Pass the call on for at most this many bytes, fewer than requested.
    Short(usize),
    /// Return -1; `errno` is set.
    Fail,
}

/// Counts a transfer of `requested` bytes and decides how to carry it out.
fn plan_transfer(call: Call, descriptor: c_int, requested: usize) -> TransferPlan {
    match injector_for(call).and_then(|injector| injector.next_descriptor_fault(call, descriptor)) {
        Some(Fault::Error(error)) => {
            if error == libc::EAGAIN {
                edges::rearm(descriptor);
            }
            set_errno(error);
            TransferPlan::Fail
        }
        Some(Fault::Short(max_bytes)) if max_bytes < requested => TransferPlan::Short(max_bytes),
        Some(Fault::Delay(time)) => {
            std::thread::sleep(time);
            TransferPlan::Full
        }
        _ => TransferPlan::Full,
    }
}

/// Counts a call that transfers nothing, and holds it up if it is to be delayed.
fn delay_call(call: Call, descriptor: c_int) {
    let fault = injector_for(call).and_then(|injector| injector.next_descriptor_fault(call, descriptor));
    if let Some(Fault::Delay(time)) = fault {
        std::thread::sleep(time);
    }
}

/// Carries out a transfer with a single buffer; `transfer` gets the number of bytes to request.
fn transfer_single(
    call: Call,
    descriptor: c_int,
    requested: usize,
    transfer: impl FnOnce(usize) -> ssize_t,
) -> ssize_t {
    match plan_transfer(call, descriptor, requested) {
        TransferPlan::Full => transfer(requested),
        TransferPlan::Short(max_bytes) => {
            let transferred = transfer(max_bytes);
            if transferred > 0 {
                edges::rearm(descriptor);
            }
            transferred
        }
        TransferPlan::Fail => -1,
    }
}

/// The buffers of a vectored transfer.
///
/// # Safety
///
/// `buffers` is null or points to `count` valid buffers.
unsafe fn buffers_of<'a>(buffers: *const iovec, count: usize) -> &'a [iovec] {
    if buffers.is_null() || count == 0 {
        return &[];
    }
    // SAFETY: the caller guarantees it.
    unsafe { std::slice::from_raw_parts(buffers, count) }
}

fn total_bytes(buffers: &[iovec]) -> usize {
    buffers.iter().map(|buffer| buffer.iov_len).sum()
}

/// The first nonempty buffer, shortened to at most `max_bytes` bytes; `None` if all are empty.
fn first_shortened(buffers: &[iovec], max_bytes: usize) -> Option<iovec> {
    let first = buffers.iter().find(|buffer| buffer.iov_len > 0)?;
    Some(iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(max_bytes) })
}

/// Carries out a vectored transfer; `transfer` gets the single buffer to use instead if the transfer is shortened.
fn transfer_vectored(
    call: Call,
    descriptor: c_int,
    buffers: &[iovec],
    transfer: impl FnOnce(Option<&iovec>) -> ssize_t,
) -> ssize_t {
    match plan_transfer(call, descriptor, total_bytes(buffers)) {
        TransferPlan::Full => transfer(None),
        TransferPlan::Short(max_bytes) => {
            let transferred = transfer(first_shortened(buffers, max_bytes).as_ref());
            if transferred > 0 {
                edges::rearm(descriptor);
            }
            transferred
        }
        TransferPlan::Fail => -1,
    }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller guarantees that the buffer is valid, and `length` is at most the caller's.
    let transfer = |length| unsafe { real!(read: Read)(descriptor, buffer, length) };
    transfer_single(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller guarantees that the buffer is valid, and `length` is at most the caller's.
    let transfer = |length| unsafe { real!(write: Write)(descriptor, from, length) };
    transfer_single(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    // SAFETY: the caller guarantees that the buffer is valid, and `length` is at most the caller's.
    let transfer = |length| unsafe { real!(recv: Recv)(descriptor, buffer, length, flags) };
    if flags & libc::MSG_PEEK != 0 {
        delay_call(Call::Peek, descriptor);
        return transfer(length);
    }
    transfer_single(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    // SAFETY: the caller guarantees that the buffer is valid, and `length` is at most the caller's.
    let transfer = |length| unsafe { real!(send: Send)(descriptor, from, length, flags) };
    transfer_single(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn recvfrom(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
    address: *mut sockaddr,
    address_length: *mut socklen_t,
) -> ssize_t {
    let transfer = |length| {
        // SAFETY: the caller guarantees that the pointers are valid, and `length` is at most the caller's.
        unsafe { real!(recvfrom: Recvfrom)(descriptor, buffer, length, flags, address, address_length) }
    };
    if flags & libc::MSG_PEEK != 0 {
        delay_call(Call::Peek, descriptor);
        return transfer(length);
    }
    transfer_single(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn sendto(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
    address: *const sockaddr,
    address_length: socklen_t,
) -> ssize_t {
    let transfer = |length| {
        // SAFETY: the caller guarantees that the pointers are valid, and `length` is at most the caller's.
        unsafe { real!(sendto: Sendto)(descriptor, from, length, flags, address, address_length) }
    };
    transfer_single(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller guarantees that the buffers are valid.
    let all = unsafe { buffers_of(buffers, usize::try_from(count).unwrap_or(0)) };
    transfer_vectored(Call::Read, descriptor, all, |shortened_buffer| {
        let (buffers, count) =
            shortened_buffer.map_or((buffers, count), |buffer| (std::ptr::from_ref(buffer), 1));
        // SAFETY: the buffers are the caller's, or the beginning of one of them.
        unsafe { real!(readv: Readv)(descriptor, buffers, count) }
    })
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller guarantees that the buffers are valid.
    let all = unsafe { buffers_of(buffers, usize::try_from(count).unwrap_or(0)) };
    transfer_vectored(Call::Write, descriptor, all, |shortened_buffer| {
        let (buffers, count) =
            shortened_buffer.map_or((buffers, count), |buffer| (std::ptr::from_ref(buffer), 1));
        // SAFETY: the buffers are the caller's, or the beginning of one of them.
        unsafe { real!(writev: Readv)(descriptor, buffers, count) }
    })
}

/// A copy of the message with a single buffer.
fn with_buffer(message: &msghdr, buffer: &iovec) -> msghdr {
    msghdr { msg_iov: std::ptr::from_ref(buffer).cast_mut(), msg_iovlen: 1, ..*message }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn recvmsg(descriptor: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller guarantees that the pointer is valid.
    let pass_on = || unsafe { real!(recvmsg: Recvmsg)(descriptor, message, flags) };
    if message.is_null() {
        return pass_on();
    }
    if flags & libc::MSG_PEEK != 0 {
        delay_call(Call::Peek, descriptor);
        return pass_on();
    }
    // SAFETY: the caller guarantees that the message and its buffers are valid.
    let all = unsafe { buffers_of((*message).msg_iov, (*message).msg_iovlen) };
    transfer_vectored(Call::Read, descriptor, all, |shortened_buffer| {
        let Some(buffer) = shortened_buffer else { return pass_on() };
        // SAFETY: as above.
        let (original, count) = unsafe { ((*message).msg_iov, (*message).msg_iovlen) };
        // SAFETY: for the call, the message has a single buffer, the beginning of one of its own; its own buffers are
        // restored afterwards.
        unsafe {
            *message = with_buffer(&*message, buffer);
            let transferred = pass_on();
            (*message).msg_iov = original;
            (*message).msg_iovlen = count;
            transferred
        }
    })
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if message.is_null() {
        // SAFETY: the null pointer is passed on unchanged, as without this library.
        return unsafe { real!(sendmsg: Sendmsg)(descriptor, message, flags) };
    }
    // SAFETY: the caller guarantees that the message and its buffers are valid.
    let (original, all) = unsafe { (&*message, buffers_of((*message).msg_iov, (*message).msg_iovlen)) };
    transfer_vectored(Call::Write, descriptor, all, |shortened_buffer| {
        let shortened = shortened_buffer.map(|buffer| with_buffer(original, buffer));
        let message = shortened.as_ref().map_or(message, std::ptr::from_ref);
        // SAFETY: the message is the caller's, or a copy with the beginning of one of its buffers.
        unsafe { real!(sendmsg: Sendmsg)(descriptor, message, flags) }
    })
}

/// Holds up a call that asks for the state of descriptors.
///
/// # Safety
///
/// `descriptors` is null or points to `count` valid structures.
unsafe fn delay_poll(descriptors: *const pollfd, count: nfds_t) {
    if count > 0 && !descriptors.is_null() {
        // SAFETY: the caller guarantees it.
        delay_call(Call::Poll, unsafe { (*descriptors).fd });
    }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn poll(descriptors: *mut pollfd, count: nfds_t, timeout_ms: c_int) -> c_int {
    // SAFETY: the caller guarantees that the pointer is valid.
    unsafe {
        delay_poll(descriptors, count);
        real!(poll: Poll)(descriptors, count, timeout_ms)
    }
}

/// # Safety
///
/// As for the C library function of the same name.
#[no_mangle]
pub unsafe extern "C" fn ppoll(
    descriptors: *mut pollfd,
    count: nfds_t,
    timeout: *const timespec,
    signals: *const sigset_t,
) -> c_int {
    // SAFETY: the caller guarantees that the pointers are valid.
    unsafe {
        delay_poll(descriptors, count);
        real!(ppoll: Ppoll)(descriptors, count, timeout, signals)
    }
}
