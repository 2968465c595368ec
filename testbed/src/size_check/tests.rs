use super::*;
use crate::scenario;

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-9 * b.abs().max(1.0)
}

#[test]
fn what_is_allowed_is_the_operators_table() {
    let cases = [
        (Measure::CpuSeconds, 0.21, 192, 1.4 * 0.21 + 0.02 + 0.03 * 0.192),
        (Measure::CpuSeconds, 1.0, 3200, 1.516),
        (Measure::PeakMemoryMb, 10.0, 3200, 35.8),
        (Measure::PeakMemoryMb, 10.0, 192, 23.768),
        (Measure::Descriptors, 30.0, 192, 100.0),
        (Measure::Descriptors, 30.0, 3200, 100.0),
        (Measure::Connections, 28.0, 192, 110.0),
        (Measure::ListKb, 10.0, 192, 180.0),
        (Measure::ListKb, 0.0, 3200, 1664.0),
        (Measure::ServedShare, 0.9, 192, 0.765),
    ];
    for (measure, usual, renderers, expected) in cases {
        let is = allowed(measure, usual, renderers);
        assert!(near(is, expected), "{measure:?} of {usual} beside {renderers}: {is}, not {expected}");
    }
}

#[test]
fn a_line_holds_up_to_its_bound_and_is_over_beyond_it() {
    let held = |measure, usual, enlarged| Line::new(measure, usual, enlarged, 192).held;
    assert!(held(Measure::Connections, 28.0, 110.0) && !held(Measure::Connections, 28.0, 110.1));
    assert!(held(Measure::Descriptors, 30.0, 100.0) && !held(Measure::Descriptors, 30.0, 101.0));
    // A share served is bounded from below.
    assert!(held(Measure::ServedShare, 1.0, 0.85) && !held(Measure::ServedShare, 1.0, 0.849));
    assert!(held(Measure::ServedShare, 0.5, 1.0));
}

#[test]
fn the_table_states_each_line_and_gives_no_verdict_where_the_lab_was_late() {
    let lines =
        [Line::new(Measure::Connections, 28.0, 456.0, 192), Line::new(Measure::ServedShare, 0.98, 0.97, 192)];
    let judged = table(&lines, 16, true);
    let rows: Vec<Vec<&str>> = judged.lines().map(|row| row.split_whitespace().collect()).collect();
    assert_eq!(rows[1], ["connections", "to", "renderers", "28.000", "456.000", "110.000", "OVER"]);
    assert_eq!(rows[2], ["share", "served", "(at", "least)", "0.980", "0.970", "0.833", "held"]);
    let late = table(&lines, 16, false);
    assert!(late.lines().skip(1).all(|row| row.ends_with("none")), "{late}");
}

#[test]
fn many_times_the_renderers_keep_capacity_arrivals_agents_and_classes() {
    for name in ["fleet-size", "calm"] {
        let (name, scenario) = scenario::find(name, &[]).expect("a scenario of the testbed");
        let usual = plan::plan(&name, &scenario, 9917);
        let large = enlarged(&name, &scenario, &usual, 16).expect("a good scenario");
        let large = plan::plan(&name, &large, 9917);
        assert_eq!(large.renderers.len(), 16 * usual.renderers.len());
        assert!(near(large.capacity, usual.capacity) && near(large.rate, usual.rate));
        assert!(near(large.scale, usual.scale));
        assert_eq!(large.arrivals.len(), usual.arrivals.len());
        let same = |(a, b): (&plan::Arrival, &plan::Arrival)| {
            a.due_us.abs_diff(b.due_us) <= 1 && a.agent == b.agent && a.work_us.abs_diff(b.work_us) <= 1
        };
        assert!(large.arrivals.iter().zip(&usual.arrivals).all(same));
        assert_eq!(format!("{:?}", large.agents), format!("{:?}", usual.agents));
        assert_eq!(format!("{:?}", large.classes), format!("{:?}", usual.classes));
        assert_eq!((large.sockets, large.memory_mb), (usual.sockets, usual.memory_mb));
    }
}

#[test]
fn more_renderers_than_the_lab_can_hold_are_one_line() {
    let (name, scenario) = scenario::find("scale", &[]).expect("a scenario of the testbed");
    let usual = plan::plan(&name, &scenario, 1);
    let why = enlarged(&name, &scenario, &usual, 16).expect_err("too many");
    assert!(why.starts_with("scale with 16 times the renderers: renderers.count = 960: 1 to 600"), "{why}");
    assert_eq!(why.lines().count(), 1);
}
