//! Exit codes of the testbed's commands, as `docs/testbed.md` lists them.

/// All that was expected held.
pub const HELD: u8 = 0;
/// Something that was expected did not hold.
pub const FELL_SHORT: u8 = 1;
/// Bad input, or an agent that does not start.
pub const BAD_INPUT: u8 = 2;
/// No verdict: the testbed itself ran late.
pub const LATE: u8 = 3;
/// Broken off by Ctrl-C or SIGTERM.
pub const BROKEN_OFF: u8 = 130;
