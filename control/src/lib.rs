//! The staff's command. It asks agents at their second addresses, all side by side with a time limit each, and prints.
//! It keeps nothing: what holds is what the agents say.

mod agents;
mod ask;
mod cli;
mod print;
mod say;

pub use cli::run;

/// All agents said yes.
pub const ALL_YES: u8 = 0;
/// Some said no.
pub const SOME_NO: u8 = 1;
/// The command makes no sense.
pub const WRONG_USE: u8 = 2;
/// Some did not answer, or not in a way that makes sense.
pub const NO_ANSWER: u8 = 3;
