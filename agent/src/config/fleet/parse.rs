//! Parses and validates the text of a fleet file.

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
/// The maximum number of seeds, of regions, and of zones in a region.
const MAX_LIST_ITEMS: usize = 256;
/// The default of `stale_after_ms`, the age above which values from other agents are not used.
const DEFAULT_STALE_AFTER_MS: i64 = 2000;
/// The valid values of `stale_after_ms`.
const STALE_AFTER_RANGE_MS: RangeInclusive<i64> = 100..=60_000;
/// The highest valid limit; no fleet serves more requests per second.
const MAX_REQUESTS_PER_S: f64 = 1e9;

/// Parses the text of a fleet file. Its limits may only be for classes and tenants in `names`.
pub fn parse(text: &str, names: &Names) -> Result<Contents, FleetError> {
    if !text.is_empty() && !text.ends_with('\n') {
        return Err(FleetError::Unterminated);
    }
    let table: Table = text.parse().map_err(|error| syntax_error(text, &error))?;
    let mut root = Section::root(table);
    let membership = root.take_section("fleet")?.map(parse_membership).transpose()?;
    let regions = root.take_section("regions")?.map(|section| parse_regions(&section)).transpose()?;
    let stale_after_ms =
        root.take_section("shared")?.map_or(Ok(DEFAULT_STALE_AFTER_MS), parse_stale_after_ms)?;
    let (mut class_limits, mut tenant_limits) = (None, None);
    if let Some(mut limits) = root.take_section("limits")? {
        class_limits = limits.take_section("classes")?.map(|section| parse_limits(&section, &names.classes));
        tenant_limits = limits.take_section("tenants")?.map(|section| parse_limits(&section, &names.tenants));
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

fn parse_membership(mut section: Section) -> Result<Membership, FleetError> {
    let name = section.take_required("name", "the name that all agents of the fleet share")?;
    let name = match name.as_str() {
        Some(name) if is_fleet_name(name) => name.to_owned(),
        _ => {
            let expected = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
            return Err(section.invalid_value("name", &name, expected));
        }
    };
    let listen = section.take_required("listen", "the address at which other agents reach this one")?;
    let listen = parse_reachable_address(&section, "listen", &listen)?;
    let seeds = match section.take("seeds") {
        None => Vec::new(),
        Some(Value::Array(seeds)) if seeds.len() <= MAX_LIST_ITEMS => seeds
            .iter()
            .map(|seed| parse_reachable_address(&section, "seeds", seed))
            .collect::<Result<_, _>>()?,
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

/// Parses an address to which other agents can connect: neither the port nor the IP address may be zero.
fn parse_reachable_address(section: &Section, key: &str, value: &Value) -> Result<SocketAddr, FleetError> {
    let address = value.as_str().and_then(|text| text.parse::<SocketAddr>().ok());
    address.filter(|address| address.port() != 0 && !address.ip().is_unspecified()).ok_or_else(|| {
        section.invalid_value(key, value, "an address that other agents can reach, such as 127.0.1.4:7946")
    })
}

fn parse_stale_after_ms(mut section: Section) -> Result<i64, FleetError> {
    let value = section.take("stale_after_ms");
    section.finish(&["stale_after_ms"])?;
    match value {
        None => Ok(DEFAULT_STALE_AFTER_MS),
        Some(Value::Integer(ms)) if STALE_AFTER_RANGE_MS.contains(&ms) => Ok(ms),
        Some(other) => {
            let (minimum, maximum) = (STALE_AFTER_RANGE_MS.start(), STALE_AFTER_RANGE_MS.end());
            let expected = format!("whole milliseconds from {minimum} to {maximum}");
            Err(section.invalid_value("stale_after_ms", &other, expected))
        }
    }
}

fn parse_regions(section: &Section) -> Result<BTreeMap<String, Vec<String>>, FleetError> {
    let count = section.table().len();
    if count > MAX_LIST_ITEMS {
        return Err(FleetError::TooManyRegions { count, maximum: MAX_LIST_ITEMS });
    }
    let mut region_by_zone: BTreeMap<String, String> = BTreeMap::new();
    let mut regions = BTreeMap::new();
    for (region, value) in section.table() {
        if region.is_empty() || region.len() > MAX_NAME_BYTES {
            let region = region.clone();
            return Err(FleetError::InvalidRegionName { region, maximum: MAX_NAME_BYTES });
        }
        let zones = parse_zone_names(value)
            .ok_or_else(|| section.invalid_value(region, value, "a list of 1 to 256 zone names"))?;
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

fn parse_zone_names(value: &Value) -> Option<Vec<String>> {
    let zones = value.as_array().filter(|zones| !zones.is_empty() && zones.len() <= MAX_LIST_ITEMS)?;
    let is_zone_name = |name: &&str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    zones.iter().map(|zone| zone.as_str().filter(is_zone_name).map(str::to_owned)).collect()
}

/// Parses the limits of a section in requests per second, by the name of the class or tenant.
fn parse_limits(section: &Section, known_names: &[String]) -> Result<BTreeMap<String, f64>, FleetError> {
    let mut limits_by_name = BTreeMap::new();
    for (name, value) in section.table() {
        if !known_names.contains(name) {
            let (key, known_names) = (section.full_key(name), known_names.join(", "));
            return Err(FleetError::UnknownName { key, known_names });
        }
        let requests_per_s =
            value.as_float().or(value.as_integer().map(|requests_per_s| requests_per_s as f64));
        let requests_per_s = requests_per_s
            .filter(|requests_per_s| (0.0..=MAX_REQUESTS_PER_S).contains(requests_per_s))
            .ok_or_else(|| section.invalid_value(name, value, "requests per second, from 0 to 1e9"))?;
        limits_by_name.insert(name.clone(), requests_per_s);
    }
    Ok(limits_by_name)
}
