//! Fault injection for real processes: a shared library that is preloaded (`LD_PRELOAD`) in tests and makes system
//! calls fail, transfer fewer bytes than requested or return a shifted time, as scheduled by the environment variable
//! `SYSCALL_FAULTS`.
//!
//! If the variable is unset or empty, every call is passed on unchanged. Child processes inherit `LD_PRELOAD` and
//! `SYSCALL_FAULTS` unless their environment is cleared.
//!
//! # The schedule
//!
//! Entries are separated by `;`, the words of an entry by spaces. Whitespace around entries and empty entries are
//! ignored.
//!
//! | entry                          | meaning                                                                    |
//! |--------------------------------|----------------------------------------------------------------------------|
//! | `seed NUMBER`                  | the seed for `one-in`; the default is 0                                    |
//! | `clock SHIFT [at=TIME]`        | shifts the wall clock from `at` on (default 0); shifts add up              |
//! | `CALLS FAULT [CONDITION]...`   | a rule: these calls get this fault while all conditions hold               |
//!
//! `CALLS` is one or more of these, separated by commas:
//!
//! | call      | functions                                           | applies to                               |
//! |-----------|-----------------------------------------------------|------------------------------------------|
//! | `accept`  | `accept`, `accept4`                                 | internet sockets                         |
//! | `connect` | `connect`                                           | internet addresses                       |
//! | `socket`  | `socket`                                            | internet sockets                         |
//! | `read`    | `read`, `readv`, `recv`, `recvfrom`, `recvmsg`      | internet sockets; files with `path=`     |
//! | `peek`    | `recv`, `recvfrom`, `recvmsg` with `MSG_PEEK`       | internet sockets                         |
//! | `poll`    | `poll`, `ppoll`; the first descriptor counts        | internet sockets                         |
//! | `write`   | `write`, `writev`, `send`, `sendto`, `sendmsg`      | internet sockets; files with `path=`     |
//! | `open`    | `open`, `open64`, `openat`, `openat64`              | files; requires `path=`                  |
//! | `sync`    | `fsync`, `fdatasync`                                | files; requires `path=`                  |
//! | `rename`  | `rename`                                            | files; requires `path=`                  |
//!
//! Calls on other descriptors are passed on unchanged: the wakers, pipes and Unix sockets of an async runtime do not fail
//! the way connections do. `peek` and `poll` can be delayed, and do not fail.
//!
//! `FAULT` is the name of an error (`ECONNABORTED`, see [`errno`]), with which the call fails without any other effect,
//! or `short=BYTES` (1 to 1048576; only for `read` and `write`), which passes the call on for at most this many bytes,
//! or `delay=TIME` (at most 10 s; only for `read`, `peek`, `poll` and `write`), which passes the call on after this time.
//! A descriptor that an epoll instance watches edge-triggered gets another edge after an injected short transfer or
//! `EAGAIN`, as the kernel would report one when there is more to transfer.
//!
//! A `CONDITION` limits a rule:
//!
//! | condition      | the fault applies                                                                      |
//! |----------------|----------------------------------------------------------------------------------------|
//! | `one-in=N`     | to one in `N` calls on average (1 to 1000000), chosen by a generator with the seed     |
//! | `every=N`      | to every `N`th call (1 to 1000000)                                                      |
//! | `from=N`       | from the `N`th call on, counted from 1                                                  |
//! | `times=N`      | at most `N` times                                                                       |
//! | `after=TIME`   | from this time after the start of the process on                                       |
//! | `until=TIME`   | before this time after the start of the process                                        |
//! | `port=N`       | to a listener on this port (`accept`), or to connections to this remote port (`connect`, `read`, `peek`, `poll`, `write`) |
//! | `path=PREFIX`  | to files whose path begins with `PREFIX`: the path as passed (`open`; `rename`: either path), or as `/proc/self/fd` shows the descriptor (`read`, `write`, `sync`; a pipe shows as `pipe:[...]`) |
//!
//! A rule counts the calls of its groups that match its port and path, from `after` until `until`. `from` refers to
//! this count; `every` and `one-in` are evaluated on the calls from there on. The first rule that applies determines
//! the fault, but every matching rule counts the call. With a single thread, the same calls get the same faults with
//! the same seed.
//!
//! A `TIME` is a whole number followed by `ms` or `s`, at most one day. A `SHIFT` is `+` or `-` followed by a whole
//! number and `ms` or `s`, at most 366 days. The wall clock is the time that `clock_gettime` returns for
//! `CLOCK_REALTIME` and `CLOCK_REALTIME_COARSE`, and that `gettimeofday` and `time` return; all other clocks are
//! unaffected.
//!
//! ```text
//! SYSCALL_FAULTS="seed 7; accept ECONNABORTED one-in=10; write short=1 from=3; clock +3600s at=2s;
//!                 open,write,sync,rename ENOSPC path=/var/lib/agent/ every=2 until=5s"
//! ```
//!
//! # Errors
//!
//! An invalid schedule terminates the process before its `main`, with one line on standard error and exit code 2. If it
//! were ignored, a test could pass without any injected fault.

pub mod engine;
pub mod errno;
#[cfg(not(test))]
mod hooks;
pub mod schedule;

/// The environment variable that holds the schedule.
pub const VARIABLE: &str = "SYSCALL_FAULTS";
