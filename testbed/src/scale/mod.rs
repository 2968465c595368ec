//! What things cost by size: one measurement at four sizes or more, a table, and a fitted slope with its interval, in the
//! words that `testbed capacity` reads. See `docs/testbed.md`.

pub mod depth;
pub mod fit;
pub mod hollow;
pub mod list;
pub mod renderer;
pub mod source;
pub mod staff;
pub mod watchers;

use fit::{Fit, Point};
use serde::de::DeserializeOwned;
use std::fmt::Write;
use std::path::Path;

/// One figure over sizes.
#[derive(Debug, Clone)]
pub struct Figure {
    /// What `testbed capacity` calls it, as in `list_memory_bytes`.
    pub name: &'static str,
    /// What it is, for a person.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// What its size counts, as in `server known`.
    pub per: &'static str,
    /// Its measurements.
    pub points: Vec<Point>,
}

/// What a scale test came to.
#[derive(Debug, Clone, Default)]
pub struct Scaled {
    /// The command that measured it.
    pub by: String,
    /// Its figures.
    pub figures: Vec<Figure>,
    /// What could not be run, or is to be known beside the figures; a line each.
    pub notes: Vec<String>,
    /// The machine's load average over the last minute before the test.
    pub load: f64,
}

/// The machine's load average over the last minute; none where the system does not tell.
pub fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|first| first.parse().ok()).unwrap_or(f64::NAN)
}

/// Reads the file of a scale test, or what stands for it; the error names file, key and value.
pub fn read<T: DeserializeOwned>(file: Option<&Path>, built_in: &str) -> Result<T, String> {
    let (name, text) = match file {
        None => ("built in".to_owned(), built_in.to_owned()),
        Some(file) => {
            let name = file.display().to_string();
            let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
            (name, text)
        }
    };
    toml::from_str(&text).map_err(|e| {
        // The error's own text draws a picture over several lines; a person wants one.
        let line = e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        let says = text.lines().nth(line.saturating_sub(1)).unwrap_or_default().trim();
        format!("{name}, line {line} ({says:.80}): {}", e.message().replace('\n', " "))
    })
}

/// Sizes that make a slope: four or more, whole, rising; `most` bounds them. The error names the key and the value.
pub fn check_sizes(key: &str, sizes: &[usize], most: usize) -> Result<(), String> {
    if sizes.len() < fit::SIZES_LEAST || sizes.first() == Some(&0) || !sizes.is_sorted_by(|a, b| a < b) {
        return Err(format!("{key} is {sizes:?}, {} rising sizes over 0 were expected", fit::SIZES_LEAST));
    }
    match sizes.last() {
        Some(&last) if last > most => Err(format!("{key} holds {last}, at most {most} was expected")),
        _ => Ok(()),
    }
}

/// A value of a file's key within these bounds; the error names the file, the key and the value.
pub fn check_value(file: Option<&Path>, key: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(format!("{}: {key} is {value}, {least} to {most} was expected", name(file)))
}

/// How the file of a scale test is called.
pub fn name(file: Option<&Path>) -> String {
    file.map_or_else(|| "built in".to_owned(), |file| file.display().to_string())
}

impl Scaled {
    /// A table of means and spreads by size, a slope for each figure, warnings and notes.
    pub fn table(&self) -> String {
        let mut text = format!("{}, background load {:.1}\n", self.by, self.load);
        for figure in &self.figures {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "\n{} ({}), by {}", figure.what, figure.unit, figure.per);
            let mut sizes: Vec<f64> = figure.points.iter().map(|p| p.size).collect();
            sizes.sort_by(f64::total_cmp);
            sizes.dedup();
            for size in sizes {
                let mut values: Vec<f64> =
                    figure.points.iter().filter(|p| p.size == size).map(|p| p.value).collect();
                values.sort_by(f64::total_cmp);
                let (median, n) = (values[values.len() / 2], values.len());
                let (least, most) = (values[0], values[n - 1]);
                let _ = writeln!(
                    text,
                    "  {size:>8}  median {}  ({} to {}, {n} runs)",
                    short(median),
                    short(least),
                    short(most)
                );
            }
            match fit::fit(&figure.points) {
                Ok(fit) => {
                    let _ = writeln!(
                        text,
                        "  {} + {} a {} (95%: {} to {})",
                        short(fit.at_zero),
                        short(fit.slope),
                        figure.per,
                        short(fit.low),
                        short(fit.high)
                    );
                    if let Some(bends) = fit.bends {
                        let _ = writeln!(text, "  warning: growth is not linear: {bends}");
                    }
                }
                Err(why) => {
                    let _ = writeln!(text, "  no slope: {why}");
                }
            }
        }
        for note in &self.notes {
            let _ = writeln!(text, "note: {note}");
        }
        text
    }

    /// The slopes in the words that `testbed capacity` reads.
    pub fn slopes(&self) -> String {
        let mut text = String::new();
        for figure in &self.figures {
            let Ok(Fit { at_zero, slope, low, high, from, to, runs, bends }) = fit::fit(&figure.points)
            else {
                continue;
            };
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "[slope.{}]\nwhat = {:?}\nunit = {:?}\nper = {:?}",
                figure.name, figure.what, figure.unit, figure.per
            );
            let _ = writeln!(
                text,
                "at_zero = {at_zero:.4e}\nslope = {slope:.4e}\nlow = {low:.4e}\nhigh = {high:.4e}"
            );
            let _ = writeln!(
                text,
                "from = {from:.1}\nto = {to:.1}\nruns = {runs}\nby = {:?}\nload = {:.1}",
                self.by, self.load
            );
            if let Some(bends) = bends {
                let _ = writeln!(text, "bends = {bends:?}");
            }
            text.push('\n');
        }
        text
    }
}

/// A figure in four digits, with what stands for thousands and thousandths.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        v if v >= 1e6 => format!("{:.2}M", value / 1e6),
        v if v >= 1e4 => format!("{:.1}k", value / 1e3),
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 0.1 => format!("{value:.3}"),
        v if v >= 1e-4 => format!("{:.3}e-3", value * 1e3),
        _ => format!("{:.3}e-6", value * 1e6),
    }
}
