//! Reads and writes, on connections and on files.

use super::{edges, fail, playing, real};
use crate::schedule::{Call, Fault};
use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};

type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type Readv = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Recvfrom =
    unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t;
type Sendto =
    unsafe extern "C" fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t;
type Recvmsg = unsafe extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t;
type Sendmsg = unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t;

/// What a transfer of `asked` bytes meets.
enum Met {
    Whole,
    Cut(usize),
    Failed,
}

fn meet(call: Call, descriptor: c_int, asked: usize) -> Met {
    match playing(call).and_then(|play| play.fault_at(call, descriptor)) {
        Some(Fault::Error(error)) => {
            if error == libc::EAGAIN {
                edges::again(descriptor);
            }
            fail(error);
            Met::Failed
        }
        Some(Fault::Short(most)) if most < asked => Met::Cut(most),
        _ => Met::Whole,
    }
}

/// Carries out a transfer of one piece as the schedule has it; `transfer` is given the bytes to ask for.
fn whole_or_cut(
    call: Call,
    descriptor: c_int,
    asked: usize,
    transfer: impl FnOnce(usize) -> ssize_t,
) -> ssize_t {
    match meet(call, descriptor, asked) {
        Met::Whole => transfer(asked),
        Met::Cut(most) => {
            let moved = transfer(most);
            if moved > 0 {
                edges::again(descriptor);
            }
            moved
        }
        Met::Failed => -1,
    }
}

/// The pieces of a vectored transfer.
///
/// # Safety
///
/// `pieces` points to `count` pieces, or there is none.
unsafe fn pieces_of<'a>(pieces: *const iovec, count: usize) -> &'a [iovec] {
    if pieces.is_null() || count == 0 {
        return &[];
    }
    // SAFETY: the caller vouches for it.
    unsafe { std::slice::from_raw_parts(pieces, count) }
}

fn total(pieces: &[iovec]) -> usize {
    pieces.iter().map(|piece| piece.iov_len).sum()
}

/// The first piece that holds anything, cut to so many bytes; `None` if all is empty.
fn first_cut(pieces: &[iovec], most: usize) -> Option<iovec> {
    let first = pieces.iter().find(|piece| piece.iov_len > 0)?;
    Some(iovec { iov_base: first.iov_base, iov_len: first.iov_len.min(most) })
}

/// Carries out a vectored transfer as the schedule has it; `transfer` is given other pieces if it is cut.
fn vectored(
    call: Call,
    descriptor: c_int,
    pieces: &[iovec],
    transfer: impl FnOnce(Option<&iovec>) -> ssize_t,
) -> ssize_t {
    match meet(call, descriptor, total(pieces)) {
        Met::Whole => transfer(None),
        Met::Cut(most) => {
            let moved = transfer(first_cut(pieces, most).as_ref());
            if moved > 0 {
                edges::again(descriptor);
            }
            moved
        }
        Met::Failed => -1,
    }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, into: *mut c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller vouches for the pointer, and no more is asked for than it asked for.
    let transfer = |length| unsafe { real!(read: Read)(descriptor, into, length) };
    whole_or_cut(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller vouches for the pointer, and no more is given than it gave.
    let transfer = |length| unsafe { real!(write: Write)(descriptor, from, length) };
    whole_or_cut(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(descriptor: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // SAFETY: the caller vouches for the pointer, and no more is asked for than it asked for.
    let transfer = |length| unsafe { real!(recv: Recv)(descriptor, into, length, flags) };
    if flags & libc::MSG_PEEK != 0 {
        return transfer(length);
    }
    whole_or_cut(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    // SAFETY: the caller vouches for the pointer, and no more is given than it gave.
    let transfer = |length| unsafe { real!(send: Send)(descriptor, from, length, flags) };
    whole_or_cut(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn recvfrom(
    descriptor: c_int,
    into: *mut c_void,
    length: size_t,
    flags: c_int,
    address: *mut sockaddr,
    address_length: *mut socklen_t,
) -> ssize_t {
    let transfer = |length| {
        // SAFETY: the caller vouches for the pointers, and no more is asked for than it asked for.
        unsafe { real!(recvfrom: Recvfrom)(descriptor, into, length, flags, address, address_length) }
    };
    if flags & libc::MSG_PEEK != 0 {
        return transfer(length);
    }
    whole_or_cut(Call::Read, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
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
        // SAFETY: the caller vouches for the pointers, and no more is given than it gave.
        unsafe { real!(sendto: Sendto)(descriptor, from, length, flags, address, address_length) }
    };
    whole_or_cut(Call::Write, descriptor, length, transfer)
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn readv(descriptor: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller vouches for the pieces.
    let all = unsafe { pieces_of(pieces, usize::try_from(count).unwrap_or(0)) };
    vectored(Call::Read, descriptor, all, |cut| {
        let (pieces, count) = cut.map_or((pieces, count), |piece| (std::ptr::from_ref(piece), 1));
        // SAFETY: the pieces are the caller's, or the begin of one.
        unsafe { real!(readv: Readv)(descriptor, pieces, count) }
    })
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, pieces: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller vouches for the pieces.
    let all = unsafe { pieces_of(pieces, usize::try_from(count).unwrap_or(0)) };
    vectored(Call::Write, descriptor, all, |cut| {
        let (pieces, count) = cut.map_or((pieces, count), |piece| (std::ptr::from_ref(piece), 1));
        // SAFETY: the pieces are the caller's, or the begin of one.
        unsafe { real!(writev: Readv)(descriptor, pieces, count) }
    })
}

/// The same message with other pieces.
fn with_piece(message: &msghdr, piece: &iovec) -> msghdr {
    msghdr { msg_iov: std::ptr::from_ref(piece).cast_mut(), msg_iovlen: 1, ..*message }
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn recvmsg(descriptor: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller vouches for the pointer.
    let whole = || unsafe { real!(recvmsg: Recvmsg)(descriptor, message, flags) };
    if message.is_null() || flags & libc::MSG_PEEK != 0 {
        return whole();
    }
    // SAFETY: the caller vouches for the message and its pieces.
    let all = unsafe { pieces_of((*message).msg_iov, (*message).msg_iovlen) };
    vectored(Call::Read, descriptor, all, |cut| {
        let Some(piece) = cut else { return whole() };
        // SAFETY: as above.
        let (own, count) = unsafe { ((*message).msg_iov, (*message).msg_iovlen) };
        // SAFETY: the message has one piece for the call, the begin of one of its own, and its own again after it.
        unsafe {
            *message = with_piece(&*message, piece);
            let moved = whole();
            (*message).msg_iov = own;
            (*message).msg_iovlen = count;
            moved
        }
    })
}

/// # Safety
///
/// As for the function of the C library.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if message.is_null() {
        // SAFETY: the C library answers for a null pointer as it does.
        return unsafe { real!(sendmsg: Sendmsg)(descriptor, message, flags) };
    }
    // SAFETY: the caller vouches for the message and its pieces.
    let (given, all) = unsafe { (&*message, pieces_of((*message).msg_iov, (*message).msg_iovlen)) };
    vectored(Call::Write, descriptor, all, |cut| {
        let other = cut.map(|piece| with_piece(given, piece));
        let message = other.as_ref().map_or(message, std::ptr::from_ref);
        // SAFETY: the message is the caller's, or the same with the begin of one of its pieces.
        unsafe { real!(sendmsg: Sendmsg)(descriptor, message, flags) }
    })
}
