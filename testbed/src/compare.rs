//! Two sweeps against each other, play by play of the same point and seed.

use crate::draw::Seed;
use crate::result::FIGURES;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Results by seed.
pub type Plays = BTreeMap<u64, Value>;

/// A sweep's results by point and seed.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Sweep {
    /// By the point's name.
    pub points: BTreeMap<String, Plays>,
}

impl Sweep {
    /// Reads all `result.json` below a folder: `POINT/seed-N/`, or one play's own folder.
    pub fn read(folder: &Path) -> Result<Self, String> {
        let mut sweep = Sweep::default();
        let entries = |folder: &Path| -> Result<Vec<std::path::PathBuf>, String> {
            let read = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let mut paths: Vec<_> = read.flatten().map(|entry| entry.path()).collect();
            paths.sort();
            Ok(paths)
        };
        if folder.join("result.json").is_file() {
            sweep.add("as-is", folder)?;
        } else {
            for point in entries(folder)?.iter().filter(|path| path.is_dir()) {
                for play in entries(point)?.iter().filter(|path| path.join("result.json").is_file()) {
                    let name = point.file_name().map(|name| name.to_string_lossy().into_owned());
                    sweep.add(&name.unwrap_or_default(), play)?;
                }
            }
        }
        if sweep.points.is_empty() {
            return Err(format!("{}: no result.json is in it or two folders below", folder.display()));
        }
        Ok(sweep)
    }

    fn add(&mut self, point: &str, folder: &Path) -> Result<(), String> {
        let file = folder.join("result.json");
        let text = std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        let mut play: Value =
            serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        let seed = play["seed"].as_u64().ok_or_else(|| format!("{}: no seed is in it", file.display()))?;
        if let Some(play) = play.as_object_mut() {
            // What is told second by second is long, and compared by nobody.
            play.remove("windows");
        }
        self.points.entry(point.to_owned()).or_default().insert(seed, play);
        Ok(())
    }
}

/// The middle of sorted values.
pub fn median(sorted: &[f64]) -> f64 {
    let n = sorted.len();
    match n {
        0 => 0.0,
        _ if n % 2 == 1 => sorted[n / 2],
        _ => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// Resamples of the bootstrap.
const RESAMPLES: usize = 10_000;
/// With fewer pairs no difference has a chance under one in a hundred.
const PAIRS_LEAST: usize = 8;
/// What the intervals cover: sixteen figures are held side by side, and at 95% nearly every comparison of a build with
/// itself would show one of them to differ.
const COVER: f64 = 0.99;

/// A figure's difference, new less base.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Medians of both.
    pub medians: (f64, f64),
    /// The mean of the paired differences.
    pub mean: f64,
    /// Its interval; none with too few pairs.
    pub interval: Option<(f64, f64)>,
    /// See [`chance`].
    pub chance: f64,
    /// Pairs.
    pub pairs: usize,
}

/// The mean of paired differences with an interval by the studentized bootstrap (Efron and Tibshirani, An Introduction
/// to the Bootstrap, section 12.5), which keeps its cover with few pairs where the plain percentile interval is too
/// narrow.
pub fn difference(base: &[f64], new: &[f64]) -> Difference {
    let apart: Vec<f64> = base.iter().zip(new).map(|(base, new)| new - base).collect();
    let n = apart.len();
    let sorted = |values: &[f64]| {
        let mut values = values.to_vec();
        values.sort_by(f64::total_cmp);
        median(&values)
    };
    let (mean, error) = mean_and_error(&apart);
    let interval = if n < PAIRS_LEAST {
        None
    } else if error == 0.0 {
        Some((mean, mean))
    } else {
        let mut draw = Seed(0x0b00_7575);
        let mut sample = vec![0.0; n];
        let mut ts: Vec<f64> = Vec::with_capacity(RESAMPLES);
        for _ in 0..RESAMPLES {
            sample.iter_mut().for_each(|slot| *slot = apart[draw.below(n)]);
            let (again, spread) = mean_and_error(&sample);
            // A sample of one value over and over has no spread to measure by.
            if spread > error * 1e-9 {
                ts.push((again - mean) / spread);
            }
        }
        ts.sort_by(f64::total_cmp);
        let at = |q: f64| ts[((ts.len() - 1) as f64 * q) as usize];
        let tail = (1.0 - COVER) / 2.0;
        (!ts.is_empty()).then(|| (mean - at(1.0 - tail) * error, mean - at(tail) * error))
    };
    Difference { medians: (sorted(base), sorted(new)), mean, interval, chance: chance(&apart), pairs: n }
}

fn mean_and_error(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    let squares: f64 = values.iter().map(|v| (v - mean) * (v - mean)).sum();
    (mean, (squares / (n - 1.0).max(1.0) / n.max(1.0)).sqrt())
}

/// Whether more of a figure is better.
fn more_is_better(figure: &str) -> bool {
    matches!(figure, "served_worth" | "in_time" | "worst_window" | "goodput")
}

/// Sign patterns that are gone through one by one; beyond that they are drawn.
const PATTERNS_ALL: usize = 16;
/// The chance of a false word, for each figure by itself.
const CHANCE: f64 = 0.01;

/// The chance that a mean at least so far from zero comes by signs alone: each pair's difference is as likely to be turned
/// round where nothing differs (Fisher's randomization test, The Design of Experiments, section 21). Exact however lumpy
/// the figures are, where an interval is not.
pub fn chance(apart: &[f64]) -> f64 {
    let far = apart.iter().sum::<f64>().abs() * (1.0 - 1e-12);
    let n = apart.len();
    let as_far = |signs: &mut dyn FnMut(usize) -> bool| {
        let sum: f64 = apart.iter().enumerate().map(|(i, d)| if signs(i) { -d } else { *d }).sum();
        sum.abs() >= far
    };
    let mut draw = Seed(0x51f0);
    let all = if n <= PATTERNS_ALL { 1usize << n } else { RESAMPLES };
    let hits = (0..all).filter(|pattern| {
        if n <= PATTERNS_ALL {
            as_far(&mut |i| pattern >> i & 1 == 1)
        } else {
            as_far(&mut |_| draw.bits() & 1 == 1)
        }
    });
    hits.count() as f64 / all as f64
}

/// The plain word for a difference: both the interval and the chance have to speak for one.
pub fn word(figure: &str, difference: &Difference) -> &'static str {
    let Some((low, high)) = difference.interval else { return "too few pairs to tell" };
    let up = low > 0.0;
    if difference.chance > CHANCE || (!up && high >= 0.0) {
        "no difference shown"
    } else if up == more_is_better(figure) {
        "better"
    } else {
        "worse"
    }
}

/// Compares two sweeps, and says in words and figures how the new one differs.
pub fn compare(base: &Sweep, new: &Sweep) -> Result<String, String> {
    let mut text = String::new();
    let mut paired = false;
    for (point, ours) in &base.points {
        let Some(theirs) = new.points.get(point) else { continue };
        let pairs: Vec<(&Value, &Value)> =
            ours.iter().filter_map(|(seed, play)| Some((play, theirs.get(seed)?))).collect();
        if pairs.is_empty() {
            continue;
        }
        paired = true;
        let broken = |side: fn(&(&Value, &Value)) -> u64| pairs.iter().map(side).sum::<u64>();
        let (before, after) = (
            broken(|pair| crate::sweep::rules_broken(pair.0)),
            broken(|pair| crate::sweep::rules_broken(pair.1)),
        );
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{point}: {} pairs; rules broken {before} times, then {after}", pairs.len());
        let _ = writeln!(
            text,
            "  {:<26} {:>11} {:>11} {:>11}   {:<23} word",
            "figure", "base", "new", "difference", "99% interval"
        );
        for figure in FIGURES {
            let side = |play: &Value| play[*figure].as_f64();
            let both: Vec<(f64, f64)> =
                pairs.iter().filter_map(|(base, new)| Some((side(base)?, side(new)?))).collect();
            if both.is_empty() {
                continue;
            }
            let (base, new): (Vec<f64>, Vec<f64>) = both.into_iter().unzip();
            let found = difference(&base, &new);
            let interval =
                found.interval.map_or("-".into(), |(low, high)| format!("{low:+.4} to {high:+.4}"));
            let _ = writeln!(
                text,
                "  {figure:<26} {:>11.4} {:>11.4} {:>+11.4}   {interval:<23} {}",
                found.medians.0,
                found.medians.1,
                found.mean,
                word(figure, &found)
            );
        }
    }
    if paired {
        Ok(text)
    } else {
        Err("no play of the one has a play of the other with the same point and seed".into())
    }
}

#[cfg(test)]
mod tests;
