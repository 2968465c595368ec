//! Reads a schedule from its text. The grammar is described at the crate.

use crate::errno;
use libc::c_int;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The most rules of a schedule.
pub const RULES_MOST: usize = 64;
/// The bounds of `one-in`, `every`, `from` and `times`.
const COUNT: RangeInclusive<u64> = 1..=1_000_000;
/// The bounds of `short`, in bytes.
const SHORT: RangeInclusive<u64> = 1..=1 << 20;
/// The bounds of `port`.
const PORT: RangeInclusive<u64> = 1..=65_535;
/// The latest `at`, `after` and `until`.
const TIME_MOST: Duration = Duration::from_secs(24 * 60 * 60);
/// The widest step of the clock.
const SHIFT_MOST: Duration = Duration::from_secs(366 * 24 * 60 * 60);

/// A group of system calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Takes a connection from a listener.
    Accept,
    /// Opens a connection.
    Connect,
    /// Creates a socket.
    Socket,
    /// Reads from a connection or a file.
    Read,
    /// Writes to a connection or a file.
    Write,
    /// Opens a file.
    Open,
    /// Writes a file through to its disk.
    Sync,
    /// Renames a file.
    Rename,
}

impl Call {
    const NAMES: [(&str, Call); 8] = [
        ("accept", Call::Accept),
        ("connect", Call::Connect),
        ("socket", Call::Socket),
        ("read", Call::Read),
        ("write", Call::Write),
        ("open", Call::Open),
        ("sync", Call::Sync),
        ("rename", Call::Rename),
    ];

    fn parse(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(known, _)| *known == name).map(|(_, call)| *call)
    }

    fn transfers(self) -> bool {
        matches!(self, Call::Read | Call::Write)
    }

    fn needs_path(self) -> bool {
        matches!(self, Call::Open | Call::Sync | Call::Rename)
    }

    fn has_port(self) -> bool {
        matches!(self, Call::Accept | Call::Connect | Call::Read | Call::Write)
    }
}

/// What a call meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this error number and does nothing else.
    Error(c_int),
    /// It transfers at most so many bytes.
    Short(usize),
}

/// Which calls meet a fault, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The calls that it concerns.
    pub calls: Vec<Call>,
    /// What these meet.
    pub fault: Fault,
    /// One in so many calls, drawn from the seed.
    pub one_in: u64,
    /// Every so many calls.
    pub every: u64,
    /// The first call that may meet the fault, counted from 1.
    pub from: u64,
    /// The most calls that meet the fault.
    pub times: u64,
    /// The begin of the rule, counted from the start of the process.
    pub after: Duration,
    /// The end of the rule, counted from the start of the process.
    pub until: Duration,
    /// The port of the listener, or the remote port of the connection.
    pub port: Option<u16>,
    /// What the names of files begin with; without it the rule concerns sockets.
    pub path: Option<String>,
}

/// A step of the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockStep {
    /// When it happens, counted from the start of the process.
    pub at: Duration,
    /// By how many milliseconds the clock moves on; back if negative.
    pub shift_ms: i64,
}

/// All faults of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Where the draws begin.
    pub seed: u64,
    /// The rules, in the order in which they are tried.
    pub rules: Vec<Rule>,
    /// The steps of the wall clock.
    pub clock: Vec<ClockStep>,
}

/// Why a schedule cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// The entry that is wrong.
    pub entry: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}", self.entry, self.why)
    }
}

impl std::error::Error for Unreadable {}

impl Schedule {
    /// Reads a schedule; the error names the first entry that is wrong.
    pub fn parse(text: &str) -> Result<Self, Unreadable> {
        let mut schedule = Schedule::default();
        for entry in text.split(';').map(str::trim).filter(|entry| !entry.is_empty()) {
            let words: Vec<&str> = entry.split_whitespace().collect();
            let read = schedule.add(&words);
            read.map_err(|why| Unreadable { entry: entry.to_owned(), why })?;
        }
        Ok(schedule)
    }

    fn add(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            ["seed", seed] => {
                self.seed = seed.parse().map_err(|_| "the seed is no whole number".to_owned())?
            }
            ["seed", ..] => return Err("expected `seed NUMBER`".to_owned()),
            ["clock", shift, rest @ ..] => self.clock.push(clock_step(shift, rest)?),
            [calls, fault, conditions @ ..] => self.rules.push(rule(calls, fault, conditions)?),
            _ => return Err("expected `seed NUMBER`, `clock SHIFT` or `CALLS FAULT`".to_owned()),
        }
        if self.rules.len() > RULES_MOST {
            return Err(format!("more than {RULES_MOST} rules"));
        }
        Ok(())
    }
}

fn clock_step(shift: &str, rest: &[&str]) -> Result<ClockStep, String> {
    let at = match rest {
        [] => Duration::ZERO,
        [at] => match at.strip_prefix("at=") {
            Some(at) => time(at, TIME_MOST)?,
            None => return Err(format!("expected `at=TIME`, found `{at}`")),
        },
        _ => return Err("expected `clock SHIFT [at=TIME]`".to_owned()),
    };
    let (sign, size) = match (shift.strip_prefix('+'), shift.strip_prefix('-')) {
        (Some(size), _) => (1, size),
        (_, Some(size)) => (-1, size),
        _ => return Err(format!("a shift begins with + or -, found `{shift}`")),
    };
    let size = time(size, SHIFT_MOST)?;
    Ok(ClockStep { at, shift_ms: sign * size.as_millis() as i64 })
}

fn rule(calls: &str, fault: &str, conditions: &[&str]) -> Result<Rule, String> {
    let calls = calls
        .split(',')
        .map(|name| Call::parse(name).ok_or_else(|| format!("no such call: `{name}`")))
        .collect::<Result<Vec<_>, _>>()?;
    let mut rule = Rule {
        calls,
        fault: fault_of(fault)?,
        one_in: 1,
        every: 1,
        from: 1,
        times: u64::MAX,
        after: Duration::ZERO,
        until: Duration::MAX,
        port: None,
        path: None,
    };
    let mut seen: Vec<&str> = Vec::new();
    for condition in conditions {
        let (name, value) =
            condition.split_once('=').ok_or_else(|| format!("expected `NAME=VALUE`, found `{condition}`"))?;
        if seen.contains(&name) {
            return Err(format!("`{name}` is given twice"));
        }
        seen.push(name);
        rule.limit(name, value)?;
    }
    rule.check()?;
    Ok(rule)
}

impl Rule {
    fn limit(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            "one-in" => self.one_in = number(value, COUNT)?,
            "every" => self.every = number(value, COUNT)?,
            "from" => self.from = number(value, COUNT)?,
            "times" => self.times = number(value, COUNT)?,
            "after" => self.after = time(value, TIME_MOST)?,
            "until" => self.until = time(value, TIME_MOST)?,
            "port" => self.port = Some(number(value, PORT)? as u16),
            "path" if value.is_empty() => return Err("`path` is empty".to_owned()),
            "path" => self.path = Some(value.to_owned()),
            _ => return Err(format!("no such condition: `{name}`")),
        }
        Ok(())
    }

    /// Refuses what could never strike, or would strike something else than it seems to.
    fn check(&self) -> Result<(), String> {
        let all = |test: fn(Call) -> bool| self.calls.iter().all(|call| test(*call));
        let any = |test: fn(Call) -> bool| self.calls.iter().any(|call| test(*call));
        if matches!(self.fault, Fault::Short(_)) && !all(Call::transfers) {
            return Err("`short` goes with `read` and `write` alone".to_owned());
        }
        if self.path.is_none() && any(Call::needs_path) {
            return Err("`open`, `sync` and `rename` need `path`".to_owned());
        }
        if self.path.is_some() && !all(|call| call.needs_path() || call.transfers()) {
            return Err("`path` goes with `read`, `write`, `open`, `sync` and `rename` alone".to_owned());
        }
        if self.port.is_some() && (self.path.is_some() || !all(Call::has_port)) {
            return Err(
                "`port` goes with `accept`, `connect`, `read` and `write` alone, without `path`".to_owned()
            );
        }
        if self.one_in > 1 && self.every > 1 {
            return Err("`one-in` and `every` exclude each other".to_owned());
        }
        if self.after >= self.until {
            return Err("`until` is not past `after`".to_owned());
        }
        Ok(())
    }
}

fn fault_of(text: &str) -> Result<Fault, String> {
    match text.strip_prefix("short=") {
        Some(bytes) => Ok(Fault::Short(number(bytes, SHORT)? as usize)),
        None => errno::number(text).map(Fault::Error).ok_or_else(|| format!("no such fault: `{text}`")),
    }
}

fn number(text: &str, bounds: RangeInclusive<u64>) -> Result<u64, String> {
    let number = text.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| {
        format!("expected a whole number from {} to {}, found `{text}`", bounds.start(), bounds.end())
    })
}

fn time(text: &str, most: Duration) -> Result<Duration, String> {
    let (digits, unit) = text.split_at(text.trim_end_matches(|c: char| c.is_ascii_alphabetic()).len());
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1000,
        _ => return Err(format!("expected a whole number and `ms` or `s`, found `{text}`")),
    };
    let most_units = most.as_millis() as u64 / unit_ms;
    Ok(Duration::from_millis(number(digits, 0..=most_units)? * unit_ms))
}

#[cfg(test)]
mod tests;
