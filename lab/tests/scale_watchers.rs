//! `lab scale watchers` as a process: a small file gives every figure, and a wrong one a line.
#![allow(missing_docs)]

mod scaling;

use scaling::{refuses, File};

const SMALL: &str = "sizes = [2, 4, 6, 8]\nrepeats = 1\nservers = 5\nagents_per_process = 3\nrest_s = 0.5\n\
                     changes = 1\napart_s = 0.1\noutage_s = 0.2\ncut_s = 0.2\ncut_servers = 8\n";

#[test]
fn every_agent_has_a_change_and_is_back_after_an_outage_and_after_a_cut() {
    let file = File::new(SMALL);
    let output = file.scale("watchers");
    let slopes = file.slopes_of(&output);
    for name in [
        "in_force_s",
        "in_force_median_s",
        "source_bytes_per_change",
        "source_cpu_s_per_change",
        "source_bytes_at_rest",
        "source_cpu_at_rest",
        "agent_bytes_at_rest",
        "agent_cpu_at_rest",
        "reconnect_s",
        "reconnect_worst_rate",
        "return_s",
        "return_source_cpu_s",
        "return_source_bytes",
        "return_agent_cpu_s",
        "memory_bytes",
    ] {
        let slope =
            slopes.get(&format!("watchers_{name}")).unwrap_or_else(|| panic!("no {name}: {slopes:?}"));
        assert_eq!(slope["runs"].as_integer(), Some(4), "{name}: a run is left out");
    }
    // Each of them is sent the entry of the one server that has changed, and calls at least once to be back.
    let bytes = slopes["watchers_source_bytes_per_change"]["slope"].as_float().expect("a figure");
    assert!((150.0..1000.0).contains(&bytes), "{bytes}");
    let calls = &slopes["watchers_reconnect_worst_rate"];
    let at = |key: &str| calls[key].as_float().expect("a figure");
    assert!(at("at_zero") + 8.0 * at("slope") >= 1.0, "{calls:?}");
}

#[test]
fn a_wrong_file_is_named_with_its_key_and_value() {
    for (key, value) in [
        ("watchers", "3"),
        ("servers", "-5"),
        ("servers", "0"),
        ("repeats", "0"),
        ("outage_s", "-1"),
        ("cut_servers", "21000"),
        ("agents_per_process", "0"),
        ("sizes", "[8, 6, 4, 2]"),
        ("sizes", "[2, 4, 6]"),
        ("sizes", "[0, 2, 4, 6]"),
    ] {
        refuses("watchers", SMALL, key, value, value);
    }
    refuses("watchers", SMALL, "sizes", "[2, 3, 5, 20000]", "20000");
}
