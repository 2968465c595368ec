//! The tables of the page, as Markdown. Every figure is written in one fixed form, so that two calls agree to the byte.

use super::compute::{wrong_by, Line, Row, Taken, Verdict, World};
use super::input::{Given, Model, Slope, DEPTH, ROLES, STATES};
use std::collections::BTreeMap;

/// Lines under this share of their budget are counted, not shown, among what fails first.
const SHOWN_LEAST: f64 = 0.1;

/// A table of the page: its name, and its text without the lines around it.
pub type Block = (&'static str, String);

/// All tables in the order of the page.
pub fn blocks(model: &Model) -> Result<Vec<Block>, String> {
    let world = World::of(model);
    let rows = world.rows()?;
    let mut blocks = vec![
        ("plan", given(&model.plan, "what")),
        ("bounds", bounds(model)),
        ("assumptions", given(&model.assumptions, "why")),
        ("names", names(&world)?),
        ("slopes", slopes(model)),
        ("first", first(model, &rows)),
    ];
    blocks.extend(ROLES.map(|(role, _)| (role, of_role(model, role, &rows))));
    blocks.push(("attempts", attempts(&world)?));
    blocks.push(("extent", extent(&world)?));
    blocks.push(("planned", planned(&world)?));
    blocks.push(("wrong", wrong(&world, &rows)?));
    Ok(blocks)
}

/// A figure with three digits that count, or whole from 100 on.
pub fn number(value: f64) -> String {
    let size = value.abs();
    let text = match size {
        0.0 => return "0".to_owned(),
        1e12.. => return format!("{value:.2e}"),
        100.0.. => {
            let whole = format!("{:.0}", size);
            let mut text = String::new();
            for (n, digit) in whole.chars().enumerate() {
                if n > 0 && (whole.len() - n).is_multiple_of(3) {
                    text.push(',');
                }
                text.push(digit);
            }
            text
        }
        10.0.. => format!("{size:.1}"),
        1.0.. => format!("{size:.2}"),
        0.1.. => format!("{size:.3}"),
        0.01.. => format!("{size:.4}"),
        0.001.. => format!("{size:.5}"),
        _ => return format!("{value:.2e}"),
    };
    let text = match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    };
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}

/// A share of a budget.
pub fn share(value: f64) -> String {
    match value {
        10.0.. => format!("{} times", number(value)),
        0.1.. => format!("{:.0}%", value * 100.0),
        0.01.. => format!("{:.1}%", value * 100.0),
        0.0001.. => format!("{:.2}%", value * 100.0),
        _ => "under 0.01%".to_owned(),
    }
}

fn table(heads: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let mut text = line(&heads.iter().map(|head| (*head).to_owned()).collect::<Vec<_>>());
    text += &line(&vec!["---".to_owned(); heads.len()]);
    let mut empty = true;
    for row in rows {
        empty = false;
        text += &line(&row);
    }
    if empty {
        return "None.\n".to_owned();
    }
    text
}

fn code(text: &str) -> String {
    format!("`{text}`")
}

fn given(all: &BTreeMap<String, Given>, what: &str) -> String {
    let row =
        |(name, g): (&String, &Given)| vec![code(name), number(g.value), g.unit.clone(), g.what.clone()];
    table(&["name", "value", "unit", what], all.iter().map(row))
}

fn bounds(model: &Model) -> String {
    let row = |(name, g): (&String, &Given)| {
        let source = g.source.as_ref().map_or(String::new(), |(file, text)| format!("`{text}` in `{file}`"));
        vec![code(name), number(g.value), g.unit.clone(), g.what.clone(), source]
    };
    table(&["name", "value", "unit", "what", "set by"], model.bounds.iter().map(row))
}

fn names(world: &World) -> Result<String, String> {
    let mut rows = Vec::new();
    for (name, derived) in &world.model.derived {
        let worked = world.work(&derived.formula)?;
        let value = worked.value.map_or("not measured".to_owned(), number);
        let (unit, what) = (derived.unit.clone(), derived.what.clone());
        rows.push(vec![code(name), code(&derived.formula.text), value, unit, what]);
    }
    Ok(table(&["name", "formula", "value", "unit", "what"], rows))
}

fn slopes(model: &Model) -> String {
    let mut text = table(
        &[
            "slope",
            "what",
            "unit",
            "at zero",
            "growth",
            "95% interval",
            "measured from, to",
            "runs",
            "by",
            "load",
        ],
        model.slopes.iter().map(|(name, s)| {
            let interval = match s.interval {
                Some((low, high)) => format!("{} to {}", number(low), number(high)),
                None => "none, a single play".to_owned(),
            };
            let bends = if s.bends.is_empty() { String::new() } else { format!("not straight: {}", s.bends) };
            let parts = [s.what.as_str(), &bends, &s.note];
            let what = parts.into_iter().filter(|part| !part.is_empty()).collect::<Vec<_>>().join("; ");
            vec![
                code(name),
                what,
                s.unit.clone(),
                number(s.at_zero),
                format!("{} a {}", number(s.slope), s.per),
                interval,
                format!("{} to {}", number(s.from), number(s.to)),
                s.runs.to_string(),
                s.by.clone(),
                s.load.clone(),
            ]
        }),
    );
    let absent: Vec<_> =
        model.not_measured.iter().filter(|(name, _)| !model.slopes.contains_key(*name)).collect();
    if !absent.is_empty() {
        text += "\nNot measured:\n\n";
        let row = |(name, by): &(&String, &String)| vec![code(name), (*by).clone()];
        text += &table(&["slope", "what, and what will measure it"], absent.iter().map(row));
    }
    text
}

/// What a line rests on, in a word.
fn basis(model: &Model, line: &Line) -> &'static str {
    let any =
        |so: fn(&Slope) -> bool| line.worked.taken.iter().any(|t| model.slopes.get(&t.slope).is_some_and(so));
    match &line.worked {
        worked if worked.value.is_none() => "not measured",
        worked if worked.taken.is_empty() => "arithmetic",
        _ if any(|s| s.interval.is_none()) => "single play",
        _ if any(|s| !s.bends.is_empty()) => "measured, not straight",
        _ => "measured",
    }
}

/// How far outside the measured range a slope is taken, if it is.
fn outside(model: &Model, taken: &Taken) -> Option<String> {
    let (slope, at) = (model.slopes.get(&taken.slope)?, taken.at?);
    if at > slope.to {
        return Some(format!("{} times beyond", number(at / slope.to)));
    }
    (at < slope.from).then(|| format!("under the least, {}", number(slope.from)))
}

/// The slopes of a line, and how far it takes them.
fn rests_on(model: &Model, line: &Line) -> String {
    let mut parts = Vec::new();
    for taken in &line.worked.taken {
        let at = taken.at.map_or(String::new(), |at| format!(" at {}", number(at)));
        let far = match (outside(model, taken), taken.at) {
            (Some(far), _) => format!(", {far}"),
            (None, Some(_)) => ", within".to_owned(),
            (None, None) => String::new(),
        };
        parts.push(format!("`{}`{at}{far}", taken.slope));
    }
    parts.extend(line.worked.lacks.iter().map(|name| format!("`{name}` not measured")));
    if parts.is_empty() {
        return "none".to_owned();
    }
    parts.join("; ")
}

fn beyond(model: &Model, line: &Line) -> String {
    let far: Vec<String> = line
        .worked
        .taken
        .iter()
        .filter_map(|taken| Some(format!("{} {}", code(&taken.slope), outside(model, taken)?)))
        .collect();
    if far.is_empty() {
        return if line.worked.taken.is_empty() { "nothing measured in it".into() } else { "within".into() };
    }
    far.join("; ")
}

fn interval(line: &Line) -> String {
    line.worked.interval.map_or("none".into(), |(low, high)| format!("{} to {}", number(low), number(high)))
}

/// A figure with its share and its verdict.
fn cell(line: &Line) -> String {
    let Some(value) = line.worked.value else { return "not measured".to_owned() };
    match (line.share(), line.verdict) {
        (_, Verdict::Senseless) => format!("{} (**under zero**)", number(value)),
        (Some(of), Verdict::Holds) => format!("{} ({})", number(value), share(of)),
        (Some(of), verdict) => format!("{} ({}, **{}**)", number(value), share(of), verdict.word()),
        (None, _) => number(value),
    }
}

fn of_role(model: &Model, role: &str, rows: &[Row]) -> String {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.figure.role == role).collect();
    if rows.is_empty() {
        return "None.\n".to_owned();
    }
    let mut heads = vec!["what", "unit", "budget"];
    heads.extend(STATES.iter().map(|(_, heading)| *heading));
    let mut over = Vec::new();
    for figure in model.figures.iter().filter(|figure| figure.role == role) {
        let own: Vec<&&Row> = rows.iter().filter(|row| std::ptr::eq(row.figure, figure)).collect();
        let budget = own.first().and_then(|row| row.line.budget).map_or("none".to_owned(), number);
        let mut cells = vec![figure.what.clone(), figure.unit.clone(), budget];
        cells.extend((0..STATES.len()).map(|state| {
            let row = own.iter().find(|row| row.states.contains(&state));
            row.map_or("-".to_owned(), |row| cell(&row.line))
        }));
        over.push(cells);
    }
    let mut text = table(&heads, over);
    text += "\n";
    text += &table(
        &[
            "what",
            "state",
            "formula",
            "budget",
            "slopes it rests on",
            "interval",
            "basis",
            "carried by",
            "note",
        ],
        rows.iter().map(|row| {
            let note = if row.figure.note.is_empty() { "-".to_owned() } else { row.figure.note.clone() };
            vec![
                row.figure.what.clone(),
                row.state_keys(),
                code(&row.formula.text),
                row.figure.budget.as_ref().map_or("none".to_owned(), |budget| code(&budget.text)),
                rests_on(model, &row.line),
                interval(&row.line),
                basis(model, &row.line).to_owned(),
                carried(row),
                note,
            ]
        }),
    );
    text
}

fn carried(row: &Row) -> String {
    match row.mechanism() {
        "missing" => "missing".to_owned(),
        file => code(file),
    }
}

fn first(model: &Model, rows: &[Row]) -> String {
    let built = |row: &&&Row| ROLES.contains(&(row.figure.role.as_str(), true));
    let stands = |row: &&Row| row.line.share().is_some() && row.line.verdict != Verdict::Senseless;
    let mut ranked: Vec<&Row> = rows.iter().filter(stands).collect();
    ranked.sort_by(|a, b| b.line.share().unwrap_or_default().total_cmp(&a.line.share().unwrap_or_default()));
    let (today, planned): (Vec<&Row>, Vec<&Row>) = ranked.iter().partition(built);
    let mut text = "What runs today:\n\n".to_owned() + &ranking(model, &today);
    text += "\nWhat is not built (relay, release's controller):\n\n";
    text += &ranking(model, &planned);
    let unknown: Vec<&Row> = rows
        .iter()
        .filter(|row| row.figure.budget.is_some())
        .filter(|row| matches!(row.line.verdict, Verdict::Unknown | Verdict::Senseless))
        .collect();
    if !unknown.is_empty() {
        text += "\nNot ranked, as a slope was not measured or does not hold at this size:\n\n";
        let row = |row: &&Row| {
            let worked = &row.line.worked;
            let lacks: Vec<String> = worked.lacks.iter().map(|name| code(name)).collect();
            let lacks = match worked.value {
                Some(value) => format!("comes to {} {}", number(value), row.figure.unit),
                None => format!("lacks {}", lacks.join(", ")),
            };
            vec![row.figure.role.clone(), row.figure.what.clone(), row.state_keys(), lacks]
        };
        text += &table(&["role", "what", "state", "why"], unknown.iter().map(row));
    }
    text
}

/// Lines in their order, down to a share of their budget.
fn ranking(model: &Model, ranked: &[&Row]) -> String {
    let shown = ranked.iter().take_while(|row| row.line.share().is_some_and(|of| of >= SHOWN_LEAST)).count();
    let row = |(n, row): (usize, &&Row)| {
        let (figure, line) = (row.figure, &row.line);
        let amount = |value: Option<f64>| {
            value.map_or("-".to_owned(), |value| format!("{} {}", number(value), figure.unit))
        };
        vec![
            (n + 1).to_string(),
            figure.role.clone(),
            figure.what.clone(),
            row.state_keys(),
            amount(line.worked.value),
            amount(line.budget),
            line.share().map_or("-".to_owned(), share),
            line.verdict.word().to_owned(),
            interval(line),
            basis(model, line).to_owned(),
            beyond(model, line),
            carried(row),
        ]
    };
    let heads = [
        "rank",
        "role",
        "what",
        "state",
        "figure",
        "budget",
        "share",
        "verdict",
        "interval",
        "basis",
        "beyond what was measured",
        "carried by",
    ];
    let text = table(&heads, ranked[..shown].iter().enumerate().map(row));
    text + &format!("\nUnder {} of their budget: {} lines more.\n", share(SHOWN_LEAST), ranked.len() - shown)
}

fn attempts(world: &World) -> Result<String, String> {
    let Some(depth) = world.model.plan.get(DEPTH).map(|depth| depth.value) else {
        return Ok("None.\n".to_owned());
    };
    let to_the = |factor: f64, hops: f64| (0..hops as u32).fold(1.0, |all, _| all * factor);
    let mut rows = Vec::new();
    for hop in &world.model.hops {
        let worked = world.work(&hop.factor)?;
        let far = |hops: f64| worked.value.map_or("not measured".to_owned(), |f| number(to_the(f, hops)));
        let ends = worked.interval.map_or("none".to_owned(), |(low, high)| {
            format!("{} to {}", number(to_the(low, depth)), number(to_the(high, depth)))
        });
        let mut beyond: Vec<String> = Vec::new();
        for taken in &worked.taken {
            let at = Taken { slope: taken.slope.clone(), at: Some(depth) };
            beyond.push(outside(world.model, &at).unwrap_or("within".to_owned()));
        }
        rows.push(vec![
            hop.what.clone(),
            code(&hop.factor.text),
            worked.value.map_or("not measured".to_owned(), number),
            far((depth / 2.0).floor()),
            far(depth),
            ends,
            if beyond.is_empty() { "nothing measured in it".to_owned() } else { beyond.join("; ") },
        ]);
    }
    let (half, whole) = (number((depth / 2.0).floor()), number(depth));
    let (half, whole) = (format!("at hop {half}"), format!("at hop {whole}"));
    Ok(table(
        &[
            "where the factor comes from",
            "formula",
            "attempts a hop",
            &half,
            &whole,
            "interval",
            "beyond what was measured",
        ],
        rows,
    ))
}

fn extent(world: &World) -> Result<String, String> {
    let Some(extent) = &world.model.extent else { return Ok("None.\n".to_owned()) };
    let mut heads = vec!["role".to_owned(), "what".to_owned(), "unit".to_owned(), "state".to_owned()];
    let mut worlds = Vec::new();
    for value in &extent.values {
        let Some(size) = world.work(value)?.value else {
            let (file, text) = (&world.model.file, &value.text);
            return Err(format!("{file}: extent.values is {text:?}; it is not measured"));
        };
        heads.push(format!("{} = {}", code(&extent.assumption), number(size)));
        worlds.push(World { model: world.model, instead: Some((&extent.assumption, size)) }.rows()?);
    }
    let heads: Vec<&str> = heads.iter().map(String::as_str).collect();
    let mut rows = Vec::new();
    for (n, row) in world.rows()?.iter().enumerate() {
        let values = || worlds.iter().filter_map(|rows| rows[n].line.worked.value);
        let moves = values().any(|value| Some(value) != values().next());
        if row.figure.budget.is_none() || !moves {
            continue;
        }
        let figure = row.figure;
        let mut cells = vec![figure.role.clone(), figure.what.clone(), figure.unit.clone(), row.state_keys()];
        cells.extend(worlds.iter().map(|rows| cell(&rows[n].line)));
        rows.push(cells);
    }
    Ok(table(&heads, rows))
}

fn planned(world: &World) -> Result<String, String> {
    let heads = [
        "part",
        "what",
        "unit",
        "budget",
        "flat",
        "by zones",
        "formula, flat",
        "formula, by zones",
        "what follows",
    ];
    let mut rows = Vec::new();
    for planned in &world.model.planned {
        let flat = world.line(&planned.flat, Some(&planned.budget))?;
        let zones = world.line(&planned.zones, Some(&planned.budget))?;
        rows.push(vec![
            planned.part.clone(),
            planned.what.clone(),
            planned.unit.clone(),
            flat.budget.map_or("none".to_owned(), number),
            cell(&flat),
            cell(&zones),
            code(&planned.flat.text),
            code(&planned.zones.text),
            planned.follows.clone(),
        ]);
    }
    Ok(table(&heads, rows))
}

/// The verdicts of all lines, under what the lines are called.
fn verdicts(world: &World) -> Result<Vec<(String, Verdict)>, String> {
    let mut all = Vec::new();
    for row in world.rows()? {
        let name = format!("{}, {} ({})", row.figure.role, row.figure.what, row.state_keys());
        all.push((name, row.line.verdict));
    }
    for planned in &world.model.planned {
        for (how, formula) in [("flat", &planned.flat), ("by zones", &planned.zones)] {
            let name = format!("{}, {} ({how})", planned.part, planned.what);
            all.push((name, world.line(formula, Some(&planned.budget))?.verdict));
        }
    }
    Ok(all)
}

fn wrong(world: &World, rows: &[Row]) -> Result<String, String> {
    let before = verdicts(world)?;
    let mut lines = Vec::new();
    for (name, given) in &world.model.assumptions {
        let mut cells = vec![code(name), format!("{} {}", number(given.value), given.unit)];
        for larger in [true, false] {
            let value = wrong_by(world.model, name, larger)?;
            if value == given.value {
                cells.push("it cannot be more".to_owned());
                continue;
            }
            let after = verdicts(&World { model: world.model, instead: Some((name, value)) })?;
            let mut told: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
            for ((line, was), (_, is)) in before.iter().zip(&after) {
                if was != is {
                    told.entry(is.word()).or_default().push(line);
                }
            }
            let told: Vec<String> =
                told.iter().map(|(word, lines)| format!("**{word}**: {}", lines.join("; "))).collect();
            let what = if told.is_empty() { "no verdict changes".to_owned() } else { told.join(". ") };
            cells.push(format!("{}: {what}", number(value)));
        }
        lines.push(cells);
    }
    let mut text =
        table(&["assumption", "taken", "three and a third times as much", "three tenths of it"], lines);
    let unknown = rows.iter().filter(|row| row.line.verdict == Verdict::Unknown).count();
    if unknown > 0 {
        text += &format!(
            "\nLines that lack a slope, {unknown} of {}, have no verdict that could change.\n",
            rows.len()
        );
    }
    Ok(text)
}
