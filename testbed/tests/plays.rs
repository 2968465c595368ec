//! Plays of the testbed's own program: the quickstart with the real agent, and small plays with agents that are wrong in
//! one way each, which the oracle has to find.
#![allow(missing_docs)]

mod support;

use serde_json::Value;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use support::{alone, beside, built, testbed, text, wrong};

/// A play with few requests; what goes wrong is added by the test.
const SMALL: &str = "about = \"small\"\nseconds = 4\nload = 0.3\nrate = 80\nlate_p99_most_ms = 100000\n\
                     [renderers]\ncount = 4\ncell_size = 1\n[agents]\ncount = 1\n[clients]\nretries = 0\n\
                     [zones]\nnames = [\"a\"]\n";

/// The small play at this load, with this fault.
fn small(changes: &str) -> String {
    match changes.strip_prefix("load = 1.5\n") {
        Some(fault) => SMALL.replace("load = 0.3", "load = 1.5") + fault,
        None => format!("{SMALL}{changes}"),
    }
}

struct Played {
    output: Output,
    result: Value,
    _folder: tempfile::TempDir,
}

fn play(agent: &Path, scenario: &str) -> Played {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("small.toml");
    std::fs::write(&file, scenario).expect("a file");
    let arg = |path: &Path| path.to_str().expect("a path").to_owned();
    let (file, out, agent) = (arg(&file), arg(&folder.path().join("out")), arg(agent));
    let output =
        testbed(&["run", &file, "--agent", &agent, "--out", &out, "--quiet"]).output().expect("it runs");
    let result = std::fs::read(Path::new(&out).join("result.json")).ok();
    let result = result.and_then(|r| serde_json::from_slice(&r).ok()).unwrap_or(Value::Null);
    Played { output, result, _folder: folder }
}

/// The rules that a play found broken.
fn broken(how: &str, changes: &str) -> (Vec<&'static str>, Played) {
    let folder = beside();
    let played = play(&wrong(folder.path(), how), &small(changes));
    let rules = &played.result["rules"];
    let broken = ["lost", "doubled", "drains", "cold"].into_iter().filter(|r| rules[*r].as_u64() != Some(0));
    (broken.collect(), played)
}

const DRAIN: &str = "[[fault]]\nkind = \"drain\"\nat_s = 0.5\nlasts_s = 3\npart = 0.25\n";
const CRASH: &str = "load = 1.5\n[[fault]]\nkind = \"crash\"\nat_s = 0.3\nlasts_s = 0.7\npart = 1.0\n";

#[test]
fn an_agent_that_does_as_it_should_breaks_no_rule() {
    let _alone = alone();
    let (rules, played) = broken("right", DRAIN);
    assert!(rules.is_empty(), "{rules:?}: {}", text(&played.output.stderr));
    assert_eq!(played.output.status.code(), Some(0));
}

#[test]
fn each_wrong_agent_is_found_by_the_rule_that_it_breaks() {
    let cases = [
        ("answers-twice", "", "lost"),
        ("never-answers", "", "lost"),
        ("makes-up", "", "lost"),
        ("repeats-unsafe", "", "doubled"),
        ("invents", "", "doubled"),
        ("ignores-drains", DRAIN, "drains"),
        ("floods-cold", CRASH, "cold"),
    ];
    let _alone = alone();
    std::thread::scope(|scope| {
        for (how, changes, rule) in cases {
            scope.spawn(move || {
                let (rules, played) = broken(how, changes);
                let said = text(&played.output.stderr);
                assert_eq!(rules, [rule], "{how}: {said}");
                assert_eq!(played.output.status.code(), Some(1), "{how}");
                assert!(said.contains(&format!("rule {rule}: broken")), "{how}: {said}");
            });
        }
    });
}

#[test]
fn an_agent_that_crashes_or_does_not_start_is_named() {
    let _alone = alone();
    let (_, played) = broken("crashes", "");
    assert_eq!(played.result["crashes"], 1);
    assert_eq!(played.output.status.code(), Some(1));
    let (_, played) = broken("does-not-start", "");
    let said = text(&played.output.stderr);
    assert_eq!(played.output.status.code(), Some(2));
    assert!(
        said.contains("n0 did not start") && said.contains("its last line: wrong_agent: it does not"),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1, "{said}");
}

#[test]
fn the_quickstart_plays_the_real_agent_and_leaves_nothing_behind() {
    let _alone = alone();
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().to_str().expect("a path");
    let real = built("balancer-agent");
    let args = ["run", "quickstart", "--agent", real.to_str().expect("a path"), "--out", out];
    // What a busy machine bends is not judged here: how soon answers come, and how late the testbed is.
    let lenient = ["--set", "late_p99_most_ms=100000", "--set", "expect.least.in_time=0.2"];
    let output = testbed(&[&args[..], &lenient[..]].concat()).output().expect("it runs");
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains("rules broken                 none"), "{}", text(&output.stdout));
    let result: Value =
        serde_json::from_slice(&std::fs::read(folder.path().join("result.json")).expect("a file"))
            .expect("JSON");
    for key in ["served_worth", "in_time", "refused", "failed", "cross_zone", "p99_ms", "late_p99_ms"] {
        assert!(result[key].is_number(), "{key}");
    }
    assert!(result["agents"].as_array().is_some_and(|a| a.len() == 3));
    assert!(result["windows"].as_array().is_some_and(|w| w.len() == 12));
    assert!(result["rules"]["lost"].is_number() && result["try_ends"]["served"].as_u64() > Some(400));
    let report = std::fs::read_to_string(folder.path().join("report.html")).expect("a report");
    assert!(report.matches("<svg").count() == 4 && !report.contains("could not be drawn"));
    assert!(!running(&real, out), "an agent was left behind");
}

/// Whether a process of this program runs whose files are in this folder.
fn running(program: &Path, folder: &str) -> bool {
    let processes = std::fs::read_dir("/proc").expect("processes").flatten();
    processes.map(|p| p.path()).any(|process| {
        std::fs::read_link(process.join("exe")).is_ok_and(|exe| exe == program)
            && std::fs::read(process.join("environ")).is_ok_and(|e| text(&e).contains(folder))
    })
}

#[test]
fn a_play_that_is_broken_off_or_killed_leaves_no_process_and_the_first_its_report() {
    let _alone = alone();
    let real = built("balancer-agent");
    for signal in ["-INT", "-KILL"] {
        let folder = tempfile::tempdir().expect("a folder");
        let out = folder.path().to_str().expect("a path");
        let args = ["run", "quickstart", "--agent", real.to_str().expect("a path"), "--out", out, "--quiet"];
        let mut child = testbed(&args).stderr(Stdio::null()).spawn().expect("it runs");
        let deadline = Instant::now() + Duration::from_secs(60);
        while !running(&real, out) {
            assert!(Instant::now() < deadline, "no agent came up");
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(1500));
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status().expect("kill runs");
        assert!(sent.success());
        let status = child.wait().expect("a status");
        if signal == "-INT" {
            assert_eq!(status.code(), Some(130));
            let report = std::fs::read_to_string(folder.path().join("report.html")).expect("a report");
            assert!(report.contains("Broken off after") && report.contains("Ctrl-C"));
        }
        while running(&real, out) {
            assert!(Instant::now() < deadline, "an agent was left behind after {signal}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_panic_in_the_lab_breaks_the_play_off_with_its_report_and_leaves_no_process() {
    let _alone = alone();
    let real = built("balancer-agent");
    let folder = tempfile::tempdir().expect("a folder");
    let out = folder.path().to_str().expect("a path");
    let args = ["run", "quickstart", "--agent", real.to_str().expect("a path"), "--out", out, "--quiet"];
    let output = testbed(&args).env("LAB_PANIC_AFTER_MS", "4000").output().expect("it runs");
    assert_eq!(output.status.code(), Some(130), "{}", text(&output.stderr));
    assert!(text(&output.stderr).contains("a panic in the testbed"), "{}", text(&output.stderr));
    assert!(folder.path().join("report.html").is_file() && !running(&real, out));
}

#[test]
fn a_play_says_what_fell_short_and_gives_no_verdict_where_the_lab_was_late() {
    let _alone = alone();
    let folder = beside();
    let agent = wrong(folder.path(), "right");
    let short = SMALL.replace("seconds = 4", "seconds = 1");
    let played = play(&agent, &format!("{short}[expect.least]\nin_time = 1.5\n"));
    let said = text(&played.output.stderr);
    assert_eq!(played.output.status.code(), Some(1), "{said}");
    assert!(said.contains("in_time = ") && said.contains("at least 1.5 was expected"), "{said}");
    let played = play(&agent, &short.replace("late_p99_most_ms = 100000", "late_p99_most_ms = 0"));
    let said = text(&played.output.stderr);
    assert_eq!(played.output.status.code(), Some(3), "{said}");
    assert!(said.contains("no verdict: the testbed itself ran late"), "{said}");
}

#[test]
fn a_reader_that_has_left_is_no_reason_to_panic() {
    let full = || std::fs::File::create("/dev/full").expect("a device that takes nothing");
    for args in [&["list"][..], &["check", "quickstart"], &["check", "quickstart", "--plan"]] {
        let status = testbed(args).stdout(full()).status().expect("it runs");
        assert_eq!(status.code(), Some(0), "{args:?}");
    }
}

#[test]
fn bad_input_is_one_line_and_exit_2() {
    let cases: [(&[&str], &str); 4] = [
        (&["run", "no-such"], "no-such: no file that can be read"),
        (&["check", "quickstart", "--set", "load=much"], "load"),
        (&["run", "quickstart", "--agent", "/no/such/agent"], "--agent /no/such/agent"),
        (&["check", "quickstart", "--set", "agents.count=0"], "agents.count = 0: 1 to 300"),
    ];
    for (args, expected) in cases {
        let output = testbed(args).output().expect("it runs");
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {said}");
        assert!(said.contains(expected) && said.lines().count() == 1, "{args:?}: {said}");
    }
}

#[test]
fn a_world_that_is_held_open_answers_the_request_that_it_prints() {
    use std::io::{BufRead, BufReader, Read, Write};
    let _alone = alone();
    let real = built("balancer-agent");
    let args = ["up", "quickstart", "--agent", real.to_str().expect("a path"), "--seconds", "60"];
    let mut child = testbed(&args).stdout(Stdio::piped()).spawn().expect("it runs");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let line = lines.by_ref().map_while(Result::ok).find(|line| line.starts_with("try: curl"));
    let line = line.expect("a request to try");
    let (command, url) = line.rsplit_once("http://").expect("an address");
    let (address, path) = url.split_once('/').expect("a path");
    let headers: Vec<&str> = command.split('\'').skip(1).step_by(2).collect();
    for _ in 0..3 {
        let mut stream = std::net::TcpStream::connect(address).expect("the agent listens");
        let request = format!(
            "GET /{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}\r\n\r\n",
            headers.join("\r\n")
        );
        stream.write_all(request.as_bytes()).expect("it reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200") && answer.contains(" r-"), "{answer}");
    }
    let sent = Command::new("kill").args(["-INT", &child.id().to_string()]).status().expect("kill runs");
    assert!(sent.success());
    assert_eq!(child.wait().expect("a status").code(), Some(0));
}
