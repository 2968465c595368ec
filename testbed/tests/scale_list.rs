//! `testbed scale list` as a process, with the real agent and few servers.
#![allow(missing_docs, dead_code)]

mod scaling;

use scaling::agent;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// However busy the machine, there is a figure: how late the testbed is is not judged here.
const SMALL: &str = "sizes = [4, 8, 16, 32]\nrepeats = 1\nrate = 79.0\nchanges = 24.0\ndense = 100.0\nbalancers = 300\n\
                     zones = 5\nzone = 8\nidle_s = 0.2\nquiet_s = 0.3\nchanges_s = 0.2\nstill_s = 0.2\nzone_s = 0.3\n\
                     whole_s = 0.3\nwait_s = 60.0\nlate_most_ms = 1000000.0\nretry_s = 0.0\n";

fn scale(folder: &Path, text: &str, agent: &Path) -> Output {
    std::fs::write(folder.join("list.toml"), text).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["scale", "list", "list.toml", "--slopes", "slopes.toml", "--agent"]).arg(agent);
    command.current_dir(folder).env_remove("CARGO").stdin(Stdio::null()).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn each_figure_is_printed_and_its_slope_can_be_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let output = scale(folder.path(), SMALL, &agent());
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(0), "{err}");
    let slopes = std::fs::read_to_string(folder.path().join("slopes.toml")).expect("slopes");
    let slopes: toml::Table = toml::from_str(&slopes).expect("TOML");
    let slopes = slopes["slope"].as_table().expect("slopes");
    for name in [
        "list_memory_bytes",
        "list_memory_most_bytes",
        "list_ready_s",
        "list_idle_cpu_core",
        "list_change_cpu_s",
        "list_decision_cpu_s",
        "list_quiet_p99_ms",
        "list_quiet_worst_ms",
        "list_added_p99_ms",
        "list_added_worst_ms",
        "list_still_stall_ms",
        "list_zone_stall_ms",
        "list_whole_stall_ms",
        "list_whole_taken_s",
        "list_zone_cpu_s",
        "list_whole_cpu_s",
        "list_whole_bytes",
    ] {
        let slope =
            slopes.get(name).unwrap_or_else(|| panic!("no {name} in\n{out}")).as_table().expect("a slope");
        let figure = |key: &str| slope[key].as_float().unwrap_or_else(|| panic!("{name} has no {key}"));
        assert!(figure("low") <= figure("slope") && figure("slope") <= figure("high"), "{name}: {slope:?}");
        assert_eq!(
            (figure("from"), figure("to"), slope["runs"].as_integer()),
            (4.0, 32.0, Some(4)),
            "{name}"
        );
        let what = slope["what"].as_str().expect("words");
        assert!(out.contains(what), "no {what:?} in\n{out}");
    }
    // What is known beforehand: the list itself grows by its entries, and an agent takes more than a megabyte.
    assert!(slopes["list_whole_bytes"]["slope"]
        .as_float()
        .is_some_and(|bytes| (100.0..200.0).contains(&bytes)));
    assert!(slopes["list_memory_bytes"]["at_zero"].as_float().is_some_and(|bytes| bytes > 1e6));
    assert!(out.contains("note: ") && !out.contains("never taken"), "{out}");
}

#[test]
fn a_bad_file_or_program_gets_one_line_and_exit_2() {
    let folder = tempfile::tempdir().expect("a folder");
    // It is not started: the file is read first.
    let testbed = PathBuf::from(env!("CARGO_BIN_EXE_testbed"));
    let cases = [
        (SMALL.replace("repeats = 1", "repeat = 1"), "unknown field `repeat`"),
        (SMALL.replace("repeats = 1\n", ""), "missing field `repeats`"),
        (SMALL.replace("rate = 79.0", "rate = -79.0"), "rate is -79,"),
        (SMALL.replace("repeats = 1", "repeats = 0"), "repeats is 0,"),
        (SMALL.replace("repeats = 1", "repeats = -1"), "-1"),
        (SMALL.replace("idle_s = 0.2", "idle_s = nan"), "idle_s is NaN,"),
        (SMALL.replace("[4, 8, 16, 32]", "[4, 8, 16]"), "sizes is [4, 8, 16],"),
        (SMALL.replace("[4, 8, 16, 32]", "[4, 8, 32, 16]"), "sizes is [4, 8, 32, 16],"),
        (SMALL.replace("[4, 8, 16, 32]", "[2, 8, 16, 32]"), "sizes holds 2,"),
        (SMALL.replace("[4, 8, 16, 32]", "[4, 8, 16, 3000000]"), "sizes holds 3000000,"),
    ];
    for (file, what) in &cases {
        let output = scale(folder.path(), file, &testbed);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.contains("list.toml") && said.contains(what), "{what}: {said}");
        assert!(output.stdout.is_empty());
    }
    // A program that is no agent ends at once.
    let output = scale(folder.path(), SMALL, &testbed);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{said}");
    assert!(said.lines().count() == 1 && said.contains("did not start"), "{said}");
}
