use super::*;

const LEAST: &str = "about = \"x\"\nseconds = 5\n[renderers]\ncount = 2\n[agents]\ncount = 1\n";

fn why(text: &str) -> String {
    read("f.toml", text, &[]).expect_err("bad input").to_string()
}

#[test]
fn each_built_in_scenario_is_good() {
    for (name, _) in BUILT_IN {
        find(name, &[]).unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn bad_input_names_file_key_and_value() {
    assert!(read("f.toml", LEAST, &[]).is_ok());
    let cases = [
        ("zone = 3\n", "line 1: unknown field `zone`"),
        ("load = \"much\"\n", "line 1: invalid type: string \"much\", expected a number, or a range"),
        ("load = [3, 2]\n", "no range from least to most"),
        ("load = 99\n", "load = 99: figures from 0.001 to 10"),
    ];
    for (line, expected) in cases {
        let said = why(&format!("{line}{LEAST}"));
        assert!(said.starts_with("f.toml") && said.contains(expected), "{said}");
    }
    let fault = |text: &str| why(&format!("{LEAST}[[fault]]\n{text}\n"));
    let said = fault("kind = \"zone_silent\"\nat_s = 1\nlasts_s = 1\nzone = \"mars\"");
    assert!(said.contains("fault 1 (zone_silent), zone = \"mars\": one of ropka, annelinn"), "{said}");
    let said = fault("kind = \"slow\"\nat_s = 1\nlasts_s = 1");
    assert!(said.contains("size is missing"), "{said}");
    let said = fault("kind = \"crash\"\nat_s = 9\nlasts_s = 1");
    assert!(said.contains("at_s = 9: figures from 0 to 5"), "{said}");
    let said = fault("kind = \"crash\"\nat_s = 1\nlasts_s = 1\nagents = 0.5");
    assert!(said.contains("agents: this kind of fault has no such key"), "{said}");
    let said = why(&format!("{LEAST}[expect.least]\nbeauty = 1\n"));
    assert!(said.contains("beauty is no figure"), "{said}");
}

#[test]
fn keys_are_set_on_top_and_checked_alike() {
    let sets = |key: &str, value: &str| [(key.to_owned(), value.to_owned())];
    let scenario = read("f.toml", LEAST, &sets("load", "0.25")).expect("good");
    assert_eq!(scenario.load, Range::at(0.25));
    let scenario = read("f.toml", LEAST, &sets("agents.count", "7")).expect("good");
    assert_eq!(scenario.agents.count, 7);
    let said = read("f.toml", LEAST, &sets("agents.heads", "7")).expect_err("no such key").to_string();
    assert!(said.contains("--set agents.heads=7") && said.contains("heads"), "{said}");
}
