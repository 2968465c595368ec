//! What the testbed prints for a person.

use crate::plan::Plan;
use crate::play::Stage;
use crate::result::Played;
use std::fmt::Write;

/// What a plan holds.
pub fn plan(plan: &Plan) -> String {
    let mut text = format!(
        "{}, seed {}: {} agents, {} renderers in {} zones, {:.0} requests a second for {:.0} s ({} in all)\n",
        plan.scenario,
        plan.seed,
        plan.agents.len(),
        plan.renderers.len(),
        plan.zones.len(),
        plan.rate,
        plan.length_us as f64 / 1e6,
        plan.arrivals.len(),
    );
    for fault in &plan.faults {
        // Writing to a string cannot fail.
        let _ = write!(text, "  {:6.2} s  {}", fault.start_us as f64 / 1e6, fault.kind.word());
        if fault.end_us > fault.start_us {
            let _ = write!(text, " for {:.2} s", (fault.end_us - fault.start_us) as f64 / 1e6);
        }
        if let Some(zone) = fault.zone {
            let _ = write!(text, ", zone {}", plan.zones[zone]);
        }
        if fault.size > 0.0 {
            let _ = write!(text, ", size {:.3}", fault.size);
        }
        if fault.kind.strikes_agents() {
            let _ = write!(text, ", {} agents", fault.agents.len());
        }
        if fault.kind.strikes_renderers() {
            let _ = write!(text, ", {} renderers", fault.renderers.len());
        }
        text.push('\n');
    }
    text
}

/// What a play came to.
pub fn played(played: &Played) -> String {
    let mut text = String::new();
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    let row = |text: &mut String, name: &str, value: String| {
        let _ = writeln!(text, "{name:<28} {value}");
    };
    let r = &played.rules;
    let rules = format!("lost {}, doubled {}, drains {}, cold {}", r.lost, r.doubled, r.drains, r.cold);
    row(&mut text, "rules broken", if r.kept() { "none".into() } else { rules });
    row(&mut text, "crashes of agents", played.crashes.to_string());
    row(&mut text, "requests", played.requests.to_string());
    row(&mut text, "worth served", percent(played.served_worth));
    row(&mut text, "in time, late", format!("{}, {}", percent(played.in_time), percent(played.late)));
    row(&mut text, "refused, failed", format!("{}, {}", percent(played.refused), percent(played.failed)));
    row(&mut text, "worst ten seconds", percent(played.worst_window));
    row(
        &mut text,
        "served in ms, p50 p99 p99.9",
        format!("{:.1} {:.1} {:.1}", played.p50_ms, played.p99_ms, played.p999_ms),
    );
    row(&mut text, "goodput", format!("{:.1} a second", played.goodput));
    row(
        &mut text,
        "tries, attempts a request",
        format!("{:.3}, {:.3}", played.tries_per_request, played.attempts_per_request),
    );
    row(&mut text, "attempts that cross zones", percent(played.cross_zone));
    row(
        &mut text,
        "agents",
        format!(
            "{:.0} us CPU a request, {:.1} MB at most",
            played.agent_cpu_us_per_request, played.agent_memory_mb
        ),
    );
    row(
        &mut text,
        "the testbed itself",
        format!(
            "late by {:.1} ms at p99, {:.0} us CPU a request",
            played.late_p99_ms, played.lab_cpu_us_per_request
        ),
    );
    if !played.recovery.is_empty() {
        let _ = writeln!(
            text,
            "\nfault, moment                at s   back after s   least in time   unserved until then"
        );
    }
    for r in &played.recovery {
        let back = r.after_s.map_or("not".to_owned(), |s| format!("{s:.2}"));
        let what = format!("{} {}, {}", r.fault, r.kind, r.moment);
        let (least, unserved) = (percent(r.least_in_time), percent(r.unserved));
        let _ = writeln!(text, "{what:<27} {:>6.2} {back:>14} {least:>15} {unserved:>21}", r.at_s);
    }
    let _ = writeln!(
        text,
        "\n{:<12} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "class", "requests", "worth", "in time", "refused", "p50 ms", "p99 ms"
    );
    for class in &played.classes {
        let _ = writeln!(
            text,
            "{:<12} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9.1}",
            class.name,
            class.requests,
            percent(class.served_worth),
            percent(class.in_time),
            percent(class.refused),
            class.p50_ms,
            class.p99_ms
        );
    }
    text
}

/// Where everything listens in a world that is held open, and a request to try.
pub fn addresses(stage: &Stage) -> String {
    let (world, mut text) = (&stage.world, String::new());
    let plan = &world.plan;
    for (place, agent) in plan.agents.iter().enumerate() {
        let _ = writeln!(
            text,
            "agent {:<5} zone {:<10} clients {:<21} staff {:<21} discovery {}",
            agent.name,
            plan.zones[agent.zone],
            world.addresses.agent(place).to_string(),
            stage.agents.operator(world, place).to_string(),
            world.addresses.discovery(place, false),
        );
    }
    for (place, renderer) in plan.renderers.iter().enumerate() {
        let _ = writeln!(
            text,
            "renderer {} zone {:<10} {:<9} for {}: {}",
            renderer.name,
            plan.zones[renderer.zone],
            plan.kinds[renderer.kind],
            plan.agents[0].name,
            world.addresses.renderer(place, 0),
        );
    }
    if let Some(class) = plan.classes.iter().find(|c| c.effect == crate::scenario::Effect::Safe) {
        let id = world.open_to_all();
        let _ = writeln!(
            text,
            "try: curl -i -H 'X-Request-ID: {id:016x}' -H 'X-Priority-Class: {}' -H 'X-Timeout: {}m' http://{}/{}/1",
            class.name,
            class.deadline_us / 1000,
            world.addresses.agent(0),
            class.name,
        );
    }
    text
}
