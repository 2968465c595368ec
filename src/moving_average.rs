//! Steps of exponential moving averages.

/// Moves an average towards a new value by `gain`, and by a quarter of it if the new value is higher, so that a time of
/// congestion does not pass for the usual state.
pub(crate) fn step_favoring_low(average: &mut f64, value: f64, gain: f64) {
    let gain = if value < *average { gain } else { gain / 4.0 };
    *average += gain * (value - *average);
}

#[cfg(test)]
mod tests;
