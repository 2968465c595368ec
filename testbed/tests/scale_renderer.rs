//! `testbed scale renderer` as a process: a small file is measured whole, and bad ones are told in a line.
#![allow(missing_docs, dead_code)]

mod scaling;

use scaling::agent;
use std::path::Path;
use std::process::{Command, Output, Stdio};

const SMALL: &str = "agents = [1, 2, 3, 4]\nrepeats = 1\nrenderers = 2\nrate = 10\nload = 0.3\nidle_s = 5\n\
                     settle_s = 0.3\nsteady_s = 0.6\naway_s = 0.2\ncold_s = 1\n";

fn testbed(file: &Path, slopes: &Path, agent: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(["scale", "renderer"]).arg(file).arg("--slopes").arg(slopes).arg("--agent").arg(agent);
    command.env_remove("CARGO").stdin(Stdio::null()).output().expect("the testbed runs")
}

#[test]
fn renderers_are_measured_at_each_number_of_agents_with_every_figure_and_its_slope() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, slopes) = (folder.path().join("small.toml"), folder.path().join("slopes.toml"));
    std::fs::write(&file, SMALL).expect("a file");
    let out = testbed(&file, &slopes, &agent());
    let (text, errors) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert!(out.status.success(), "{errors}");
    assert_eq!(text.matches("\n         4  median ").count(), 7, "{text}");
    assert!(text.contains("real agents alone, 4 at most: what lies beyond is extrapolated"), "{text}");
    let slopes: toml::Table =
        std::fs::read_to_string(&slopes).expect("slopes").parse().expect("slopes that can be read");
    let figures = slopes["slope"].as_table().expect("a table of slopes");
    let expected = [
        "renderer_cold_requests",
        "renderer_cold_share",
        "renderer_connections",
        "renderer_connections_worst",
        "renderer_handshakes_cold",
        "renderer_handshakes_per_s",
        "renderer_probes_per_s",
    ];
    assert_eq!(figures.keys().collect::<Vec<_>>(), expected, "{text}");
    for (name, figure) in figures {
        assert_eq!((figure["from"].as_float(), figure["to"].as_float()), (Some(1.0), Some(4.0)), "{name}");
        assert_eq!(figure["runs"].as_integer(), Some(4), "{name}");
        assert_eq!(figure["per"].as_str(), Some("agent"), "{name}");
    }
}

#[test]
fn bad_files_are_told_in_a_line_with_file_key_and_value() {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, slopes) = (folder.path().join("bad.toml"), folder.path().join("slopes.toml"));
    // Any program will do: none is started.
    let agent = std::env::current_exe().expect("a program");
    for (from, to, told) in [
        ("repeats = 1", "repeats = 0", "bad.toml: repeats is 0, 1 to 20 was expected"),
        ("renderers = 2", "renderers = 1", "bad.toml: renderers is 1, 2 to 50 was expected"),
        ("rate = 10", "rate = -5", "bad.toml: rate is -5, 0.1 to 50 was expected"),
        ("load = 0.3", "load = 0.0", "bad.toml: load is 0, 0.05 to 1 was expected"),
        ("steady_s = 0.6", "steady_s = inf", "bad.toml: steady_s is inf, 0.5 to 600 was expected"),
        ("[1, 2, 3, 4]", "[1, 2, 3]", "bad.toml: agents is [1, 2, 3], 4 rising sizes over 0 were expected"),
        ("[1, 2, 3, 4]", "[0, 1, 2, 4]", "bad.toml: agents is [0, 1, 2, 4], 4 rising sizes"),
        ("[1, 2, 3, 4]", "[1, 2, 3, 301]", "bad.toml: agents holds 301, at most 300 was expected"),
        ("load = 0.3", "loads = 0.3", "bad.toml, line 5 (loads = 0.3): unknown field `loads`"),
        ("cold_s = 1\n", "", "missing field `cold_s`"),
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
