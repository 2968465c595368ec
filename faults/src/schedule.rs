//! Parses a schedule. The crate documentation describes the syntax.

use crate::errno;
use libc::c_int;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The maximum number of rules in a schedule.
pub const MAX_RULES: usize = 64;
/// The bounds of `one-in`, `every`, `from` and `times`.
const COUNT_BOUNDS: RangeInclusive<u64> = 1..=1_000_000;
/// The bounds of `short`, in bytes.
const SHORT_BYTES_BOUNDS: RangeInclusive<u64> = 1..=1 << 20;
/// The bounds of `port`.
const PORT_BOUNDS: RangeInclusive<u64> = 1..=65_535;
/// The maximum of `delay`.
const MAX_DELAY: Duration = Duration::from_secs(10);
/// The maximum of `at`, `after` and `until`.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);
/// The maximum size of a clock step, in either direction.
const MAX_CLOCK_SHIFT: Duration = Duration::from_secs(366 * 24 * 60 * 60);

/// A group of system calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Accepts a connection.
    Accept,
    /// Opens a connection.
    Connect,
    /// Creates a socket.
    Socket,
    /// Reads from a connection or a file.
    Read,
    /// Reads from a connection and leaves the bytes there.
    Peek,
    /// Asks for the state of descriptors.
    Poll,
    /// Writes to a connection or a file.
    Write,
    /// Opens a file.
    Open,
    /// Flushes a file to disk.
    Sync,
    /// Renames a file.
    Rename,
}

impl Call {
    const NAMES: [(&str, Call); 10] = [
        ("accept", Call::Accept),
        ("connect", Call::Connect),
        ("socket", Call::Socket),
        ("read", Call::Read),
        ("peek", Call::Peek),
        ("poll", Call::Poll),
        ("write", Call::Write),
        ("open", Call::Open),
        ("sync", Call::Sync),
        ("rename", Call::Rename),
    ];

    fn parse(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(known, _)| *known == name).map(|(_, call)| *call)
    }

    fn is_transfer(self) -> bool {
        matches!(self, Call::Read | Call::Write)
    }

    fn requires_path(self) -> bool {
        matches!(self, Call::Open | Call::Sync | Call::Rename)
    }

    fn supports_port(self) -> bool {
        matches!(self, Call::Accept | Call::Connect | Call::Read | Call::Peek | Call::Poll | Call::Write)
    }

    fn supports_delay(self) -> bool {
        matches!(self, Call::Read | Call::Peek | Call::Poll | Call::Write)
    }

    fn supports_errors(self) -> bool {
        !matches!(self, Call::Peek | Call::Poll)
    }
}

/// What a rule does to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Fails with this `errno` value, without any other effect.
    Error(c_int),
    /// Transfers at most this many bytes.
    Short(usize),
    /// Is passed on after this time.
    Delay(Duration),
}

/// A fault and the conditions under which calls get it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// The groups of calls that the rule applies to.
    pub calls: Vec<Call>,
    /// The fault to inject.
    pub fault: Fault,
    /// The fault applies to one in `one_in` calls on average, chosen by a generator that is seeded with the schedule's
    /// seed.
    pub one_in: u64,
    /// The fault applies to every `every`th call.
    pub every: u64,
    /// The first call that may get the fault, counted from 1.
    pub from: u64,
    /// The maximum number of calls that get the fault.
    pub times: u64,
    /// When the rule starts to apply, since the start of the process; inclusive.
    pub after: Duration,
    /// When the rule stops applying, since the start of the process; exclusive.
    pub until: Duration,
    /// The port of the listener, or the remote port of the connection.
    pub port: Option<u16>,
    /// The prefix of the file paths; without it the rule applies to sockets.
    pub path: Option<String>,
}

/// A step of the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockStep {
    /// When the step takes effect, since the start of the process.
    pub at: Duration,
    /// The size of the step in milliseconds; negative moves the clock back.
    pub shift_ms: i64,
}

/// The rules and clock steps for a process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The seed for `one-in`.
    pub seed: u64,
    /// The rules, in the order in which they are evaluated.
    pub rules: Vec<Rule>,
    /// The steps of the wall clock.
    pub clock: Vec<ClockStep>,
}

/// An invalid schedule entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The text of the entry.
    pub entry: String,
    /// Why the entry is invalid.
    pub reason: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: {}", self.entry, self.reason)
    }
}

impl std::error::Error for ParseError {}

impl Schedule {
    /// Parses a schedule; the error names the first invalid entry.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut schedule = Schedule::default();
        for entry in text.split(';').map(str::trim).filter(|entry| !entry.is_empty()) {
            let words: Vec<&str> = entry.split_whitespace().collect();
            let result = schedule.parse_entry(&words);
            result.map_err(|reason| ParseError { entry: entry.to_owned(), reason })?;
        }
        Ok(schedule)
    }

    fn parse_entry(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            ["seed", seed] => {
                self.seed = seed.parse().map_err(|_| "the seed is not a whole number".to_owned())?
            }
            ["seed", ..] => return Err("expected `seed NUMBER`".to_owned()),
            ["clock", shift, rest @ ..] => self.clock.push(parse_clock_step(shift, rest)?),
            [calls, fault, conditions @ ..] => self.rules.push(parse_rule(calls, fault, conditions)?),
            _ => return Err("expected `seed NUMBER`, `clock SHIFT` or `CALLS FAULT`".to_owned()),
        }
        if self.rules.len() > MAX_RULES {
            return Err(format!("more than {MAX_RULES} rules"));
        }
        Ok(())
    }
}

fn parse_clock_step(shift: &str, rest: &[&str]) -> Result<ClockStep, String> {
    let at = match rest {
        [] => Duration::ZERO,
        [at] => match at.strip_prefix("at=") {
            Some(at) => parse_time(at, MAX_TIME)?,
            None => return Err(format!("expected `at=TIME`, found `{at}`")),
        },
        _ => return Err("expected `clock SHIFT [at=TIME]`".to_owned()),
    };
    let (sign, size) = match (shift.strip_prefix('+'), shift.strip_prefix('-')) {
        (Some(size), _) => (1, size),
        (_, Some(size)) => (-1, size),
        _ => return Err(format!("a shift must begin with + or -, found `{shift}`")),
    };
    let size = parse_time(size, MAX_CLOCK_SHIFT)?;
    Ok(ClockStep { at, shift_ms: sign * size.as_millis() as i64 })
}

fn parse_rule(calls: &str, fault: &str, conditions: &[&str]) -> Result<Rule, String> {
    let calls = calls
        .split(',')
        .map(|name| Call::parse(name).ok_or_else(|| format!("unknown call: `{name}`")))
        .collect::<Result<Vec<_>, _>>()?;
    let mut rule = Rule {
        calls,
        fault: parse_fault(fault)?,
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
            return Err(format!("duplicate condition `{name}`"));
        }
        seen.push(name);
        rule.set_condition(name, value)?;
    }
    rule.validate()?;
    Ok(rule)
}

impl Rule {
    fn set_condition(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            "one-in" => self.one_in = parse_number(value, COUNT_BOUNDS)?,
            "every" => self.every = parse_number(value, COUNT_BOUNDS)?,
            "from" => self.from = parse_number(value, COUNT_BOUNDS)?,
            "times" => self.times = parse_number(value, COUNT_BOUNDS)?,
            "after" => self.after = parse_time(value, MAX_TIME)?,
            "until" => self.until = parse_time(value, MAX_TIME)?,
            "port" => self.port = Some(parse_number(value, PORT_BOUNDS)? as u16),
            "path" if value.is_empty() => return Err("`path` is empty".to_owned()),
            "path" => self.path = Some(value.to_owned()),
            _ => return Err(format!("unknown condition: `{name}`")),
        }
        Ok(())
    }

    /// Rejects rules that could never apply, and combinations that would apply to other calls than the text suggests.
    fn validate(&self) -> Result<(), String> {
        let all = |test: fn(Call) -> bool| self.calls.iter().all(|call| test(*call));
        let any = |test: fn(Call) -> bool| self.calls.iter().any(|call| test(*call));
        if matches!(self.fault, Fault::Short(_)) && !all(Call::is_transfer) {
            return Err("`short` is valid with `read` and `write` only".to_owned());
        }
        if matches!(self.fault, Fault::Delay(_)) && !all(Call::supports_delay) {
            return Err("`delay` is valid with `read`, `peek`, `poll` and `write` only".to_owned());
        }
        if matches!(self.fault, Fault::Error(_)) && !all(Call::supports_errors) {
            return Err("`peek` and `poll` do not fail".to_owned());
        }
        if self.path.is_none() && any(Call::requires_path) {
            return Err("`open`, `sync` and `rename` require `path`".to_owned());
        }
        if self.path.is_some() && !all(|call| call.requires_path() || call.is_transfer()) {
            return Err("`path` is valid with `read`, `write`, `open`, `sync` and `rename` only".to_owned());
        }
        if self.port.is_some() && (self.path.is_some() || !all(Call::supports_port)) {
            return Err("`port` is valid with `accept`, `connect`, `read`, `peek`, `poll` and `write` only, without `path`"
                .to_owned());
        }
        if self.one_in > 1 && self.every > 1 {
            return Err("`one-in` and `every` are mutually exclusive".to_owned());
        }
        if self.after >= self.until {
            return Err("`until` must be later than `after`".to_owned());
        }
        Ok(())
    }
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    if let Some(time) = text.strip_prefix("delay=") {
        return Ok(Fault::Delay(parse_time(time, MAX_DELAY)?));
    }
    match text.strip_prefix("short=") {
        Some(bytes) => Ok(Fault::Short(parse_number(bytes, SHORT_BYTES_BOUNDS)? as usize)),
        None => errno::from_name(text).map(Fault::Error).ok_or_else(|| format!("unknown fault: `{text}`")),
    }
}

fn parse_number(text: &str, bounds: RangeInclusive<u64>) -> Result<u64, String> {
    let number = text.parse().ok().filter(|number| bounds.contains(number));
    number.ok_or_else(|| {
        format!("expected a whole number from {} to {}, found `{text}`", bounds.start(), bounds.end())
    })
}

fn parse_time(text: &str, max: Duration) -> Result<Duration, String> {
    let (digits, unit) = text.split_at(text.trim_end_matches(|c: char| c.is_ascii_alphabetic()).len());
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1000,
        _ => return Err(format!("expected a whole number and `ms` or `s`, found `{text}`")),
    };
    let max_units = max.as_millis() as u64 / unit_ms;
    Ok(Duration::from_millis(parse_number(digits, 0..=max_units)? * unit_ms))
}

#[cfg(test)]
mod tests;
