//! The page around the tables: where each stands between its marks, whether it is as computed, and renewing it.

use super::tables::Block;
use std::collections::BTreeSet;
use std::ops::Range;

const END: &str = "<!-- end -->";

fn begin(name: &str) -> String {
    format!("<!-- testbed capacity: {name} -->")
}

/// The tables between their marks, as a page could have them.
pub fn of(blocks: &[Block]) -> String {
    let one = |(name, text): &Block| format!("{}\n\n{text}\n{END}\n", begin(name));
    blocks.iter().map(one).collect::<Vec<_>>().join("\n")
}

/// The lines of a page that stand between the marks of each table: its place among `blocks`, and its lines.
fn places(lines: &[&str], blocks: &[Block]) -> Result<Vec<(usize, Range<usize>)>, String> {
    let known: Vec<&str> = blocks.iter().map(|(name, _)| *name).collect();
    let (mut places, mut open, mut seen) = (Vec::new(), None, BTreeSet::new());
    for (n, line) in lines.iter().enumerate() {
        let name =
            line.trim().strip_prefix("<!-- testbed capacity:").and_then(|rest| rest.strip_suffix("-->"));
        match (name.map(str::trim), open) {
            (Some(name), None) => {
                let Some(place) = known.iter().position(|known| *known == name) else {
                    let known = known.join(", ");
                    return Err(format!("line {}: no table is called {name:.40}, but {known}", n + 1));
                };
                if !seen.insert(place) {
                    return Err(format!("line {}: table {name} stands there a second time", n + 1));
                }
                open = Some((place, n + 1));
            }
            (Some(_), Some((place, from))) => {
                return Err(format!(
                    "line {}: table {} has no {END} before the next begins",
                    from, known[place]
                ));
            }
            (None, Some((place, from))) if line.trim() == END => {
                places.push((place, from..n));
                open = None;
            }
            (None, _) => {}
        }
    }
    match open {
        Some((place, from)) => Err(format!("line {from}: table {} has no {END}", known[place])),
        None => Ok(places),
    }
}

/// The first difference between a page and the tables, for a person. The error is a page whose marks make no sense.
pub fn differs(page: &str, blocks: &[Block]) -> Result<Option<String>, String> {
    let lines: Vec<&str> = page.lines().collect();
    let places = places(&lines, blocks)?;
    for (place, at) in &places {
        let (name, text) = &blocks[*place];
        let wanted: Vec<String> =
            format!("\n{text}").lines().map(str::to_owned).chain([String::new()]).collect();
        let is = &lines[at.clone()];
        let first = (0..wanted.len().max(is.len()))
            .find(|n| wanted.get(*n).map(String::as_str) != is.get(*n).copied());
        if let Some(n) = first {
            let computed = wanted.get(n).map_or("nothing", String::as_str);
            return Ok(Some(format!(
                "table {name} differs at line {}: computed is {:?}; renew it with --write",
                at.start + n + 1,
                apart(computed, is.get(n).copied().unwrap_or_default())
            )));
        }
    }
    let lacks = (0..blocks.len()).find(|place| places.iter().all(|(there, _)| there != place));
    Ok(lacks.map(|place| {
        format!("table {} is not on the page, between {} and {END}", blocks[place].0, begin(blocks[place].0))
    }))
}

/// So much of a line that the first difference can be seen.
fn apart(computed: &str, is: &str) -> String {
    let same = computed.chars().zip(is.chars()).take_while(|(a, b)| a == b).count();
    let from = same.saturating_sub(40);
    let cut: String = computed.chars().skip(from).take(80).collect();
    let before = if from > 0 { "..." } else { "" };
    let after = if computed.chars().count() > from + 80 { "..." } else { "" };
    format!("{before}{cut}{after}")
}

/// The page with its tables renewed. The error is a page whose marks make no sense, or that lacks a table.
pub fn renewed(page: &str, blocks: &[Block]) -> Result<String, String> {
    let lines: Vec<&str> = page.lines().collect();
    let places = places(&lines, blocks)?;
    if let Some(lacks) = (0..blocks.len()).find(|place| places.iter().all(|(there, _)| there != place)) {
        return Err(format!(
            "it has no table {}, between {} and {END}",
            blocks[lacks].0,
            begin(blocks[lacks].0)
        ));
    }
    let (mut text, mut next) = (String::new(), 0);
    for (place, at) in places {
        for line in &lines[next..at.start] {
            text += line;
            text += "\n";
        }
        text += &format!("\n{}\n", blocks[place].1);
        next = at.end;
    }
    for line in &lines[next..] {
        text += line;
        text += "\n";
    }
    Ok(text)
}
