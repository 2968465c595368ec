//! A straight line through repeated measurements, with its interval, and whether growth is a line at all.

use serde::Serialize;

/// Sizes that a slope needs at least.
pub const SIZES_LEAST: usize = 4;
/// The mean at a size may lie this far from the line, as a part of what the line says there, before growth is called
/// anything but linear, also where repeats agree so well that less would be no chance.
const OFF_MOST: f64 = 0.15;
/// And by so many standard errors of the repeats.
const OFF_ERRORS: f64 = 3.0;

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// How much there was: servers, processes, hops.
    pub size: f64,
    /// What was measured, in the unit of the figure.
    pub value: f64,
}

/// What the figure is at no size, and what each more of it costs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fit {
    /// The line's value at size 0.
    pub at_zero: f64,
    /// What one more costs.
    pub slope: f64,
    /// The 95% interval of the slope.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// The smallest and the largest size measured.
    pub from: f64,
    /// The largest.
    pub to: f64,
    /// Measurements in all.
    pub runs: usize,
    /// Where growth is not linear: a line that says where and by how much.
    pub bends: Option<String>,
}

/// The two-sided 95% point of Student's distribution (Cornish-Fisher about the normal point; within 2% from 3 degrees of
/// freedom on, and the exact figures below that).
fn student(freedom: usize) -> f64 {
    match freedom {
        0 => f64::INFINITY,
        1 => 12.706,
        2 => 4.303,
        _ => {
            let (z, n) = (1.959_964_f64, freedom as f64);
            let (z3, z5, z7) = (z.powi(3), z.powi(5), z.powi(7));
            z + (z3 + z) / (4.0 * n)
                + (5.0 * z5 + 16.0 * z3 + 3.0 * z) / (96.0 * n * n)
                + (3.0 * z7 + 19.0 * z5 + 17.0 * z3 - 15.0 * z) / (384.0 * n * n * n)
        }
    }
}

/// Fits a line by least squares, each size weighed by 1/size, so that the smallest sizes are not drowned by the largest
/// (errors of what grows tend to grow with it). Needs four sizes at least.
pub fn fit(points: &[Point]) -> Result<Fit, String> {
    if let Some(odd) = points.iter().find(|p| !(p.size > 0.0 && p.size.is_finite() && p.value.is_finite())) {
        return Err(format!("{odd:?} is no measurement"));
    }
    let mut sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < SIZES_LEAST {
        return Err(format!("{} sizes were measured, a slope needs {SIZES_LEAST}", sizes.len()));
    }
    let weight = |p: &Point| 1.0 / p.size;
    let sum = |of: &dyn Fn(&Point) -> f64| points.iter().map(|p| weight(p) * of(p)).sum::<f64>();
    let all = sum(&|_| 1.0);
    let (mean_x, mean_y) = (sum(&|p| p.size) / all, sum(&|p| p.value) / all);
    let spread = sum(&|p| (p.size - mean_x).powi(2));
    let slope = sum(&|p| (p.size - mean_x) * (p.value - mean_y)) / spread;
    let at_zero = mean_y - slope * mean_x;
    let line = |size: f64| at_zero + slope * size;
    let freedom = points.len() - 2;
    let error = (sum(&|p| (p.value - line(p.size)).powi(2)) / freedom as f64 / spread).sqrt();
    let half = student(freedom) * error;
    let (from, to) = (sizes[0], sizes[sizes.len() - 1]);
    let bends = bends(points, &sizes, line);
    Ok(Fit { at_zero, slope, low: slope - half, high: slope + half, from, to, runs: points.len(), bends })
}

/// The size whose mean lies farthest from the line, if that is neither little nor chance.
fn bends(points: &[Point], sizes: &[f64], line: impl Fn(f64) -> f64) -> Option<String> {
    let at = |size: f64| points.iter().filter(move |p| p.size == size).map(|p| p.value);
    let mean = |size: f64| at(size).sum::<f64>() / at(size).count() as f64;
    let repeats = points.len() - sizes.len();
    let squares: f64 = sizes.iter().map(|&s| at(s).map(|v| (v - mean(s)).powi(2)).sum::<f64>()).sum();
    let off = |size: f64| {
        let error = (squares / repeats.max(1) as f64 / at(size).count() as f64).sqrt();
        let (is, says) = (mean(size), line(size));
        let part = (is - says).abs() / says.abs().max(is.abs()).max(f64::MIN_POSITIVE);
        (part > OFF_MOST && (is - says).abs() > OFF_ERRORS * error).then_some((size, is, says, part))
    };
    let worst = sizes.iter().filter_map(|&size| off(size)).max_by(|a, b| a.3.total_cmp(&b.3));
    worst.map(|(size, is, says, _)| format!("at {size} it is {is:.4}, the line says {says:.4}"))
}

#[cfg(test)]
mod tests;
