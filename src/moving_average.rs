//! Update steps of exponential moving averages.

/// Moves an average towards a new value by `gain`, or by a quarter of `gain` if the new value is higher, so that a
/// period of congestion does not become the baseline.
pub(crate) fn step_favoring_low(average: &mut f64, value: f64, gain: f64) {
    let gain = if value < *average { gain } else { gain / 4.0 };
    *average += gain * (value - *average);
}

#[cfg(test)]
mod tests;
