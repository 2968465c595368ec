use super::changes::find_changes;
use super::*;

fn names() -> Names {
    let params = serde_json::json!({"classes": [{"name": "archive", "aimMs": 1, "deadlineMs": 2}]});
    balancer_settings::names(&serde_json::from_value(params).expect("settings"))
}

fn parse(text: &str) -> Result<Contents, FleetError> {
    parse::parse(text, &names())
}

const COMPLETE: &str =
    "[fleet]\nname = \"tartu\"\nlisten = \"127.0.1.4:7946\"\nseeds = [\"127.0.1.5:7946\"]\n\
                         state = \"s\"\n[regions]\nnorth = [\"a\", \"b\"]\nsouth = [\"c\"]\n[shared]\n\
                         stale_after_ms = 500\n[limits.classes]\narchive = 400\n";

#[test]
fn a_complete_file_is_read_and_an_empty_one_has_defaults() {
    let fleet = parse(COMPLETE).expect("a fleet file");
    let membership = fleet.membership.as_ref().expect("a section");
    assert_eq!((membership.name.as_str(), membership.seeds.len()), ("tartu", 1));
    assert_eq!(fleet.regions["north"], ["a", "b"]);
    assert_eq!((fleet.stale_after.as_millis(), fleet.class_limits["archive"]), (500, 400.0));
    let empty = parse("").expect("an empty file");
    assert_eq!((empty.membership, empty.stale_after.as_millis()), (None, 2000));
}

/// The message is one line with the key and what is wrong with it.
#[test]
fn an_invalid_file_is_rejected_with_key_and_value() {
    for (text, expected) in [
        ("[fleet]\nname = \"a\"\n", "fleet.listen is missing"),
        ("[fleet]\nname = \"a b\"\nlisten = \"127.0.0.1:1\"\n", "fleet.name is \"a b\""),
        (
            "[fleet]\nname = \"a\"\nlisten = \"here\"\n",
            "fleet.listen is \"here\"; an address that other agents can reach",
        ),
        ("[fleet]\nname = \"a\"\nlisten = \"0.0.0.0:7946\"\n", "fleet.listen is \"0.0.0.0:7946\""),
        ("[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseeds = [7]\n", "fleet.seeds is 7"),
        (
            "[fleet]\nname = \"a\"\nlisten = \"127.0.0.1:1\"\nseed = []\n",
            "unknown key fleet.seed = []; known keys: name",
        ),
        (
            "[regions]\nn = [\"a\"]\ns = [\"b\", \"a\"]\n",
            "regions.s has \"a\", which is already in regions.n",
        ),
        ("[regions]\nn = [\"a\", \"a\"]\n", "regions.n has \"a\""),
        ("[regions]\nn = []\n", "regions.n is []"),
        ("[shared]\nstale_after_ms = 1\n", "shared.stale_after_ms is 1; whole milliseconds"),
        ("[limits.classes]\narchive = inf\n", "limits.classes.archive is inf"),
        ("[limits.classes]\narchive = -1\n", "limits.classes.archive is -1"),
        ("[limits.classes]\narchives = 1\n", "limits.classes.archives is unknown; the settings have archive"),
        ("[limits]\nclass = {}\n", "unknown key limits.class = {}; known keys: classes"),
        ("fleet = 3\n", "fleet is 3; a section [fleet]"),
        ("[shard]\n", "unknown key shard = {}; known keys: fleet"),
        ("[regions]\nn = [\"a\"\n", "line "),
        ("[regions]\nn = [\"a\"]", "the last line does not end in a newline"),
    ] {
        let message = parse(text).expect_err(text).to_string();
        assert!(message.contains(expected), "{text}: {message}");
        assert!(!message.contains('\n') && message.len() < 400, "{message}");
    }
}

#[test]
fn changes_are_described_and_those_that_require_a_new_process_are_rejected() {
    let old = parse(COMPLETE).expect("a fleet file");
    assert_eq!(find_changes(&old, &old), Ok(Vec::new()));
    let new = COMPLETE.replace("\"b\"", "\"d\"").replace("127.0.1.5", "127.0.1.6").replace("400", "300.5");
    let changed = find_changes(&old, &parse(&new).expect("a fleet file"))
        .expect("changes that a running process can make");
    let [seeds, region, limit] = &changed[..] else { panic!("{changed:?}") };
    assert!(seeds.contains("fleet.seeds") && region.contains("regions.north to [\"a\", \"d\"]"));
    assert_eq!(limit, "limits.classes.archive to 300.5");
    let removed = parse(&COMPLETE.replace("south = [\"c\"]\n", "")).expect("a fleet file");
    assert_eq!(find_changes(&old, &removed), Ok(vec!["regions.south removed".to_owned()]));
    for (from, to) in [("tartu", "other"), ("127.0.1.4", "127.0.1.9"), ("\"s\"", "\"t\"")] {
        let new = parse(&COMPLETE.replace(from, to)).expect("a fleet file");
        assert!(find_changes(&old, &new)
            .expect_err("a fixed key")
            .to_string()
            .contains("requires a new process"));
    }
    assert!(find_changes(&old, &parse("").expect("empty")).is_err());
}
