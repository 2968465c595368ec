//! The fleet file, which `PROXY_FLEET` names: TOML, read strictly. Without one an agent is alone.
//!
//! Each error is one line that names file, key and value. A file is taken whole or not at all.

use balancer_settings::Names;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::{Table, Value};

/// The longest file that is read, in bytes.
const FILE_MOST: u64 = 1 << 20;
/// Seeds, regions and zones of a region are at most so many.
const ITEMS_MOST: usize = 256;
/// The longest name, in bytes.
const NAME_MOST: usize = 64;
/// What others said holds for this long where the file is silent, and the bounds of it, in milliseconds.
const STALE_AFTER_MS: i64 = 2000;
const STALE_MS: std::ops::RangeInclusive<i64> = 100..=60_000;
/// No fleet serves more requests a second.
const LIMIT_MOST: f64 = 1e9;

/// How this agent finds the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The fleet's name; processes of another fleet are not heard.
    pub name: String,
    /// Where the others reach this agent.
    pub listen: SocketAddr,
    /// Where it reaches some of them at first.
    pub seeds: Vec<SocketAddr>,
    /// The folder of what outlives a restart.
    pub state: Option<PathBuf>,
}

/// What the fleet file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Where it was read.
    pub file: PathBuf,
    /// `[fleet]`; without it nothing listens for other agents or sends to them.
    pub membership: Option<Membership>,
    /// `[regions]`: the zones of each. Without any, all zones are one region.
    pub regions: BTreeMap<String, Vec<String>>,
    /// `[shared] stale_after_ms`: past this age, what others said is no value.
    pub stale_after: Duration,
    /// `[limits.classes]`: requests a second for the whole fleet.
    pub class_limits: BTreeMap<String, f64>,
    /// `[limits.tenants]`: the same for tenants.
    pub tenant_limits: BTreeMap<String, f64>,
}

impl Fleet {
    /// Reads the file; classes and tenants are those of these names.
    pub fn read(file: &Path, names: &Names) -> Result<Self, String> {
        let at = |why: String| format!("{}: {why}", file.display());
        let length = std::fs::metadata(file).map_err(|e| at(e.to_string()))?.len();
        if length > FILE_MOST {
            return Err(at(format!("{length} bytes; a fleet file has at most {FILE_MOST}")));
        }
        let text = std::fs::read(file).map_err(|e| at(e.to_string()))?;
        let text = String::from_utf8(text).map_err(|e| at(format!("no text: {e}")))?;
        Self::parse(&text, names).map(|fleet| Fleet { file: file.to_owned(), ..fleet }).map_err(at)
    }

    fn parse(text: &str, names: &Names) -> Result<Self, String> {
        if !text.is_empty() && !text.ends_with('\n') {
            return Err("the last line has no end: it may not be written whole".into());
        }
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let line = line.map_or(String::new(), |line| format!("line {line}: "));
            format!("{line}{}", e.message().replace('\n', " "))
        })?;
        let mut whole = Section { path: String::new(), table };
        let membership = whole.section("fleet")?.map(membership).transpose()?;
        let regions = whole.section("regions")?.map_or(Ok(BTreeMap::new()), regions)?;
        let stale_after = whole.section("shared")?.map_or(Ok(STALE_AFTER_MS), |mut shared| {
            let ms = shared.take("stale_after_ms");
            shared.end(&["stale_after_ms"])?;
            match ms {
                None => Ok(STALE_AFTER_MS),
                Some(Value::Integer(ms)) if STALE_MS.contains(&ms) => Ok(ms),
                Some(other) => Err(shared.wrong(
                    "stale_after_ms",
                    &other,
                    &format!("whole milliseconds from {} to {}", STALE_MS.start(), STALE_MS.end()),
                )),
            }
        })?;
        let (mut class_limits, mut tenant_limits) = Default::default();
        if let Some(mut limits) = whole.section("limits")? {
            class_limits =
                limits.section("classes")?.map_or(Ok(BTreeMap::new()), |s| rates(s, &names.classes))?;
            tenant_limits =
                limits.section("tenants")?.map_or(Ok(BTreeMap::new()), |s| rates(s, &names.tenants))?;
            limits.end(&["classes", "tenants"])?;
        }
        whole.end(&["fleet", "regions", "shared", "limits"])?;
        let stale_after = Duration::from_millis(stale_after as u64);
        Ok(Fleet { file: PathBuf::new(), membership, regions, stale_after, class_limits, tenant_limits })
    }

    /// What a running agent changes to take `new` instead, a few words for each; or why it cannot.
    pub fn changes(&self, new: &Fleet) -> Result<Vec<String>, String> {
        let mut changes = Vec::new();
        match (&self.membership, &new.membership) {
            (None, None) => {}
            (Some(own), Some(new)) => {
                let fixed = [
                    ("name", own.name.clone(), new.name.clone()),
                    ("listen", own.listen.to_string(), new.listen.to_string()),
                    ("state", format!("{:?}", own.state), format!("{:?}", new.state)),
                ];
                for (key, own, new) in fixed {
                    if own != new {
                        return Err(format!(
                            "fleet.{key} changes from {own} to {new}; that takes a new process"
                        ));
                    }
                }
                if own.seeds != new.seeds {
                    changes.push(format!("fleet.seeds from {:?} to {:?}", own.seeds, new.seeds));
                }
            }
            (own, _) => {
                let what = if own.is_some() { "goes" } else { "comes" };
                return Err(format!("[fleet] {what}; that takes a new process"));
            }
        }
        differences("regions", &self.regions, &new.regions, &mut changes);
        if self.stale_after != new.stale_after {
            changes.push(format!("shared.stale_after_ms to {}", new.stale_after.as_millis()));
        }
        differences("limits.classes", &self.class_limits, &new.class_limits, &mut changes);
        differences("limits.tenants", &self.tenant_limits, &new.tenant_limits, &mut changes);
        Ok(changes)
    }

    /// What it says, in lines for a person.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = match &self.membership {
            None => writeln!(text, "  no [fleet]: talks to no other agent"),
            Some(Membership { name, listen, seeds, state }) => writeln!(
                text,
                "  fleet {name}, other agents reach this one at {listen}, {} seeds, state {}",
                seeds.len(),
                state.as_ref().map_or("not kept".into(), |state| format!("in {}", state.display())),
            ),
        };
        for (region, zones) in &self.regions {
            let _ = writeln!(text, "  region {region}: {}", zones.join(", "));
        }
        if self.regions.is_empty() {
            text.push_str("  no regions: all zones are one\n");
        }
        for (what, limits) in [("class", &self.class_limits), ("tenant", &self.tenant_limits)] {
            for (name, limit) in limits {
                let _ = writeln!(text, "  {what} {name}: {limit} requests a second for the whole fleet");
            }
        }
        let _ = writeln!(text, "  what others said holds for {} ms", self.stale_after.as_millis());
        text
    }
}

fn differences<T: PartialEq + std::fmt::Debug>(
    section: &str,
    own: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    changes: &mut Vec<String>,
) {
    for (key, value) in new {
        if own.get(key) != Some(value) {
            changes.push(format!("{section}.{key} to {value:?}"));
        }
    }
    changes
        .extend(own.keys().filter(|key| !new.contains_key(*key)).map(|key| format!("{section}.{key} gone")));
}

fn membership(mut section: Section) -> Result<Membership, String> {
    let name = section.take("name").ok_or("fleet.name is missing: processes of one fleet have one name")?;
    let name = match name.as_str() {
        Some(name) if is_name(name) => name.to_owned(),
        _ => return Err(section.wrong("name", &name, "a name of 1 to 64 letters, digits, '-', '_' and '.'")),
    };
    let address = |section: &Section, key: &str, value: &Value| {
        let address = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
        let whole = address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        whole.ok_or_else(|| section.wrong(key, value, "an address that others reach, such as 127.0.1.4:7946"))
    };
    let listen =
        section.take("listen").ok_or("fleet.listen is missing: where other agents reach this one")?;
    let listen = address(&section, "listen", &listen)?;
    let seeds = match section.take("seeds") {
        None => Vec::new(),
        Some(Value::Array(seeds)) if seeds.len() <= ITEMS_MOST => {
            seeds.iter().map(|seed| address(&section, "seeds", seed)).collect::<Result<_, _>>()?
        }
        Some(other) => return Err(section.wrong("seeds", &other, "a list of at most 256 addresses")),
    };
    let state = match section.take("state") {
        None => None,
        Some(Value::String(folder)) if !folder.is_empty() => Some(PathBuf::from(folder)),
        Some(other) => return Err(section.wrong("state", &other, "a folder")),
    };
    section.end(&["name", "listen", "seeds", "state"])?;
    Ok(Membership { name, listen, seeds, state })
}

fn regions(section: Section) -> Result<BTreeMap<String, Vec<String>>, String> {
    let mut of: BTreeMap<String, String> = BTreeMap::new();
    let mut regions = BTreeMap::new();
    if section.table.len() > ITEMS_MOST {
        return Err(format!("regions has {} keys; at most {ITEMS_MOST} are taken", section.table.len()));
    }
    for (region, zones) in &section.table {
        if region.is_empty() || region.len() > NAME_MOST {
            return Err(format!("regions.{region:.80} has no name of 1 to {NAME_MOST} bytes"));
        }
        let list = zones.as_array().filter(|zones| !zones.is_empty() && zones.len() <= ITEMS_MOST);
        let list = list.and_then(|zones| {
            zones
                .iter()
                .map(|zone| zone.as_str().filter(|zone| !zone.is_empty() && zone.len() <= NAME_MOST))
                .collect()
        });
        let list: Vec<&str> =
            list.ok_or_else(|| section.wrong(region, zones, "a list of 1 to 256 zones' names"))?;
        for zone in &list {
            if let Some(other) = of.insert((*zone).to_owned(), region.clone()) {
                return Err(format!("regions.{region} has {zone:?}, which is in regions.{other} already"));
            }
        }
        regions.insert(region.clone(), list.into_iter().map(str::to_owned).collect());
    }
    Ok(regions)
}

fn rates(section: Section, known: &[String]) -> Result<BTreeMap<String, f64>, String> {
    let mut rates = BTreeMap::new();
    for (name, value) in &section.table {
        let key = section.key(name);
        if !known.contains(name) {
            return Err(format!("{key} is unknown; the settings have {}", known.join(", ")));
        }
        let rate = value.as_float().or(value.as_integer().map(|n| n as f64));
        let rate = rate.filter(|rate| (0.0..=LIMIT_MOST).contains(rate));
        let rate = rate.ok_or_else(|| section.wrong(name, value, "requests a second, from 0 to 1e9"))?;
        rates.insert(name.clone(), rate);
    }
    Ok(rates)
}

fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.len() <= NAME_MOST && text.chars().all(fits)
}

/// A table of the file and where it stands.
struct Section {
    path: String,
    table: Table,
}

impl Section {
    fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            format!("{key:.80}")
        } else {
            format!("{}.{key:.80}", self.path)
        }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    fn section(&mut self, key: &str) -> Result<Option<Section>, String> {
        match self.take(key) {
            None => Ok(None),
            Some(Value::Table(table)) => Ok(Some(Section { path: self.key(key), table })),
            Some(other) => Err(self.wrong(key, &other, &format!("a section [{}]", self.key(key)))),
        }
    }

    /// Nothing is left that has no meaning.
    fn end(&self, known: &[&str]) -> Result<(), String> {
        match self.table.iter().next() {
            None => Ok(()),
            Some((key, value)) => {
                let value = short(value);
                Err(format!("{} = {value} has no meaning; known here: {}", self.key(key), known.join(", ")))
            }
        }
    }

    fn wrong(&self, key: &str, value: &Value, expected: &str) -> String {
        format!("{} is {}; {expected} was expected", self.key(key), short(value))
    }
}

fn short(value: &Value) -> String {
    let text = value.to_string().replace('\n', " ");
    if text.chars().count() <= 80 {
        return text;
    }
    text.chars().take(77).chain("...".chars()).collect()
}

#[cfg(test)]
mod tests;
