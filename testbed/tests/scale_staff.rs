//! `testbed scale staff` as a process: a small file gives every figure, and a wrong one a line.
#![allow(missing_docs)]

mod scaling;

use scaling::{refuses, File};

const SMALL: &str = "sizes = [2, 3, 5, 8]\nrepeats = 1\nreal = 2\nservers = 3\nagents_per_process = 4\n\
                     timeout_ms = 30000\nplanned = 29000\n";

#[test]
fn the_staffs_command_hears_real_and_hollow_agents_alike() {
    let file = File::new(SMALL);
    let output = file.scale("staff");
    let slopes = file.slopes_of(&output);
    for name in ["staff_status_s", "staff_status_bytes", "staff_status_cpu_s"] {
        let slope = slopes.get(name).unwrap_or_else(|| panic!("no {name}: {slopes:?}"));
        assert_eq!(slope["runs"].as_integer(), Some(4), "{name}: a run is left out");
    }
    // Health, counts and zones of each.
    let bytes = slopes["staff_status_bytes"]["slope"].as_float().expect("a figure");
    assert!((200.0..5000.0).contains(&bytes), "{bytes}");
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    for note in ["2 hollow ones", "staff_status_s at 29000", "a file of 29000 agents, none of them there"] {
        assert!(said.contains(note), "{note}: {said}");
    }
}

#[test]
fn a_wrong_file_is_named_with_its_key_and_value() {
    for (key, value) in [
        ("agents", "3"),
        ("servers", "-5"),
        ("servers", "2"),
        ("real", "0"),
        ("repeats", "0"),
        ("timeout_ms", "50"),
        ("planned", "0"),
        ("sizes", "[8, 5, 3, 2]"),
        ("sizes", "[2, 3, 5]"),
    ] {
        refuses("staff", SMALL, key, value, value);
    }
    refuses("staff", SMALL, "sizes", "[2, 3, 5, 20000]", "20000");
}
