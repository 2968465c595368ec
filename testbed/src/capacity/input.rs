//! The capacity file: the plan, bounds in the code, assumptions, measured slopes, and the lines that follow from them.

use super::formula::{Expr, POWER_MOST};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use toml::{Table, Value};

/// The states that each figure is worked out in: key and heading.
pub const STATES: [(&str, &str); 5] = [
    ("minute", "an ordinary minute"),
    ("release", "a release of everything"),
    ("zone", "a rack or zone goes and returns"),
    ("cut", "a region cut off, and back"),
    ("restart", "half of all restarted"),
];

/// The roles: key, and whether there is a program for it today.
pub const ROLES: [(&str, bool); 7] = [
    ("agent", true),
    ("renderer", true),
    ("control", true),
    ("relay", false),
    ("staff", true),
    ("release", false),
    ("depth", true),
];

/// The name of the plan's depth of calls, which the table of attempts goes by.
pub const DEPTH: &str = "depth";

/// A figure that is given, not worked out.
#[derive(Debug, Clone)]
pub struct Given {
    /// Its value in `unit`.
    pub value: f64,
    /// What it counts.
    pub unit: String,
    /// What it is; for an assumption, why it is assumed.
    pub what: String,
    /// A bound of the code: the file that sets it, and the text there.
    pub source: Option<(String, String)>,
    /// An assumption that is taken three times as large is no larger than this.
    pub most: Option<Formula>,
}

/// A formula and its text.
#[derive(Debug, Clone)]
pub struct Formula {
    /// As it stands in the file.
    pub text: String,
    /// As read.
    pub expr: Expr,
}

/// A name for a formula.
#[derive(Debug, Clone)]
pub struct Derived {
    /// The formula.
    pub formula: Formula,
    /// What it counts.
    pub unit: String,
    /// What it is.
    pub what: String,
}

/// A measured straight line.
#[derive(Debug, Clone)]
pub struct Slope {
    /// What was measured.
    pub what: String,
    /// In which unit.
    pub unit: String,
    /// What it grows by one with.
    pub per: String,
    /// Where the line meets zero.
    pub at_zero: f64,
    /// Its growth.
    pub slope: f64,
    /// The 95% interval of the growth; none for single plays.
    pub interval: Option<(f64, f64)>,
    /// The range that was measured.
    pub from: f64,
    /// Its end.
    pub to: f64,
    /// How many runs it rests on.
    pub runs: u64,
    /// The command that measured it.
    pub by: String,
    /// What else the machine did.
    pub load: String,
    /// Where growth is no straight line, if it is none.
    pub bends: String,
    /// What else is to be known of it.
    pub note: String,
}

/// A figure of a role in the five states.
#[derive(Debug, Clone)]
pub struct Figure {
    /// A key of [`ROLES`].
    pub role: String,
    /// What it is.
    pub what: String,
    /// In which unit.
    pub unit: String,
    /// What it may be at most.
    pub budget: Option<Formula>,
    /// Its formula by state, in the order of [`STATES`]; none where it says nothing.
    pub states: [Option<Formula>; STATES.len()],
    /// The key of each state's formula in the file: its own, or `all`.
    pub keys: [&'static str; STATES.len()],
    /// The file that carries it, or "missing".
    pub mechanism: [String; STATES.len()],
    /// What is to be known of it.
    pub note: String,
}

/// A part that is planned on flat gossip.
#[derive(Debug, Clone)]
pub struct Planned {
    /// The part, and the issue that asks for it.
    pub part: String,
    /// What of it is worked out.
    pub what: String,
    /// In which unit.
    pub unit: String,
    /// What it may be at most.
    pub budget: Formula,
    /// Each member knows all members.
    pub flat: Formula,
    /// Each member knows its zone, and one digest of each other zone.
    pub zones: Formula,
    /// What follows for the design.
    pub follows: String,
}

/// Attempts a hop.
#[derive(Debug, Clone)]
pub struct Hop {
    /// Where the factor comes from.
    pub what: String,
    /// Attempts that a hop makes of one.
    pub factor: Formula,
}

/// How much of the fleet an agent knows.
#[derive(Debug, Clone)]
pub struct Extent {
    /// The assumption that says it.
    pub assumption: String,
    /// What it is held against.
    pub values: Vec<Formula>,
}

/// A capacity file, checked: every name in it stands for something.
#[derive(Debug, Clone)]
pub struct Model {
    /// The file's name.
    pub file: String,
    /// What the operators plan.
    pub plan: BTreeMap<String, Given>,
    /// What the code bounds.
    pub bounds: BTreeMap<String, Given>,
    /// What nobody has told or measured.
    pub assumptions: BTreeMap<String, Given>,
    /// Names for formulas.
    pub derived: BTreeMap<String, Derived>,
    /// What was measured.
    pub slopes: BTreeMap<String, Slope>,
    /// What was not, and by which command it will be.
    pub not_measured: BTreeMap<String, String>,
    /// How much an agent knows.
    pub extent: Option<Extent>,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The planned parts.
    pub planned: Vec<Planned>,
    /// Factors of attempts.
    pub hops: Vec<Hop>,
    /// What is odd but no mistake, a line each.
    pub warnings: Vec<String>,
}

/// One table of the file; whatever is not taken from it is an unknown key.
struct Keys<'a> {
    /// `file: table.`, before the keys.
    at: String,
    table: &'a Table,
    known: Vec<&'static str>,
}

fn shown(value: &Value) -> String {
    let text = match value {
        Value::Table(_) => "a table".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        other => other.to_string(),
    };
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(120).collect()
}

impl<'a> Keys<'a> {
    fn of(at: String, value: &'a Value) -> Result<Self, String> {
        let Value::Table(table) = value else {
            return Err(format!("{at} is {}; a table was expected", shown(value)));
        };
        Ok(Keys { at: at + ".", table, known: Vec::new() })
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.table.get(key)
    }

    fn odd<T>(&self, key: &str, value: &Value, expected: &str) -> Result<T, String> {
        Err(format!("{}{key} is {}; {expected} was expected", self.at, shown(value)))
    }

    fn missing<T>(&self, key: &str, expected: &str) -> Result<T, String> {
        Err(format!("{}{key} is missing; {expected} was expected", self.at))
    }

    /// A text that may be left out.
    fn text_or_none(&mut self, key: &'static str) -> Result<String, String> {
        match self.get(key) {
            None => Ok(String::new()),
            Some(Value::String(text)) if !text.contains(['\n', '|']) => Ok(text.trim().to_owned()),
            Some(other) => self.odd(key, other, "a text of one line without |"),
        }
    }

    fn text(&mut self, key: &'static str) -> Result<String, String> {
        let text = self.text_or_none(key)?;
        if text.is_empty() {
            return self.missing(key, "a text");
        }
        Ok(text)
    }

    /// A finite number that may be left out.
    fn number_or_none(&mut self, key: &'static str) -> Result<Option<f64>, String> {
        match self.get(key) {
            None => Ok(None),
            Some(Value::Integer(value)) => Ok(Some(*value as f64)),
            Some(Value::Float(value)) if value.is_finite() => Ok(Some(*value)),
            Some(other) => self.odd(key, other, "a finite number"),
        }
    }

    fn number(&mut self, key: &'static str) -> Result<f64, String> {
        match self.number_or_none(key)? {
            Some(value) => Ok(value),
            None => self.missing(key, "a number"),
        }
    }

    fn not_negative(&mut self, key: &'static str) -> Result<f64, String> {
        let value = self.number(key)?;
        if value < 0.0 {
            return self.odd(key, &self.table[key], "0 or more");
        }
        Ok(value)
    }

    fn formula_or_none(&mut self, key: &'static str) -> Result<Option<Formula>, String> {
        let text = match self.get(key) {
            None => return Ok(None),
            Some(Value::String(text)) => text.trim().to_owned(),
            Some(Value::Integer(value)) => value.to_string(),
            Some(Value::Float(value)) if value.is_finite() => value.to_string(),
            Some(other) => return self.odd(key, other, "a formula"),
        };
        match Expr::read(&text) {
            Ok(expr) => Ok(Some(Formula { text, expr })),
            Err(why) => Err(format!("{}{key} is {text:?}: {why}", self.at)),
        }
    }

    fn formula(&mut self, key: &'static str) -> Result<Formula, String> {
        match self.formula_or_none(key)? {
            Some(formula) => Ok(formula),
            None => self.missing(key, "a formula"),
        }
    }

    fn end(self) -> Result<(), String> {
        match self.table.iter().find(|(key, _)| !self.known.contains(&key.as_str())) {
            None => Ok(()),
            Some((key, value)) => Err(format!(
                "{}{key} is {}; no such key is known, but {}",
                self.at,
                shown(value),
                self.known.join(", ")
            )),
        }
    }
}

/// A section that holds a table for each name.
fn section<'a>(file: &str, table: &'a Table, name: &str) -> Result<Vec<(String, String, &'a Value)>, String> {
    let Some(value) = table.get(name) else { return Ok(Vec::new()) };
    let Value::Table(entries) = value else {
        return Err(format!("{file}: {name} is {}; a section [{name}] was expected", shown(value)));
    };
    entries
        .iter()
        .map(|(key, value)| {
            let at = format!("{file}: {name}.{key}");
            let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
            if !key.starts_with(|c: char| c.is_ascii_lowercase()) || !key.chars().all(plain) {
                return Err(format!("{at}: a name of small letters, digits and _ was expected"));
            }
            Ok((key.clone(), at, value))
        })
        .collect()
}

/// An array of tables.
fn list<'a>(file: &str, table: &'a Table, name: &str) -> Result<Vec<(String, &'a Value)>, String> {
    let Some(value) = table.get(name) else { return Ok(Vec::new()) };
    let Value::Array(entries) = value else {
        return Err(format!("{file}: {name} is {}; tables [[{name}]] were expected", shown(value)));
    };
    Ok(entries.iter().enumerate().map(|(n, value)| (format!("{file}: {name} {}", n + 1), value)).collect())
}

const SECTIONS: [&str; 10] =
    ["plan", "bound", "assumption", "let", "slope", "not_measured", "extent", "figure", "planned", "hop"];

/// Reads a capacity file; the error is one line that names file, key and value.
pub fn read(file: &Path) -> Result<Model, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    parse(&name, &text)
}

/// Reads the text of a capacity file that is called `file`.
pub fn parse(file: &str, text: &str) -> Result<Model, String> {
    let table: Table = text.parse().map_err(|e: toml::de::Error| {
        let line = e.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        format!("{file}: line {line}: {}", e.message().replace('\n', " "))
    })?;
    if let Some((key, value)) = table.iter().find(|(key, _)| !SECTIONS.contains(&key.as_str())) {
        let known = SECTIONS.join(", ");
        return Err(format!("{file}: {key} is {}; no such section is known, but {known}", shown(value)));
    }
    let mut model = Model {
        file: file.to_owned(),
        plan: given(file, &table, "plan")?,
        bounds: given(file, &table, "bound")?,
        assumptions: given(file, &table, "assumption")?,
        derived: BTreeMap::new(),
        slopes: BTreeMap::new(),
        not_measured: BTreeMap::new(),
        extent: None,
        figures: Vec::new(),
        planned: Vec::new(),
        hops: Vec::new(),
        warnings: Vec::new(),
    };
    for (name, at, value) in section(file, &table, "let")? {
        let mut keys = Keys::of(at, value)?;
        let derived =
            Derived { formula: keys.formula("formula")?, unit: keys.text("unit")?, what: keys.text("what")? };
        keys.end()?;
        model.derived.insert(name, derived);
    }
    for (name, at, value) in section(file, &table, "slope")? {
        model.slopes.insert(name, slope(Keys::of(at, value)?)?);
    }
    for (name, at, value) in section(file, &table, "not_measured")? {
        let Value::String(by) = value else {
            return Err(format!(
                "{at} is {}; a text that says what will measure it was expected",
                shown(value)
            ));
        };
        model.not_measured.insert(name, by.clone());
    }
    if let Some(value) = table.get("extent") {
        model.extent = Some(extent(Keys::of(format!("{file}: extent"), value)?)?);
    }
    for (at, value) in list(file, &table, "figure")? {
        model.figures.push(figure(Keys::of(at, value)?)?);
    }
    for (at, value) in list(file, &table, "planned")? {
        let mut keys = Keys::of(at, value)?;
        let planned = Planned {
            part: keys.text("part")?,
            what: keys.text("what")?,
            unit: keys.text("unit")?,
            budget: keys.formula("budget")?,
            flat: keys.formula("flat")?,
            zones: keys.formula("zones")?,
            follows: keys.text("follows")?,
        };
        keys.end()?;
        model.planned.push(planned);
    }
    for (at, value) in list(file, &table, "hop")? {
        let mut keys = Keys::of(at, value)?;
        let hop = Hop { what: keys.text("what")?, factor: keys.formula("factor")? };
        keys.end()?;
        model.hops.push(hop);
    }
    model.check()?;
    Ok(model)
}

fn given(file: &str, table: &Table, kind: &str) -> Result<BTreeMap<String, Given>, String> {
    let mut all = BTreeMap::new();
    for (name, at, value) in section(file, table, kind)? {
        let mut keys = Keys::of(at, value)?;
        let (value, unit) = (keys.not_negative("value")?, keys.text("unit")?);
        let what = keys.text(if kind == "assumption" { "why" } else { "what" })?;
        let source = match kind {
            "bound" => Some((keys.text("file")?, keys.text("text")?)),
            _ => None,
        };
        let most = if kind == "assumption" { keys.formula_or_none("most")? } else { None };
        keys.end()?;
        all.insert(name, Given { value, unit, what, source, most });
    }
    Ok(all)
}

fn slope(mut keys: Keys) -> Result<Slope, String> {
    let (what, unit, per) = (keys.text("what")?, keys.text("unit")?, keys.text("per")?);
    let (at_zero, slope) = (keys.number("at_zero")?, keys.number("slope")?);
    let (low, high) = (keys.number_or_none("low")?, keys.number_or_none("high")?);
    let (from, to) = (keys.not_negative("from")?, keys.not_negative("to")?);
    let runs = match keys.get("runs") {
        Some(Value::Integer(runs)) if *runs >= 1 => *runs as u64,
        Some(other) => return keys.odd("runs", other, "a whole number, 1 or more"),
        None => return keys.missing("runs", "a whole number, 1 or more"),
    };
    let by = keys.text("by")?;
    let load = match keys.get("load") {
        Some(Value::Integer(_) | Value::Float(_)) => format!("load {}", keys.not_negative("load")?),
        _ => keys.text("load")?,
    };
    let (bends, note) = (keys.text_or_none("bends")?, keys.text_or_none("note")?);
    if from > to {
        return keys.odd("from", &keys.table["from"], &format!("no more than to, {to},"));
    }
    if to == 0.0 {
        return keys.odd("to", &keys.table["to"], "more than 0");
    }
    let interval = match (low, high) {
        (Some(low), Some(high)) if low > high => {
            return keys.odd("low", &keys.table["low"], &format!("no more than high, {high},"));
        }
        (Some(low), Some(high)) if !(low..=high).contains(&slope) => {
            let within = format!("a figure within its interval, {low} to {high},");
            return keys.odd("slope", &keys.table["slope"], &within);
        }
        (Some(low), Some(high)) => Some((low, high)),
        (None, None) if runs == 1 && slope < 0.0 => {
            return keys.odd("slope", &keys.table["slope"], "0 or more for a single play");
        }
        (None, None) if runs == 1 => None,
        (None, _) => return keys.missing("low", "the interval of what was run more than once"),
        (_, None) => return keys.missing("high", "the interval of what was run more than once"),
    };
    keys.end()?;
    Ok(Slope { what, unit, per, at_zero, slope, interval, from, to, runs, by, load, bends, note })
}

fn extent(mut keys: Keys) -> Result<Extent, String> {
    let assumption = keys.text("assumption")?;
    let mut values = Vec::new();
    match keys.get("values") {
        Some(Value::Array(all)) => {
            for value in all {
                let text = value.as_str().map(str::to_owned);
                let Some(text) = text.or_else(|| value.as_integer().map(|n| n.to_string())) else {
                    return keys.odd("values", value, "a formula");
                };
                let expr =
                    Expr::read(&text).map_err(|why| format!("{}values is {text:?}: {why}", keys.at))?;
                values.push(Formula { text, expr });
            }
        }
        Some(other) => return keys.odd("values", other, "an array of formulas"),
        None => return keys.missing("values", "an array of formulas"),
    }
    keys.end()?;
    Ok(Extent { assumption, values })
}

fn figure(mut keys: Keys) -> Result<Figure, String> {
    let (role, what, unit) = (keys.text("role")?, keys.text("what")?, keys.text("unit")?);
    if !ROLES.iter().any(|(known, _)| *known == role) {
        let known: Vec<&str> = ROLES.iter().map(|(known, _)| *known).collect();
        return keys.odd("role", &keys.table["role"], &format!("one of {}", known.join(", ")));
    }
    let budget = keys.formula_or_none("budget")?;
    let all = keys.formula_or_none("all")?;
    let mut states: [Option<Formula>; STATES.len()] = std::array::from_fn(|_| all.clone());
    let mut names = ["all"; STATES.len()];
    for (((key, _), state), name) in STATES.iter().zip(&mut states).zip(&mut names) {
        if let Some(own) = keys.formula_or_none(key)? {
            (*state, *name) = (Some(own), key);
        }
    }
    if states.iter().all(Option::is_none) {
        return keys.missing("all", "a formula for all states or for some");
    }
    let carried = keys.text("mechanism")?;
    let mut mechanism: [String; STATES.len()] = std::array::from_fn(|_| carried.clone());
    match keys.get("missing") {
        None => {}
        Some(Value::Array(named)) => {
            for state in named {
                let place = STATES.iter().position(|(key, _)| state.as_str() == Some(*key));
                let Some(place) = place else {
                    let known: Vec<&str> = STATES.iter().map(|(key, _)| *key).collect();
                    return keys.odd("missing", state, &format!("one of {}", known.join(", ")));
                };
                mechanism[place] = "missing".to_owned();
            }
        }
        Some(other) => return keys.odd("missing", other, "an array of states"),
    }
    let note = keys.text_or_none("note")?;
    keys.end()?;
    Ok(Figure { role, what, unit, budget, states, keys: names, mechanism, note })
}

impl Model {
    /// Every formula, and where it stands.
    fn formulas(&self) -> Vec<(String, &Formula)> {
        let file = &self.file;
        let mut all = Vec::new();
        for (name, given) in &self.assumptions {
            all.extend(given.most.iter().map(|f| (format!("{file}: assumption.{name}.most"), f)));
        }
        for (name, derived) in &self.derived {
            all.push((format!("{file}: let.{name}.formula"), &derived.formula));
        }
        if let Some(extent) = &self.extent {
            all.extend(extent.values.iter().map(|f| (format!("{file}: extent.values"), f)));
        }
        for (n, figure) in self.figures.iter().enumerate() {
            let at = format!("{file}: figure {} ({}: {})", n + 1, figure.role, figure.what);
            all.extend(figure.budget.iter().map(|f| (format!("{at}.budget"), f)));
            for (key, formula) in figure.keys.iter().zip(&figure.states) {
                all.extend(formula.iter().map(|f| (format!("{at}.{key}"), f)));
            }
        }
        for (n, planned) in self.planned.iter().enumerate() {
            let at = format!("{file}: planned {} ({}: {})", n + 1, planned.part, planned.what);
            let parts = [("budget", &planned.budget), ("flat", &planned.flat), ("zones", &planned.zones)];
            all.extend(parts.map(|(key, f)| (format!("{at}.{key}"), f)));
        }
        for (n, hop) in self.hops.iter().enumerate() {
            all.push((format!("{file}: hop {}.factor", n + 1), &hop.factor));
        }
        all
    }

    fn check(&mut self) -> Result<(), String> {
        let file = self.file.clone();
        let kinds: [(&str, Vec<&String>); 5] = [
            ("plan", self.plan.keys().collect()),
            ("bound", self.bounds.keys().collect()),
            ("assumption", self.assumptions.keys().collect()),
            ("let", self.derived.keys().collect()),
            ("slope", self.slopes.keys().chain(self.not_measured.keys()).collect()),
        ];
        let mut named: BTreeMap<&str, &str> = BTreeMap::new();
        for (kind, names) in &kinds {
            for name in names {
                match named.insert(name, kind) {
                    Some(other) if other != *kind => {
                        return Err(format!("{file}: {kind}.{name} is a name under {other} as well"));
                    }
                    _ if matches!(name.as_str(), "min" | "max") => {
                        return Err(format!("{file}: {kind}.{name} is the name of a function"));
                    }
                    _ => {}
                }
            }
        }
        let (mut used, mut cycles) = (BTreeSet::new(), Vec::new());
        for (at, formula) in self.formulas() {
            let (mut alone, mut called) = (BTreeSet::new(), BTreeSet::new());
            formula.expr.names(&mut alone, &mut called);
            for name in alone.iter().chain(&called) {
                let kind = named.get(name.as_str()).copied();
                if kind.is_none() {
                    let text = &formula.text;
                    let where_to = if called.contains(name) {
                        "a slope is entered under [slope], or under [not_measured] with what will measure it"
                    } else {
                        "a name under plan, bound, assumption, let or slope was expected"
                    };
                    return Err(format!("{at} is {text:?}: nothing is called {name}; {where_to}"));
                }
                if called.contains(name) && kind != Some("slope") {
                    let text = &formula.text;
                    return Err(format!(
                        "{at} is {text:?}: {name} is no slope that could be taken at a size"
                    ));
                }
            }
            if let Some(name) =
                at.strip_prefix(&format!("{file}: let.")).and_then(|n| n.strip_suffix(".formula"))
            {
                cycles.push((name.to_owned(), alone.clone(), called.clone()));
            }
            used.extend(alone);
            used.extend(called);
        }
        for (name, ..) in &cycles {
            if self.leads_to(name, name, &mut BTreeSet::new()) {
                return Err(format!("{file}: let.{name}.formula goes by itself"));
            }
        }
        if let Some(extent) = &self.extent {
            if !self.assumptions.contains_key(&extent.assumption) {
                let name = &extent.assumption;
                return Err(format!(
                    "{file}: extent.assumption is {name:?}; a name under assumption was expected"
                ));
            }
        }
        if !self.hops.is_empty() {
            let Some(depth) = self.plan.get(DEPTH).map(|depth| depth.value) else {
                return Err(format!("{file}: plan.{DEPTH} is missing; [[hop]] goes by it"));
            };
            if depth.fract() != 0.0 || depth > POWER_MOST {
                let most = format!("a whole number, {POWER_MOST} at most,");
                return Err(format!("{file}: plan.{DEPTH}.value is {depth}; {most} was expected"));
            }
        }
        used.insert(DEPTH.to_owned());
        for (kind, names) in &kinds {
            for name in names.iter().filter(|name| !used.contains(**name)) {
                match *kind {
                    "slope" => self.warnings.push(format!("{file}: slope.{name}: no line uses it")),
                    _ => return Err(format!("{file}: {kind}.{name}: no line uses it")),
                }
            }
        }
        for name in self.slopes.keys().filter(|name| self.not_measured.contains_key(*name)) {
            self.warnings.push(format!("{file}: not_measured.{name}: it is measured, take it off there"));
        }
        self.warnings.sort();
        self.warnings.dedup();
        Ok(())
    }

    /// Whether the formula called `from` goes by the one called `to`.
    fn leads_to(&self, from: &str, to: &str, seen: &mut BTreeSet<String>) -> bool {
        let Some(derived) = self.derived.get(from) else { return false };
        let (mut alone, mut called) = (BTreeSet::new(), BTreeSet::new());
        derived.formula.expr.names(&mut alone, &mut called);
        alone
            .into_iter()
            .any(|name| name == to || seen.insert(name.clone()) && self.leads_to(&name, to, seen))
    }
}
