//! What a play came to, as `result.json` states it.

/// Figures of a result that a scenario may expect something of.
pub const FIGURES: &[&str] = &[
    "served_worth",
    "in_time",
    "late",
    "refused",
    "failed",
    "cross_zone",
    "cross_region",
    "attempts_per_request",
    "goodput",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "worst_window",
];
