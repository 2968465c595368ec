//! The report of a play: one page that needs nothing else, with its plots drawn into it.

use crate::oracle::{Breach, Window};
use crate::plan::{Fault, Plan};
use crate::result::{Played, Sample};
use plotters::prelude::*;
use std::fmt::Write;

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
/// One figure of a second.
type Part<T> = fn(&Window) -> T;
type Drawn = Result<(), Box<dyn std::error::Error>>;

const WIDTH: u32 = 980;
const GOOD: RGBColor = RGBColor(46, 125, 90);
const LATE: RGBColor = RGBColor(214, 160, 50);
const REFUSED: RGBColor = RGBColor(120, 120, 130);
const FAILED: RGBColor = RGBColor(190, 50, 50);
const BAND: RGBColor = RGBColor(70, 90, 160);

const STYLE: &str = "body{font:15px/1.45 sans-serif;margin:2em auto;max-width:1000px;color:#222}\
h1{font-size:1.5em}h2{font-size:1.15em;margin-top:1.8em}table{border-collapse:collapse}\
td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
.bad{color:#b32}.note{color:#666}svg{max-width:100%;height:auto}";

/// A text as HTML.
fn safe(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// One page that needs nothing else.
pub fn html(plan: &Plan, played: &Played, breaches: &[Breach], broken_off: Option<&str>) -> String {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}, seed {1}</title><style>{STYLE}</style>\
         <h1>{0}, seed {1}</h1><p>{2} agents, {3} renderers in {4} zones, {5:.0} requests a second for {6:.0} s.</p>",
        safe(&plan.scenario),
        plan.seed,
        plan.agents.len(),
        plan.renderers.len(),
        plan.zones.len(),
        plan.rate,
        played.planned_s,
    );
    if let Some(why) = broken_off {
        // Writing to a string cannot fail, here and below.
        let _ =
            write!(page, "<p class=\"bad\">Broken off after {:.1} s: {}.</p>", played.played_s, safe(why));
    }
    figures(&mut page, played);
    if !breaches.is_empty() {
        page.push_str("<h2>Rules broken</h2><ul class=\"bad\">");
        for breach in breaches {
            let _ = write!(page, "<li>{:.3} s: {}</li>", breach.at_us as f64 / 1e6, safe(&breach.what));
        }
        page.push_str("</ul>");
    }
    if !plan.faults.is_empty() {
        page.push_str("<h2>What went wrong</h2><table><tr><th>fault</th><th>from s</th><th>to s</th><th>renderers</th><th>agents</th><th>size</th></tr>");
        for (place, fault) in plan.faults.iter().enumerate() {
            let count = |yes: bool, n: usize| if yes { n.to_string() } else { String::new() };
            let zone = fault.zone.map_or(String::new(), |zone| format!(" {}", plan.zones[zone]));
            let _ = write!(
                page,
                "<tr><td>{} {}{}</td><td>{:.2}</td><td>{:.2}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
                place + 1,
                fault.kind.word(),
                safe(&zone),
                fault.start_us as f64 / 1e6,
                fault.end_us as f64 / 1e6,
                count(fault.kind.strikes_renderers(), fault.renderers.len()),
                count(fault.kind.strikes_agents(), fault.agents.len()),
                if fault.size > 0.0 { format!("{:.3}", fault.size) } else { String::new() },
            );
        }
        page.push_str("</table>");
    }
    let mut plot = |title: &str, note: &str, height: u32, draw: &dyn Fn(&Area<'_>) -> Drawn| {
        let mut svg = String::new();
        let drawn = {
            let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
            draw(&area).and_then(|()| Ok(area.present()?))
        };
        let _ = write!(page, "<h2>{title}</h2><p class=\"note\">{note}</p>");
        match drawn {
            Ok(()) => page.push_str(&svg),
            Err(why) => {
                let _ = write!(
                    page,
                    "<p class=\"bad\">This plot could not be drawn: {}</p>",
                    safe(&why.to_string())
                );
            }
        }
    };
    plot(
        "Outcomes over time",
        "Requests by the second in which they were due. Bands, with their numbers, are the faults.",
        320,
        &|area| outcomes(area, plan, played),
    );
    plot(
        "Latency",
        "Of the served, in milliseconds since a request was due: median and 99th percentile.",
        280,
        &|area| latency(area, plan, played),
    );
    let rows = 40 + 14 * plan.renderers.len() as u32;
    plot(
        "Renderers' load",
        "Requests that each held for each of its cores; darker is more, and red is down.",
        rows,
        &|area| renderers(area, plan, played, |s, cores| (s.in_flight as f64 / cores / 10.0).min(1.0), BAND),
    );
    plot(
        "Renderers' warmth",
        "The share of its capacity that each lacked for being cold; white is warm, and red is down.",
        rows,
        &|area| renderers(area, plan, played, |s, _| 1.0 - s.warmth, LATE),
    );
    traffic(&mut page, plan, played);
    agents(&mut page, played);
    page.push_str("</html>\n");
    page
}

fn figures(page: &mut String, played: &Played) {
    let r = &played.rules;
    let percent = |share: f64| format!("{:.2}%", share * 100.0);
    let rows = [
        (
            "rules broken: lost, doubled, drains, cold",
            format!("{}, {}, {}, {}", r.lost, r.doubled, r.drains, r.cold),
        ),
        ("crashes of agents", played.crashes.to_string()),
        ("requests", played.requests.to_string()),
        ("worth served", percent(played.served_worth)),
        ("in time, late", format!("{}, {}", percent(played.in_time), percent(played.late))),
        ("refused, failed", format!("{}, {}", percent(played.refused), percent(played.failed))),
        ("worst ten seconds", percent(played.worst_window)),
        ("goodput", format!("{:.1} a second", played.goodput)),
        (
            "served in ms: p50, p99, p99.9",
            format!("{:.1}, {:.1}, {:.1}", played.p50_ms, played.p99_ms, played.p999_ms),
        ),
        ("attempts a request", format!("{:.3}", played.attempts_per_request)),
        (
            "attempts that cross zones, regions",
            format!("{}, {}", percent(played.cross_zone), percent(played.cross_region)),
        ),
        (
            "probes; connections to renderers; of clients",
            format!("{}; {}; {}", played.probes, played.renderer_connections, played.client_connections),
        ),
        (
            "the testbed's own lateness in ms: p50, p99, most",
            format!("{:.1}, {:.1}, {:.1}", played.late_p50_ms, played.late_p99_ms, played.late_most_ms),
        ),
    ];
    page.push_str("<table>");
    for (name, value) in rows {
        let _ = write!(page, "<tr><td>{name}</td><td>{value}</td></tr>");
    }
    page.push_str("</table><h2>Classes</h2><table><tr><th>class</th><th>requests</th><th>worth</th><th>in time</th><th>refused</th><th>p50 ms</th><th>p99 ms</th></tr>");
    for c in &played.classes {
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.1}</td></tr>",
            safe(&c.name),
            c.requests,
            percent(c.served_worth),
            percent(c.in_time),
            percent(c.refused),
            c.p50_ms,
            c.p99_ms
        );
    }
    page.push_str("</table>");
}

/// From where to where a fault is drawn: one without a length is a moment.
fn band(fault: &Fault) -> (f64, f64) {
    let (from, to) = (fault.start_us as f64 / 1e6, fault.end_us as f64 / 1e6);
    (from, to.max(from + 0.1))
}

fn outcomes(area: &Area<'_>, plan: &Plan, played: &Played) -> Drawn {
    let most = played.windows.iter().map(|w| w.offered).max().unwrap_or(1).max(1) as f64 * 1.15;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..played.planned_s, 0.0..most)?;
    chart.configure_mesh().disable_x_mesh().x_desc("seconds").y_desc("requests").draw()?;
    for (place, fault) in plan.faults.iter().enumerate() {
        let (from, to) = band(fault);
        chart.draw_series([Rectangle::new([(from, 0.0), (to, most)], BAND.mix(0.12).filled())])?;
        let y = most * (0.98 - 0.05 * (place % 3) as f64);
        chart.draw_series([Text::new((place + 1).to_string(), (from, y), ("sans-serif", 12))])?;
    }
    let parts: [(&str, RGBColor, Part<u64>); 4] = [
        ("in time", GOOD, |w| w.in_time),
        ("late", LATE, |w| w.late),
        ("refused", REFUSED, |w| w.refused),
        ("failed", FAILED, |w| w.failed),
    ];
    let mut below = vec![0.0; played.windows.len()];
    for (name, colour, part) in parts {
        let bars = played.windows.iter().zip(&mut below).map(|(window, below)| {
            let (from, top) = (window.from_s as f64, *below + part(window) as f64);
            let bar = Rectangle::new([(from + 0.04, *below), (from + 0.96, top)], colour.filled());
            *below = top;
            bar
        });
        chart
            .draw_series(bars.collect::<Vec<_>>())?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    Ok(())
}

fn latency(area: &Area<'_>, plan: &Plan, played: &Played) -> Drawn {
    let most = played.windows.iter().map(|w| w.p99_ms).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..played.planned_s, 0.0..most)?;
    chart.configure_mesh().disable_x_mesh().x_desc("seconds").y_desc("ms").draw()?;
    for fault in &plan.faults {
        let (from, to) = band(fault);
        chart.draw_series([Rectangle::new([(from, 0.0), (to, most)], BAND.mix(0.12).filled())])?;
    }
    let lines: [(&str, RGBColor, Part<f64>); 2] =
        [("p50", GOOD, |w| w.p50_ms), ("p99", FAILED, |w| w.p99_ms)];
    for (name, colour, figure) in lines {
        let points = played.windows.iter().map(|w| (w.from_s as f64 + 0.5, figure(w)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.2)).draw()?;
    Ok(())
}

/// A row for each renderer, a cell for each sample.
fn renderers(
    area: &Area<'_>,
    plan: &Plan,
    played: &Played,
    depth: impl Fn(&Sample, f64) -> f64,
    colour: RGBColor,
) -> Drawn {
    let n = plan.renderers.len();
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(26)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..played.planned_s, 0.0..n as f64)?;
    chart.configure_mesh().disable_mesh().disable_y_axis().x_desc("seconds").draw()?;
    let step = crate::result::SAMPLE_S;
    for (place, samples) in played.samples.iter().enumerate() {
        let cores = f64::from(plan.renderers[place].spec.cores);
        let (low, high) = ((n - 1 - place) as f64 + 0.05, (n - place) as f64 - 0.05);
        let cells = samples.iter().enumerate().filter_map(|(at, sample)| {
            let from = at as f64 * step;
            let style = if sample.up { colour.mix(depth(sample, cores)) } else { FAILED.mix(0.8) };
            (from < played.planned_s && style.alpha() > 0.01)
                .then(|| Rectangle::new([(from, low), (from + step, high)], style.filled()))
        });
        chart.draw_series(cells.collect::<Vec<_>>())?;
        let renderer = &plan.renderers[place];
        let label = format!("{} {}", renderer.name, plan.zones[renderer.zone]);
        let (x, y) = chart.backend_coord(&(0.0, high));
        area.draw(&Text::new(label, (x - 118, y), ("sans-serif", 10)))?;
    }
    Ok(())
}

fn traffic(page: &mut String, plan: &Plan, played: &Played) {
    page.push_str("<h2>Traffic from zone to zone</h2><p class=\"note\">Attempts, from the agent's zone (rows) to the renderer's.</p><table><tr><th></th>");
    for zone in &plan.zones {
        let _ = write!(page, "<th>{}</th>", safe(zone));
    }
    page.push_str("</tr>");
    let most = played.traffic.iter().flatten().copied().max().unwrap_or(1).max(1) as f64;
    for (from, row) in played.traffic.iter().enumerate() {
        let _ = write!(page, "<tr><td>{}</td>", safe(&plan.zones[from]));
        for n in row {
            let depth = *n as f64 / most * 0.5;
            let _ = write!(page, "<td style=\"background:rgba(70,90,160,{depth:.2})\">{n}</td>");
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
}

fn agents(page: &mut String, played: &Played) {
    page.push_str("<h2>Agents</h2><table><tr><th>agent</th><th>CPU s</th><th>most in a second</th><th>memory MB</th><th>descriptors</th><th>processes</th><th>crashes</th></tr>");
    for a in &played.agents {
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{:.2}</td><td>{:.3}</td><td>{:.1}</td><td>{}</td><td>{}</td><td class=\"bad\">{}</td></tr>",
            safe(&a.name),
            a.cpu_s,
            a.cpu_most_in_a_second,
            a.memory_mb,
            a.descriptors,
            a.processes,
            safe(&a.crashes.join(", "))
        );
    }
    page.push_str("</table>");
}
