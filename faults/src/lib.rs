//! Fault injection for real processes: a shared library that is preloaded (`LD_PRELOAD`) in tests and makes system
//! calls fail, come back short or tell another time, by a schedule in the environment variable `SYSCALL_FAULTS`.
//!
//! Without the variable, or where it is empty, every call is passed on unchanged. Child processes inherit both variables
//! unless their environment is cleared.
//!
//! # The schedule
//!
//! Entries are separated by `;`, the words of an entry by spaces. Space around entries, and empty entries, mean nothing.
//!
//! | entry                          | meaning                                                                    |
//! |--------------------------------|----------------------------------------------------------------------------|
//! | `seed NUMBER`                  | where the draws of `one-in` begin; 0 if not given                           |
//! | `clock SHIFT [at=TIME]`        | moves the wall clock by so much, from `at` on (0 if not given); steps add up |
//! | `CALLS FAULT [CONDITION]...`   | a rule: these calls meet this fault whenever all conditions hold            |
//!
//! `CALLS` is one or several of these, separated by commas:
//!
//! | call      | functions                                           | concerns                                 |
//! |-----------|-----------------------------------------------------|------------------------------------------|
//! | `accept`  | `accept`, `accept4`                                 | internet sockets                         |
//! | `connect` | `connect`                                           | internet addresses                       |
//! | `socket`  | `socket`                                            | internet sockets                         |
//! | `read`    | `read`, `readv`, `recv`, `recvfrom`, `recvmsg`      | internet sockets; files with `path=`     |
//! | `write`   | `write`, `writev`, `send`, `sendto`, `sendmsg`      | internet sockets; files with `path=`     |
//! | `open`    | `open`, `open64`, `openat`, `openat64`              | files; needs `path=`                     |
//! | `sync`    | `fsync`, `fdatasync`                                | files; needs `path=`                     |
//! | `rename`  | `rename`                                            | files; needs `path=`                     |
//!
//! Reads that only peek are passed on, and so is all that concerns other descriptors: the wakers, pipes and Unix sockets of
//! a runtime never fail the way connections do.
//!
//! `FAULT` is the name of an error (`ECONNABORTED`, see [`errno`]), with which the call fails and does nothing else, or
//! `short=BYTES` (1 to 1048576; only for `read` and `write`), which passes on a call for at most so many bytes. A descriptor
//! that an epoll instance watches by edges gets another edge after a short transfer and after `EAGAIN`, as it would
//! get one from the kernel when there is more to transfer.
//!
//! A `CONDITION` limits a rule:
//!
//! | condition      | the fault strikes                                                                      |
//! |----------------|----------------------------------------------------------------------------------------|
//! | `one-in=N`     | at one in `N` calls on average (1 to 1000000), drawn from the seed                      |
//! | `every=N`      | at every `N`th call (1 to 1000000)                                                      |
//! | `from=N`       | from the `N`th call on, counted from 1                                                  |
//! | `times=N`      | at most `N` times                                                                       |
//! | `after=TIME`   | from this time after the start of the process on                                       |
//! | `until=TIME`   | before this time after the start of the process                                        |
//! | `port=N`       | at a listener on this port (`accept`), or connections to this remote port (`connect`, `read`, `write`) |
//! | `path=PREFIX`  | at files whose name begins so: the name as given (`open`, `rename`: either name), or as the kernel shows the descriptor (`read`, `write`, `sync`; a pipe shows as `pipe:[...]`) |
//!
//! A rule counts the calls that it concerns by port and path, within `after` and `until`; `from` counts in these, and
//! `every` and `one-in` go by the calls from there on. The first rule that strikes decides, but every rule counts every
//! call. With one thread the same calls meet the same faults under the same seed.
//!
//! A `TIME` is a whole number and `ms` or `s`, at most a day. A `SHIFT` is `+` or `-` and a whole number and `ms` or `s`, at
//! most 366 days. The wall clock is what `clock_gettime` tells for `CLOCK_REALTIME` and `CLOCK_REALTIME_COARSE`, and what
//! `gettimeofday` and `time` tell; all other clocks are left alone.
//!
//! ```text
//! SYSCALL_FAULTS="seed 7; accept ECONNABORTED one-in=10; write short=1 from=3; clock +3600s at=2s;
//!                 open,write,sync,rename ENOSPC path=/var/lib/agent/ every=2 until=5s"
//! ```
//!
//! # Errors
//!
//! A schedule that cannot be read ends the process before its `main`, with one line on standard error and exit code 2: a
//! test whose faults silently never come would prove nothing.

pub mod engine;
pub mod errno;
#[cfg(not(test))]
mod hooks;
pub mod schedule;

/// The environment variable that holds the schedule.
pub const VARIABLE: &str = "SYSCALL_FAULTS";
