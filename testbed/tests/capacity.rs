//! `testbed capacity` as a process: the page is as computed, and what is wrong with a page or a file is said in a line.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use testbed::capacity::input;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace").to_owned()
}

fn testbed(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.arg("capacity").args(args).current_dir(root()).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// What is said of a file of this text, and how the call ended.
fn of(file: &str) -> Output {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("small.toml");
    std::fs::write(&path, file).expect("a file");
    testbed(&[path.to_str().expect("a path")])
}

/// A table of the tables that a file of this text comes to.
fn table(file: &str, name: &str) -> String {
    let output = of(file);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let all = text(&output.stdout);
    let (_, rest) = all.split_once(&format!("<!-- testbed capacity: {name} -->\n")).expect("its begin");
    rest.split_once("<!-- end -->").expect("its end").0.trim().to_owned()
}

/// Whether a table has a row with these cells, one after the other.
fn has(table: &str, cells: &[&str]) {
    let row = cells.join(" | ");
    assert!(table.contains(&row), "no {row:?} in\n{table}");
}

const SMALL: &str = r#"
[plan]
size = { value = 1_000, unit = "things", what = "planned" }
depth = { value = 22, unit = "calls", what = "planned" }
[bound]
most = { value = 50, unit = "bytes", what = "bounded", file = "code.rs", text = "MOST" }
[assumption]
share = { value = 0.5, unit = "of all", why = "a guess", most = "1" }
[let]
some = { formula = "size * share", unit = "things", what = "known" }
[slope.cost_s]
what = "cost"
unit = "s"
per = "thing"
at_zero = 1
slope = 0.1
low = 0.09
high = 0.2
from = 10
to = 250
runs = 12
by = "testbed scale test"
load = 1.5
[not_measured]
other_s = "nobody yet"
[[figure]]
role = "agent"
what = "cost"
unit = "s"
budget = "60"
minute = "cost_s(some)"
release = "cost_s(size)"
zone = "cost_s(100)"
cut = "other_s(some)"
mechanism = "code.rs"
missing = ["release"]
[[figure]]
role = "staff"
what = "text"
unit = "bytes"
budget = "most"
all = "some / 25"
mechanism = "missing"
[[hop]]
what = "one tenth more"
factor = "1.1"
[[hop]]
what = "one fifth more"
factor = "1.2"
[[hop]]
what = "none"
factor = "other_s"
"#;

#[test]
fn the_page_is_as_computed() {
    let output = testbed(&["--page", "docs/CAPACITY.md"]);
    assert_eq!(text(&output.stderr), "");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn two_calls_print_the_same_bytes() {
    let [first, second] = [testbed(&[]), testbed(&["testbed/capacity.toml"])];
    assert_eq!(first.status.code(), Some(0));
    assert!(!first.stdout.is_empty());
    assert_eq!(text(&first.stdout), text(&second.stdout));
}

/// The page after a change, in a file of its own.
fn page(change: impl Fn(String) -> String) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("PAGE.md");
    let page = std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    std::fs::write(&path, change(page)).expect("a file");
    let path = path.to_str().expect("a path").to_owned();
    (folder, path)
}

#[test]
fn a_page_with_one_digit_changed_differs_and_is_renewed() {
    let whole = std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page");
    let row = "| `zone_renderers` | 830 |";
    let line = whole.lines().position(|line| line.contains(row)).expect("a row") + 1;
    let (_folder, path) = page(|page| page.replace(row, "| `zone_renderers` | 831 |"));
    let output = testbed(&["--page", &path]);
    assert_eq!(output.status.code(), Some(1));
    let said = text(&output.stderr);
    assert!(said.contains(&format!("PAGE.md: table plan differs at line {line}: computed is ")), "{said}");
    assert!(said.contains("830") && said.lines().count() == 1, "{said}");

    assert_eq!(testbed(&["--page", &path, "--write"]).status.code(), Some(0));
    assert_eq!(testbed(&["--page", &path]).status.code(), Some(0));
    assert_eq!(std::fs::read_to_string(&path).expect("the page"), whole);
}

#[test]
fn a_page_with_a_line_more_or_a_table_less_differs() {
    let row = "| `zones` | 35 | zones | places |\n";
    for (change, why) in [
        (page(|page| page.replace(row, "")), "table plan differs"),
        (page(|page| page.replace(row, &row.repeat(2))), "table plan differs"),
        (page(|page| page.replace(&format!("{row}\n"), &format!("{row}\nmore\n"))), "table plan differs"),
        (page(|page| page.replace(&format!("{row}\n"), row)), "table plan differs"),
        (
            page(|page| {
                page.replace("<!-- testbed capacity: plan -->", "")
                    .replace("<!-- end -->\n\nBounds", "Bounds")
            }),
            "table plan is not on the page",
        ),
    ] {
        let output = testbed(&["--page", &change.1]);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(why) && said.lines().count() == 1, "{said}");
    }
}

#[test]
fn a_page_whose_marks_make_no_sense_is_bad_input() {
    let mark = "<!-- testbed capacity: plan -->";
    for (change, why) in [
        (page(|page| page.replace(mark, "<!-- testbed capacity: plot -->")), "no table is called plot"),
        (
            page(|page| page.replace(mark, "<!-- testbed capacity: wrong -->")),
            "table wrong stands there a second time",
        ),
        (page(|page| page.replace(mark, &format!("{mark}\n{mark}"))), "has no <!-- end --> before the next"),
        (page(|page| page + "\n<!-- testbed capacity: plan -->\n"), "table plan stands there a second time"),
        (page(|page| page[..page.rfind("<!-- end -->").expect("an end")].to_owned()), "has no <!-- end -->"),
    ] {
        for how in [&["--page", change.1.as_str()][..], &["--page", &change.1, "--write"]] {
            let output = testbed(how);
            let said = text(&output.stderr);
            assert_eq!(output.status.code(), Some(2), "{said}");
            assert!(said.contains(why) && said.lines().count() == 1, "{why}: {said}");
        }
    }
    let (_folder, lacks) = page(|_| "# Nothing\n".to_owned());
    let output = testbed(&["--page", &lacks, "--write"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("it has no table plan"));
    assert_eq!(testbed(&["--page", "docs/NO-SUCH.md"]).status.code(), Some(2));
    assert_eq!(testbed(&["--write"]).status.code(), Some(2));
}

#[test]
fn a_figure_says_what_it_rests_on_and_how_it_stands() {
    let agent = table(SMALL, "agent");
    // 1 + 0.1 x: 51 at 500, of 60; the interval of the growth makes it 46 to 101.
    has(
        &agent,
        &[
            "| cost",
            "s",
            "60",
            "51 (85%, **straddles**)",
            "101 (168%, **fails**)",
            "11 (18%)",
            "not measured",
            "- |",
        ],
    );
    has(
        &agent,
        &[
            "minute",
            "`cost_s(some)`",
            "`60`",
            "`cost_s` at 500, 2 times beyond",
            "46 to 101",
            "measured",
            "`code.rs`",
        ],
    );
    has(
        &agent,
        &[
            "release",
            "`cost_s(size)`",
            "`60`",
            "`cost_s` at 1,000, 4 times beyond",
            "91 to 201",
            "measured",
            "missing",
        ],
    );
    has(
        &agent,
        &["zone", "`cost_s(100)`", "`60`", "`cost_s` at 100, within", "10 to 21", "measured", "`code.rs`"],
    );
    has(
        &agent,
        &["cut", "`other_s(some)`", "`60`", "`other_s` not measured", "none", "not measured", "`code.rs`"],
    );
    has(&table(SMALL, "staff"), &["all", "`some / 25`", "`most`", "none", "none", "arithmetic", "missing"]);
    has(
        &table(SMALL, "slopes"),
        &[
            "| `cost_s`",
            "cost",
            "s",
            "1",
            "0.1 a thing",
            "0.09 to 0.2",
            "10 to 250",
            "12",
            "testbed scale test",
            "load 1.5 |",
        ],
    );
    has(&table(SMALL, "slopes"), &["| `other_s`", "nobody yet |"]);
    let single = SMALL.replace("low = 0.09\nhigh = 0.2\n", "").replace("runs = 12", "runs = 1");
    has(&table(&single, "agent"), &["`cost_s` at 100, within", "none", "single play"]);
    has(&table(&single, "agent"), &["| cost", "s", "60", "51 (85%)"]);
    has(&table(&single, "slopes"), &["0.1 a thing", "none, a single play"]);
    let bends = SMALL.replace("load = 1.5", "load = 1.5\nbends = \"at 250 it is 99\"");
    has(&table(&bends, "agent"), &["10 to 21", "measured, not straight"]);
    has(&table(&bends, "slopes"), &["cost; not straight: at 250 it is 99"]);
    let falls = SMALL.replace("at_zero = 1", "at_zero = -99");
    has(&table(&falls, "agent"), &["| cost", "s", "60", "-49 (**under zero**)"]);
}

#[test]
fn what_fails_first_comes_first() {
    let first = table(SMALL, "first");
    let at =
        |cells: &[&str]| first.find(&cells.join(" | ")).unwrap_or_else(|| panic!("no {cells:?} in\n{first}"));
    let release =
        at(&["| 1", "agent", "cost", "release", "101 s", "60 s", "168%", "fails", "91 to 201", "measured"]);
    let minute = at(&["| 2", "agent", "cost", "minute", "51 s", "60 s", "85%", "straddles"]);
    let staff =
        at(&["| 3", "staff", "text", "all", "20 bytes", "50 bytes", "40%", "holds", "none", "arithmetic"]);
    assert!(release < minute && minute < staff, "{first}");
    has(&first, &["| agent", "cost", "cut", "lacks `other_s` |"]);
}

#[test]
fn an_assumption_that_is_wrong_by_three_times_shows_what_changes() {
    // At most all of them are known, so the larger share is 1 and not 1.67.
    let wrong = table(SMALL, "wrong");
    has(&wrong, &["| `share`", "0.5 of all", "1: **fails**: agent, cost (minute)"]);
    has(&wrong, &["agent, cost (minute)", "0.15: **holds**: agent, cost (minute) |"]);
    let loose = SMALL.replace(", most = \"1\"", "");
    has(&table(&loose, "wrong"), &["0.5 of all", "1.67: **fails**: agent, cost (minute); staff, text (all)"]);
}

#[test]
fn attempts_multiply_over_the_depth_of_a_call() {
    let attempts = table(SMALL, "attempts");
    has(&attempts, &["| one tenth more", "`1.1`", "1.1", "2.85", "8.14", "none"]);
    has(&attempts, &["| one fifth more", "`1.2`", "1.2", "7.43", "55.2", "none"]);
    has(&attempts, &["| none", "`other_s`", "not measured", "not measured", "not measured", "none"]);
}

#[test]
fn how_much_an_agent_knows_stands_side_by_side() {
    let more = format!("{SMALL}[extent]\nassumption = \"share\"\nvalues = [\"0.1\", 1]\n");
    let extent = table(&more, "extent");
    has(&extent, &["state", "`share` = 0.1", "`share` = 1 |"]);
    has(&extent, &["minute", "11 (18%)", "101 (168%, **fails**) |"]);
    assert!(!extent.contains("release"), "what does not move is left out\n{extent}");
}

#[test]
fn a_planned_part_is_worked_out_flat_and_by_zones() {
    let planned = "[[planned]]\npart = \"news\"\nwhat = \"bytes\"\nunit = \"bytes\"\nbudget = \"most\"\n\
                   flat = \"size\"\nzones = \"size / 100\"\nfollows = \"by zones\"\n";
    let table = table(&format!("{SMALL}{planned}"), "planned");
    has(
        &table,
        &[
            "| news",
            "bytes",
            "bytes",
            "50",
            "1,000 (20 times, **fails**)",
            "10 (20%)",
            "`size`",
            "`size / 100`",
            "by zones |",
        ],
    );
}

#[test]
fn a_slope_that_no_line_uses_is_a_warning() {
    let more = format!(
        "{SMALL}[slope.idle]\n{}",
        &SMALL[SMALL.find("what = \"cost\"").expect("it")..SMALL.find("[not_m").expect("it")]
    );
    let output = of(&more);
    assert_eq!(output.status.code(), Some(0));
    let said = text(&output.stderr);
    assert!(said.contains("warning") && said.contains("slope.idle: no line uses it"), "{said}");
    let both = SMALL.replace("[not_measured]", "[not_measured]\ncost_s = \"soon\"");
    let output = of(&both);
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stderr).contains("not_measured.cost_s: it is measured, take it off there"));
    assert!(!text(&output.stdout).contains("soon"));
}

#[test]
fn bad_input_gets_one_line_that_names_file_key_and_value() {
    let whole: &[(&str, &str, &str)] = &[
        // Keys and sections that nobody knows.
        ("[plan]", "[plant]\n[plan]", "plant is a table; no such section is known"),
        ("[plan]", "colour = 3\n[plan]", "colour is 3; no such section is known"),
        (
            "what = \"planned\" }\ndepth",
            "what = \"planned\", odd = 1 }\ndepth",
            "plan.size.odd is 1; no such key is known, but value, unit, what",
        ),
        ("runs = 12", "runs = 12\nmedian = 4", "slope.cost_s.median is 4; no such key"),
        (
            "mechanism = \"code.rs\"",
            "mechanism = \"code.rs\"\nweek = \"1\"",
            "figure 1.week is \"1\"; no such key",
        ),
        ("minute =", "hour =", "figure 1.hour is \"cost_s(some)\"; no such key"),
        (
            "missing = [\"release\"]",
            "missing = [\"hour\"]",
            "figure 1.missing is \"hour\"; one of minute, release, zone, cut, restart was expected",
        ),
        ("role = \"staff\"", "role = \"cook\"", "figure 2.role is \"cook\"; one of agent, renderer"),
        ("[hop]", "[hip]", "hip is an array; no such section is known"),
        ("[plan]\n", "[plan\n", "small.toml: line 2: "),
        // Figures that are none, or are negative.
        ("value = 1_000", "value = -1", "plan.size.value is -1; 0 or more was expected"),
        ("value = 0.5", "value = -0.5", "assumption.share.value is -0.5; 0 or more was expected"),
        ("value = 50", "value = -50", "bound.most.value is -50; 0 or more was expected"),
        ("value = 1_000", "value = inf", "plan.size.value is inf; a finite number was expected"),
        ("value = 1_000", "value = nan", "plan.size.value is nan; a finite number was expected"),
        ("slope = 0.1", "slope = inf", "slope.cost_s.slope is inf; a finite number was expected"),
        ("value = 1_000", "value = \"many\"", "plan.size.value is \"many\"; a finite number was expected"),
        ("value = 1_000, ", "", "plan.size.value is missing; a number was expected"),
        (
            "unit = \"things\", what = \"planned\"",
            "what = \"planned\"",
            "plan.size.unit is missing; a text was expected",
        ),
        (
            "why = \"a guess\"",
            "why = \"a | guess\"",
            "assumption.share.why is \"a | guess\"; a text of one line without | was expected",
        ),
        ("size = { value", "Size = { value", "plan.Size: a name of small letters, digits and _ was expected"),
        // Slopes.
        ("from = 10\n", "from = 300\n", "slope.cost_s.from is 300; no more than to, 250, was expected"),
        ("from = 10\n", "from = -10\n", "slope.cost_s.from is -10; 0 or more was expected"),
        ("low = 0.09", "low = 0.3", "slope.cost_s.low is 0.3; no more than high, 0.2, was expected"),
        (
            "slope = 0.1",
            "slope = 0.5",
            "slope.cost_s.slope is 0.5; a figure within its interval, 0.09 to 0.2, was expected",
        ),
        (
            "low = 0.09\n",
            "",
            "slope.cost_s.low is missing; the interval of what was run more than once was expected",
        ),
        (
            "high = 0.2\n",
            "",
            "slope.cost_s.high is missing; the interval of what was run more than once was expected",
        ),
        ("runs = 12", "runs = 0", "slope.cost_s.runs is 0; a whole number, 1 or more was expected"),
        ("runs = 12", "runs = -2", "slope.cost_s.runs is -2; a whole number, 1 or more was expected"),
        ("load = 1.5", "load = -1", "slope.cost_s.load is -1; 0 or more was expected"),
        ("by = \"testbed scale test\"\n", "", "slope.cost_s.by is missing; a text was expected"),
        (
            "other_s = \"nobody yet\"",
            "other_s = 1",
            "not_measured.other_s is 1; a text that says what will measure it was expected",
        ),
        // Names that stand for nothing.
        (
            "[not_measured]\nother_s = \"nobody yet\"",
            "",
            "figure 1 (agent: cost).cut is \"other_s(some)\": nothing is called other_s; a slope is \
             entered under [slope]",
        ),
        (
            "all = \"some / 25\"",
            "all = \"sum / 25\"",
            "figure 2 (staff: text).all is \"sum / 25\": nothing is called sum; a name under plan",
        ),
        (
            "zone = \"cost_s(100)\"",
            "zone = \"some(100)\"",
            "figure 1 (agent: cost).zone is \"some(100)\": some is no slope",
        ),
        (
            "budget = \"most\"",
            "budget = \"moat\"",
            "figure 2 (staff: text).budget is \"moat\": nothing is called moat",
        ),
        (
            "formula = \"size * share\"",
            "formula = \"size * shore\"",
            "let.some.formula is \"size * shore\": nothing is called shore",
        ),
        ("formula = \"size * share\"", "formula = \"some * share\"", "let.some.formula goes by itself"),
        ("depth = { value = 22, unit = \"calls\", what = \"planned\" }", "", "plan.depth is missing"),
        ("value = 22", "value = 2.5", "plan.depth.value is 2.5; a whole number, 1000 at most, was expected"),
        (
            "[bound]",
            "idle = { value = 1, unit = \"x\", what = \"x\" }\n[bound]",
            "plan.idle: no line uses it",
        ),
        (
            "[let]",
            "[let]\nsize = { formula = \"1\", unit = \"x\", what = \"x\" }",
            "let.size is a name under plan as well",
        ),
        // Formulas that make no sense, or come to no figure.
        (
            "zone = \"cost_s(100)\"",
            "zone = \"cost_s(100\"",
            "figure 1.zone is \"cost_s(100\": it ends where ')' was expected",
        ),
        (
            "zone = \"cost_s(100)\"",
            "zone = \"size / (size - 1_000)\"",
            "\"size / (size - 1_000)\": comes to inf, no finite figure",
        ),
        ("zone = \"cost_s(100)\"", "zone = \"2 ^ share\"", "\"2 ^ share\": the power 0.5 is no whole number"),
        ("budget = \"60\"", "budget = \"0\"", "the budget \"0\" is 0; more than 0 was expected"),
        (
            "budget = \"60\"",
            "budget = \"other_s\"",
            "the budget \"other_s\" is not measured; more than 0 was expected",
        ),
        (
            "all = \"some / 25\"\n",
            "",
            "figure 2.all is missing; a formula for all states or for some was expected",
        ),
    ];
    for (from, to, why) in whole {
        assert!(SMALL.contains(from), "{from}");
        let output = of(&SMALL.replacen(from, to, 1));
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{to}: {said}");
        assert!(
            said.starts_with("testbed: ") && said.contains("small.toml: ") && said.contains(why),
            "{why}: {said}"
        );
        assert_eq!(said.lines().count(), 1, "{said}");
        assert_eq!(text(&output.stdout), "", "{to}");
    }
    let output = testbed(&["no-such.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).starts_with("testbed: no-such.toml: "));
}

#[test]
fn the_bounds_and_files_that_the_page_names_are_in_the_code() {
    let model = input::read(&root().join("testbed/capacity.toml")).expect("the file");
    for (name, given) in &model.bounds {
        let (file, text) = given.source.as_ref().expect("a bound names its file");
        let code =
            std::fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{name}: {file}: {e}"));
        assert!(
            code.contains(text.as_str()),
            "bound.{name}: {file} no longer has {text:?}; renew testbed/capacity.toml"
        );
    }
    for figure in &model.figures {
        for file in figure.mechanism.iter().filter(|file| *file != "missing") {
            assert!(root().join(file).is_file(), "{}: {}: there is no {file}", figure.role, figure.what);
        }
    }
}
