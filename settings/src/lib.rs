//! Reads the settings object that a balancer is given: in the simulator's first message, and in a real agent's
//! configuration. This is the one place that knows the object's keys.

mod convert;
mod hash;
mod names;
mod params;

pub use convert::settings;
pub use hash::fnv1a;
pub use names::{names, Names};
pub use params::Params;
