//! The formulas of the capacity file: numbers (`29_000`, `1e-6`), names, `+ - * / ^`, parentheses, `min(a, b)`,
//! `max(a, b)`, and `slope(x)` for a measured slope at `x`.

use std::collections::BTreeSet;
use std::iter::Peekable;
use std::str::Chars;

/// No formula is longer, which also bounds how deep one can nest.
const LONGEST: usize = 400;
/// A power is worked out by as many multiplications, so that its last bit is the same on every machine.
pub const POWER_MOST: f64 = 1000.0;

/// A formula as read.
#[derive(Debug, Clone, PartialEq)]
pub enum Expr {
    /// A number.
    Number(f64),
    /// A named figure; a slope's name alone is its growth for each unit.
    Name(String),
    /// A function or a slope, and what it is called with.
    Call(String, Vec<Expr>),
    /// Two parts and the sign between them.
    Binary(char, Box<Expr>, Box<Expr>),
}

/// What stands behind the names. `Ok(None)` is a figure that nobody has measured.
pub trait Names {
    /// The figure of this name; `power` is the exponent if it is raised to one.
    fn figure(&mut self, name: &str, power: Option<f64>) -> Result<Option<f64>, String>;
    /// The slope of this name at `x`.
    fn slope(&mut self, name: &str, x: f64) -> Result<Option<f64>, String>;
}

impl Expr {
    /// Reads a formula; the error is for a person.
    pub fn read(text: &str) -> Result<Expr, String> {
        if text.len() > LONGEST {
            return Err(format!("over {LONGEST} characters"));
        }
        let mut reader = Reader { rest: text.chars().peekable() };
        let expr = reader.sum()?;
        match reader.next() {
            None => Ok(expr),
            Some(c) => Err(format!("{c:?} is not expected there")),
        }
    }

    /// The names in it, those of functions left out: alone, and called.
    pub fn names(&self, alone: &mut BTreeSet<String>, called: &mut BTreeSet<String>) {
        match self {
            Expr::Number(_) => {}
            Expr::Name(name) => {
                alone.insert(name.clone());
            }
            Expr::Call(name, with) => {
                if !matches!(name.as_str(), "min" | "max") {
                    called.insert(name.clone());
                }
                with.iter().for_each(|part| part.names(alone, called));
            }
            Expr::Binary(_, a, b) => {
                a.names(alone, called);
                b.names(alone, called);
            }
        }
    }

    /// Its figure; `None` if a part of it has not been measured. All parts are looked at all the same.
    pub fn eval(&self, names: &mut dyn Names) -> Result<Option<f64>, String> {
        match self {
            Expr::Number(value) => Ok(Some(*value)),
            Expr::Name(name) => names.figure(name, None),
            Expr::Call(name, with) => {
                let with = with.iter().map(|part| part.eval(names)).collect::<Result<Vec<_>, _>>()?;
                match (name.as_str(), with.as_slice()) {
                    ("min", [Some(a), Some(b)]) => Ok(Some(a.min(*b))),
                    ("max", [Some(a), Some(b)]) => Ok(Some(a.max(*b))),
                    ("min" | "max", [_, _]) => Ok(None),
                    ("min" | "max", _) => Err(format!("{name} takes two figures")),
                    (_, [Some(x)]) => names.slope(name, *x),
                    (_, [None]) => Ok(None),
                    _ => Err(format!("{name} takes one figure")),
                }
            }
            Expr::Binary('^', a, b) => {
                let power = b.eval(names)?;
                let base = match &**a {
                    Expr::Name(name) => names.figure(name, power)?,
                    other => other.eval(names)?,
                };
                let (Some(base), Some(power)) = (base, power) else { return Ok(None) };
                if power.fract() != 0.0 || !(0.0..=POWER_MOST).contains(&power) {
                    return Err(format!("the power {power} is no whole number from 0 to {POWER_MOST}"));
                }
                Ok(Some((0..power as u32).fold(1.0, |all, _| all * base)))
            }
            Expr::Binary(sign, a, b) => {
                let (a, b) = (a.eval(names)?, b.eval(names)?);
                let (Some(a), Some(b)) = (a, b) else { return Ok(None) };
                Ok(Some(match sign {
                    '+' => a + b,
                    '-' => a - b,
                    '*' => a * b,
                    _ => a / b,
                }))
            }
        }
    }
}

struct Reader<'a> {
    rest: Peekable<Chars<'a>>,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<char> {
        while self.rest.next_if(|c| c.is_whitespace()).is_some() {}
        self.rest.peek().copied()
    }

    fn next(&mut self) -> Option<char> {
        self.peek();
        self.rest.next()
    }

    fn wants(&mut self, wanted: char) -> Result<(), String> {
        match self.next() {
            Some(c) if c == wanted => Ok(()),
            Some(c) => Err(format!("{c:?} stands where {wanted:?} was expected")),
            None => Err(format!("it ends where {wanted:?} was expected")),
        }
    }

    fn chain(&mut self, signs: &[char], part: fn(&mut Self) -> Result<Expr, String>) -> Result<Expr, String> {
        let mut all = part(self)?;
        while let Some(sign) = self.peek().filter(|c| signs.contains(c)) {
            self.next();
            all = Expr::Binary(sign, Box::new(all), Box::new(part(self)?));
        }
        Ok(all)
    }

    fn sum(&mut self) -> Result<Expr, String> {
        self.chain(&['+', '-'], Self::product)
    }

    fn product(&mut self) -> Result<Expr, String> {
        self.chain(&['*', '/'], Self::power)
    }

    fn power(&mut self) -> Result<Expr, String> {
        self.chain(&['^'], Self::part)
    }

    fn part(&mut self) -> Result<Expr, String> {
        match self.peek() {
            Some('(') => {
                self.next();
                let inner = self.sum()?;
                self.wants(')')?;
                Ok(inner)
            }
            Some(c) if c.is_ascii_digit() || c == '.' => {
                let mut text = self.run(|c| c.is_ascii_digit() || matches!(c, '.' | '_'));
                if self.rest.next_if(|c| *c == 'e').is_some() {
                    let sign = self.rest.next_if(|c| *c == '-').map_or("", |_| "-");
                    text += &format!("e{sign}{}", self.run(|c| c.is_ascii_digit()));
                }
                let number = text.replace('_', "").parse().map_err(|_| format!("{text} is no number"))?;
                Ok(Expr::Number(number))
            }
            Some(c) if c.is_ascii_lowercase() => {
                let name = self.run(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
                if self.peek() != Some('(') {
                    return Ok(Expr::Name(name));
                }
                self.next();
                let mut with = vec![self.sum()?];
                while self.peek() == Some(',') {
                    self.next();
                    with.push(self.sum()?);
                }
                self.wants(')')?;
                Ok(Expr::Call(name, with))
            }
            Some(c) => Err(format!("{c:?} stands where a number or a name was expected")),
            None => Err("it ends where a number or a name was expected".to_owned()),
        }
    }

    fn run(&mut self, of: fn(char) -> bool) -> String {
        std::iter::from_fn(|| self.rest.next_if(|c| of(*c))).collect()
    }
}

#[cfg(test)]
mod tests;
