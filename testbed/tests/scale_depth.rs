//! `testbed scale depth` as a process: a small file is measured whole, and bad ones are told in a line.
#![allow(missing_docs, dead_code)]

mod scaling;

use scaling::agent;
use std::path::Path;
use std::process::{Command, Output, Stdio};

const SMALL: &str =
    "depths = [1, 2, 3, 4]\nrepeats = 1\nstates = [\"well\", \"testbed\", \"fail\", \"fail_half\", \
                     \"fail_keyed\", \"refuse\", \"slow\", \"left\", \"left_lab\"]\nrenderers = 2\nrate = 200\ncalls = 10\n\
                     warm_calls = 5\ndeadline_ms = 1000\nwork_ms = 2\nslow_ms = 2000\nleaving_work_ms = 100\n\
                     leaves_after_ms = 50\nslack_ms = 100\n";

fn testbed(file: &Path, slopes: &Path, agent: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["scale", "depth"]).arg(file).arg("--slopes").arg(slopes).arg("--agent").arg(agent);
    command.env_remove("CARGO").stdin(Stdio::null()).output().expect("the testbed runs")
}

#[test]
fn a_chain_is_measured_at_each_depth_with_every_figure_and_its_slope() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, slopes) = (folder.path().join("small.toml"), folder.path().join("slopes.toml"));
    std::fs::write(&file, SMALL).expect("a file");
    let out = testbed(&file, &slopes, &agent());
    let (text, errors) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert!(out.status.success(), "{errors}");
    assert_eq!(text.matches("\n         4  median ").count(), 24, "{text}");
    assert!(text.contains("an application that tries a failed or refused call once more"), "{text}");
    let slopes: toml::Table =
        std::fs::read_to_string(&slopes).expect("slopes").parse().expect("slopes that can be read");
    let figures = slopes["slope"].as_table().expect("a table of slopes");
    let mut expected: Vec<String> = Vec::new();
    for state in ["fail", "fail_half", "fail_keyed", "refuse", "slow"] {
        expected.push(format!("depth_attempts_{state}"));
        expected.push(format!("depth_attempts_{state}_worst"));
        expected.push(format!("depth_factor_{state}"));
    }
    for name in ["added_p50_ms", "added_p99_ms", "lab_p50_ms", "lab_p99_ms", "attempts_well"] {
        expected.push(format!("depth_{name}"));
    }
    for name in ["wasted_share", "wasted_ms", "lab_wasted_share", "lab_wasted_ms"] {
        expected.push(format!("depth_{name}"));
    }
    for name in &expected {
        let figure = figures.get(name).unwrap_or_else(|| panic!("{name} of {figures:?}"));
        assert_eq!((figure["from"].as_float(), figure["to"].as_float()), (Some(1.0), Some(4.0)), "{name}");
        assert_eq!(figure["runs"].as_integer(), Some(4), "{name}");
        assert_eq!(figure["by"].as_str(), Some("testbed scale depth"), "{name}");
    }
    assert_eq!(figures.len(), expected.len(), "{figures:?}");
}

#[test]
fn bad_files_are_told_in_a_line_with_file_key_and_value() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, slopes) = (folder.path().join("bad.toml"), folder.path().join("slopes.toml"));
    // Any program will do: none is started.
    let agent = std::env::current_exe().expect("a program");
    for (from, to, told) in [
        ("repeats = 1", "repeats = 0", "bad.toml: repeats is 0, 1 to 20 was expected"),
        ("rate = 200", "rate = -5", "bad.toml: rate is -5, 1 to 2000 was expected"),
        ("rate = 200", "rate = nan", "bad.toml: rate is NaN, 1 to 2000 was expected"),
        ("[1, 2, 3, 4]", "[1, 2, 3]", "bad.toml: depths is [1, 2, 3], 4 rising sizes over 0 were expected"),
        ("[1, 2, 3, 4]", "[1, 3, 2, 4]", "bad.toml: depths is [1, 3, 2, 4], 4 rising sizes"),
        ("[1, 2, 3, 4]", "[1, 2, 3, 400]", "bad.toml: depths holds 400, at most 64 was expected"),
        ("slow_ms = 2000", "slow_ms = 200", "bad.toml: slow_ms is 200, 1000 to 60000 was expected"),
        ("rate = 200", "rates = 200", "bad.toml, line 5 (rates = 200): unknown field `rates`"),
        ("\ncalls = 10", "\ncalls = -1", "bad.toml, line 6 (calls = -1): "),
        ("\"refuse\"", "\"tired\"", "bad.toml: states holds \"tired\", some of well, testbed, fail"),
        (
            "[\"well\", \"testbed\", \"fail\", \"fail_half\", \"fail_keyed\", \"refuse\", \"slow\", \"left\", \"left_lab\"]",
            "[]",
            "bad.toml: states is empty",
        ),
        ("slack_ms = 100\n", "", "missing field `slack_ms`"),
    ] {
        assert!(SMALL.contains(from), "{from}");
        std::fs::write(&file, SMALL.replacen(from, to, 1)).expect("a file");
        let out = testbed(&file, &slopes, &agent);
        let errors = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{to}: {errors}");
        assert!(errors.lines().count() == 1 && errors.contains(told), "{to}: {errors}");
        assert!(out.stdout.is_empty() && !slopes.exists(), "{to}");
    }
}
