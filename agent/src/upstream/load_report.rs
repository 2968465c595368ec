//! Parses the load reports that servers send in responses.

/// Parses a report such as `TEXT inflight=7, queue=2` into values in the order of `fields`. A field that is missing or
/// not a number is NaN; the result is `None` if no field has a finite value.
pub fn parse_load_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = vec![f64::NAN; fields.len()];
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(index) = fields.iter().position(|field| field.as_str() == name.trim()) else { continue };
        report[index] = value.trim().parse().unwrap_or(f64::NAN);
    }
    report.iter().any(|value| value.is_finite()).then_some(report)
}

#[cfg(test)]
mod tests;
