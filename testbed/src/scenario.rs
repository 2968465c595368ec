//! What a scenario file says: a fleet, its load, what goes wrong and when, and what is expected of the agents. Figures
//! that are left out are those of the operators' brief.

pub mod crowd;

use crate::draw::Range;
use crate::result;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The scenarios that come with the testbed.
pub const BUILT_IN: &[(&str, &str)] = &[
    ("quickstart", include_str!("../scenarios/quickstart.toml")),
    ("calm", include_str!("../scenarios/calm.toml")),
    ("crashes", include_str!("../scenarios/crashes.toml")),
    ("zone-lost", include_str!("../scenarios/zone-lost.toml")),
    ("two-zones-lost", include_str!("../scenarios/two-zones-lost.toml")),
    ("zone-cut", include_str!("../scenarios/zone-cut.toml")),
    ("zone-gray", include_str!("../scenarios/zone-gray.toml")),
    ("zone-flap", include_str!("../scenarios/zone-flap.toml")),
    ("gray", include_str!("../scenarios/gray.toml")),
    ("links", include_str!("../scenarios/links.toml")),
    ("discovery", include_str!("../scenarios/discovery.toml")),
    ("agents", include_str!("../scenarios/agents.toml")),
    ("maintenance", include_str!("../scenarios/maintenance.toml")),
    ("scale", include_str!("../scenarios/scale.toml")),
    ("soak", include_str!("../scenarios/soak.toml")),
    ("soak-upgrade", include_str!("../scenarios/soak-upgrade.toml")),
    ("fleet-size", include_str!("../scenarios/fleet-size.toml")),
];

/// Bounds that keep a play within one machine.
const SECONDS_MOST: f64 = 3600.0;
const RENDERERS_MOST: usize = 600;
const AGENTS_MOST: usize = 300;
const PAIRS_MOST: usize = 16_000;
const RATE_MOST: f64 = 20_000.0;
const ZONES_MOST: usize = 16;

/// Bad input, as one line: what is wrong, where, and what was expected.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Bad(pub String);

/// A scenario.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in a line.
    pub about: String,
    /// For how long requests arrive.
    pub seconds: f64,
    /// The seed of a play that is given no other.
    #[serde(default = "seed")]
    pub seed: u64,
    /// The work that arrives as a share of what all renderers can do.
    #[serde(default = "load")]
    pub load: Range,
    /// First tries a second. With it, work, aims and deadlines are scaled so that the load is met; without it they are
    /// the brief's and the rate follows from the load.
    pub rate: Option<f64>,
    /// The testbed's own lateness at the 99th percentile over which a play has no verdict.
    #[serde(default = "late_most")]
    pub late_p99_most_ms: f64,
    /// The zones.
    #[serde(default)]
    pub zones: Zones,
    /// The renderers.
    pub renderers: Renderers,
    /// The agents.
    pub agents: Agents,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Request classes.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Clients that use as much of an agent's memory as they can.
    pub crowd: Option<crowd::Crowd>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultDef>,
    /// What has to hold.
    #[serde(default)]
    pub expect: Expect,
}

fn seed() -> u64 {
    1
}

fn load() -> Range {
    Range::of(0.48, 0.7)
}

fn late_most() -> f64 {
    10.0
}

/// Zones and the ways between them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Zones {
    /// Their names.
    pub names: Vec<String>,
    /// One way within a zone.
    pub same_ms: Range,
    /// One way between two zones, drawn for each pair of zones.
    pub cross_ms: Range,
    /// The share of a way by which it varies.
    pub jitter: f64,
    /// Regions and their zones; without any, all zones are one.
    pub regions: BTreeMap<String, Vec<String>>,
}

impl Default for Zones {
    fn default() -> Self {
        Zones {
            names: ["ropka", "annelinn", "raadi", "ulenurme"].map(String::from).to_vec(),
            same_ms: Range::of(0.16, 0.34),
            cross_ms: Range::of(10.0, 20.0),
            jitter: 0.2,
            regions: BTreeMap::new(),
        }
    }
}

/// The renderers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renderers {
    /// How many.
    pub count: usize,
    /// Renderers of one zone that drop each other's repeats.
    #[serde(default = "cell_size")]
    pub cell_size: usize,
    /// An idle connection is closed after this.
    #[serde(default = "idle")]
    pub idle_s: f64,
    /// Some of them turn slower when crowded.
    #[serde(default)]
    pub choke: bool,
    /// Their kinds.
    #[serde(default = "kinds", rename = "kind")]
    pub kinds: Vec<Kind>,
}

fn cell_size() -> usize {
    8
}

fn idle() -> f64 {
    5.0
}

/// A kind of machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the renderers; the shares need not sum to one.
    pub share: f64,
    /// Cores.
    pub cores: u32,
    /// Speed of a core.
    pub speed: Range,
    /// Requests at work or waiting on others, for each core.
    #[serde(default = "slots")]
    pub slots_per_core: Range,
    /// Requests that wait for that, for each core.
    #[serde(default = "queue")]
    pub queue_per_core: Range,
    /// What it starts with of its capacity.
    #[serde(default = "cold_from")]
    pub cold_from: Range,
    /// And how long it takes to be warm at the longest.
    #[serde(default = "cold_s")]
    pub cold_s: Range,
    /// Errors among its answers.
    #[serde(default = "error_rate")]
    pub error_rate: Range,
    /// Connections that it holds, for each core.
    #[serde(default = "connections")]
    pub connections_per_core: Range,
}

fn slots() -> Range {
    Range::of(9.0, 22.0)
}
fn queue() -> Range {
    Range::of(24.0, 38.0)
}
fn cold_from() -> Range {
    Range::of(0.14, 0.32)
}
fn cold_s() -> Range {
    Range::of(12.0, 21.0)
}
fn error_rate() -> Range {
    Range::of(0.0, 0.001)
}
fn connections() -> Range {
    Range::of(600.0, 900.0)
}

fn kinds() -> Vec<Kind> {
    let kind = |name: &str, share, cores, speed| Kind {
        name: name.into(),
        share,
        cores,
        speed,
        slots_per_core: slots(),
        queue_per_core: queue(),
        cold_from: cold_from(),
        cold_s: cold_s(),
        error_rate: error_rate(),
        connections_per_core: connections(),
    };
    vec![
        kind("big-3c", 0.22, 3, Range::of(1.7, 2.3)),
        kind("mid-2c", 0.38, 2, Range::of(1.0, 1.4)),
        kind("small-2c", 0.40, 2, Range::of(0.68, 0.92)),
    ]
}

/// The agents.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agents {
    /// How many.
    pub count: usize,
    /// Whether some carry far more than others.
    #[serde(default)]
    pub traffic: Traffic,
    /// Descriptors of each.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory of each.
    #[serde(default = "memory")]
    pub memory_mb: u32,
    /// Limits of which the seed draws one pair, in place of `sockets` and `memory_mb`.
    #[serde(default)]
    pub limits: Vec<crowd::Limits>,
    /// The testbed stands between them as well, for programs that talk to each other.
    #[serde(default)]
    pub peers: bool,
}

fn sockets() -> usize {
    512
}
fn memory() -> u32 {
    96
}

/// How traffic is spread over the agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Traffic {
    /// Alike.
    Even,
    /// Most carry little, some far more.
    #[default]
    Skewed,
}

/// The clients.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries after the first one.
    pub retries: Range,
    /// The part of its class's time after which a try is given up.
    pub try_share: Range,
    /// The wait before the first repeat; it doubles.
    pub backoff_ms: Range,
    /// Clients that heed `Retry-After`.
    pub honour: Range,
    /// Clients that leave before a try's time is over.
    pub impatient: Range,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: Range::of(1.0, 2.99),
            try_share: Range::of(0.4, 0.8),
            backoff_ms: Range::of(54.0, 430.0),
            honour: Range::of(0.12, 0.53),
            impatient: Range::at(0.0),
        }
    }
}

/// Discovery.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// From a process's end to the list.
    pub notice_s: Range,
    /// From a machine's silence to the list.
    pub silent_notice_s: Range,
    /// From a start to the list.
    pub add_s: Range,
    /// From the list to an agent.
    pub spread_ms: Range,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            notice_s: Range::of(0.83, 4.5),
            silent_notice_s: Range::of(5.0, 11.0),
            add_s: Range::of(0.28, 1.6),
            spread_ms: Range::of(110.0, 490.0),
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests; the shares need not sum to one.
    pub share: f64,
    /// Work of a request on a standard core.
    pub work_ms: Range,
    /// Its waits on others.
    pub apart_ms: Range,
    /// Answers are wanted within this.
    pub aim_ms: f64,
    /// And given up after this.
    pub deadline_ms: f64,
    /// What an answer is worth.
    pub worth: f64,
    /// The share of that which a late one keeps.
    #[serde(default)]
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Effect,
}

/// What a repeat does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing.
    Safe,
    /// It is dropped within its cell for 4 s.
    Keyed,
    /// It runs again.
    Unsafe,
}

fn classes() -> Vec<Class> {
    let class = |name: &str,
                 share,
                 work: [f64; 2],
                 apart: [f64; 2],
                 aim_ms,
                 deadline_ms,
                 worth,
                 late_worth,
                 effect| Class {
        name: name.into(),
        share,
        work_ms: Range::of(work[0], work[1]),
        apart_ms: Range::of(apart[0], apart[1]),
        aim_ms,
        deadline_ms,
        worth,
        late_worth,
        effect,
    };
    vec![
        class("preview", 0.48, [78.0, 140.0], [160.0, 310.0], 1200.0, 5000.0, 2.0, 0.5, Effect::Safe),
        class("archive", 0.32, [70.0, 130.0], [74.0, 140.0], 800.0, 4000.0, 10.0, 0.2, Effect::Keyed),
        class("dispatch", 0.20, [50.0, 91.0], [53.0, 98.0], 600.0, 1500.0, 2.0, 0.5, Effect::Unsafe),
    ]
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kin {
    /// Renderers die, and come back cold.
    Crash,
    /// Renderers stand still for `size` milliseconds every `every_s`.
    Pauses,
    /// Renderers are `size` times slower.
    Slow,
    /// Renderers answer a share `size` of their requests with errors, at once.
    Failing,
    /// Renderers break a share `size` of their connections under a request.
    Resets,
    /// Renderers are drained by the list, restarted, and come back cold.
    Drain,
    /// Staff cordon renderers at every agent, restart them, and call them back.
    Cordon,
    /// Nothing reaches the renderers of a zone, or comes from them.
    ZoneSilent,
    /// A zone and the others do not reach each other.
    ZoneCut,
    /// Agents and renderers do not reach each other, in one way or both.
    Cut,
    /// A share `size` of messages is lost and sent again.
    Loss,
    /// Messages take `size` milliseconds longer.
    Delay,
    /// A share `size` of the datagrams between agents comes twice.
    Doubles,
    /// Discovery runs `size` seconds behind.
    DiscoveryStale,
    /// Discovery says nothing.
    DiscoverySilent,
    /// Discovery refuses connections.
    DiscoveryDown,
    /// Discovery moves to another address; a new file and SIGHUP tell the agents.
    DiscoveryMoves,
    /// Agents are killed, and started again after `lasts_s`.
    AgentKill,
    /// Agents are told to end, and started again.
    AgentTerm,
    /// Agents stand still.
    AgentStop,
    /// Agents are replaced by new processes on the inherited listener.
    AgentUpgrade,
}

/// Which keys a kind of fault takes beside `kind`, `at_s` and `lasts_s`.
struct Takes {
    renderers: bool,
    agents: bool,
    zone: bool,
    size: Option<(&'static str, f64, f64)>,
    every: bool,
    way: bool,
    between: bool,
    lasts: bool,
}

impl Kin {
    fn takes(self) -> Takes {
        let none = Takes {
            renderers: false,
            agents: false,
            zone: false,
            size: None,
            every: false,
            way: false,
            between: false,
            lasts: true,
        };
        let renderers = Takes { renderers: true, zone: true, ..none };
        let agents = Takes { agents: true, ..none };
        let links = Takes { renderers: true, agents: true, zone: true, way: true, between: true, ..none };
        match self {
            Kin::Crash | Kin::Drain | Kin::Cordon => renderers,
            Kin::Pauses => Takes { size: Some(("milliseconds", 1.0, 60_000.0)), every: true, ..renderers },
            Kin::Slow => Takes { size: Some(("times slower", 1.0, 1000.0)), ..renderers },
            Kin::Failing | Kin::Resets => Takes { size: Some(("a share", 0.0, 1.0)), ..renderers },
            Kin::ZoneSilent | Kin::ZoneCut => Takes { zone: true, ..none },
            Kin::Cut => links,
            Kin::Loss => Takes { size: Some(("a share", 0.0, 0.9)), ..links },
            Kin::Doubles => Takes { size: Some(("a share", 0.0, 1.0)), way: true, ..agents },
            Kin::Delay => Takes { size: Some(("milliseconds", 0.0, 10_000.0)), ..links },
            Kin::DiscoveryStale => Takes { size: Some(("seconds", 0.0, 600.0)), ..agents },
            Kin::DiscoverySilent | Kin::DiscoveryDown | Kin::AgentKill | Kin::AgentStop => agents,
            Kin::AgentTerm | Kin::AgentUpgrade | Kin::DiscoveryMoves => Takes { lasts: false, ..agents },
        }
    }

    /// Whether it strikes some agents.
    pub fn strikes_agents(self) -> bool {
        self.takes().agents
    }

    /// Whether it strikes some renderers.
    pub fn strikes_renderers(self) -> bool {
        self.takes().renderers
    }

    /// Its word in a scenario.
    pub fn word(self) -> String {
        serde_json::to_value(self).ok().and_then(|v| v.as_str().map(String::from)).unwrap_or_default()
    }
}

/// Which way of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    /// Both.
    #[default]
    Both,
    /// From agents to renderers.
    To,
    /// From renderers to agents.
    Back,
}

/// Between whom links are struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Between {
    /// Agents and renderers.
    #[default]
    Renderers,
    /// Agents and other agents.
    Agents,
}

/// A fault as a scenario words it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultDef {
    /// What goes wrong.
    pub kind: Kin,
    /// When it begins.
    pub at_s: Range,
    /// For how long.
    pub lasts_s: Option<Range>,
    /// The share of the renderers (of `zone`, if that is given) that it strikes; all if absent.
    pub part: Option<Range>,
    /// The share of the agents; all if absent.
    pub agents: Option<Range>,
    /// The zone.
    pub zone: Option<String>,
    /// How bad it is; the unit is the kind's.
    pub size: Option<Range>,
    /// How often it strikes.
    pub every_s: Option<Range>,
    /// Which way of the links: seen from the struck agents, `to` is what they send and `back` what they hear.
    pub way: Option<Way>,
    /// Between whom.
    pub between: Option<Between>,
}

/// What has to hold for a play to pass.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// All rules are kept and no agent crashes.
    pub rules: bool,
    /// Figures of the result that are at least this.
    pub least: BTreeMap<String, f64>,
    /// Figures of the result that are at most this.
    pub most: BTreeMap<String, f64>,
}

impl Default for Expect {
    fn default() -> Self {
        Expect { rules: true, least: BTreeMap::new(), most: BTreeMap::new() }
    }
}

/// Reads a scenario: one that comes with the testbed by its name, or a file. Returns its name too.
pub fn find(name: &str, sets: &[(String, String)]) -> Result<(String, Scenario), Bad> {
    if let Some((name, text)) = BUILT_IN.iter().find(|(built_in, _)| *built_in == name) {
        return Ok(((*name).to_owned(), read(name, text, sets)?));
    }
    let path = Path::new(name);
    let text = std::fs::read_to_string(path).map_err(|e| {
        let known: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
        Bad(format!("{name}: no file that can be read ({e}), and not one of {}", known.join(", ")))
    })?;
    let stem = path.file_stem().map_or("scenario".into(), |stem| stem.to_string_lossy().into_owned());
    Ok((stem, read(name, &text, sets)?))
}

/// Reads a scenario's text, with some keys replaced (`load`, `agents.count`).
pub fn read(file: &str, text: &str, sets: &[(String, String)]) -> Result<Scenario, Bad> {
    let syntax = |e: toml::de::Error| {
        let line = e.span().map_or(0, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        Bad(format!("{file}, line {line}: {}", e.message().replace('\n', "; ")))
    };
    // Once straight from the text, whose errors carry their line; what is set on top has no line.
    let scenario: Scenario = toml::from_str(text).map_err(syntax)?;
    let scenario = if sets.is_empty() {
        scenario
    } else {
        let mut table: toml::Table = toml::from_str(text).map_err(syntax)?;
        for (key, value) in sets {
            set(&mut table, key, value).map_err(|why| Bad(format!("--set {key}={value}: {why}")))?;
        }
        let named = || sets.iter().map(|(k, v)| format!("{k}={v}")).collect::<Vec<_>>().join(" ");
        table.try_into().map_err(|e: toml::de::Error| {
            Bad(format!("{file} with --set {}: {}", named(), e.message().replace('\n', "; ")))
        })?
    };
    scenario.check().map_err(|why| Bad(format!("{file}: {why}")))?;
    Ok(scenario)
}

fn set(table: &mut toml::Table, key: &str, value: &str) -> Result<(), String> {
    let value = toml::from_str::<toml::Table>(&format!("v = {value}"))
        .ok()
        .and_then(|mut table| table.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let mut here = table;
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    for part in path.into_iter().flat_map(|path| path.split('.')) {
        here = here
            .entry(part)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()))
            .as_table_mut()
            .ok_or_else(|| format!("{part} is no table"))?;
    }
    here.insert(last.to_owned(), value);
    Ok(())
}

impl Scenario {
    /// Holds every key against its bounds. The error names the key, its value and what was expected.
    pub fn check(&self) -> Result<(), String> {
        let within = |key: &str, value: f64, low: f64, high: f64| {
            if value.is_finite() && (low..=high).contains(&value) {
                Ok(())
            } else {
                Err(format!("{key} = {value}: a figure from {low} to {high} was expected"))
            }
        };
        let range = |key: &str, range: &Range, low: f64, high: f64| {
            if range.low >= low && range.high <= high {
                Ok(())
            } else {
                Err(format!("{key} = {range}: figures from {low} to {high} were expected"))
            }
        };
        let count = |key: &str, value: usize, most: usize| {
            if (1..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("{key} = {value}: 1 to {most} were expected"))
            }
        };
        within("seconds", self.seconds, 0.5, SECONDS_MOST)?;
        range("load", &self.load, 0.001, 10.0)?;
        if let Some(rate) = self.rate {
            within("rate", rate, 0.1, RATE_MOST)?;
        }
        within("late_p99_most_ms", self.late_p99_most_ms, 0.0, 1e6)?;
        count("zones.names (their number)", self.zones.names.len(), ZONES_MOST)?;
        for (place, zone) in self.zones.names.iter().enumerate() {
            if zone.is_empty() || self.zones.names[..place].contains(zone) {
                return Err(format!("zones.names: {zone:?} is empty or there twice"));
            }
        }
        range("zones.same_ms", &self.zones.same_ms, 0.0, 1000.0)?;
        range("zones.cross_ms", &self.zones.cross_ms, 0.0, 1000.0)?;
        within("zones.jitter", self.zones.jitter, 0.0, 1.0)?;
        let mut placed: Vec<&String> = Vec::new();
        for (region, zones) in &self.zones.regions {
            for zone in zones {
                if !self.zones.names.contains(zone) {
                    return Err(format!("zones.regions.{region}: {zone:?} is none of zones.names"));
                }
                if placed.contains(&zone) {
                    return Err(format!("zones.regions.{region}: {zone:?} is in two regions"));
                }
                placed.push(zone);
            }
        }
        count("renderers.count", self.renderers.count, RENDERERS_MOST)?;
        count("renderers.cell_size", self.renderers.cell_size, RENDERERS_MOST)?;
        within("renderers.idle_s", self.renderers.idle_s, 0.5, 600.0)?;
        if self.renderers.kinds.is_empty() {
            return Err("renderers.kind: at least one kind of machine was expected".into());
        }
        for kind in &self.renderers.kinds {
            let key = |name: &str| format!("renderers.kind {:?}, {name}", kind.name);
            within(&key("share"), kind.share, 0.0, 1e6)?;
            within(&key("cores"), f64::from(kind.cores), 1.0, 64.0)?;
            range(&key("speed"), &kind.speed, 0.01, 100.0)?;
            range(&key("slots_per_core"), &kind.slots_per_core, 1.0, 10_000.0)?;
            range(&key("queue_per_core"), &kind.queue_per_core, 0.0, 10_000.0)?;
            range(&key("cold_from"), &kind.cold_from, 0.01, 1.0)?;
            range(&key("cold_s"), &kind.cold_s, 0.0, 3600.0)?;
            range(&key("error_rate"), &kind.error_rate, 0.0, 1.0)?;
            range(&key("connections_per_core"), &kind.connections_per_core, 1.0, 100_000.0)?;
        }
        if self.renderers.kinds.iter().all(|kind| kind.share == 0.0) {
            return Err("renderers.kind, share = 0 for every kind: one above 0 was expected".into());
        }
        count("agents.count", self.agents.count, AGENTS_MOST)?;
        count("agents.sockets", self.agents.sockets, 4096)?;
        count("agents.memory_mb", self.agents.memory_mb as usize, 4096)?;
        if self.agents.count * self.renderers.count > PAIRS_MOST {
            return Err(format!(
                "agents.count = {} and renderers.count = {}: at most {PAIRS_MOST} pairs were expected",
                self.agents.count, self.renderers.count
            ));
        }
        self.agents.limits.iter().try_for_each(crowd::Limits::check)?;
        self.crowd.iter().try_for_each(crowd::Crowd::check)?;
        range("clients.retries", &self.clients.retries, 0.0, 10.0)?;
        range("clients.try_share", &self.clients.try_share, 0.05, 1.0)?;
        range("clients.backoff_ms", &self.clients.backoff_ms, 1.0, 60_000.0)?;
        range("clients.honour", &self.clients.honour, 0.0, 1.0)?;
        range("clients.impatient", &self.clients.impatient, 0.0, 1.0)?;
        range("discovery.notice_s", &self.discovery.notice_s, 0.0, 600.0)?;
        range("discovery.silent_notice_s", &self.discovery.silent_notice_s, 0.0, 600.0)?;
        range("discovery.add_s", &self.discovery.add_s, 0.0, 600.0)?;
        range("discovery.spread_ms", &self.discovery.spread_ms, 0.0, 60_000.0)?;
        count("class (their number)", self.classes.len(), 64)?;
        for class in &self.classes {
            let key = |name: &str| format!("class {:?}, {name}", class.name);
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if class.name.is_empty() || !class.name.chars().all(plain) || class.name == "ready" {
                return Err(format!(
                    "class, name = {:?}: letters, digits, - and _ were expected",
                    class.name
                ));
            }
            within(&key("share"), class.share, 0.0, 1e6)?;
            range(&key("work_ms"), &class.work_ms, 0.001, 60_000.0)?;
            range(&key("apart_ms"), &class.apart_ms, 0.0, 60_000.0)?;
            within(&key("deadline_ms"), class.deadline_ms, 1.0, 600_000.0)?;
            within(&key("aim_ms"), class.aim_ms, 1.0, class.deadline_ms)?;
            within(&key("worth"), class.worth, 0.0, 1e6)?;
            within(&key("late_worth"), class.late_worth, 0.0, 1.0)?;
        }
        if self.classes.iter().all(|class| class.share == 0.0) {
            return Err("class, share = 0 for every class: one above 0 was expected".into());
        }
        for (place, fault) in self.faults.iter().enumerate() {
            fault.check(self).map_err(|why| format!("fault {} ({}), {why}", place + 1, fault.kind.word()))?;
        }
        for key in self.expect.least.keys().chain(self.expect.most.keys()) {
            if !result::FIGURES.contains(&key.as_str()) {
                return Err(format!(
                    "expect: {key} is no figure of a result; there are {}",
                    result::FIGURES.join(", ")
                ));
            }
        }
        Ok(())
    }

    /// The region of a zone; without regions all zones are one.
    pub fn region(&self, zone: usize) -> usize {
        let regions = self.zones.regions.values();
        let named = regions.enumerate().find(|(_, zones)| zones.contains(&self.zones.names[zone]));
        named.map_or(self.zones.regions.len(), |(place, _)| place)
    }
}

impl FaultDef {
    fn check(&self, scenario: &Scenario) -> Result<(), String> {
        let takes = self.kind.takes();
        let within = |key: &str, range: Option<&Range>, low: f64, high: f64| match range {
            Some(range) if range.low < low || range.high > high => {
                Err(format!("{key} = {range}: figures from {low} to {high} were expected"))
            }
            _ => Ok(()),
        };
        let only = |key: &str, given: bool, taken: bool| {
            if given && !taken {
                Err(format!("{key}: this kind of fault has no such key"))
            } else {
                Ok(())
            }
        };
        only("part", self.part.is_some(), takes.renderers)?;
        only("agents", self.agents.is_some(), takes.agents)?;
        only("zone", self.zone.is_some(), takes.zone)?;
        only("size", self.size.is_some(), takes.size.is_some())?;
        only("every_s", self.every_s.is_some(), takes.every)?;
        only("way", self.way.is_some(), takes.way)?;
        only("between", self.between.is_some(), takes.between)?;
        let peers = self.between == Some(Between::Agents) || self.kind == Kin::Doubles;
        if peers && !scenario.agents.peers {
            return Err(
                "between agents: agents.peers = true was expected, or the testbed does not stand there"
                    .into(),
            );
        }
        only("part", peers && self.part.is_some(), false)?;
        only("zone", peers && self.zone.is_some(), false)?;
        only("lasts_s", self.lasts_s.is_some(), takes.lasts)?;
        within("at_s", Some(&self.at_s), 0.0, scenario.seconds)?;
        within("part", self.part.as_ref(), 0.0, 1.0)?;
        within("agents", self.agents.as_ref(), 0.0, 1.0)?;
        within("every_s", self.every_s.as_ref(), 0.05, 600.0)?;
        within("lasts_s", self.lasts_s.as_ref(), 0.0, SECONDS_MOST)?;
        if takes.lasts && self.lasts_s.is_none() {
            return Err("lasts_s is missing: how many seconds it lasts was expected".into());
        }
        if let Some((unit, low, high)) = takes.size {
            if self.size.is_none() {
                return Err(format!("size is missing: {unit} were expected"));
            }
            within("size", self.size.as_ref(), low, high)?;
        }
        if takes.every && self.every_s.is_none() {
            return Err("every_s is missing: the seconds from one pause to the next were expected".into());
        }
        if matches!(self.kind, Kin::ZoneSilent | Kin::ZoneCut) && self.zone.is_none() {
            return Err("zone is missing: the name of a zone was expected".into());
        }
        match &self.zone {
            Some(zone) if !scenario.zones.names.contains(zone) => {
                Err(format!("zone = {zone:?}: one of {} was expected", scenario.zones.names.join(", ")))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
