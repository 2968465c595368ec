//! `testbed scale watchers` as a process: a small file gives every figure, and a wrong one a line.
#![allow(missing_docs)]

mod scaling;

use scaling::{build, refuses, File};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

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

/// Processes of hollow agents whose files are in this folder.
fn hollow(folder: &str) -> usize {
    let processes = std::fs::read_dir("/proc").expect("processes").flatten();
    let told = processes.filter_map(|process| std::fs::read(process.path().join("cmdline")).ok());
    let told = told.map(|words| String::from_utf8_lossy(&words).into_owned());
    told.filter(|words| words.contains("hollow") && words.contains(folder)).count()
}

#[test]
fn a_lab_that_is_killed_leaves_no_hollow_agent() {
    build();
    let file = File::new(&SMALL.replace("rest_s = 0.5", "rest_s = 60"));
    let folder = tempfile::tempdir().expect("a folder");
    let within = folder.path().to_str().expect("a path");
    for signal in ["-TERM", "-KILL"] {
        let mut testbed = Command::new(env!("CARGO_BIN_EXE_testbed"));
        testbed.args(["scale", "watchers"]).arg(file.path()).env("TMPDIR", within).env_remove("CARGO");
        let mut child = testbed
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it runs");
        let deadline = Instant::now() + Duration::from_secs(60);
        while hollow(within) == 0 {
            assert!(Instant::now() < deadline, "no agent came up");
            std::thread::sleep(Duration::from_millis(20));
        }
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());
        child.wait().expect("a status");
        while hollow(within) > 0 {
            assert!(Instant::now() < deadline, "agents were left behind after {signal}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
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
