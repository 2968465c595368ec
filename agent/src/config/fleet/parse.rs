//! From the text of a fleet file to its contents.

use super::contents::{Contents, Membership};
use super::error::FleetError;
use super::section::Section;
use balancer_settings::Names;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use toml::{Table, Value};

/// The longest name of a fleet, region or zone, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Seeds, regions and zones of a region are at most so many.
const MAX_ITEMS: usize = 256;
/// How long values of other agents are used where the file is silent, and the bounds of it, in milliseconds.
const DEFAULT_STALE_AFTER_MS: i64 = 2000;
const STALE_AFTER_MS: RangeInclusive<i64> = 100..=60_000;
/// No fleet serves more requests a second.
const MAX_RATE: f64 = 1e9;

/// Parses a file; classes and tenants are those of `names`.
pub fn parse(text: &str, names: &Names) -> Result<Contents, FleetError> {
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(FleetError::Unterminated);
    }
    let table: Table = text.parse().map_err(|error| syntax_error(text, &error))?;
    let mut root = Section::root(table);
    let membership = root.take_section("fleet")?.map(membership).transpose()?;
    let regions = root.take_section("regions")?.map(|section| regions(&section)).transpose()?;
    let stale_after_ms = root.take_section("shared")?.map_or(Ok(DEFAULT_STALE_AFTER_MS), stale_after_ms)?;
    let (mut class_limits, mut tenant_limits) = (None, None);
    if let Some(mut limits) = root.take_section("limits")? {
        class_limits = limits.take_section("classes")?.map(|section| rates(&section, &names.classes));
        tenant_limits = limits.take_section("tenants")?.map(|section| rates(&section, &names.tenants));
        limits.finish(&["classes", "tenants"])?;
    }
    let class_limits = class_limits.transpose()?.unwrap_or_default();
    let tenant_limits = tenant_limits.transpose()?.unwrap_or_default();
    root.finish(&["fleet", "regions", "shared", "limits"])?;
    let stale_after = Duration::from_millis(stale_after_ms as u64);
    Ok(Contents {
        membership,
        regions: regions.unwrap_or_default(),
        stale_after,
        class_limits,
        tenant_limits,
    })
}

fn syntax_error(text: &str, error: &toml::de::Error) -> FleetError {
    let start = error.span().map_or(0, |span| span.start.min(text.len()));
    let line = text[..start].matches('\n').count() + 1;
    FleetError::Syntax { line, message: error.message().replace('\n', " ") }
}

fn membership(mut section: Section) -> Result<Membership, FleetError> {
    let name = section.take_required("name", "processes of one fleet have one name")?;
    let name = match name.as_str() {
        Some(name) if is_fleet_name(name) => name.to_owned(),
        _ => {
            let expected = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
            return Err(section.invalid_value("name", &name, expected));
        }
    };
    let listen = section.take_required("listen", "where other agents reach this one")?;
    let listen = reachable_address(&section, "listen", &listen)?;
    let seeds = match section.take("seeds") {
        None => Vec::new(),
        Some(Value::Array(seeds)) if seeds.len() <= MAX_ITEMS => {
            seeds.iter().map(|seed| reachable_address(&section, "seeds", seed)).collect::<Result<_, _>>()?
        }
        Some(other) => {
            return Err(section.invalid_value("seeds", &other, "a list of at most 256 addresses"));
        }
    };
    let state_folder = match section.take("state") {
        None => None,
        Some(Value::String(folder)) if !folder.is_empty() => Some(PathBuf::from(folder)),
        Some(other) => return Err(section.invalid_value("state", &other, "a folder")),
    };
    section.finish(&["name", "listen", "seeds", "state"])?;
    Ok(Membership { name, listen, seeds, state_folder })
}

fn is_fleet_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

/// An address that other agents can connect to: with a port, and of one host.
fn reachable_address(section: &Section, key: &str, value: &Value) -> Result<SocketAddr, FleetError> {
    let address = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
    address.filter(|address| address.port() != 0 && !address.ip().is_unspecified()).ok_or_else(|| {
        section.invalid_value(key, value, "an address that others reach, such as 127.0.1.4:7946")
    })
}

fn stale_after_ms(mut section: Section) -> Result<i64, FleetError> {
    let value = section.take("stale_after_ms");
    section.finish(&["stale_after_ms"])?;
    match value {
        None => Ok(DEFAULT_STALE_AFTER_MS),
        Some(Value::Integer(ms)) if STALE_AFTER_MS.contains(&ms) => Ok(ms),
        Some(other) => {
            let (least, most) = (STALE_AFTER_MS.start(), STALE_AFTER_MS.end());
            let expected = format!("whole milliseconds from {least} to {most}");
            Err(section.invalid_value("stale_after_ms", &other, expected))
        }
    }
}

fn regions(section: &Section) -> Result<BTreeMap<String, Vec<String>>, FleetError> {
    let count = section.table().len();
    if count > MAX_ITEMS {
        return Err(FleetError::TooManyRegions { count, maximum: MAX_ITEMS });
    }
    let mut region_by_zone: BTreeMap<String, String> = BTreeMap::new();
    let mut regions = BTreeMap::new();
    for (region, value) in section.table() {
        if region.is_empty() || region.len() > MAX_NAME_BYTES {
            let region = region.clone();
            return Err(FleetError::InvalidRegionName { region, maximum: MAX_NAME_BYTES });
        }
        let zones = zone_names(value)
            .ok_or_else(|| section.invalid_value(region, value, "a list of 1 to 256 zones' names"))?;
        for zone in &zones {
            if let Some(other) = region_by_zone.insert(zone.clone(), region.clone()) {
                let (region, zone) = (region.clone(), zone.clone());
                return Err(FleetError::RepeatedZone { region, zone, other });
            }
        }
        regions.insert(region.clone(), zones);
    }
    Ok(regions)
}

fn zone_names(value: &Value) -> Option<Vec<String>> {
    let zones = value.as_array().filter(|zones| !zones.is_empty() && zones.len() <= MAX_ITEMS)?;
    let is_zone_name = |name: &&str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    zones.iter().map(|zone| zone.as_str().filter(is_zone_name).map(str::to_owned)).collect()
}

/// Requests a second, by the names of classes or tenants.
fn rates(section: &Section, known_names: &[String]) -> Result<BTreeMap<String, f64>, FleetError> {
    let mut rates = BTreeMap::new();
    for (name, value) in section.table() {
        if !known_names.contains(name) {
            let (key, known_names) = (section.full_key(name), known_names.join(", "));
            return Err(FleetError::UnknownName { key, known_names });
        }
        let rate = value.as_float().or(value.as_integer().map(|rate| rate as f64));
        let rate = rate
            .filter(|rate| (0.0..=MAX_RATE).contains(rate))
            .ok_or_else(|| section.invalid_value(name, value, "requests a second, from 0 to 1e9"))?;
        rates.insert(name.clone(), rate);
    }
    Ok(rates)
}
