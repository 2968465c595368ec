//! The report of a play.

use crate::oracle::Breach;
use crate::plan::Plan;
use crate::result::Played;

/// One page that needs nothing else.
pub fn html(_plan: &Plan, _played: &Played, _breaches: &[Breach], _broken_off: Option<&str>) -> String {
    String::new()
}
