//! Parses the JSON settings object of a balancer. The simulator sends it in its first message; a real agent has it in
//! its configuration file. The keys of the object are defined in this crate only.

mod convert;
mod hash;
mod names;
mod params;

pub use convert::settings;
pub use hash::fnv1a;
pub use names::{names, Names};
pub use params::Params;
