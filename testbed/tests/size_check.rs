//! `testbed size-check` on fleets of a few renderers: its table, its files and its exit codes.
#![allow(missing_docs)]

mod support;

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Output;
use support::{alone, beside, built, testbed, text, wrong};

/// Two renderers and a few light requests.
const TINY: &str = "about = \"tiny\"\nseconds = 3\nload = 0.02\nlate_p99_most_ms = 100000\n\
                    [renderers]\ncount = 2\ncell_size = 1\n[agents]\ncount = 2\ntraffic = \"even\"\n\
                    [clients]\nretries = 0\n[zones]\nnames = [\"a\"]\n";

struct Checked {
    code: Option<i32>,
    table: String,
    said: String,
    out: PathBuf,
    _folder: tempfile::TempDir,
}

impl Checked {
    fn lines(&self) -> Vec<Value> {
        let text = std::fs::read(self.out.join("size-check.json")).expect("size-check.json");
        serde_json::from_slice(&text).expect("lines")
    }

    fn line(&self, measure: &str) -> Value {
        self.lines().into_iter().find(|line| line["measure"] == measure).expect("a line")
    }
}

fn check(agent: &Path, scenario: &str, factor: &str) -> Checked {
    let folder = tempfile::tempdir().expect("a folder");
    let (file, out) = (folder.path().join("tiny.toml"), folder.path().join("out"));
    std::fs::write(&file, scenario).expect("a file");
    let mut command = testbed(&["size-check", "--seed", "3", "--factor", factor]);
    command.arg(&file).arg("--agent").arg(agent).arg("--out").arg(&out);
    let Output { status, stdout, stderr } = command.output().expect("it runs");
    Checked { code: status.code(), table: text(&stdout), said: text(&stderr), out, _folder: folder }
}

#[test]
fn the_real_agent_beside_twice_the_renderers_fills_the_table() {
    let _alone = alone();
    let checked = check(&built("balancer-agent"), TINY, "2");
    let Checked { code, table, said, .. } = &checked;
    assert!(table.starts_with("tiny, seed 3: 2 agents"), "{table}{said}");
    assert!(table.contains("2 renderers, and 4 of 1/2 of the speed"), "{table}");
    let verdicts = table.lines().filter(|row| row.ends_with("held") || row.ends_with("OVER")).count();
    assert_eq!(verdicts, 6, "{table}");
    let lines = checked.lines();
    // A debug build on a busy machine may take its time, and what is over is then said.
    let held = lines.iter().all(|line| line["held"] == true);
    assert_eq!(*code, Some(if held { 0 } else { 1 }), "{table}{said}");
    for line in &lines {
        let positive = |key: &str| line[key].as_f64().is_some_and(|figure| figure > 0.0);
        assert!(positive("usual") && positive("enlarged") && positive("allowed"), "{line}");
    }
    let memory = checked.line("peak_memory_mb");
    assert!(memory["usual"].as_f64().is_some_and(|mb| (1.0..500.0).contains(&mb)), "{memory}");
    for (size, renderers) in [("usual", 2), ("enlarged", 4)] {
        let plan = std::fs::read(checked.out.join(size).join("plan.json")).expect("a plan");
        let plan: Value = serde_json::from_slice(&plan).expect("JSON");
        assert_eq!(plan["renderers"].as_array().map(Vec::len), Some(renderers));
        assert!(checked.out.join(size).join("report.html").is_file());
    }
}

/// The agent of the example asks for the whole list twenty times a second, and may not where discovery tells changes.
#[test]
fn an_agent_that_reads_whole_lists_is_over_its_bytes() {
    let _alone = alone();
    let folder = beside();
    let checked = check(&wrong(folder.path(), "right"), TINY, "16");
    let line = checked.line("list_kb");
    assert_eq!(line["held"], false, "{line}");
    assert_eq!(checked.code, Some(1), "{}", checked.said);
    assert!(checked.said.contains("lists from discovery, KB: "), "{}", checked.said);
    let row = checked.table.lines().find(|row| row.starts_with("lists from discovery")).expect("a row");
    assert!(row.ends_with("OVER"), "{row}");
}

#[test]
fn a_broken_rule_is_exit_1_and_a_late_lab_is_no_verdict_and_exit_3() {
    let _alone = alone();
    let folder = beside();
    let broken = check(&wrong(folder.path(), "answers-twice"), TINY, "2");
    assert_eq!(broken.code, Some(1), "{}", broken.said);
    assert!(broken.said.contains("at usual size, rule lost: broken"), "{}", broken.said);
    let late = TINY.replace("late_p99_most_ms = 100000", "late_p99_most_ms = 0");
    let late = check(&wrong(folder.path(), "right"), &late, "2");
    assert_eq!(late.code, Some(3), "{}", late.said);
    assert!(late.said.contains("no verdict: at usual size the testbed itself ran late"), "{}", late.said);
    assert_eq!(late.table.lines().filter(|row| row.ends_with("none")).count(), 6, "{}", late.table);
}

#[test]
fn bad_input_is_one_line_and_exit_2() {
    let cases: [(&[&str], &str); 4] = [
        (&["no-such"], "no-such: no file that can be read"),
        (&["calm", "--set", "renderers.count=200"], "renderers.count = 3200: 1 to 600"),
        (&["calm", "--agent", "/no/such/agent"], "--agent /no/such/agent"),
        (&["calm", "--set", "agents.count=0"], "agents.count = 0: 1 to 300"),
    ];
    for (args, expected) in cases {
        let output = testbed(&["size-check"]).args(args).output().expect("it runs");
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {said}");
        assert!(said.contains(expected) && said.lines().count() == 1, "{args:?}: {said}");
    }
}

#[test]
fn a_factor_that_enlarges_nothing_is_refused() {
    for factor in ["0", "1", "65", "many"] {
        let output = testbed(&["size-check", "calm", "--factor", factor]).output().expect("it runs");
        assert_eq!(output.status.code(), Some(2), "{factor}");
        assert!(text(&output.stderr).contains("--factor"), "{factor}: {}", text(&output.stderr));
    }
}
