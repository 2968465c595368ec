//! Tables for people, and the same as JSON for programs.

use crate::agents::Agent;
use crate::ask::Fault;
use crate::say::{sum, Answers, Status};
use balancer_agent::admin_api::{Counters, Renderer, Renderers, Zone, Zones};
use comfy_table::{presets, CellAlignment, Table};
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// What goes to standard output.
pub type Page = String;

fn table(heads: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(heads);
    // Names to the left, figures to the right.
    table.column_iter_mut().skip(1).for_each(|column| {
        column.set_cell_alignment(CellAlignment::Right);
    });
    table
}

fn finish(table: &Table) -> String {
    table.lines().map(|line| format!("{}\n", line.trim())).collect()
}

fn count(n: usize, of: usize) -> String {
    format!("{n} of {of}")
}

/// Who did not say yes, and why.
pub fn faults<T>(answers: &Answers<T>) -> String {
    let mut text = String::new();
    for (agent, fault) in answers.faults() {
        let what = if matches!(fault, Fault::No(_)) { "says no" } else { "did not answer" };
        text.push_str(&format!("{} {what}: {}\n", full(agent), fault.why()));
    }
    text
}

fn full(agent: &Agent) -> String {
    let address = agent.address.to_string();
    if agent.name == address {
        return address;
    }
    format!("{} ({address})", agent.name)
}

/// Answers as JSON: each agent's, and their sum if there is one.
pub fn json<T: Serialize>(answers: &Answers<T>, sum: Option<Value>) -> Page {
    let each = answers.each().map(|(agent, said)| {
        let mut one = json!({"agent": agent.name, "address": agent.address});
        let (word, key, value) = match said {
            Ok(answer) => ("yes", "answer", json!(answer)),
            Err(Fault::No(why)) => ("no", "why", json!(why)),
            Err(Fault::Silent(why)) => ("nothing", "why", json!(why)),
        };
        one["said"] = word.into();
        one[key] = value;
        one
    });
    let mut page = json!({"agents": each.collect::<Vec<_>>()});
    if let Some(sum) = sum {
        page["sum"] = sum;
    }
    format!("{page}\n")
}

/// The status of all agents: a row for each, what they add up to, and the zones as they see them.
pub fn status(answers: &Answers<Status>) -> Page {
    let mut rows = table(&[
        "AGENT",
        "HEALTH",
        "ANSWERED",
        "DEFERRED",
        "ERRORED",
        "CURRENT",
        "SENDS",
        "RENDERERS",
        "AVOIDED",
    ]);
    let cells = |name: String, health: String, counters: &Counters| {
        let total =
            |of: &BTreeMap<String, u64>| of.values().fold(0u64, |sum, n| sum.saturating_add(*n)).to_string();
        let (answered, deferred, errored) =
            (total(&counters.answered), total(&counters.deferred), total(&counters.errored));
        let (current, sends) = (counters.current.to_string(), counters.sends.to_string());
        let (size, avoided) = (counters.cluster_size.to_string(), counters.cluster_unhealthy.to_string());
        [name, health, answered, deferred, errored, current, sends, size, avoided]
    };
    for (agent, said) in answers.each() {
        match said {
            Ok(status) => {
                let health = if status.health.is_ok() { "yes" } else { "no" };
                rows.add_row(cells(agent.name.clone(), health.into(), &status.counters));
            }
            Err(_) => {
                rows.add_row([agent.name.as_str(), "-", "-", "-", "-", "-", "-", "-", "-"]);
            }
        }
    }
    let healthy = answers.good().filter(|(_, status)| status.health.is_ok()).count();
    let total = sum(answers.good().map(|(_, status)| &status.counters));
    rows.add_row(cells("all".into(), count(healthy, answers.agents.len()), &total));
    let mut page = finish(&rows);
    let seen = answers.good().filter_map(|(_, status)| status.zones.as_ref());
    let zones = zones_of(seen);
    if !zones.is_empty() {
        page.push('\n');
        page.push_str(&zones_table(&zones));
    }
    page.push_str(&differences(answers));
    for (agent, status) in answers.good() {
        if let Err(why) = &status.health {
            page.push_str(&format!("{} takes no clients: {why}\n", full(agent)));
        }
    }
    page
}

/// A word where agents do not see the same number of renderers: one of them has missed news.
fn differences(answers: &Answers<Status>) -> String {
    let mut sizes: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
    for (agent, status) in answers.good() {
        sizes.entry(status.counters.cluster_size).or_default().push(&agent.name);
    }
    if sizes.len() < 2 {
        return String::new();
    }
    let groups = sizes.iter().map(|(size, names)| {
        let some = names.iter().take(3).copied().collect::<Vec<_>>().join(", ");
        let more = names.len().saturating_sub(3);
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        format!("{size} renderers at {some}{more}")
    });
    format!("The lists differ: {}\n", groups.collect::<Vec<_>>().join("; "))
}

fn zones_of<'a>(seen: impl Iterator<Item = &'a Zones>) -> Vec<Zone> {
    let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
    for zone in seen.flat_map(|zones| &zones.zones) {
        let sum =
            zones.entry(&zone.zone).or_insert_with(|| Zone { zone: zone.zone.clone(), ..Zone::default() });
        // All agents see the same renderers; what each has sent them is its own.
        for (most, one) in [
            (&mut sum.listed, zone.listed),
            (&mut sum.serving, zone.serving),
            (&mut sum.cordoned, zone.cordoned),
            (&mut sum.doubted, zone.doubted),
            (&mut sum.cold, zone.cold),
        ] {
            *most = one.max(*most);
        }
        sum.left |= zone.left;
        if zone.use_of.whole.share < sum.use_of.whole.share {
            sum.use_of.whole = zone.use_of.whole.clone();
        }
        for (class, phase) in &zone.use_of.classes {
            let seen = sum.use_of.classes.entry(class.clone()).or_default();
            if phase.share < seen.share {
                *seen = phase.clone();
            }
        }
        sum.limit += zone.limit;
        for (total, one) in [
            (&mut sum.in_flight, zone.in_flight),
            (&mut sum.sends, zone.sends),
            (&mut sum.answered, zone.answered),
            (&mut sum.failed, zone.failed),
            (&mut sum.rejected, zone.rejected),
        ] {
            *total = total.saturating_add(one);
        }
    }
    zones.into_values().collect()
}

fn zones_table(zones: &[Zone]) -> String {
    let mut rows = table(&[
        "ZONE",
        "RENDERERS",
        "SERVING",
        "CORDONED",
        "DOUBTED",
        "COLD",
        "LIMIT",
        "IN FLIGHT",
        "SENDS",
        "ANSWERED",
        "FAILED",
        "REJECTED",
    ]);
    for zone in zones {
        let figures =
            [zone.listed, zone.serving, zone.cordoned, zone.doubted, zone.cold].map(|n| n.to_string());
        let counts =
            [zone.in_flight, zone.sends, zone.answered, zone.failed, zone.rejected].map(|n| n.to_string());
        let name = if zone.zone.is_empty() { "?" } else { &zone.zone };
        let name = if zone.left { format!("{name} (left)") } else { name.to_owned() };
        let cells = [name].into_iter().chain(figures).chain([format!("{:.1}", zone.limit)]).chain(counts);
        rows.add_row(cells);
    }
    let mut page = finish(&rows);
    for zone in zones {
        let of = zone.use_of.classes.iter().map(|(class, phase)| (format!(" for {class}"), phase));
        for (of, phase) in [(String::new(), &zone.use_of.whole)].into_iter().chain(of) {
            if phase.share < 1.0 {
                let share = 100.0 * phase.share;
                let (name, what, why) = (&zone.zone, &phase.phase, &phase.why);
                page.push_str(&format!(
                    "{name} is {what}{of} at an agent, {share:.0}% of its draws: {why}\n"
                ));
            }
        }
    }
    page
}

/// The zones as all agents together see them.
pub fn zones(answers: &Answers<Zones>) -> Page {
    zones_table(&zones_of(answers.good().map(|(_, zones)| zones)))
}

/// The renderers as all agents together see them.
pub fn renderers(answers: &Answers<Renderers>) -> Page {
    struct Sum {
        zone: String,
        agents: usize,
        cordoned: usize,
        doubted: usize,
        warmth: f64,
        limit: f64,
        counts: [u64; 5],
    }
    let mut sums: BTreeMap<&str, Sum> = BTreeMap::new();
    let mut left_out = 0;
    let mut asked = 0;
    for (_, seen) in answers.good() {
        asked += 1;
        left_out = left_out.max(seen.left_out);
        for renderer in &seen.renderers {
            let sum = sums.entry(&renderer.id).or_insert_with(|| Sum {
                zone: renderer.zone.clone(),
                agents: 0,
                cordoned: 0,
                doubted: 0,
                warmth: 1.0,
                limit: 0.0,
                counts: [0; 5],
            });
            sum.agents += 1;
            sum.cordoned += usize::from(renderer.cordoned);
            sum.doubted += usize::from(renderer.doubted);
            sum.warmth = sum.warmth.min(renderer.warmth);
            sum.limit += renderer.limit;
            let Renderer { in_flight, sends, answered, failed, rejected, .. } = *renderer;
            for (total, one) in sum.counts.iter_mut().zip([in_flight, sends, answered, failed, rejected]) {
                *total = total.saturating_add(one);
            }
        }
    }
    let mut rows = table(&[
        "RENDERER",
        "ZONE",
        "LISTED AT",
        "CORDONED AT",
        "DOUBTED AT",
        "WARMTH",
        "LIMIT",
        "IN FLIGHT",
        "SENDS",
        "ANSWERED",
        "FAILED",
        "REJECTED",
    ]);
    for (id, sum) in &sums {
        let places = [sum.agents, sum.cordoned, sum.doubted].map(|n| count(n, asked));
        let shares = [format!("{:.2}", sum.warmth), format!("{:.1}", sum.limit)];
        let cells = [(*id).to_owned(), sum.zone.clone()].into_iter().chain(places).chain(shares);
        rows.add_row(cells.chain(sum.counts.map(|n| n.to_string())));
    }
    let mut page = finish(&rows);
    if left_out > 0 {
        page.push_str(&format!("{left_out} more renderers are not shown: an answer holds 2,000\n"));
    }
    page
}

/// Counts by class, for each agent and in all.
pub fn counters(answers: &Answers<Counters>) -> Page {
    let mut rows = table(&["AGENT", "CLASS", "ANSWERED", "DEFERRED", "ERRORED"]);
    let total = sum(answers.good().map(|(_, counters)| counters));
    let named = answers.good().map(|(agent, counters)| (agent.name.as_str(), counters));
    for (name, counters) in named.chain([("all", &total)]) {
        for class in counters.answered.keys() {
            let n = |of: &BTreeMap<String, u64>| of.get(class).copied().unwrap_or_default().to_string();
            let ends = [n(&counters.answered), n(&counters.deferred), n(&counters.errored)];
            rows.add_row([name.to_owned(), class.clone()].into_iter().chain(ends));
        }
    }
    finish(&rows)
}

/// Whether all have taken a word, and how to go on where some have not.
pub fn taken(answers: &Answers<()>, word: &str, id: &str) -> Page {
    let (have, all) = (answers.good().count(), answers.agents.len());
    let mut page = format!("{word} {id}: done at {have} of {all} agents\n");
    if have == all {
        return page;
    }
    let mut rows = table(&["LACKING", "ADDRESS", "WHY"]);
    for (agent, fault) in answers.faults() {
        rows.add_row([agent.name.clone(), agent.address.to_string(), fault.why().to_owned()]);
    }
    rows.column_iter_mut().for_each(|column| {
        column.set_cell_alignment(CellAlignment::Left);
    });
    page.push_str(&finish(&rows));
    let other = match word {
        "cordon" => "uncordon",
        "uncordon" => "cordon",
        "zone leave" => "zone return",
        _ => "zone leave",
    };
    page.push_str(&format!(
        "To go on: call `{word} {id}` again, which changes nothing where it is done; or take it back with `{other} {id}`.\n"
    ));
    page
}
