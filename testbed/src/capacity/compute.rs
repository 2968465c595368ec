//! Works formulas out at the planned size: the figure, its interval, the slopes it rests on and how far beyond their
//! range it takes them.

use super::formula::Names;
use super::input::{Figure, Formula, Model, STATES};
use std::collections::{BTreeMap, BTreeSet};

/// More slopes with intervals than this in one formula have no interval worked out: each doubles the work.
const INTERVALS_MOST: usize = 10;

/// A slope as a formula takes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Taken {
    /// Its name.
    pub slope: String,
    /// The size at which; none where it is taken for each unit.
    pub at: Option<f64>,
}

/// What a formula comes to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Worked {
    /// The figure; none if a slope that it needs was not measured.
    pub value: Option<f64>,
    /// The least and the most that the slopes' intervals leave; none without a slope that has one.
    pub interval: Option<(f64, f64)>,
    /// The slopes it rests on.
    pub taken: Vec<Taken>,
    /// The slopes it lacks.
    pub lacks: BTreeSet<String>,
}

/// How a figure stands to its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A slope was not measured.
    Unknown,
    /// It comes to less than nothing: its slopes do not hold at this size.
    Senseless,
    /// Nothing bounds it.
    Unbounded,
    /// It is within the budget, and so is all of its interval.
    Holds,
    /// The budget lies within its interval.
    Straddles,
    /// It is over the budget, and so is all of its interval.
    Fails,
}

impl Verdict {
    /// In a word.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Unknown => "not measured",
            Verdict::Senseless => "under zero",
            Verdict::Unbounded => "no budget",
            Verdict::Holds => "holds",
            Verdict::Straddles => "straddles",
            Verdict::Fails => "fails",
        }
    }
}

/// A figure beside its budget.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// What its formula comes to.
    pub worked: Worked,
    /// What it may be at most.
    pub budget: Option<f64>,
    /// How it stands.
    pub verdict: Verdict,
}

impl Line {
    /// The share of the budget.
    pub fn share(&self) -> Option<f64> {
        Some(self.worked.value? / self.budget?)
    }
}

/// A figure in the states that share a formula and a mechanism.
#[derive(Debug, Clone)]
pub struct Row<'a> {
    /// The figure.
    pub figure: &'a Figure,
    /// Its states, as places in [`STATES`].
    pub states: Vec<usize>,
    /// The formula.
    pub formula: &'a Formula,
    /// What it comes to.
    pub line: Line,
}

impl Row<'_> {
    /// The file that carries it, or "missing".
    pub fn mechanism(&self) -> &str {
        &self.figure.mechanism[self.states[0]]
    }

    /// The states' keys.
    pub fn state_keys(&self) -> String {
        if self.states.len() == STATES.len() {
            return "all".to_owned();
        }
        let keys: Vec<&str> = self.states.iter().map(|state| STATES[*state].0).collect();
        keys.join(", ")
    }
}

/// The model, with one assumption taken otherwise if need be.
#[derive(Clone, Copy)]
pub struct World<'a> {
    /// The model.
    pub model: &'a Model,
    /// An assumption and the value it is taken at instead.
    pub instead: Option<(&'a str, f64)>,
}

struct Look<'a> {
    world: World<'a>,
    /// Slopes whose growth is taken at one end of the interval.
    ends: BTreeMap<&'a str, f64>,
    taken: Vec<Taken>,
    lacks: BTreeSet<String>,
}

impl Look<'_> {
    /// The start and the growth of a slope that a formula takes there.
    fn line(&mut self, name: &str, at: Option<f64>) -> Option<(f64, f64)> {
        let Some(slope) = self.world.model.slopes.get(name) else {
            self.lacks.insert(name.to_owned());
            return None;
        };
        let taken = Taken { slope: name.to_owned(), at };
        if !self.taken.contains(&taken) {
            self.taken.push(taken);
        }
        Some((slope.at_zero, self.ends.get(name).copied().unwrap_or(slope.slope)))
    }
}

impl Names for Look<'_> {
    fn figure(&mut self, name: &str, power: Option<f64>) -> Result<Option<f64>, String> {
        let model = self.world.model;
        if let Some((_, value)) = self.world.instead.filter(|(instead, _)| *instead == name) {
            return Ok(Some(value));
        }
        let given = [&model.plan, &model.bounds, &model.assumptions].into_iter().find_map(|g| g.get(name));
        if let Some(given) = given {
            return Ok(Some(given.value));
        }
        match model.derived.get(name) {
            Some(derived) => derived.formula.expr.eval(self),
            None => Ok(self.line(name, power).map(|(_, growth)| growth)),
        }
    }

    fn slope(&mut self, name: &str, x: f64) -> Result<Option<f64>, String> {
        Ok(self.line(name, Some(x)).map(|(at_zero, growth)| at_zero + growth * x))
    }
}

impl<'a> World<'a> {
    /// The model as it stands.
    pub fn of(model: &'a Model) -> Self {
        World { model, instead: None }
    }

    /// Works a formula out. Its interval takes each slope's growth at either end, in every combination.
    pub fn work(&self, formula: &Formula) -> Result<Worked, String> {
        let look = |ends| {
            let mut look = Look { world: *self, ends, taken: Vec::new(), lacks: BTreeSet::new() };
            let odd = |why: String| format!("{}: {:?}: {why}", self.model.file, formula.text);
            let value = formula.expr.eval(&mut look).map_err(odd)?;
            match value {
                Some(value) if !value.is_finite() => Err(odd(format!("comes to {value}, no finite figure"))),
                value => Ok((value, look)),
            }
        };
        let (value, Look { taken, lacks, .. }) = look(BTreeMap::new())?;
        let mut spread: Vec<(&str, (f64, f64))> = Vec::new();
        for taken in &taken {
            let slope = self.model.slopes.get_key_value(&taken.slope);
            let spreads = slope.and_then(|(name, slope)| Some((name.as_str(), slope.interval?)));
            spread.extend(spreads.filter(|(name, _)| spread.iter().all(|(other, _)| other != name)));
        }
        let mut interval = None;
        if value.is_some() && !spread.is_empty() && spread.len() <= INTERVALS_MOST {
            for corner in 0..1_u32 << spread.len() {
                let end = |(n, (name, (low, high))): (usize, &(&'a str, (f64, f64)))| {
                    (*name, if corner >> n & 1 == 0 { *low } else { *high })
                };
                let (at, _) = look(spread.iter().enumerate().map(end).collect())?;
                if let Some(at) = at {
                    let (low, high) = interval.unwrap_or((at, at));
                    interval = Some((f64::min(low, at), f64::max(high, at)));
                }
            }
        }
        Ok(Worked { value, interval, taken, lacks })
    }

    /// Works a formula out beside its budget.
    pub fn line(&self, formula: &Formula, budget: Option<&Formula>) -> Result<Line, String> {
        let worked = self.work(formula)?;
        let budget = match budget {
            None => None,
            Some(budget) => match self.work(budget)?.value {
                Some(most) if most > 0.0 => Some(most),
                most => {
                    let (file, text) = (&self.model.file, &budget.text);
                    let is = most.map_or("not measured".to_owned(), |most| most.to_string());
                    return Err(format!("{file}: the budget {text:?} is {is}; more than 0 was expected"));
                }
            },
        };
        let verdict = match (worked.value, budget) {
            (None, _) => Verdict::Unknown,
            (Some(value), _) if value < 0.0 => Verdict::Senseless,
            (_, None) => Verdict::Unbounded,
            (Some(value), Some(most)) => {
                let (low, high) = worked.interval.unwrap_or((value, value));
                match () {
                    () if high <= most => Verdict::Holds,
                    () if low > most => Verdict::Fails,
                    () => Verdict::Straddles,
                }
            }
        };
        Ok(Line { worked, budget, verdict })
    }

    /// All figures, those of one formula and one mechanism together.
    pub fn rows(&self) -> Result<Vec<Row<'a>>, String> {
        let mut rows: Vec<Row> = Vec::new();
        for figure in &self.model.figures {
            let first = rows.len();
            for (state, formula) in figure.states.iter().enumerate() {
                let Some(formula) = formula else { continue };
                let same = |row: &&mut Row| {
                    row.formula.text == formula.text && *row.mechanism() == figure.mechanism[state]
                };
                match rows[first..].iter_mut().find(same) {
                    Some(row) => row.states.push(state),
                    None => {
                        let line = self.line(formula, figure.budget.as_ref())?;
                        rows.push(Row { figure, states: vec![state], formula, line });
                    }
                }
            }
        }
        Ok(rows)
    }
}

/// An assumption taken three and a third times as large, though no larger than it can be, or that much smaller.
pub fn wrong_by(model: &Model, name: &str, larger: bool) -> Result<f64, String> {
    let given = &model.assumptions[name];
    if !larger {
        return Ok(given.value * 3.0 / 10.0);
    }
    let most = given.most.as_ref().map(|most| World::of(model).work(most)).transpose()?;
    let most = most.and_then(|most| most.value).unwrap_or(f64::INFINITY);
    Ok((given.value * 10.0 / 3.0).min(most.max(given.value)))
}
